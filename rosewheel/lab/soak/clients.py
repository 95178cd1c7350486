"""Clients of a soak: well-behaved ones, and those that leave, stop, send ahead or send what is no request."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass

from rosewheel.lab.soak.plan import FaultKind
from rosewheel.lab.soak.records import ClientRecord, RequestKind, SoakRecords, now_s
from rosewheel.lab.soak.servers import reset

Address = tuple[str, int]

TIMEOUTS_MS = (400, 900, 1500)
THINK_S = (0.0, 0.25)
LEAVE_AFTER_S = (0.0, 0.3)
RECONNECT_S = 0.05
ANSWER_BACKSTOP_S = 4.0  # over a request's time; then its connection is given up as unanswered
STOP_BACKSTOP_S = 6.0
PIPELINED = 12
FAULT_SHARE = 0.3
SENDS_AHEAD_AND_LEAVES = 0.5
CLIENT_FAULTS = (
    FaultKind.CLIENTS_DISCONNECT,
    FaultKind.CLIENTS_PIPELINE,
    FaultKind.CLIENTS_STALL,
    FaultKind.CLIENTS_MALFORMED,
)
# uvloop raises RuntimeError for a write to a connection that has ended.
CONNECTION_ERRORS = (OSError, asyncio.IncompleteReadError, RuntimeError)
METHODS = {RequestKind.READ: "GET", RequestKind.POST: "POST", RequestKind.POINTS: "POST"}


@dataclass(slots=True)
class Answer:
    """An answer as a client reads it."""

    status: int
    body: bytes
    closes: bool


async def read_answer(reader: asyncio.StreamReader) -> Answer | None:
    """The next answer; None where the connection ends before one.

    Raises:
        OSError: The connection was reset.
        asyncio.IncompleteReadError: It ended within an answer.
    """
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    status = int(head.split(" ", 2)[1])
    closes = "connection: close" in head
    if "transfer-encoding: chunked" in head:
        body = b""
        while size := int(await reader.readline(), 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readexactly(2)
        return Answer(status, body, closes)
    length = int(head.split("content-length:", 1)[1].split()[0])
    return Answer(status, await reader.readexactly(length), closes)


class SoakClient:
    """One client of one node: opens connections one after another, and sends requests until it is stopped."""

    def __init__(
        self,
        number: int,
        address: Address,
        node_name: Callable[[], str],
        records: SoakRecords,
        faults: set[FaultKind],
        rng: random.Random,
    ) -> None:
        self.stopping = False
        self._number, self._address, self._node_name = number, address, node_name
        self._records, self._faults, self._rng = records, faults, rng
        self._sent = 0

    async def run(self) -> None:
        """Send until `stopping` is set."""
        while not self.stopping:
            try:
                reader, writer = await asyncio.open_connection(*self._address)
            except OSError:
                await asyncio.sleep(RECONNECT_S)
                continue
            try:
                await self._use(reader, writer, self._node_name())
            finally:
                writer.close()

    async def _use(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, node: str) -> None:
        is_reused = False
        while not self.stopping:
            await asyncio.sleep(self._rng.uniform(*THINK_S))
            fault = self._draw_fault()
            if fault is FaultKind.CLIENTS_STALL:
                await self._stop_within_request(reader, writer, node)
                return
            sends_ahead = fault is FaultKind.CLIENTS_PIPELINE
            if fault is FaultKind.CLIENTS_DISCONNECT:
                sends_ahead = self._rng.random() < SENDS_AHEAD_AND_LEAVES
            count = PIPELINED if sends_ahead else 1
            sent = [self._new_request(node, is_reused) for _ in range(count)]
            data = b"".join(self._encode(record) for record in sent)
            if fault is FaultKind.CLIENTS_MALFORMED:
                data += b"\x00 noise\r\n\r\n"
            try:
                writer.write(data)
                for record in sent:
                    record.sent_s = now_s()
                if fault is FaultKind.CLIENTS_DISCONNECT:
                    await self._leave(writer, sent)
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
        record = ClientRecord(id, kind, node, self._rng.choice(TIMEOUTS_MS), is_reused)
        self._records.requests[id] = record
        return record

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
        """Read the answers in order; whether the connection may be used again."""
        is_open = True
        for record in sent:
            try:
                async with asyncio.timeout(record.timeout_ms / 1000.0 + ANSWER_BACKSTOP_S):
                    answer = await read_answer(reader)
            except TimeoutError:
                return False
            if answer is None:
                self._mark_closed(sent)
                return False
            record.answers.append((now_s(), answer.status, answer.body))
            is_open = is_open and not answer.closes
        return is_open

    def _mark_closed(self, sent: list[ClientRecord]) -> None:
        for record in sent:
            if not record.answers and record.closed_s is None:
                record.closed_s = now_s()

    async def _leave(self, writer: asyncio.StreamWriter, sent: list[ClientRecord]) -> None:
        await asyncio.sleep(self._rng.uniform(*LEAVE_AFTER_S))
        how = self._rng.randrange(3)
        for record in sent:
            record.left_s = now_s()
        if how == 0:
            reset(writer)
        elif how == 1:
            writer.write_eof()
            await asyncio.sleep(LEAVE_AFTER_S[1])

    async def _stop_within_request(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, node: str
    ) -> None:
        record = self._new_request(node, False)
        data = self._encode(record)
        del self._records.requests[record.id]  # it is never sent whole
        started_s = now_s()
        try:
            writer.write(data[: self._rng.randrange(1, len(data) - 1)])
            async with asyncio.timeout(STOP_BACKSTOP_S):
                await reader.read(1)
        except (*CONNECTION_ERRORS, TimeoutError):
            pass
        self._records.stopped_clients.append(now_s() - started_s)
