"""Worker process of simulated nodes: `python -m rosewheel.lab.scale.simulated_nodes_worker SETUP.json`."""

from __future__ import annotations

import logging
import sys
from collections.abc import Iterable, Iterator
from pathlib import Path

import msgspec

from rosewheel.lab.scale.messages import (
    NodeVersions,
    ReadStatistics,
    RecordsSaved,
    RestartNodes,
    SaveRecords,
    SimulatedNodesCommand,
    SimulatedNodesReady,
    SimulatedNodesSetup,
    SimulatedNodesStatistics,
    StartNodes,
    StopNodes,
)
from rosewheel.lab.scale.simulated_node import SimulatedNode, SourceAddressLoop
from rosewheel.lab.scale.version_log import NodeRecords
from rosewheel.lab.scale.worker import run_worker, serve_commands


class NodeGroup:
    """The simulated nodes of one process."""

    def __init__(self, setup: SimulatedNodesSetup) -> None:
        self.setup = setup
        self.records = NodeRecords()
        self.nodes = {row.number: SimulatedNode(row, setup.seed, self.records) for row in setup.nodes}

    async def start(self) -> SimulatedNodesReady:
        """Start all nodes."""
        for node in self.nodes.values():
            node.start()
        return SimulatedNodesReady(len(self.nodes))

    def handle(self, command: SimulatedNodesCommand) -> SimulatedNodesStatistics | RecordsSaved | None:
        """Carry out a command."""
        match command:
            case StopNodes(numbers=numbers):
                for node in self._local_nodes(numbers):
                    node.stop()
            case StartNodes(numbers=numbers):
                for node in self._local_nodes(numbers):
                    node.start()
            case RestartNodes(numbers=numbers):
                for node in self._local_nodes(numbers):
                    node.stop()
                    node.start()
            case SaveRecords():
                return RecordsSaved(self.records.save(Path(self.setup.folder), self.setup.name))
            case ReadStatistics():
                return self._statistics()
        return None

    def _local_nodes(self, numbers: Iterable[int]) -> Iterator[SimulatedNode]:
        return (self.nodes[number] for number in numbers if number in self.nodes)

    def _statistics(self) -> SimulatedNodesStatistics:
        nodes = self.nodes.values()
        return SimulatedNodesStatistics(
            versions=[
                NodeVersions(node.number, node.list_version, node.config_version)
                for node in nodes
                if node.running
            ],
            configs_applied=sum(node.configs_applied for node in nodes),
            endpoints=sum(node.endpoints for node in nodes),
        )

    def stop(self) -> None:
        """Stop all nodes."""
        for node in self.nodes.values():
            node.stop()


async def main(setup: SimulatedNodesSetup) -> None:
    """Run the nodes until standard input ends."""
    logging.basicConfig(stream=sys.stderr, level=logging.WARNING)
    group = NodeGroup(setup)
    decoder: msgspec.json.Decoder[SimulatedNodesCommand] = msgspec.json.Decoder(SimulatedNodesCommand)
    await serve_commands(decoder, group.handle, group.start)
    group.stop()


if __name__ == "__main__":
    run_worker(main, SimulatedNodesSetup, SourceAddressLoop)
