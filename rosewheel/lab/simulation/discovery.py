"""Discovery of a simulated run: the truth of one tier, and an agent for each node that learns of it late."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable

import numpy as np

from rosewheel.discovery.backoff import INITIAL_DELAY_DIVISOR, MAX_DELAY_DIVISOR
from rosewheel.lab.discovery_delays import DiscoveryChange, discovery_delay_ms
from rosewheel.lab.plan import Plan
from rosewheel.lab.simulation.events import EventQueue
from rosewheel.lab.simulation.network import ONE_WAY_MS
from rosewheel.lab.simulation.node import SimulatedNode
from rosewheel.node.limits import Limits
from rosewheel.policy.events import EndpointListForm, Server, ServerState

DRAIN_GRACE_MS = Limits().drain_notice_ms

OnNotified = Callable[[str, Server], None]


class SimulatedAgent:
    """What stands on a node's machine. What it has learned counts as told when it is written to an open watch."""

    def __init__(
        self, queue: EventQueue, node: SimulatedNode, truth: dict[str, Server], told: OnNotified
    ) -> None:
        self.queue, self.node, self._told = queue, node, told
        self.entries = dict(truth)
        self.pending: list[Server] = []  # learned and not told yet
        self.stalled = False
        self.isolated = False  # its machine is cut off
        self.watch_open = True
        self.last_change_ms = 0.0  # changes come in order: none is learned before this

    def learn(self, entry: Server) -> None:
        if entry.state is ServerState.REMOVED:
            self.entries.pop(entry.address, None)
        else:
            self.entries[entry.address] = entry
        self.pending.append(entry)
        self.notify()

    def notify(self) -> None:
        if self.stalled or self.isolated or not self.watch_open or not self.pending:
            return
        news, self.pending = self.pending, []
        for entry in news:
            self._told(self.node.name, entry)
        self.queue.call_later(
            ONE_WAY_MS, self.node.receive_endpoint_list, EndpointListForm.DELTA, tuple(news)
        )

    def reopen(self, wait_ms: float) -> None:
        """The watch is gone and comes back after this, going on where it was."""
        self.watch_open = False
        self.queue.call_later(wait_ms, self._opened)

    def _opened(self) -> None:
        self.watch_open = True
        self.notify()


class SimulatedRegistry:
    """All agents of the nodes that send to one tier."""

    def __init__(
        self,
        queue: EventQueue,
        plan: Plan,
        told: OnNotified,
        heard_before: Callable[[str, str], bool],
        rng: np.random.Generator,
    ) -> None:
        self.queue, self.plan, self.rng, self._told = queue, plan, rng, told
        self.was_notified = heard_before  # whether a node of this name was ever told of that server
        self.current: dict[str, Server] = {}
        self.agents: dict[SimulatedNode, SimulatedAgent] = {}
        self.extra_delay_ms = 0.0  # how much further behind it is, by a trouble

    def add_agent(self, node: SimulatedNode) -> None:
        """A node that begins with the list as it is now."""
        self.agents[node] = agent = SimulatedAgent(self.queue, node, self.current, self._told)
        for entry in agent.entries.values():  # told anew, whatever the process before it had heard
            if entry.launched_ms is not None or self.was_notified(node.name, entry.address):
                self._told(node.name, entry)
        node.receive_endpoint_list(EndpointListForm.CACHED, tuple(agent.entries.values()))

    def remove_agent(self, node: SimulatedNode) -> None:
        self.agents.pop(node, None)

    def update(self, entry: Server, change: DiscoveryChange) -> None:
        """The truth has changed; `change` tells the delay."""
        if entry.state is ServerState.REMOVED:
            self.current.pop(entry.address, None)
        else:
            self.current[entry.address] = entry
        base = (
            self.queue.now
            + discovery_delay_ms(self.plan.scenario.discovery, self.rng, change)
            + self.extra_delay_ms
        )
        for agent in self.agents.values():
            due = max(
                agent.last_change_ms,
                base + discovery_delay_ms(self.plan.scenario.discovery, self.rng, DiscoveryChange.SPREAD),
            )
            agent.last_change_ms = due
            self.queue.call_at(due, self._learn, agent, entry)

    def set_state(self, name: str, state: ServerState, change: DiscoveryChange) -> None:
        """The same server in another state; one that the list does not have is left out."""
        entry = self.current.get(name)
        if entry is not None and entry.state is not state:
            self.update(dataclasses.replace(entry, state=state), change)

    def _learn(self, agent: SimulatedAgent, entry: Server) -> None:
        if not agent.node.dead:
            agent.learn(entry)

    def stall(self, on: bool) -> None:
        for agent in self.agents.values():
            agent.stalled = on
            if not on:  # its node had given the watch up and tries again now and then
                agent.reopen(float(self.rng.uniform(0.0, DRAIN_GRACE_MS / MAX_DELAY_DIVISOR)))

    def isolate(self, zones: frozenset[str]) -> None:
        """These zones are cut off: agents there hear nothing, the others hear that what lies there is gone."""
        for agent in self.agents.values():
            agent.isolated = agent.isolated or agent.node.zone in zones
        for entry in list(self.current.values()):
            if entry.zone in zones:
                self.set_state(entry.address, ServerState.REMOVED, DiscoveryChange.SERVER_DIED)

    def heal(self, zones: frozenset[str], back: list[Server]) -> None:
        """They are not any more; `back`: what has run there all the while. Agents there never hear that it was gone."""
        for agent in self.agents.values():
            if agent.node.zone in zones:
                agent.pending = [entry for entry in agent.pending if entry.zone not in zones]
                agent.isolated = False
                agent.notify()
        for entry in back:
            self.update(entry, DiscoveryChange.ADD)

    def reset_watches(self) -> None:
        for agent in self.agents.values():
            agent.reopen(float(self.rng.uniform(0.6, 1.0)) * DRAIN_GRACE_MS / INITIAL_DELAY_DIVISOR)
