"""The clients of `added_time.py`, which send requests in an open loop and record the times of each."""

from __future__ import annotations

import asyncio
import functools
import os
import random
from dataclasses import dataclass, field
from typing import Any, cast

from processes import now_ms

BODY_BYTES = 200
FIRST_CALL_DELAY_MS = 100.0


class ClientConnection(asyncio.Protocol):
    """A client's connection, with one request at a time."""

    def __init__(self) -> None:
        self.got = b""
        self.answer: asyncio.Future[tuple[float, bytes]] | None = None
        self.ended = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        self.got += data
        head, end, rest = self.got.partition(b"\r\n\r\n")
        if not end or self.answer is None:
            return
        size = int(head.lower().partition(b"content-length:")[2].partition(b"\r\n")[0])
        if len(rest) >= size:
            self.got = b""
            body = rest if head.startswith(b"HTTP/1.1 200") else b""
            self.answer.set_result((now_ms(), body))
            self.answer = None

    def connection_lost(self, exc: Exception | None) -> None:
        self.ended = True
        if self.answer is not None and not self.answer.done():
            self.answer.set_result((now_ms(), b""))


@dataclass
class RequestPath:
    """A path from the clients to the server, directly or through a node.

    Attributes:
        name: `direct`, or the node's name.
        port: where the clients connect.
        pid: ID of the process that they connect to.
        idle: connections without a request, the one used longest ago first.
    """

    name: str
    port: int
    pid: int
    idle: list[ClientConnection] = field(default_factory=list)


@dataclass
class Clients:
    """Sends requests in an open loop, and records the times of each.

    Attributes:
        server_pid: ID of the server's process.
        rows: times of each request that got status 200.
        failed: the number of requests without status 200.
    """

    server_pid: int
    rows: list[dict[str, Any]] = field(default_factory=list)
    failed: int = 0
    _number: int = 0

    async def send(self, path: RequestPath, rate: float, due_ms: float, on_new_connection: bool) -> None:
        """Send a request and record its times. Opens a connection if `on_new_connection` is set or none is idle."""
        request = self._next_request(path)
        started_ms = now_ms()
        connection = None if on_new_connection else _idle_connection(path)
        is_new = connection is None
        loop = asyncio.get_running_loop()
        if connection is None:
            _, connection = await loop.create_connection(ClientConnection, "127.0.0.1", path.port)
        connection.answer = answer = loop.create_future()
        before_ms = schedule_ms(path.pid), schedule_ms(self.server_pid)
        sent_ms = now_ms()
        connection.transport.write(request)
        ended_ms, body = await answer
        near_ms = _schedule_ms_since(path.pid, before_ms[0])
        far_ms = _schedule_ms_since(self.server_pid, before_ms[1])
        if not body:
            self.failed += 1
            return
        if on_new_connection:
            connection.transport.close()
        else:
            path.idle.append(connection)
        requests_on_connection, received_ms, answered_ms = body.split()
        row = {
            "at_s": round(due_ms / 1000.0, 3),
            "at_ms": due_ms,
            "rate": f"{rate:g}",
            "path": path.name,
            "client": "new" if is_new else "kept",
            "equipo": "new" if requests_on_connection == b"1" else "kept",
            "late_ms": started_ms - due_ms,
            "connect_ms": sent_ms - started_ms,
            "there_ms": float(received_ms) - sent_ms,
            "back_ms": ended_ms - float(answered_ms),
            "took_ms": ended_ms - sent_ms,
            "on_ms": near_ms[0],
            "ready_ms": near_ms[1],
            "far_on_ms": far_ms[0],
            "far_ready_ms": far_ms[1],
            "load": os.getloadavg()[0],
        }
        self.rows.append({key: _rounded(value) for key, value in row.items()})

    def _next_request(self, path: RequestPath) -> bytes:
        """Encode a request with a new ID."""
        self._number += 1
        head = (
            b"POST /api/album/7 HTTP/1.1\r\nHost: app.svc\r\nRequest-Id: %d-%d\r\nRequest-Class: post\r\n"
            b"Request-Timeout-Ms: 6000\r\nContent-Length: %d\r\n\r\n"
        )
        return head % (path.port, self._number, BODY_BYTES) + b"x" * BODY_BYTES

    async def run(
        self, paths: list[RequestPath], rate: float, seconds: float, new_share: float, rng: random.Random
    ) -> None:
        """Send requests on all paths for this time, at this rate per second on each, and wait for all responses."""
        schedule: list[tuple[float, RequestPath]] = []
        begin_ms = now_ms() + FIRST_CALL_DELAY_MS
        for path in paths:
            at_s = rng.expovariate(rate)
            while at_s < seconds:
                schedule.append((begin_ms + at_s * 1000.0, path))
                at_s += rng.expovariate(rate)
        tasks = []
        for due_ms, path in sorted(schedule, key=lambda scheduled: scheduled[0]):
            if (wait_ms := due_ms - now_ms()) > 0.0:
                await asyncio.sleep(wait_ms / 1000.0)
            tasks.append(asyncio.ensure_future(self.send(path, rate, due_ms, rng.random() < new_share)))
        await asyncio.gather(*tasks)


def _idle_connection(path: RequestPath) -> ClientConnection | None:
    while path.idle:
        connection = path.idle.pop(0)
        if not connection.ended:
            return connection
    return None


def _rounded(value: Any) -> Any:
    return round(value, 3) if isinstance(value, float) else value


def _schedule_ms_since(pid: int, before: tuple[float, ...]) -> tuple[float, ...]:
    return tuple(new - old for new, old in zip(schedule_ms(pid), before, strict=True))


@functools.cache
def _open_schedstat(pid: int) -> int:
    return os.open(f"/proc/{pid}/schedstat", os.O_RDONLY)


def schedule_ms(pid: int) -> tuple[float, ...]:
    """Return how long a process ran on a core, and was runnable without one, since its start."""
    on, ready, _ = os.pread(_open_schedstat(pid), 128, 0).split()
    return int(on) / 1e6, int(ready) / 1e6
