"""Configuration of one node, whichever source it was read from."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from rosewheel.config.address import Address
from rosewheel.node.limits import Limits
from rosewheel.policy.settings import Settings

if TYPE_CHECKING:  # needs msgspec, which a node on the platform does not have
    from rosewheel.config.operator_config import OperatorConfig


@dataclass(slots=True, frozen=True)
class ControlConfig:
    """Where the fleet's configuration is fetched from. Only the operator's file can name it.

    Attributes:
        machines: addresses of the control machines by their names.
        service: name of the service that this node belongs to.
        node_file: the node's own file, to which the fleet's configuration is applied.
    """

    machines: dict[str, Address]
    service: str
    node_file: OperatorConfig


@dataclass(slots=True, frozen=True)
class InitialEndpoints:
    """The endpoint list with which a node starts.

    Attributes:
        revision: its revision in discovery; 0 where it is not known.
        entries: its entries in discovery's JSON form, not yet checked (`discovery.catalog.entries_from` does that).
    """

    revision: int = 0
    entries: object = ()


@dataclass(slots=True, frozen=True)
class NodeConfig:
    """All that a node needs at its start.

    Attributes:
        name: the node's name in logs and in messages to other processes.
        listen_address: where clients connect.
        discovery_address: where discovery answers.
        seed: of the node's random source.
        settings: settings of the decision module.
        limits: limits that the node enforces by itself.
        initial_endpoints: endpoint list until discovery has answered.
        admin_address: where the admin server listens; None: no admin server.
        inherited_descriptor: descriptor of a listening socket that the platform holds; None: the node binds its own.
        state_folder: folder for files that outlive the process; None: nothing is kept.
        state_on_disk: whether that folder lies on a disk, where a write may block; on the platform it is in memory.
        hot_restart_allowed: whether another process of this node may take over its connections, through a Unix socket
            in the state folder. On the platform only with an inherited listening socket: without one no second
            process of the node can run.
        control: where the fleet's configuration is fetched from; None: from nowhere.
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
