"""Service discovery of a simulated run: the endpoint list of each tier, and an agent per node that follows it late."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable

import numpy as np

from rosewheel.discovery.backoff import INITIAL_DELAY_DIVISOR, MAX_DELAY_DIVISOR
from rosewheel.lab.discovery_delays import DiscoveryChange, discovery_delay_ms
from rosewheel.lab.plan import Plan
from rosewheel.lab.simulation.events import EventQueue
from rosewheel.lab.simulation.node import SimulatedNode
from rosewheel.lab.simulation.topology import ONE_WAY_MS
from rosewheel.node.limits import Limits
from rosewheel.policy.events import EndpointListForm, Server, ServerState

DRAIN_GRACE_MS = Limits().drain_notice_ms
REWATCH_SHARE = (0.6, 1.0)  # share of the longest delay after which a node reopens a watch

OnNotified = Callable[[str, Server], None]  # called with the name of the node and the entry


class SimulatedAgent:
    """Discovery agent on the machine of a node.

    The node counts as notified of a change once the change is written to an open watch.

    Attributes:
        entries: endpoint list known to the agent, by name of the server.
        pending: changes of which the node has not been notified.
        stalled: whether discovery is stalled.
        isolated: whether the machine is cut off from the network.
        watch_open: whether the node has a watch open.
        last_change_ms: when the last scheduled change reaches the agent; no change overtakes an earlier one.
    """

    def __init__(
        self,
        queue: EventQueue,
        node: SimulatedNode,
        entries: dict[str, Server],
        on_notified: OnNotified,
    ) -> None:
        self.queue, self.node, self._on_notified = queue, node, on_notified
        self.entries = dict(entries)
        self.pending: list[Server] = []
        self.stalled = False
        self.isolated = False
        self.watch_open = True
        self.last_change_ms = 0.0

    def apply_change(self, entry: Server) -> None:
        """Apply a change to the list of the agent and notify the node."""
        if entry.state is ServerState.REMOVED:
            self.entries.pop(entry.address, None)
        else:
            self.entries[entry.address] = entry
        self.pending.append(entry)
        self.notify_node()

    def notify_node(self) -> None:
        """Notify the node of pending changes if that is possible now."""
        if self.stalled or self.isolated or not self.watch_open or not self.pending:
            return
        changes, self.pending = self.pending, []
        for entry in changes:
            self._on_notified(self.node.name, entry)
        self.queue.call_later(
            ONE_WAY_MS, self.node.receive_endpoint_list, EndpointListForm.DELTA, tuple(changes)
        )

    def reopen_watch(self, delay_ms: float) -> None:
        """Close the watch and reopen it after a delay. Changes meanwhile stay pending."""
        self.watch_open = False
        self.queue.call_later(delay_ms, self._watch_opened)

    def _watch_opened(self) -> None:
        self.watch_open = True
        self.notify_node()


class SimulatedRegistry:
    """Endpoint list of one tier, and the agents of all nodes that send to it.

    Attributes:
        endpoints: endpoint list without delays, by name of the server.
        agents: agent of each node.
        extra_delay_ms: delay that an injected fault adds to every change.
    """

    def __init__(
        self,
        queue: EventQueue,
        plan: Plan,
        on_notified: OnNotified,
        was_notified: Callable[[str, str], bool],
        rng: np.random.Generator,
    ) -> None:
        """Create an empty registry.

        Args:
            on_notified: called when a node is notified of an entry.
            was_notified: returns whether a node of this name was ever notified of this server.
        """
        self.queue, self.plan, self.rng, self._on_notified = queue, plan, rng, on_notified
        self.was_notified = was_notified
        self.endpoints: dict[str, Server] = {}
        self.agents: dict[SimulatedNode, SimulatedAgent] = {}
        self.extra_delay_ms = 0.0

    def add_agent(self, node: SimulatedNode) -> None:
        """Start the agent of a node with the current list, and send that list to the node."""
        agent = SimulatedAgent(self.queue, node, self.endpoints, self._on_notified)
        self.agents[node] = agent
        # The list replaces notifications of an earlier process of this node.
        for entry in agent.entries.values():
            if entry.launched_ms is not None or self.was_notified(node.name, entry.address):
                self._on_notified(node.name, entry)
        node.receive_endpoint_list(EndpointListForm.CACHED, tuple(agent.entries.values()))

    def remove_agent(self, node: SimulatedNode) -> None:
        """Stop the agent of a node."""
        self.agents.pop(node, None)

    def update(self, entry: Server, change: DiscoveryChange) -> None:
        """Change the list. The change reaches each agent after a delay of its own."""
        if entry.state is ServerState.REMOVED:
            self.endpoints.pop(entry.address, None)
        else:
            self.endpoints[entry.address] = entry
        first_ms = self.queue.now + self._draw_delay_ms(change) + self.extra_delay_ms
        for agent in self.agents.values():
            due_ms = max(agent.last_change_ms, first_ms + self._draw_delay_ms(DiscoveryChange.SPREAD))
            agent.last_change_ms = due_ms
            self.queue.call_at(due_ms, self._deliver_change, agent, entry)

    def _draw_delay_ms(self, change: DiscoveryChange) -> float:
        return discovery_delay_ms(self.plan.scenario.discovery, self.rng, change)

    def set_state(self, name: str, state: ServerState, change: DiscoveryChange) -> None:
        """Change the state of a server. Does nothing if it is not listed or has that state."""
        entry = self.endpoints.get(name)
        if entry is not None and entry.state is not state:
            self.update(dataclasses.replace(entry, state=state), change)

    def _deliver_change(self, agent: SimulatedAgent, entry: Server) -> None:
        if not agent.node.dead:
            agent.apply_change(entry)

    def stall(self, stalled: bool) -> None:
        """Stall discovery, with watches still open, or resume it."""
        for agent in self.agents.values():
            agent.stalled = stalled
            if not stalled:  # the node has closed the silent watch and retries at intervals
                agent.reopen_watch(float(self.rng.uniform(0.0, DRAIN_GRACE_MS / MAX_DELAY_DIVISOR)))

    def isolate(self, zones: frozenset[str]) -> None:
        """Cut zones off. Agents there do not notify their nodes, and servers there are removed from the list."""
        for agent in self.agents.values():
            agent.isolated = agent.isolated or agent.node.zone in zones
        for entry in list(self.endpoints.values()):
            if entry.zone in zones:
                self.set_state(entry.address, ServerState.REMOVED, DiscoveryChange.SERVER_DIED)

    def heal(self, zones: frozenset[str], running: list[Server]) -> None:
        """Reconnect zones and list their running servers again.

        Agents there drop pending removals of servers of these zones.

        Args:
            running: servers of these zones that are running.
        """
        for agent in self.agents.values():
            if agent.node.zone in zones:
                agent.pending = [entry for entry in agent.pending if entry.zone not in zones]
                agent.isolated = False
                agent.notify_node()
        for entry in running:
            self.update(entry, DiscoveryChange.ADD)

    def reset_watches(self) -> None:
        """Close all watches. Nodes reopen them after a delay."""
        for agent in self.agents.values():
            agent.reopen_watch(
                float(self.rng.uniform(*REWATCH_SHARE)) * DRAIN_GRACE_MS / INITIAL_DELAY_DIVISOR
            )
