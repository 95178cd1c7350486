"""Applies the fleet's configuration to a node, on top of the node's own file.

Imported only where the operator's file has a table `control`: `run` on the platform never needs it.
"""

from __future__ import annotations

import dataclasses
from pathlib import Path
from typing import Protocol

from rosewheel.config.errors import ConfigError
from rosewheel.config.fleet_document import apply_fleet_document, cordoned_servers
from rosewheel.config.node_config import ControlConfig, NodeConfig
from rosewheel.control.documents import Document
from rosewheel.control.subscriber import ConfigurationSubscriber
from rosewheel.node.limits import Limits
from rosewheel.policy.settings import Settings

CACHE_NAME = "control.copy"


class ConfigurableNode(Protocol):
    """The node to which a configuration is applied."""

    def configure(self, settings: Settings, bounds: Limits) -> None:
        """Applies settings and limits; raises ValueError, and changes nothing, where they can't hold."""

    def set_fleet_cordons(self, servers: frozenset[str]) -> None:
        """Replaces the set of servers that the fleet has cordoned."""

    def reload(self, config: NodeConfig) -> None:
        """Applies a configuration that was read again; raises ConfigError, and changes nothing, where it can't."""


class FleetConfiguration:
    """Keeps a node at the newest configuration of the fleet.

    Args:
        node: The node to configure.
        config: The node's own configuration; its state folder holds the cached copy of the fleet's.
        control: The service and the control machines that the configuration comes from.
    """

    def __init__(self, node: ConfigurableNode, config: NodeConfig, control: ControlConfig) -> None:
        self._node = node
        self._control = control
        self._applied: Document = {}
        cache = Path(config.state_folder) / CACHE_NAME if config.state_folder else None
        self._subscriber = ConfigurationSubscriber(
            config.name, control.service, control.machines, config.seed, cache, self._apply
        )

    def start(self) -> None:
        """Applies the cached copy, if there is one, and connects to control; waits for no machine."""
        self._subscriber.start()

    def close(self) -> None:
        """Disconnects from control."""
        self._subscriber.close()

    def reload(self, config: NodeConfig) -> None:
        """Applies the node's own file, read again, below the fleet's configuration.

        Raises:
            ConfigError: The file names another control or service, or the two do not fit together; nothing changed.
        """
        control = config.control
        if control is None or (control.machines, control.service) != (
            self._control.machines,
            self._control.service,
        ):
            raise ConfigError("control: changes only with a restart")
        try:
            settings, bounds = apply_fleet_document(control.node_file, self._applied)
        except ValueError as error:
            raise ConfigError(f"with what control says: {error}") from error
        self._node.reload(dataclasses.replace(config, settings=settings, limits=bounds))
        self._control = control

    def _apply(self, document: Document) -> None:
        servers = cordoned_servers(document)
        self._node.configure(*apply_fleet_document(self._control.node_file, document))
        self._node.set_fleet_cordons(servers)
        self._applied = document
