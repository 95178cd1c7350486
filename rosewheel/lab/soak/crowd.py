"""Crowds of a soak: many clients at once that hold memory, and clients whose input is expensive to read."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Awaitable, Callable

from rosewheel.lab.soak.records import RequestKind, SoakRecords

Address = tuple[str, int]

CROWD_SIZE = (100, 300)
UPLOAD_BYTES = 2 << 20
PIECE_BYTES = 32 * 1024
PIECE_INTERVAL_S = 0.1
FIELD_COUNT = 3000
HOSTILE_CLIENTS_OF_A_KIND = 2
HOSTILE_PAUSE_S = 0.005  # between two requests of a hostile client, so that the soak itself keeps up
UNREADABLE_TARGET = b" http://[/api "
UNREADABLE_BODY_BYTES = 30_000
LONG_DEADLINE = "9" * 400
TINY_CHUNK_CLIENTS = 6
TINY_CHUNK_COUNT = 150_000
CONNECTION_ERRORS = (OSError, asyncio.IncompleteReadError, RuntimeError)


def encode_head(id: str, kind: RequestKind, timeout_ms: int, *lines: str) -> bytes:
    """Return the head of a request with further header lines."""
    method = "GET" if kind is RequestKind.READ else "POST"
    key = (f"Idempotency-Key: {id}",) if kind is RequestKind.POINTS else ()
    head = [
        f"{method} /api/{id} HTTP/1.1",
        "Host: app.svc",
        f"Request-Id: {id}",
        f"Request-Class: {kind.value}",
        f"Request-Timeout-Ms: {timeout_ms}",
        *key,
        *lines,
    ]
    return "\r\n".join(head).encode() + b"\r\n\r\n"


class Crowd:
    """Clients of one node that come at once and leave at the end of the fault.

    Their requests are incomplete or unsound, so no response is owed to them.
    """

    def __init__(self, address: Address, records: SoakRecords, rng: random.Random, timeout_ms: int) -> None:
        self._address, self._records, self._rng, self._timeout_ms = address, records, rng, timeout_ms
        self._started = 0

    async def hold_memory(self, duration_s: float) -> None:
        """Stop half way through uploads, upload slowly, send heads of many fields, or stay silent."""
        kinds = (self._stop_half_way, self._upload_slowly, self._send_fields, self._stay_silent)
        count = self._rng.randint(*CROWD_SIZE)
        await self._play([kinds[number % len(kinds)] for number in range(count)], duration_s)

    async def send_tiny_chunks(self, duration_s: float) -> None:
        """Send bodies in chunks of two bytes, as fast as they are taken."""
        await self._play([self._send_chunks] * TINY_CHUNK_CLIENTS, duration_s)

    async def send_hostile_requests(self, duration_s: float) -> None:
        """Send targets and deadlines that can't be read, and the same request again at once after each response."""
        kinds = (self._send_unreadable_target, self._send_long_deadline, self._send_again)
        members = [self._return_always(kind) for kind in kinds * HOSTILE_CLIENTS_OF_A_KIND]
        tasks = [asyncio.create_task(member) for member in members]
        await asyncio.sleep(duration_s)
        await self._end(tasks)

    async def _return_always(self, member: Callable[..., Awaitable[None]]) -> None:
        while True:
            await self._join(member)
            await asyncio.sleep(HOSTILE_PAUSE_S)

    async def _end(self, tasks: list[asyncio.Task[None]]) -> None:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _play(self, members: list[Callable[..., Awaitable[None]]], duration_s: float) -> None:
        tasks = [asyncio.create_task(self._join(member)) for member in members]
        await asyncio.sleep(duration_s)
        await self._end(tasks)

    async def _join(self, member: Callable[..., Awaitable[None]]) -> None:
        writer = None
        try:
            reader, writer = await asyncio.open_connection(*self._address)
            await member(reader, writer, self._next_id())
        except CONNECTION_ERRORS:
            pass
        finally:
            if writer is not None:
                with contextlib.suppress(*CONNECTION_ERRORS):
                    writer.transport.abort()

    def _next_id(self) -> str:
        self._started += 1
        id = f"crowd-{self._rng.getrandbits(48):x}-{self._started}"
        self._records.crowd_ids.add(id)
        return id

    def _head(self, id: str, *lines: str) -> bytes:
        return encode_head(id, RequestKind.POINTS, self._timeout_ms, *lines)

    async def _stop_half_way(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, id: str
    ) -> None:
        writer.write(self._head(id, f"Content-Length: {UPLOAD_BYTES}") + bytes(UPLOAD_BYTES // 2))
        await reader.read()

    async def _upload_slowly(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, id: str
    ) -> None:
        writer.write(self._head(id, f"Content-Length: {UPLOAD_BYTES}"))
        for _ in range(0, UPLOAD_BYTES, PIECE_BYTES):
            writer.write(bytes(PIECE_BYTES))
            await asyncio.sleep(PIECE_INTERVAL_S)

    async def _send_fields(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, id: str) -> None:
        writer.write(b"GET /api HTTP/1.1\r\nHost: a\r\n" + b"a:b\r\n" * FIELD_COUNT)
        await reader.read()

    async def _stay_silent(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, id: str) -> None:
        await reader.read()

    async def _send_unreadable_target(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, id: str
    ) -> None:
        head = self._head(id, f"Content-Length: {UNREADABLE_BODY_BYTES}")
        writer.write(head.replace(f" /api/{id} ".encode(), UNREADABLE_TARGET) + bytes(UNREADABLE_BODY_BYTES))
        await reader.read()

    async def _send_long_deadline(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, id: str
    ) -> None:
        behind = self._head(self._next_id()).replace(
            f"Request-Timeout-Ms: {self._timeout_ms}".encode(),
            f"Request-Timeout-Ms: {LONG_DEADLINE}".encode(),
        )
        writer.write(self._head(id) + behind)
        await reader.read()

    async def _send_again(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, id: str) -> None:
        request = encode_head(id, RequestKind.READ, self._timeout_ms)
        while True:
            writer.write(request)
            head = (await reader.readuntil(b"\r\n\r\n")).lower()
            if b"content-length:" not in head:  # a long response, which is not read
                return
            await reader.readexactly(int(head.split(b"content-length:")[1].split()[0]))
            await asyncio.sleep(HOSTILE_PAUSE_S)

    async def _send_chunks(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, id: str) -> None:
        writer.write(self._head(id, "Transfer-Encoding: chunked") + b"2\r\nab\r\n" * TINY_CHUNK_COUNT)
        writer.write(b"0\r\n\r\n")
        await reader.read()
