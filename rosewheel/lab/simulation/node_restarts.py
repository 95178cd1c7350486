"""Crashes and upgrades of the nodes that clients use in a simulated run."""

from __future__ import annotations

from rosewheel.lab.record_types import NodeKilledRecord, NodeReadyRecord, RecordFile
from rosewheel.lab.simulation.clients import SimulatedDispatcher
from rosewheel.lab.simulation.fleet import PROCESS_START_MS, SimulatedFleet
from rosewheel.lab.simulation.node import SimulatedNode
from rosewheel.policy.learned_state import LearnedState

UPGRADE_OVERLAP_MS = 800.0  # time from the start of the new process until it replaces the old one


class NodeRestarts:
    """Restarts nodes, with or without the learned state of the previous process."""

    def __init__(self, fleet: SimulatedFleet, dispatcher: SimulatedDispatcher) -> None:
        self.fleet, self.dispatcher = fleet, dispatcher
        self.queue = fleet.queue
        self.keep_learned_state = fleet.plan.scenario.nodes.keep_learned_state

    def crash(self, name: str, down_ms: float) -> None:
        """Kill a node and restart it after a time. Does nothing if it is dead already."""
        node = self.fleet.nodes[name]
        if node.dead:
            return
        self.fleet.record(RecordFile.RUN, NodeKilledRecord(self.fleet.plan_time(), name))
        learned = node.node.learned_state(self.queue.now) if self.keep_learned_state else None
        node.kill()
        self.fleet.registries[0].remove_agent(node)
        self.dispatcher.node_changed(name)
        self.queue.call_later(down_ms + PROCESS_START_MS, self._restart, name, learned, self.queue.now)

    def _restart(self, name: str, learned: LearnedState | None, killed_ms: float) -> None:
        self.fleet.start_client_node(name)
        if learned is not None:
            self.fleet.nodes[name].restore(learned, self.queue.now - killed_ms)
        self.fleet.record(RecordFile.RUN, NodeReadyRecord(self.fleet.plan_time(), name))
        self.dispatcher.node_changed(name)

    def upgrade(self, name: str) -> None:
        """Start a new process that replaces the running one after `UPGRADE_OVERLAP_MS`."""
        old = self.fleet.nodes[name]
        if old.dead:
            return
        new = self.fleet.new_client_node(name)
        if self.keep_learned_state:
            new.restore(old.node.learned_state(self.queue.now), 0.0)
        for process in (old, new):
            process.apply(process.node.process_count_changed(self.queue.now, 2))
        self.queue.call_later(UPGRADE_OVERLAP_MS, self._finish_upgrade, name, old, new)

    def _finish_upgrade(self, name: str, old: SimulatedNode, new: SimulatedNode) -> None:
        if old.dead:  # killed meanwhile and restarted as another process
            new.kill()
            return
        self.fleet.nodes[name] = new
        new.apply(new.node.process_count_changed(self.queue.now, 1))
        self.fleet.record(RecordFile.RUN, NodeReadyRecord(self.fleet.plan_time(), name))
