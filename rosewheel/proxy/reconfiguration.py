"""Applies the fleet's configuration to a node, on top of the node's own file.

Imported only if the operator's file has a table `control`, which the platform's configuration never has.
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
    """A node that configurations can be applied to."""

    def configure(self, settings: Settings, limits: Limits) -> None:
        """Applies settings and limits.

        Raises:
            ValueError: They can't be applied. The old ones stay in force.
        """

    def set_fleet_cordons(self, servers: frozenset[str]) -> None:
        """Replaces the set of servers that the fleet's configuration cordons."""

    def reload(self, config: NodeConfig) -> None:
        """Applies a reloaded configuration.

        Raises:
            ConfigError: It can't be applied. The old configuration stays in force.
        """


class FleetConfiguration:
    """Applies each new configuration of the fleet to a node.

    Args:
        node: The node to configure.
        config: The node's own configuration. The fleet's is cached in its state folder.
        control: The service whose configuration is applied, and the control machines that publish it.
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
        """Applies the cached configuration, if there is one, and starts to connect to the control machines."""
        self._subscriber.start()

    def close(self) -> None:
        """Disconnects from the control machines."""
        self._subscriber.close()

    def reload(self, config: NodeConfig) -> None:
        """Applies the reloaded file of the node, with the fleet's configuration on top of it.

        Raises:
            ConfigError: The file names other control machines or another service, or the combination is invalid. The
                old configuration stays in force.
        """
        control = config.control
        if control is None or (control.machines, control.service) != (
            self._control.machines,
            self._control.service,
        ):
            raise ConfigError("control: changes only with a restart")
        try:
            settings, limits = apply_fleet_document(control.node_file, self._applied)
        except ValueError as error:
            raise ConfigError(f"invalid in combination with the fleet's configuration: {error}") from error
        self._node.reload(dataclasses.replace(config, settings=settings, limits=limits))
        self._control = control

    def _apply(self, document: Document) -> None:
        servers = cordoned_servers(document)
        self._node.configure(*apply_fleet_document(self._control.node_file, document))
        self._node.set_fleet_cordons(servers)
        self._applied = document
