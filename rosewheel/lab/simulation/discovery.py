"""Discovery of a simulated run: the true endpoint list of a tier, and an agent for each node that learns of it late."""

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
REWATCH_SHARE = (0.6, 1.0)  # of the longest delay of a node before it watches again

OnNotified = Callable[[str, Server], None]  # node, server


class SimulatedAgent:
    """The agent on a node's machine. A change counts as notified when it is written to an open watch.

    Attributes:
        entries: the endpoint list as the agent knows it.
        pending: changes that the node has not been notified of.
        stalled: discovery is down.
        isolated: the machine is cut off.
        last_change_ms: changes are learned in order, none before this moment.
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

    def learn(self, entry: Server) -> None:
        """A change has reached the agent."""
        if entry.state is ServerState.REMOVED:
            self.entries.pop(entry.address, None)
        else:
            self.entries[entry.address] = entry
        self.pending.append(entry)
        self.notify()

    def notify(self) -> None:
        """Notify the node of pending changes, where the watch is open."""
        if self.stalled or self.isolated or not self.watch_open or not self.pending:
            return
        changes, self.pending = self.pending, []
        for entry in changes:
            self._on_notified(self.node.name, entry)
        self.queue.call_later(
            ONE_WAY_MS, self.node.receive_endpoint_list, EndpointListForm.DELTA, tuple(changes)
        )

    def reopen(self, delay_ms: float) -> None:
        """Close the watch; it is opened after this delay and continues where it was."""
        self.watch_open = False
        self.queue.call_later(delay_ms, self._opened)

    def _opened(self) -> None:
        self.watch_open = True
        self.notify()


class SimulatedRegistry:
    """The agents of all nodes that send to one tier.

    Attributes:
        current: the true endpoint list.
        extra_delay_ms: an injected fault; added to the delay of every change.
    """

    def __init__(
        self,
        queue: EventQueue,
        plan: Plan,
        on_notified: OnNotified,
        was_notified: Callable[[str, str], bool],
        rng: np.random.Generator,
    ) -> None:
        """Make an empty registry.

        Args:
            was_notified: whether a node of this name was ever notified of that server.
        """
        self.queue, self.plan, self.rng, self._on_notified = queue, plan, rng, on_notified
        self.was_notified = was_notified
        self.current: dict[str, Server] = {}
        self.agents: dict[SimulatedNode, SimulatedAgent] = {}
        self.extra_delay_ms = 0.0

    def add_agent(self, node: SimulatedNode) -> None:
        """Start the agent of a node, which begins with the current list."""
        agent = SimulatedAgent(self.queue, node, self.current, self._on_notified)
        self.agents[node] = agent
        for entry in agent.entries.values():  # notified again, whatever an earlier process knew
            if entry.launched_ms is not None or self.was_notified(node.name, entry.address):
                self._on_notified(node.name, entry)
        node.receive_endpoint_list(EndpointListForm.CACHED, tuple(agent.entries.values()))

    def remove_agent(self, node: SimulatedNode) -> None:
        """Stop the agent of a node."""
        self.agents.pop(node, None)

    def update(self, entry: Server, change: DiscoveryChange) -> None:
        """Change the list; every agent learns of it after a delay of its own."""
        if entry.state is ServerState.REMOVED:
            self.current.pop(entry.address, None)
        else:
            self.current[entry.address] = entry
        first_ms = self.queue.now + self._draw_delay_ms(change) + self.extra_delay_ms
        for agent in self.agents.values():
            due_ms = max(agent.last_change_ms, first_ms + self._draw_delay_ms(DiscoveryChange.SPREAD))
            agent.last_change_ms = due_ms
            self.queue.call_at(due_ms, self._learn, agent, entry)

    def _draw_delay_ms(self, change: DiscoveryChange) -> float:
        return discovery_delay_ms(self.plan.scenario.discovery, self.rng, change)

    def set_state(self, name: str, state: ServerState, change: DiscoveryChange) -> None:
        """Change the state of a listed server; nothing where it is not listed."""
        entry = self.current.get(name)
        if entry is not None and entry.state is not state:
            self.update(dataclasses.replace(entry, state=state), change)

    def _learn(self, agent: SimulatedAgent, entry: Server) -> None:
        if not agent.node.dead:
            agent.learn(entry)

    def stall(self, stalled: bool) -> None:
        """Stop discovery, watches staying open, or resume it."""
        for agent in self.agents.values():
            agent.stalled = stalled
            if not stalled:  # its node had abandoned the watch and polls again from time to time
                agent.reopen(float(self.rng.uniform(0.0, DRAIN_GRACE_MS / MAX_DELAY_DIVISOR)))

    def isolate(self, zones: frozenset[str]) -> None:
        """Cut zones off: agents there are not notified, the others learn that the servers there are gone."""
        for agent in self.agents.values():
            agent.isolated = agent.isolated or agent.node.zone in zones
        for entry in list(self.current.values()):
            if entry.zone in zones:
                self.set_state(entry.address, ServerState.REMOVED, DiscoveryChange.SERVER_DIED)

    def heal(self, zones: frozenset[str], running: list[Server]) -> None:
        """Connect zones again. Agents there never learn that their own servers were reported as gone.

        Args:
            running: the servers that have run there meanwhile.
        """
        for agent in self.agents.values():
            if agent.node.zone in zones:
                agent.pending = [entry for entry in agent.pending if entry.zone not in zones]
                agent.isolated = False
                agent.notify()
        for entry in running:
            self.update(entry, DiscoveryChange.ADD)

    def reset_watches(self) -> None:
        """Break all watches; nodes open them again after a delay."""
        for agent in self.agents.values():
            agent.reopen(float(self.rng.uniform(*REWATCH_SHARE)) * DRAIN_GRACE_MS / INITIAL_DELAY_DIVISOR)
