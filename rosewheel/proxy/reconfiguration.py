"""Joins a node to the fleet's configuration: what control says is put in force over the node's own file.

Imported only where the operator's file has a table `control`; `run` on the platform never does.
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

COPY = "control.copy"


class Node(Protocol):
    """What is configured."""

    def configure(self, settings: Settings, bounds: Limits) -> None:
        """ValueError: all stays as it was."""

    def set_fleet_cordons(self, members: frozenset[str]) -> None: ...


class FleetConfiguration:
    def __init__(self, node: Node, config: NodeConfig, control: ControlConfig) -> None:
        self.node, self.control = node, control
        self.document: Document = {}  # in force
        copy = Path(config.state_folder) / COPY if config.state_folder else None
        self.follower = ConfigurationSubscriber(
            config.name, control.service, control.machines, config.seed, copy, self._apply
        )

    def start(self) -> None:
        """With the copy, if there is one; no machine is waited for."""
        self.follower.start()

    def close(self) -> None:
        self.follower.close()

    def _apply(self, document: Document) -> None:
        out = cordoned_servers(document)
        self.node.configure(*apply_fleet_document(self.control.node_file, document))
        self.node.set_fleet_cordons(out)
        self.document = document

    def over(self, config: NodeConfig) -> NodeConfig:
        """The node's own file, read again, under what control says. ConfigError where the two do not go together."""
        control = config.control
        if control is None or (control.machines, control.service) != (
            self.control.machines,
            self.control.service,
        ):
            raise ConfigError("control: changes only with a restart")
        try:
            settings, bounds = apply_fleet_document(control.node_file, self.document)
        except ValueError as error:
            raise ConfigError(f"with what control says: {error}") from error
        return dataclasses.replace(config, settings=settings, limits=bounds)

    def took(self, config: NodeConfig) -> None:
        """The file that was read again is in force."""
        assert config.control is not None
        self.control = config.control
