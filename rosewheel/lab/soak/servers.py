"""Emulated servers of a soak, with a listener for each node, injected faults, and a record of each attempt."""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass, field

from rosewheel.lab.soak.plan import FaultKind
from rosewheel.lab.soak.records import ExecutionOutcome, ServerRecord, SoakRecords, now_s

SERVICE_TIME_S = (0.002, 0.03)
SLOW_FACTOR = 20.0  # multiple of the service time under SERVER_SLOW
FAULT_SHARE = 0.4  # share of the requests that are affected by the active faults
SURPLUS_DELAY_S = 0.003  # time between a response and the surplus one
HANG_S = 60.0  # longer than any client waits
LONG_BODY_BYTES = 64 * 1024  # of the bodies that a server stops reading
STOP_READING_S = 8.0
LONG_RESPONSE_BYTES = (160_000, 270_000)
FIRST_BYTES = (1, 60_000)  # of a long response before its pause
RESPONSE_PAUSE_S = (0.9, 1.6)
HEAD_END = b"\r\n\r\n"

NodeName = Callable[[int], str]
"""Returns the name of the running process of the node with this number."""


@dataclass(slots=True)
class RequestHead:
    """Request line and headers of a received request."""

    method: str
    path: str
    headers: dict[str, str]

    @classmethod
    def parse(cls, data: bytes) -> RequestHead:
        """Return the head that these bytes contain."""
        request_line, *lines = data.decode("latin-1").strip().split("\r\n")
        method, path, _ = request_line.split(" ", 2)
        pairs = (line.split(":", 1) for line in lines)
        return cls(method, path, {name.strip().lower(): value.strip() for name, value in pairs})


@dataclass(slots=True, eq=False)
class SoakServer:
    """One emulated server.

    Attributes:
        name: Name in the endpoint list.
        records: Records to which attempts are added.
        node_name: Returns the name of a node process by the number of the node.
        rng: Random generator of service times and faults.
        faults: Active faults.
        launched_ms: Start of the server in ms since the Unix epoch; 0 if it was started with the fleet.
        ports: Ports of the listeners by the number of the node.
    """

    name: str
    records: SoakRecords
    node_name: NodeName
    rng: random.Random
    faults: set[FaultKind] = field(default_factory=set)
    launched_ms: int = 0
    ports: list[int] = field(default_factory=list)
    _listeners: list[asyncio.Server] = field(default_factory=list)
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)

    async def start(self, nodes: int) -> None:
        """Open a listener for each node, at the ports of the previous start if there was one."""
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
        first_byte = await reader.read(1)
        if not first_byte:
            return False
        first_byte_s = now_s()
        head = RequestHead.parse(first_byte + await reader.readuntil(HEAD_END))
        if head.path in ("/_load", "/ping"):
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            return True
        size = int(head.headers.get("content-length", 0))
        if size > LONG_BODY_BYTES and self._draw_fault() is FaultKind.SERVER_STOP_READING:
            writer.transport.pause_reading()  # type: ignore[attr-defined]
            await asyncio.sleep(STOP_READING_S)
            return False
        body = await self._read_body(reader, head, size)
        timeout_ms = int(head.headers.get("request-timeout-ms", 0))
        id = head.headers.get("request-id", "")
        record = ServerRecord(id, node, self.name, first_byte_s, now_s(), timeout_ms)
        self.records.attempts.append(record)
        return await self._respond(writer, record, len(body))

    @staticmethod
    async def _read_body(reader: asyncio.StreamReader, head: RequestHead, size: int) -> bytes:
        if "chunked" not in head.headers.get("transfer-encoding", ""):
            return await reader.readexactly(size)
        body = bytearray()
        while chunk_size := int(await reader.readline(), 16):
            body += (await reader.readexactly(chunk_size + 2))[:-2]
        await reader.readline()
        return bytes(body)

    async def _pause_within_response(self, writer: asyncio.StreamWriter, record: ServerRecord) -> bool:
        """Send a long response with a pause in it; return whether the connection can be used again."""
        record.pauses = True
        record.body = record.body.ljust(self.rng.randint(*LONG_RESPONSE_BYTES), b".")
        first_bytes = self.rng.randint(*FIRST_BYTES)
        framing = self.rng.choice(("length", "chunked", "close"))
        line = {"length": f"Content-Length: {len(record.body)}", "chunked": "Transfer-Encoding: chunked"}
        writer.write(f"HTTP/1.1 200 OK\r\n{line.get(framing, 'Connection: close')}\r\n\r\n".encode())
        for part in (record.body[:first_bytes], record.body[first_bytes:]):
            writer.write(b"%x\r\n%b\r\n" % (len(part), part) if framing == "chunked" else part)
            await writer.drain()
            if len(part) == first_bytes:
                await asyncio.sleep(self.rng.uniform(*RESPONSE_PAUSE_S))
        if framing == "chunked":
            writer.write(b"0\r\n\r\n")
        record.outcome = ExecutionOutcome.RESPONDED
        return framing != "close"

    async def _respond(self, writer: asyncio.StreamWriter, record: ServerRecord, size: int) -> bool:
        record.body = f"{record.id} {self.name} {size} {self.rng.getrandbits(32):x}".encode()
        fault = self._draw_fault()
        if fault is FaultKind.SERVER_REJECT:
            record.outcome = ExecutionOutcome.NOT_STARTED
            writer.write(b"HTTP/1.1 503 X\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n")
            return True
        factor = SLOW_FACTOR if FaultKind.SERVER_SLOW in self.faults else 1.0
        if fault is FaultKind.SERVER_PAUSE:
            return await self._pause_within_response(writer, record)
        if fault is FaultKind.SERVER_HANG:
            await asyncio.sleep(HANG_S)
        await asyncio.sleep(self.rng.uniform(*SERVICE_TIME_S) * factor)
        if fault is FaultKind.SERVER_RESET:
            record.outcome = ExecutionOutcome.RESET
            if self.rng.random() < 0.5:
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\nhalf")
                await writer.drain()
            reset(writer)
            return False
        if fault is FaultKind.SERVER_ERROR:
            record.outcome = ExecutionOutcome.FAILED
            writer.write(b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n")
            return True
        record.outcome = ExecutionOutcome.RESPONDED
        if fault is FaultKind.SERVER_UNFRAMED:
            writer.write(b"HTTP/1.1 200 OK\r\n\r\n" + record.body)
            return False
        response = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(record.body), record.body)
        writer.write(response)
        if fault is FaultKind.SERVER_SURPLUS_RESPONSE:
            await asyncio.sleep(SURPLUS_DELAY_S)
            writer.write(response)
        return True

    def _draw_fault(self) -> FaultKind | None:
        if not self.faults or self.rng.random() > FAULT_SHARE:
            return None
        return self.rng.choice(sorted(self.faults, key=lambda kind: kind.value))


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a TCP reset."""
    sock = writer.get_extra_info("socket")
    if sock is None:  # the connection is closed
        return
    with contextlib.suppress(OSError, ValueError):  # ValueError: closed concurrently
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()
