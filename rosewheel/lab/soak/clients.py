"""Clients of a soak, which under faults disconnect, stall, pipeline or send malformed requests."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass

from rosewheel.lab.soak.crowd import encode_head
from rosewheel.lab.soak.plan import FaultKind
from rosewheel.lab.soak.records import ClientRecord, RequestKind, SoakRecords, now_s
from rosewheel.lab.soak.servers import reset

Address = tuple[str, int]

CLAIMED_TIMEOUT_MS = 60_000  # sent by a client that claims more time than any class has
CLAIM_SHARE = 0.01
UPLOAD_BYTES = (600_000, 2_500_000)
RETURN_AFTER_S = (0.0, 0.12)  # time from a request to the disconnect of a client that sends its id again
RETURN_DELAY_S = (0.0, 0.2)
RETURN_WAIT_S = 0.3
THINK_TIME_S = (0.0, 0.25)  # pause before each request of a connection
DISCONNECT_AFTER_S = (0.0, 0.3)  # time from a request to the disconnect of its client
HALF_CLOSE_S = 0.3  # time from a half-close to the close
RECONNECT_S = 0.05
RESPONSE_WAIT_S = 4.0  # time past the timeout of a request after which its connection is abandoned
STALL_WAIT_S = 6.0  # time after which a stalled client closes the connection itself
PIPELINED_REQUESTS = 12
FAULT_SHARE = 0.3  # share of the requests that are affected by the active faults
PIPELINED_DISCONNECT_SHARE = 0.5  # share of the disconnects that happen with pipelined requests
CLIENT_FAULTS = (
    FaultKind.CLIENTS_DISCONNECT,
    FaultKind.CLIENTS_PIPELINE,
    FaultKind.CLIENTS_STALL,
    FaultKind.CLIENTS_MALFORMED,
    FaultKind.CLIENTS_UPLOAD,
    FaultKind.CLIENTS_RETURN,
)
# uvloop raises RuntimeError for a write to a closed connection.
CONNECTION_ERRORS = (OSError, asyncio.IncompleteReadError, RuntimeError)
METHODS = {RequestKind.READ: "GET", RequestKind.POST: "POST", RequestKind.POINTS: "POST"}


@dataclass(slots=True)
class Response:
    """A response that a client has read.

    Attributes:
        status: Status code.
        body: Body without the chunked encoding.
        closes: Whether the node announced that it closes the connection.
        first_byte_s: When its head was read.
    """

    status: int
    body: bytes
    closes: bool
    first_byte_s: float = 0.0


async def read_response(reader: asyncio.StreamReader) -> Response | None:
    """Return the next response; None if the connection ends before it.

    Raises:
        OSError: The connection was reset.
        asyncio.IncompleteReadError: The connection ended within a response.
    """
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    status, first_byte_s = int(head.split(" ", 2)[1]), now_s()
    closes = "connection: close" in head
    if "transfer-encoding: chunked" in head:
        body = b""
        while size := int(await reader.readline(), 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readexactly(2)
        return Response(status, body, closes, first_byte_s)
    length = int(head.split("content-length:", 1)[1].split()[0])
    return Response(status, await reader.readexactly(length), closes, first_byte_s)


class SoakClient:
    """A client of one node, which opens one connection at a time and sends requests until it is stopped.

    Attributes:
        stopping: Set to stop the client.
    """

    def __init__(
        self,
        number: int,
        address: Address,
        node_name: Callable[[], str],
        records: SoakRecords,
        faults: set[FaultKind],
        rng: random.Random,
        timeouts_ms: tuple[int, ...],
    ) -> None:
        self.stopping = False
        self._timeouts_ms = timeouts_ms
        self._number, self._address, self._node_name = number, address, node_name
        self._records, self._faults, self._rng = records, faults, rng
        self._sent = 0

    async def run(self) -> None:
        """Send requests until `stopping` is set."""
        while not self.stopping:
            try:
                reader, writer = await asyncio.open_connection(*self._address)
            except OSError:
                await asyncio.sleep(RECONNECT_S)
                continue
            try:
                await self._use_connection(reader, writer, self._node_name())
            finally:
                writer.close()

    async def _use_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, node: str
    ) -> None:
        is_reused = False
        while not self.stopping:
            await asyncio.sleep(self._rng.uniform(*THINK_TIME_S))
            fault = self._draw_fault()
            if fault is FaultKind.CLIENTS_STALL:
                await self._stall_within_request(reader, writer, node)
                return
            if fault is FaultKind.CLIENTS_UPLOAD:
                await self._upload(reader, writer, node, is_reused)
                return
            if fault is FaultKind.CLIENTS_RETURN:
                await self._leave_and_return(writer, node)
                return
            pipelines = fault is FaultKind.CLIENTS_PIPELINE
            if fault is FaultKind.CLIENTS_DISCONNECT:
                pipelines = self._rng.random() < PIPELINED_DISCONNECT_SHARE
            count = PIPELINED_REQUESTS if pipelines else 1
            sent = [self._new_request(node, is_reused) for _ in range(count)]
            data = b"".join(self._encode(record) for record in sent)
            if fault is FaultKind.CLIENTS_MALFORMED:
                data += b"\x00 noise\r\n\r\n"
            try:
                writer.write(data)
                for record in sent:
                    record.sent_s = now_s()
                if fault is FaultKind.CLIENTS_DISCONNECT:
                    await self._disconnect(writer, sent)
                    return
                if not await self._receive(reader, sent):
                    return
            except CONNECTION_ERRORS:
                self._mark_closed(sent)
                return
            if fault is FaultKind.CLIENTS_MALFORMED:
                return
            is_reused = True

    def _draw_fault(self) -> FaultKind | None:
        if self._rng.random() > FAULT_SHARE:
            return None
        active = [kind for kind in CLIENT_FAULTS if kind in self._faults]
        return self._rng.choice(active) if active else None

    def _new_request(self, node: str, is_reused: bool) -> ClientRecord:
        self._sent += 1
        kind = self._rng.choice(list(RequestKind))
        id = f"c{self._number}-{self._sent}"
        record = ClientRecord(id, kind, node, self._draw_timeout_ms(), is_reused)
        self._records.requests[id] = record
        return record

    def _draw_timeout_ms(self) -> int:
        return CLAIMED_TIMEOUT_MS if self._rng.random() < CLAIM_SHARE else self._rng.choice(self._timeouts_ms)

    async def _upload(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, node: str, is_reused: bool
    ) -> None:
        """Send a long body at once; its time counts from when the system has taken its last byte."""
        record = self._new_request(node, is_reused)
        record.kind, record.timeout_ms = RequestKind.POST, self._rng.choice(self._timeouts_ms)
        size = self._rng.randint(*UPLOAD_BYTES)
        writer.transport.set_write_buffer_limits(high=0)
        head = encode_head(record.id, record.kind, record.timeout_ms, f"Content-Length: {size}")

        async def write() -> None:
            writer.write(head + bytes(size))
            await writer.drain()
            record.sent_s = now_s()

        writing = asyncio.create_task(write())
        try:
            await self._receive(reader, [record])
        except CONNECTION_ERRORS:
            self._mark_closed([record])
        finally:
            writing.cancel()
            await asyncio.gather(writing, return_exceptions=True)

    async def _leave_and_return(self, writer: asyncio.StreamWriter, node: str) -> None:
        """Send an unsafe request, leave, and send its id again on another connection."""
        record = self._new_request(node, False)
        record.kind = RequestKind.POST
        data = encode_head(record.id, record.kind, record.timeout_ms, "Content-Length: 3") + b"abc"
        try:
            writer.write(data)
            record.sent_s = now_s()
            await asyncio.sleep(self._rng.uniform(*RETURN_AFTER_S))
            record.disconnected_s = now_s()
            writer.transport.abort()
            await asyncio.sleep(self._rng.uniform(*RETURN_DELAY_S))
            _, again = await asyncio.open_connection(*self._address)
            record.returned_s = now_s()
            again.write(data)
            await asyncio.sleep(RETURN_WAIT_S)
            again.close()
        except CONNECTION_ERRORS:
            pass

    def _encode(self, record: ClientRecord) -> bytes:
        body = b"" if record.kind is RequestKind.READ else bytes(self._rng.randrange(1, 3000))
        lines = [
            f"{METHODS[record.kind]} /api/{record.id} HTTP/1.1",
            "Host: app.svc",
            f"Request-Id: {record.id}",
            f"Request-Class: {record.kind.value}",
            f"Request-Timeout-Ms: {record.timeout_ms}",
        ]
        if record.kind is RequestKind.POINTS:
            lines.append(f"Idempotency-Key: {record.id}")
        if body:
            lines.append(f"Content-Length: {len(body)}")
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + body

    async def _receive(self, reader: asyncio.StreamReader, sent: list[ClientRecord]) -> bool:
        """Read the responses in order; return whether the connection can be used again."""
        is_open = True
        for record in sent:
            try:
                async with asyncio.timeout(record.timeout_ms / 1000.0 + RESPONSE_WAIT_S):
                    response = await read_response(reader)
            except TimeoutError:
                return False
            if response is None:
                self._mark_closed(sent)
                return False
            record.first_byte_s = response.first_byte_s
            record.responses.append((now_s(), response.status, response.body))
            is_open = is_open and not response.closes
        return is_open

    def _mark_closed(self, sent: list[ClientRecord]) -> None:
        for record in sent:
            if not record.responses and record.closed_s is None:
                record.closed_s = now_s()

    async def _disconnect(self, writer: asyncio.StreamWriter, sent: list[ClientRecord]) -> None:
        await asyncio.sleep(self._rng.uniform(*DISCONNECT_AFTER_S))
        close_kind = self._rng.randrange(3)
        for record in sent:
            record.disconnected_s = now_s()
        if close_kind == 0:
            reset(writer)
        elif close_kind == 1:
            writer.write_eof()
            await asyncio.sleep(HALF_CLOSE_S)

    async def _stall_within_request(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, node: str
    ) -> None:
        record = self._new_request(node, False)
        data = self._encode(record)
        del self._records.requests[record.id]  # never sent completely, so no response is due
        started_s = now_s()
        try:
            writer.write(data[: self._rng.randrange(1, len(data) - 1)])
            async with asyncio.timeout(STALL_WAIT_S):
                await reader.read(1)
        except (*CONNECTION_ERRORS, TimeoutError):
            pass
        self._records.stall_waits_s.append(now_s() - started_s)
