"""Emulated discovery: a registry of the endpoints of one tier, and one agent for each node that watches it.

The list of the registry changes immediately. Each agent receives a change after a separate delay, and changes in
order. A node counts as notified of a change once its agent has written it to an open watch.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

import msgspec

from rosewheel.lab.discovery_delays import DiscoveryChange
from rosewheel.lab.wire import Address, HttpRequest, ServerConnection, now_ms

HEARTBEAT_S = 2.0  # interval between the empty lines that keep a watch alive
WATCH_PATH = "/catalog/members"
FIRST_VERSION = 1
# Health of a removed server in discovery messages.
LEFT = "left"


@dataclass(slots=True)
class DiscoveryEntry:
    """Entry of one server in an endpoint list.

    Attributes:
        name: name of the server.
        address: `host:port`.
        zone: zone of the server.
        cell: cell of the server.
        health: `active`, `leaving` or `left`.
        launched_ms: start of the server in ms since the Unix epoch; 0 if it was started with the fleet.
    """

    name: str
    address: str
    zone: str
    cell: int
    health: str = "active"
    launched_ms: int = 0

    def wire_record(self) -> dict[str, Any]:
        """Return the entry with the keys of discovery messages."""
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
    """Discovery server of one node, which answers the node's queries and watches.

    Attributes:
        node: name of the node.
        entries: endpoint list of the agent, by name of the server.
        version: version of the list, incremented by each change.
        stalled: whether discovery is stalled: watches stay open and nothing is sent.
    """

    def __init__(self, node: str, on_notified: Callable[[str, DiscoveryEntry], None]) -> None:
        """Create the agent of a node.

        Args:
            node: name of the node.
            on_notified: called with the name of the node and each entry that is written to a watch.
        """
        self.node = node
        self.loop = asyncio.get_running_loop()
        self.entries: dict[str, DiscoveryEntry] = {}
        self.version = FIRST_VERSION
        self.stalled = False
        self._on_notified = on_notified
        self._changes: list[tuple[int, DiscoveryEntry]] = []  # each with the list version it produced
        self._watches: dict[ServerConnection, int] = {}  # last version sent to each watch
        self._connections: set[ServerConnection] = set()
        self._server: asyncio.Server | None = None
        self._heartbeat: asyncio.TimerHandle | None = None

    async def start(self, port: int = 0) -> Address:
        """Listen on a loopback port and return the address."""
        self._server = await self.loop.create_server(
            lambda: ServerConnection(self._receive, self._connections.add, self._connection_closed),
            "127.0.0.1",
            port,
        )
        self._heartbeat = self.loop.call_later(HEARTBEAT_S, self._send_heartbeats)
        address: Address = self._server.sockets[0].getsockname()[:2]
        return address

    def snapshot_record(self) -> dict[str, Any]:
        """Return the complete list, with the keys that discovery messages and node configurations share."""
        return self._message(snapshot=True, entries=self.entries.values())

    def apply_change(self, entry: DiscoveryEntry) -> None:
        """Apply a change to the list and notify open watches."""
        self.version += 1
        if entry.health == LEFT:
            self.entries.pop(entry.name, None)
        else:
            self.entries[entry.name] = entry
        self._changes.append((self.version, entry))
        self._notify()

    def set_stalled(self, stalled: bool) -> None:
        """Stall discovery, with watches still open, or resume it and send pending changes."""
        self.stalled = stalled
        self._notify()

    def reset_watches(self) -> None:
        """Reset all connections to the agent."""
        for connection in list(self._connections):
            connection.reset()

    def close(self) -> None:
        """Stop heartbeats, stop listening, and close all connections."""
        if self._heartbeat is not None:
            self._heartbeat.cancel()
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections):
            connection.close()

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

    def _connection_closed(self, connection: ServerConnection) -> None:
        self._connections.discard(connection)
        self._watches.pop(connection, None)

    def _notify(self) -> None:
        """Send each watch the changes made since the version it was last sent."""
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
    """Endpoint list of one tier, and the agents of all nodes that send requests to it.

    Attributes:
        agents: agents by name of the node.
        endpoints: current endpoint list, without delays, by name of the server.
        extra_delay_ms: delay added to every change by an injected fault.
    """

    def __init__(
        self,
        draw_delay_ms: Callable[[DiscoveryChange], float],
        on_notified: Callable[[str, str, DiscoveryEntry, float], None],
    ) -> None:
        """Create an empty registry.

        Args:
            draw_delay_ms: draws the delay of a change, in ms.
            on_notified: called with the name of the node, the name of the server, its entry, and the time in ms.
        """
        self.loop = asyncio.get_running_loop()
        self.agents: dict[str, DiscoveryAgent] = {}
        self.endpoints: dict[str, DiscoveryEntry] = {}
        self.extra_delay_ms = 0.0
        self._draw_delay_ms = draw_delay_ms
        self._on_notified = on_notified
        self._last_due_ms: dict[str, float] = {}  # by node; no change is applied before an earlier one
        self._timers: set[asyncio.TimerHandle] = set()

    def add_agent(self, node: str) -> DiscoveryAgent:
        """Create the agent of a node, with the current list and no delay."""
        agent = DiscoveryAgent(node, self._notified)
        agent.entries = dict(self.endpoints)
        self.agents[node] = agent
        return agent

    def remove_agent(self, node: str) -> None:
        """Close the agent of a node, if it has one."""
        agent = self.agents.pop(node, None)
        if agent is not None:
            agent.close()

    def update(self, entry: DiscoveryEntry, change: DiscoveryChange, at_once: bool = False) -> None:
        """Change the list, and schedule the change for each agent.

        Args:
            entry: new state of the server.
            change: kind of the change, which determines its delay.
            at_once: whether to apply the change to all agents immediately.
        """
        if entry.health == LEFT:
            self.endpoints.pop(entry.name, None)
        else:
            self.endpoints[entry.name] = entry
        first_delay_ms = 0.0 if at_once else self._draw_delay_ms(change) + self.extra_delay_ms
        for node, agent in self.agents.items():
            if at_once:
                agent.apply_change(entry)
                continue
            spread_ms = self._draw_delay_ms(DiscoveryChange.SPREAD)
            last_due_ms = self._last_due_ms.get(node, 0.0)
            due_ms = max(last_due_ms, now_ms() + first_delay_ms + spread_ms)
            self._last_due_ms[node] = due_ms
            self._apply_at(due_ms, agent, entry)

    def _apply_at(self, due_ms: float, agent: DiscoveryAgent, entry: DiscoveryEntry) -> None:
        def apply() -> None:
            self._timers.discard(handle)
            agent.apply_change(entry)

        handle = self.loop.call_later(max(0.0, due_ms - now_ms()) / 1000.0, apply)
        self._timers.add(handle)

    def close(self) -> None:
        """Cancel pending changes and close all agents."""
        for timer in self._timers:
            timer.cancel()
        for agent in self.agents.values():
            agent.close()

    def _notified(self, node: str, entry: DiscoveryEntry) -> None:
        self._on_notified(node, entry.name, entry, now_ms())
