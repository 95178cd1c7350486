"""Emulated discovery of a soak, with an agent for each node, injected faults, and a record of notified drains."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Any

import msgspec

from rosewheel.lab.soak.plan import FaultKind
from rosewheel.lab.soak.records import SoakRecords, now_s
from rosewheel.lab.soak.servers import SoakServer, reset

KEEP_ALIVE_S = 2.0
SPLIT_DELAY_S = 0.002  # time between the parts of a split update
DRAINING_OR_REMOVED = ("leaving", "left")

JsonObject = dict[str, Any]


class SoakDiscovery:
    """The endpoint list, and agents from which the nodes watch it.

    Attributes:
        ports: Ports of the agents by the number of the node.
        faults: Active faults.
    """

    def __init__(self, records: SoakRecords, node_name: Callable[[int], str], rng: random.Random) -> None:
        self.ports: list[int] = []
        self.faults: set[FaultKind] = set()
        self._records, self._node_name, self._rng = records, node_name, rng
        self._servers: dict[str, tuple[SoakServer, str]] = {}
        self._changes: list[str] = []  # names of changed servers in order; its length is the revision
        self._changed = asyncio.Event()
        self._watches: set[asyncio.StreamWriter] = set()
        self._listeners: list[asyncio.Server] = []

    async def start(self, nodes: int) -> None:
        """Open the listener of each agent."""
        for number in range(nodes):
            listener = await asyncio.start_server(self._handler(number), "127.0.0.1", 0)
            self._listeners.append(listener)
            self.ports.append(listener.sockets[0].getsockname()[1])

    def set_state(self, server: SoakServer, health: str) -> None:
        """Add a server to the list, or change its health."""
        self._servers[server.name] = server, health
        self._changes.append(server.name)
        self._changed.set()
        self._changed = asyncio.Event()

    def endpoint_list(self, number: int) -> JsonObject:
        """Return the complete list, without removed servers, for the node with this number."""
        names = [name for name, (_, health) in self._servers.items() if health != "left"]
        return {
            "seq": len(self._changes),
            "whole": True,
            "hosts": [self._entry(name, number) for name in names],
        }

    def end_fault(self, kind: FaultKind) -> None:
        """End a fault, and send the changes that were held back."""
        self.faults.discard(kind)
        self._changed.set()
        self._changed = asyncio.Event()

    def reset_watches(self) -> None:
        """Reset all open watches."""
        for writer in list(self._watches):
            reset(writer)

    def _entry(self, name: str, number: int) -> JsonObject:
        server, health = self._servers[name]
        dial = f"127.0.0.1:{server.ports[number]}"
        entry = {"host": name, "dial": dial, "site": "a", "class": "m", "block": 0, "share": 1.0}
        return entry | {"health": health, "born_ms": server.born_ms}

    def _handler(
        self, number: int
    ) -> Callable[[asyncio.StreamReader, asyncio.StreamWriter], asyncio.Task[None]]:
        def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> asyncio.Task[None]:
            return asyncio.ensure_future(self._watch(reader, writer, number))

        return accept

    async def _watch(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, number: int) -> None:
        node = self._node_name(number)
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            since = int(head.split("since=", 1)[1].split()[0].split("&")[0]) if "since=" in head else 0
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self._watches.add(writer)
            while not writer.is_closing():
                changed = self._changed
                if FaultKind.DISCOVERY_SILENT not in self.faults:
                    since = await self._send_update(writer, number, node, since)
                try:
                    async with asyncio.timeout(KEEP_ALIVE_S):
                        await changed.wait()
                except TimeoutError:
                    if FaultKind.DISCOVERY_SILENT not in self.faults:
                        _write_chunk(writer, b"\n")
        except (OSError, asyncio.IncompleteReadError, ValueError, RuntimeError):
            pass
        finally:
            self._watches.discard(writer)
            writer.close()

    async def _send_update(self, writer: asyncio.StreamWriter, number: int, node: str, since: int) -> int:
        revision = len(self._changes)
        names = dict.fromkeys(self._changes[since:])
        if not names and since:
            return revision
        message: JsonObject = {
            "seq": revision,
            "whole": False,
            "hosts": [self._entry(name, number) for name in names],
        }
        if not since:
            message = self.endpoint_list(number)
        data = msgspec.json.encode(message) + b"\n"
        if FaultKind.DISCOVERY_SPLIT in self.faults:
            indented = msgspec.json.format(msgspec.json.encode(message), indent=1) + b"\n"
            cuts = sorted(self._rng.sample(range(1, len(indented)), 3))
            for start, end in zip([0, *cuts], [*cuts, len(indented)], strict=True):
                _write_chunk(writer, indented[start:end])
                await asyncio.sleep(SPLIT_DELAY_S)
        else:
            _write_chunk(writer, data)
        for name in names:
            if self._servers[name][1] in DRAINING_OR_REMOVED:
                self._records.notified_drains.setdefault((node, name), now_s())
        return revision


def _write_chunk(writer: asyncio.StreamWriter, data: bytes) -> None:
    writer.write(b"%x\r\n%b\r\n" % (len(data), data))
