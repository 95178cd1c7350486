"""Discovery as nodes meet it: a registry that hears of changes late, and an agent for each node that tells them.

The registry's truth changes at once; each agent learns of a change after a delay of its own, in order, and what it
has learned counts as told to its node when it has been written to an open watch.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec

from rosewheel.lab.discovery_delays import DiscoveryChange
from rosewheel.lab.wire import Address, HttpRequest, ServerConnection, now_ms

HEARTBEAT_S = 2.0  # an empty line comes this often while nothing changes


@dataclass(slots=True)
class DiscoveryEntry:
    """One equipo as discovery names it."""

    name: str
    address: str
    zone: str
    cell: int
    health: str = "active"
    launched_ms: int = 0

    def wire_record(self) -> dict[str, Any]:
        return {
            "host": self.name,
            "dial": self.address,
            "site": self.zone,
            "class": "lab",
            "block": self.cell,
            "health": self.health,
            "share": 1.0,
            "born_ms": self.launched_ms,
        }


class DiscoveryAgent:
    """What stands on a node's own machine and answers at the address that the node asks."""

    def __init__(self, node: str, told: Callable[[str, DiscoveryEntry], None]) -> None:
        self.node = node
        self.loop = asyncio.get_running_loop()
        self.entries: dict[str, DiscoveryEntry] = {}
        self.changes: list[tuple[int, DiscoveryEntry]] = []  # by version
        self.version = 1
        self.stalled = False
        self._told = told
        self._watches: dict[ServerConnection, int] = {}  # the version each has been told up to
        self._server: asyncio.Server | None = None
        self._beat: asyncio.TimerHandle | None = None
        self._open: set[ServerConnection] = set()

    async def start(self, port: int = 0) -> Address:
        self._server = await self.loop.create_server(
            lambda: ServerConnection(self._asked, self._open.add, self._gone), "127.0.0.1", port
        )
        self._beat = self.loop.call_later(HEARTBEAT_S, self._beats)
        address: Address = self._server.sockets[0].getsockname()[:2]
        return address

    def snapshot_record(self) -> dict[str, Any]:
        """The whole list, in the form that a node's configuration has it."""
        hosts = [entry.wire_record() for entry in self.entries.values()]
        return {"seq": self.version, "whole": True, "hosts": hosts}

    def learn(self, entry: DiscoveryEntry) -> None:
        """A change has reached this agent."""
        self.version += 1
        if entry.health == "left":
            self.entries.pop(entry.name, None)
        else:
            self.entries[entry.name] = entry
        self.changes.append((self.version, entry))
        self._tell()

    def stall(self, on: bool) -> None:
        """Discovery is down: watches stay open and nothing is said."""
        self.stalled = on
        self._tell()

    def reset_watches(self) -> None:
        for watch in list(self._open):
            watch.reset()

    def close(self) -> None:
        if self._beat is not None:
            self._beat.cancel()
        if self._server is not None:
            self._server.close()
        for watch in list(self._open):
            watch.close()

    # ----------------------------------------------------------------- wire

    def _asked(self, asked: HttpRequest) -> None:
        path, _, query = asked.target.decode("latin-1").partition("?")
        if path != "/catalog/members":
            asked.connection.respond(404)
            return
        pairs = dict(pair.partition("=")[::2] for pair in query.split("&") if pair)
        if "follow" not in pairs:
            if not self.stalled:
                asked.connection.respond(200, msgspec.json.encode(self.snapshot_record()))
            return
        since = int(pairs.get("since", "0")) if pairs.get("since", "0").isdigit() else 0
        asked.connection.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        if not 0 < since <= self.version and not self.stalled:
            self._line(asked.connection, self.snapshot_record())
            for entry in self.entries.values():
                self._told(self.node, entry)
            since = self.version
        self._watches[asked.connection] = since
        self._tell()

    def _gone(self, watch: ServerConnection) -> None:
        self._open.discard(watch)
        self._watches.pop(watch, None)

    def _tell(self) -> None:
        if self.stalled:
            return
        for watch, since in self._watches.items():
            if since == self.version:
                continue
            news = [entry for version, entry in self.changes if version > since]
            rows = [entry.wire_record() for entry in news]
            self._line(watch, {"seq": self.version, "whole": False, "hosts": rows})
            self._watches[watch] = self.version
            for entry in news:
                self._told(self.node, entry)

    def _line(self, watch: ServerConnection, row: dict[str, Any] | None) -> None:
        data = (b"" if row is None else msgspec.json.encode(row)) + b"\n"
        watch.write(b"%x\r\n%b\r\n" % (len(data), data))

    def _beats(self) -> None:
        if not self.stalled:
            for watch in self._watches:
                self._line(watch, None)
        self._beat = self.loop.call_later(HEARTBEAT_S, self._beats)


class DiscoveryRegistry:
    """All agents of one tier's nodes, and the delays with which they learn."""

    def __init__(
        self,
        delay: Callable[[DiscoveryChange], float],
        told: Callable[[str, str, DiscoveryEntry, float], None],
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.agents: dict[str, DiscoveryAgent] = {}
        self.current: dict[str, DiscoveryEntry] = {}
        self.extra_delay_ms = 0.0  # how much further behind it is, by a trouble
        self._delay = delay
        self._on_told = told  # (node, equipo, entry, when)
        self._free: dict[str, float] = {}  # by agent: changes come in order
        self._timers: set[asyncio.TimerHandle] = set()

    def add_agent(self, node: str) -> DiscoveryAgent:
        agent = DiscoveryAgent(node, self._told)
        agent.entries = dict(self.current)
        self.agents[node] = agent
        return agent

    def remove_agent(self, node: str) -> None:
        agent = self.agents.pop(node, None)
        if agent is not None:
            agent.close()

    def update(self, entry: DiscoveryEntry, change: DiscoveryChange, at_once: bool = False) -> None:
        """The truth has changed; `change` is `add`, `drain`, `stop` or `silent` and tells the delay."""
        if entry.health == "left":
            self.current.pop(entry.name, None)
        else:
            self.current[entry.name] = entry
        base = 0.0 if at_once else self._delay(change) + self.extra_delay_ms
        for name, agent in self.agents.items():
            if at_once:
                agent.learn(entry)
                continue
            due = max(self._free.get(name, 0.0), now_ms() + base + self._delay(DiscoveryChange.SPREAD))
            self._free[name] = due
            self._later(due, agent, entry)

    def _later(self, due: float, agent: DiscoveryAgent, entry: DiscoveryEntry) -> None:
        def learn() -> None:
            self._timers.discard(handle)
            agent.learn(entry)

        handle = self.loop.call_later(max(0.0, due - now_ms()) / 1000.0, learn)
        self._timers.add(handle)

    def close(self) -> None:
        for timer in self._timers:
            timer.cancel()
        for agent in self.agents.values():
            agent.close()

    def _told(self, node: str, entry: DiscoveryEntry) -> None:
        self._on_told(node, entry.name, entry, now_ms())
