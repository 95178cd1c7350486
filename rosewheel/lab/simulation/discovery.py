"""Discovery of a simulated run: the truth of one tier, and an agent for each node that learns of it late."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable

import numpy as np

from rosewheel.discovery.backoff import INITIAL_DELAY_DIVISOR, MAX_DELAY_DIVISOR
from rosewheel.lab.plan import Plan, discovery_delay_ms
from rosewheel.lab.simulation.events import EventQueue
from rosewheel.lab.simulation.network import ONE_WAY_MS
from rosewheel.lab.simulation.node import SimulatedNode
from rosewheel.node.limits import Bounds
from rosewheel.policy.events import EndpointListForm, Server, ServerState

DRAIN_GRACE_MS = Bounds().drain_grace_ms

OnNotified = Callable[[str, Server], None]


class SimulatedAgent:
    """What stands on a node's machine. What it has learned counts as told when it is written to an open watch."""

    def __init__(
        self, queue: EventQueue, node: SimulatedNode, truth: dict[str, Server], told: OnNotified
    ) -> None:
        self.queue, self.node, self._told = queue, node, told
        self.entries = dict(truth)
        self.news: list[Server] = []  # learned and not told yet
        self.stalled = False
        self.cut = False  # its machine is cut off
        self.open = True
        self.free_ms = 0.0  # changes come in order: none is learned before this

    def learn(self, entry: Server) -> None:
        if entry.state is ServerState.REMOVED:
            self.entries.pop(entry.address, None)
        else:
            self.entries[entry.address] = entry
        self.news.append(entry)
        self.tell()

    def tell(self) -> None:
        if self.stalled or self.cut or not self.open or not self.news:
            return
        news, self.news = self.news, []
        for entry in news:
            self._told(self.node.name, entry)
        self.queue.after(ONE_WAY_MS, self.node.heard, EndpointListForm.DELTA, tuple(news))

    def reopen(self, wait_ms: float) -> None:
        """The watch is gone and comes back after this, going on where it was."""
        self.open = False
        self.queue.after(wait_ms, self._opened)

    def _opened(self) -> None:
        self.open = True
        self.tell()


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
        self.heard_before = heard_before  # whether a node of this name was ever told of that server
        self.truth: dict[str, Server] = {}
        self.agents: dict[SimulatedNode, SimulatedAgent] = {}
        self.behind_ms = 0.0  # how much further behind it is, by a trouble

    def add(self, node: SimulatedNode) -> None:
        """A node that begins with the list as it is now."""
        self.agents[node] = agent = SimulatedAgent(self.queue, node, self.truth, self._told)
        for entry in agent.entries.values():  # told anew, whatever the process before it had heard
            if entry.launched_ms is not None or self.heard_before(node.name, entry.address):
                self._told(node.name, entry)
        node.heard(EndpointListForm.CACHED, tuple(agent.entries.values()))

    def drop(self, node: SimulatedNode) -> None:
        self.agents.pop(node, None)

    def set(self, entry: Server, change: str) -> None:
        """The truth has changed; `change` tells the delay."""
        if entry.state is ServerState.REMOVED:
            self.truth.pop(entry.address, None)
        else:
            self.truth[entry.address] = entry
        base = self.queue.now + discovery_delay_ms(self.plan.scenario, self.rng, change) + self.behind_ms
        for agent in self.agents.values():
            due = max(agent.free_ms, base + discovery_delay_ms(self.plan.scenario, self.rng, "spread"))
            agent.free_ms = due
            self.queue.at(due, self._learn, agent, entry)

    def restate(self, name: str, state: ServerState, change: str) -> None:
        """The same server in another state; one that the list does not have is left out."""
        entry = self.truth.get(name)
        if entry is not None and entry.state is not state:
            self.set(dataclasses.replace(entry, state=state), change)

    def _learn(self, agent: SimulatedAgent, entry: Server) -> None:
        if not agent.node.dead:
            agent.learn(entry)

    def stall(self, on: bool) -> None:
        for agent in self.agents.values():
            agent.stalled = on
            if not on:  # its node had given the watch up and tries again now and then
                agent.reopen(float(self.rng.uniform(0.0, DRAIN_GRACE_MS / MAX_DELAY_DIVISOR)))

    def cut(self, zones: frozenset[str]) -> None:
        """These zones are cut off: agents there hear nothing, the others hear that what lies there is gone."""
        for agent in self.agents.values():
            agent.cut = agent.cut or agent.node.zone in zones
        for entry in list(self.truth.values()):
            if entry.zone in zones:
                self.restate(entry.address, ServerState.REMOVED, "silent")

    def mend(self, zones: frozenset[str], back: list[Server]) -> None:
        """They are not any more; `back`: what has run there all the while. Agents there never hear that it was gone."""
        for agent in self.agents.values():
            if agent.node.zone in zones:
                agent.news = [entry for entry in agent.news if entry.zone not in zones]
                agent.cut = False
                agent.tell()
        for entry in back:
            self.set(entry, "add")

    def break_off(self) -> None:
        for agent in self.agents.values():
            agent.reopen(float(self.rng.uniform(0.6, 1.0)) * DRAIN_GRACE_MS / INITIAL_DELAY_DIVISOR)
