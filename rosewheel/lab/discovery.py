"""Discovery as nodes meet it: a registry that learns of changes late, and an agent for each node that answers it.

The registry's own list changes at once; each agent learns of a change after a delay of its own, in order. A node
counts as notified of what its agent has written to an open watch.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

import msgspec

from rosewheel.lab.discovery_delays import DiscoveryChange
from rosewheel.lab.wire import Address, HttpRequest, ServerConnection, now_ms

HEARTBEAT_S = 2.0  # an empty line is sent this often while nothing changes
WATCH_PATH = "/catalog/members"
FIRST_VERSION = 1
# Health of a server that has been removed, by the words of discovery.
LEFT = "left"


@dataclass(slots=True)
class DiscoveryEntry:
    """One server as discovery lists it.

    Attributes:
        address: `host:port`.
        health: `active`, `leaving` or `left`.
        launched_ms: its start in ms of the epoch; 0 for one that ran from the beginning.
    """

    name: str
    address: str
    zone: str
    cell: int
    health: str = "active"
    launched_ms: int = 0

    def wire_record(self) -> dict[str, Any]:
        """The entry by the keys of discovery's messages."""
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
    """The agent on a node's machine.

    Attributes:
        entries: the endpoint list as the agent knows it.
        version: grows by 1 with each change.
        stalled: discovery is down; watches stay open and nothing is sent.
    """

    def __init__(self, node: str, on_notified: Callable[[str, DiscoveryEntry], None]) -> None:
        """Make the agent of a node.

        Args:
            on_notified: called with the node and each entry that is written to a watch.
        """
        self.node = node
        self.loop = asyncio.get_running_loop()
        self.entries: dict[str, DiscoveryEntry] = {}
        self.version = FIRST_VERSION
        self.stalled = False
        self._on_notified = on_notified
        self._changes: list[tuple[int, DiscoveryEntry]] = []  # with the version that each has made
        self._watches: dict[ServerConnection, int] = {}  # with the version up to which each was notified
        self._connections: set[ServerConnection] = set()
        self._server: asyncio.Server | None = None
        self._heartbeat: asyncio.TimerHandle | None = None

    async def start(self, port: int = 0) -> Address:
        """Listen on loopback; returns the address."""
        self._server = await self.loop.create_server(
            lambda: ServerConnection(self._receive, self._connections.add, self._closed), "127.0.0.1", port
        )
        self._heartbeat = self.loop.call_later(HEARTBEAT_S, self._send_heartbeats)
        address: Address = self._server.sockets[0].getsockname()[:2]
        return address

    def snapshot_record(self) -> dict[str, Any]:
        """The complete list, by the keys of discovery's messages and of a node's configuration."""
        return self._message(snapshot=True, entries=self.entries.values())

    def learn(self, entry: DiscoveryEntry) -> None:
        """A change has reached the agent."""
        self.version += 1
        if entry.health == LEFT:
            self.entries.pop(entry.name, None)
        else:
            self.entries[entry.name] = entry
        self._changes.append((self.version, entry))
        self._notify()

    def stall(self, stalled: bool) -> None:
        """Stop discovery, watches staying open, or resume it."""
        self.stalled = stalled
        self._notify()

    def reset_watches(self) -> None:
        """Reset all connections."""
        for connection in list(self._connections):
            connection.reset()

    def close(self) -> None:
        """Stop listening and close all connections."""
        if self._heartbeat is not None:
            self._heartbeat.cancel()
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections):
            connection.close()

    # ------------------------------------------------------------------- wire

    def _receive(self, request: HttpRequest) -> None:
        path, _, query = request.target.decode("latin-1").partition("?")
        if path != WATCH_PATH:
            request.connection.respond(404)
            return
        parameters = dict(pair.partition("=")[::2] for pair in query.split("&") if pair)
        if "follow" in parameters:
            self._open_watch(request.connection, parameters.get("since", "0"))
        elif not self.stalled:
            request.connection.respond(200, msgspec.json.encode(self.snapshot_record()))

    def _open_watch(self, watch: ServerConnection, since: str) -> None:
        version = int(since) if since.isdigit() else 0
        watch.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        if not 0 < version <= self.version and not self.stalled:
            self._send_line(watch, self.snapshot_record())
            for entry in self.entries.values():
                self._on_notified(self.node, entry)
            version = self.version
        self._watches[watch] = version
        self._notify()

    def _closed(self, connection: ServerConnection) -> None:
        self._connections.discard(connection)
        self._watches.pop(connection, None)

    def _notify(self) -> None:
        """Send to each watch the changes since its version."""
        if self.stalled:
            return
        for watch, since in self._watches.items():
            if since == self.version:
                continue
            changes = [entry for version, entry in self._changes if version > since]
            self._send_line(watch, self._message(snapshot=False, entries=changes))
            self._watches[watch] = self.version
            for entry in changes:
                self._on_notified(self.node, entry)

    def _message(self, snapshot: bool, entries: Iterable[DiscoveryEntry]) -> dict[str, Any]:
        hosts = [entry.wire_record() for entry in entries]
        return {"seq": self.version, "whole": snapshot, "hosts": hosts}

    @staticmethod
    def _send_line(watch: ServerConnection, message: dict[str, Any] | None) -> None:
        line = (b"" if message is None else msgspec.json.encode(message)) + b"\n"
        watch.write(b"%x\r\n%b\r\n" % (len(line), line))

    def _send_heartbeats(self) -> None:
        if not self.stalled:
            for watch in self._watches:
                self._send_line(watch, None)
        self._heartbeat = self.loop.call_later(HEARTBEAT_S, self._send_heartbeats)


class DiscoveryRegistry:
    """The agents of all nodes that send to one tier, and the delays with which they learn.

    Attributes:
        endpoints: endpoint list without delays, by name of the server.
        extra_delay_ms: an injected fault; added to the delay of every change.
    """

    def __init__(
        self,
        draw_delay_ms: Callable[[DiscoveryChange], float],
        on_notified: Callable[[str, str, DiscoveryEntry, float], None],
    ) -> None:
        """Make an empty registry.

        Args:
            on_notified: called with the node, the name of the server, its entry, and the time.
        """
        self.loop = asyncio.get_running_loop()
        self.agents: dict[str, DiscoveryAgent] = {}
        self.endpoints: dict[str, DiscoveryEntry] = {}
        self.extra_delay_ms = 0.0
        self._draw_delay_ms = draw_delay_ms
        self._on_notified = on_notified
        self._last_change_ms: dict[str, float] = {}  # by node: changes are learned in order
        self._timers: set[asyncio.TimerHandle] = set()

    def add_agent(self, node: str) -> DiscoveryAgent:
        """An agent for a node, which begins with the current list."""
        agent = DiscoveryAgent(node, self._notified)
        agent.entries = dict(self.endpoints)
        self.agents[node] = agent
        return agent

    def remove_agent(self, node: str) -> None:
        """Stop the agent of a node."""
        agent = self.agents.pop(node, None)
        if agent is not None:
            agent.close()

    def update(self, entry: DiscoveryEntry, change: DiscoveryChange, at_once: bool = False) -> None:
        """Change the list; every agent learns of it after a delay of its own, or at once."""
        if entry.health == LEFT:
            self.endpoints.pop(entry.name, None)
        else:
            self.endpoints[entry.name] = entry
        first_delay_ms = 0.0 if at_once else self._draw_delay_ms(change) + self.extra_delay_ms
        for node, agent in self.agents.items():
            if at_once:
                agent.learn(entry)
                continue
            spread_ms = self._draw_delay_ms(DiscoveryChange.SPREAD)
            last_change_ms = self._last_change_ms.get(node, 0.0)
            due_ms = max(last_change_ms, now_ms() + first_delay_ms + spread_ms)
            self._last_change_ms[node] = due_ms
            self._learn_at(due_ms, agent, entry)

    def _learn_at(self, due_ms: float, agent: DiscoveryAgent, entry: DiscoveryEntry) -> None:
        def learn() -> None:
            self._timers.discard(handle)
            agent.learn(entry)

        handle = self.loop.call_later(max(0.0, due_ms - now_ms()) / 1000.0, learn)
        self._timers.add(handle)

    def close(self) -> None:
        """Stop all agents and pending changes."""
        for timer in self._timers:
            timer.cancel()
        for agent in self.agents.values():
            agent.close()

    def _notified(self, node: str, entry: DiscoveryEntry) -> None:
        self._on_notified(node, entry.name, entry, now_ms())
