"""Emulated servers of a soak: one listener for each node, faults on request, and a record of each attempt."""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass, field

from rosewheel.lab.soak.plan import FaultKind
from rosewheel.lab.soak.records import ExecutionEnd, ServerRecord, SoakRecords, now_s

WORK_S = (0.002, 0.03)
SLOW_FACTOR = 20.0
FAULT_SHARE = 0.4  # of the requests that a fault affects
SURPLUS_DELAY_S = 0.003
HEAD_END = b"\r\n\r\n"

NodeName = Callable[[int], str]
"""Name of the node process that runs now as the node of this number."""


@dataclass(slots=True)
class AttemptHead:
    """What a server reads of a request's head."""

    method: str
    path: str
    headers: dict[str, str]

    @classmethod
    def parse(cls, data: bytes) -> AttemptHead:
        """The head in these bytes."""
        first, *lines = data.decode("latin-1").strip().split("\r\n")
        method, path, _ = first.split(" ", 2)
        pairs = (line.split(":", 1) for line in lines)
        return cls(method, path, {name.strip().lower(): value.strip() for name, value in pairs})


@dataclass(slots=True, eq=False)
class SoakServer:
    """One emulated server.

    Attributes:
        name: In the endpoint list.
        records: Where attempts are recorded.
        node_name: Names the sender by the number of the listener.
        rng: Of its work and faults.
        faults: Those in force.
        born_ms: Its last start, in Unix time; 0 for long ago.
        ports: By number of the node.
    """

    name: str
    records: SoakRecords
    node_name: NodeName
    rng: random.Random
    faults: set[FaultKind] = field(default_factory=set)
    born_ms: int = 0
    ports: list[int] = field(default_factory=list)
    _listeners: list[asyncio.Server] = field(default_factory=list)
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)

    async def start(self, nodes: int) -> None:
        """Listen for each node, at the ports of an earlier start if there was one."""
        for number in range(nodes):
            port = self.ports[number] if number < len(self.ports) else 0
            listener = await asyncio.start_server(self._handler(number), "127.0.0.1", port)
            self._listeners.append(listener)
            if number >= len(self.ports):
                self.ports.append(listener.sockets[0].getsockname()[1])

    def crash(self) -> None:
        """Close the listeners and reset all connections."""
        for listener in self._listeners:
            listener.close()
        self._listeners.clear()
        for writer in list(self._writers):
            reset(writer)

    def _handler(
        self, number: int
    ) -> Callable[[asyncio.StreamReader, asyncio.StreamWriter], asyncio.Task[None]]:
        def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> asyncio.Task[None]:
            return asyncio.ensure_future(self._serve(reader, writer, self.node_name(number)))

        return accept

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, node: str) -> None:
        self._writers.add(writer)
        try:
            while await self._serve_one(reader, writer, node):
                if FaultKind.SERVER_CLOSE_IDLE in self.faults and self.rng.random() < FAULT_SHARE:
                    break
        except (OSError, asyncio.IncompleteReadError, RuntimeError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, node: str) -> bool:
        first = await reader.read(1)
        if not first:
            return False
        first_byte_s = now_s()
        head = AttemptHead.parse(first + await reader.readuntil(HEAD_END))
        if head.path in ("/_load", "/ping"):
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            return True
        body = await reader.readexactly(int(head.headers.get("content-length", 0)))
        told_ms = int(head.headers.get("request-timeout-ms", 0))
        id = head.headers.get("request-id", "")
        record = ServerRecord(id, node, self.name, first_byte_s, now_s(), told_ms)
        self.records.attempts.append(record)
        return await self._respond(writer, record, len(body))

    async def _respond(self, writer: asyncio.StreamWriter, record: ServerRecord, size: int) -> bool:
        record.body = f"{record.id} {self.name} {size} {self.rng.getrandbits(32):x}".encode()
        fault = self._draw_fault()
        if fault is FaultKind.SERVER_REJECT:
            record.end = ExecutionEnd.NOT_STARTED
            writer.write(b"HTTP/1.1 503 X\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n")
            return True
        factor = SLOW_FACTOR if FaultKind.SERVER_SLOW in self.faults else 1.0
        if fault is FaultKind.SERVER_HANG:
            await asyncio.sleep(60.0)
        await asyncio.sleep(self.rng.uniform(*WORK_S) * factor)
        if fault is FaultKind.SERVER_RESET:
            record.end = ExecutionEnd.RESET
            if self.rng.random() < 0.5:
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\nhalf")
                await writer.drain()
            reset(writer)
            return False
        if fault is FaultKind.SERVER_ERROR:
            record.end = ExecutionEnd.FAILED
            writer.write(b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n")
            return True
        record.end = ExecutionEnd.ANSWERED
        if fault is FaultKind.SERVER_UNFRAMED:
            writer.write(b"HTTP/1.1 200 OK\r\n\r\n" + record.body)
            return False
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(record.body), record.body)
        writer.write(answer)
        if fault is FaultKind.SERVER_SURPLUS_RESPONSE:
            await asyncio.sleep(SURPLUS_DELAY_S)
            writer.write(answer)
        return True

    def _draw_fault(self) -> FaultKind | None:
        if not self.faults or self.rng.random() > FAULT_SHARE:
            return None
        return self.rng.choice(sorted(self.faults, key=lambda kind: kind.value))


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a reset."""
    sock = writer.get_extra_info("socket")
    if sock is None:  # it has ended
        return
    with contextlib.suppress(OSError, ValueError):  # ValueError: it has ended just now
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()
