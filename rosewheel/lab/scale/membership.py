"""Discovery of the whole fleet as a process: each node is told the list of its own service, and what changes in it.

A node is known by the address it comes from. What a change says is known here at once: how late a registry learns of
it is the platform's, and no part of the figures.
"""

from __future__ import annotations

import asyncio
import contextlib
from typing import Any

import msgspec

from rosewheel.lab.catalog import BEAT_S, Entry
from rosewheel.lab.scale import children
from rosewheel.lab.wire import Address, Asked, Serving, now_ms

BACKLOG = 2048


class Service:
    """One service's list: entries by equipo, and each change under its version."""

    def __init__(self, entries: list[Entry]) -> None:
        self.entries = {entry.host: entry for entry in entries}
        self.changes: list[Entry] = []  # the one at `i` led to version i + 2
        self.watches: dict[Serving, int] = {}  # the version each has been told up to
        self._lines: dict[int, bytes] = {}

    @property
    def version(self) -> int:
        return len(self.changes) + 1

    def learn(self, entry: Entry) -> None:
        if entry.health == "left":
            self.entries.pop(entry.host, None)
        else:
            self.entries[entry.host] = entry
        self.changes.append(entry)
        self._lines.clear()

    def line(self, since: int) -> bytes:
        """What a watch is told that knows this version: the changes since, or the whole list. Made once for all."""
        line = self._lines.get(since)
        if line is None:
            whole = not 0 < since <= self.version
            entries = list(self.entries.values()) if whole else self.changes[since - 1 :]
            row = {"seq": self.version, "whole": whole, "hosts": [entry.row() for entry in entries]}
            line = self._lines[since] = msgspec.json.encode(row)
        return line


class Membership:
    """`homes` tells by address which service a machine belongs to."""

    def __init__(self, services: list[Service], homes: dict[str, int]) -> None:
        self.services, self.homes = services, homes
        self.loop = asyncio.get_running_loop()
        self.watches = 0
        self.told = 0  # lines with something in them
        self.open: set[Serving] = set()
        self._server: asyncio.Server | None = None
        self._beat: asyncio.TimerHandle | None = None

    async def start(self) -> Address:
        self._server = await self.loop.create_server(
            lambda: Serving(self._asked, self.open.add, self._gone), "127.0.0.1", 0, backlog=BACKLOG
        )
        self._beat = self.loop.call_later(BEAT_S, self._beats)
        address: Address = self._server.sockets[0].getsockname()[:2]
        return address

    def change(self, service: int, entry: Entry) -> int:
        """The list is another now; its version."""
        one = self.services[service]
        one.learn(entry)
        for watch, since in one.watches.items():
            self._tell(one, watch, since)
        return one.version

    def close(self) -> None:
        if self._beat is not None:
            self._beat.cancel()
        if self._server is not None:
            self._server.close()
        for watch in list(self.open):
            watch.close()

    def _asked(self, asked: Asked) -> None:
        path, _, query = asked.target.decode("latin-1").partition("?")
        pairs = dict(pair.partition("=")[::2] for pair in query.split("&") if pair)
        transport = asked.connection.transport
        home = None if transport is None else self.homes.get(transport.get_extra_info("peername")[0])
        if path != "/catalog/members" or "follow" not in pairs or home is None:
            asked.connection.answer(404)
            return
        since = int(pairs["since"]) if pairs.get("since", "").isdigit() else 0
        one = self.services[home]
        self.watches += 1
        asked.connection.current = one
        asked.connection.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self._tell(one, asked.connection, since)

    def _gone(self, watch: Serving) -> None:
        self.open.discard(watch)
        if watch.current is not None:
            watch.current.watches.pop(watch, None)

    def _tell(self, one: Service, watch: Serving, since: int) -> None:
        if since != one.version:
            self.told += 1
            _write(watch, one.line(since))
        one.watches[watch] = one.version

    def _beats(self) -> None:
        for one in self.services:
            for watch in one.watches:
                _write(watch, b"")
        self._beat = self.loop.call_later(BEAT_S, self._beats)


def _write(watch: Serving, text: bytes) -> None:
    watch.write(b"%x\r\n%b\n\r\n" % (len(text) + 1, text))


# -------------------------------------------------------------------- process


async def main(given: dict[str, Any]) -> None:
    """Discovery as a process. `given`: `services` (their entries) and `homes` (address -> service)."""
    services = [Service([Entry(**row) for row in rows]) for rows in given["services"]]
    entries = {entry.host: entry for one in services for entry in one.entries.values()}
    membership = Membership(services, given["homes"])
    away: set[str] = set()

    async def begin() -> dict[str, Any]:
        return {"address": await membership.start()}

    def change(service: int, host: str, health: str) -> dict[str, Any] | None:
        known = entries[host]
        at = now_ms()
        entry = Entry(host, known.dial, known.site, known.block, health)
        return {"service": service, "version": membership.change(service, entry), "at": at}

    def handle(row: dict[str, Any]) -> dict[str, Any] | None:
        match row["do"]:
            case "change":
                rows = []
                for service, host, health in row["changes"]:
                    if health == "left":
                        away.add(host)
                    elif row["back"]:
                        away.discard(host)
                    elif host in away:
                        continue  # it drains or is well again, and nobody can tell
                    rows.append(change(service, host, health))
                return {"made": rows}
            case "figures":
                return {
                    "versions": [one.version for one in services],
                    "active": [
                        sum(1 for entry in one.entries.values() if entry.health == "active")
                        for one in services
                    ],
                    "watches": membership.watches,
                    "open": len(membership.open),
                    "told": membership.told,
                }
        return None

    with contextlib.suppress(asyncio.CancelledError):
        await children.serve(handle, begin)
    membership.close()


if __name__ == "__main__":
    children.run(main)
