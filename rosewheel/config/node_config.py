"""Configuration of one node, as loaded from the operator's file or the platform's JSON."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from rosewheel.config.address import Address
from rosewheel.node.limits import Limits
from rosewheel.policy.settings import Settings

if TYPE_CHECKING:  # imports msgspec, which the platform does not have
    from rosewheel.config.operator_config import OperatorConfig


@dataclass(slots=True, frozen=True)
class ControlConfig:
    """The control machines that provide the fleet's configuration. Only the operator's file can name them.

    Attributes:
        machines: addresses of the control machines, by name.
        service: name of the service that this node belongs to.
        node_file: the node's own file, to which the fleet's configuration is applied.
    """

    machines: dict[str, Address]
    service: str
    node_file: OperatorConfig


@dataclass(slots=True, frozen=True)
class InitialEndpoints:
    """The endpoint list that a node uses until discovery has answered.

    Attributes:
        revision: revision of the list in discovery; 0 if unknown.
        entries: entries in discovery's JSON form, not validated (`discovery.endpoint_list.parse_endpoints` does that).
    """

    revision: int = 0
    entries: object = ()


@dataclass(slots=True, frozen=True)
class NodeConfig:
    """Configuration with which a node starts or reloads.

    Attributes:
        name: name of the node in logs and in messages to other processes.
        listen_address: address that clients connect to.
        discovery_address: address of discovery.
        seed: seed of the node's random number generator.
        settings: settings of the policy.
        limits: limits that the node enforces independently of its policy.
        initial_endpoints: endpoint list to use until discovery has answered.
        admin_address: address of the admin server; None to run without one.
        inherited_descriptor: descriptor of a listening socket that the platform holds; None to bind a new one.
        state_folder: folder for files that outlive the process; None to keep no files.
        state_on_disk: whether that folder is on a disk, where a write may block; on the platform it is in memory.
        hot_restart_allowed: whether another process of this node may take over its connections, through a Unix socket
            in the state folder. On the platform this requires an inherited listening socket, because no second
            process of the node can run without one.
        control: control machines that provide the fleet's configuration; None if there are none.
    """

    name: str
    listen_address: Address
    discovery_address: Address
    seed: int
    settings: Settings
    limits: Limits
    initial_endpoints: InitialEndpoints
    admin_address: Address | None = None
    inherited_descriptor: int | None = None
    state_folder: str | None = None
    state_on_disk: bool = False
    hot_restart_allowed: bool = True
    control: ControlConfig | None = None
