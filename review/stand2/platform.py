"""Discovery, equipos and clients, each by the protocol page."""

from __future__ import annotations

import asyncio
import json
import socket
import struct
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

EMPTY_LINE_S = 2.0


class Discovery:
    """Serves the list of equipos and watches on it."""

    def __init__(self) -> None:
        self.seq = 41
        self.rows: dict[str, dict[str, Any]] = {}
        self.port = 0
        self._changes: list[tuple[int, dict[str, Any]]] = []
        self._watchers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self, port: int = 0) -> None:
        """Open the listener."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.port = self._server.sockets[0].getsockname()[1]

    def set(self, host: str, port: int, health: str = "active", born_ms: int = 0, block: int = 0) -> None:
        """Change the entry of an equipo, and tell it to all watches."""
        row = {
            "host": host,
            "dial": f"127.0.0.1:{port}",
            "site": "sala-heredia",
            "class": "albumes-a",
            "block": block,
            "health": health,
            "share": 1.0,
            "born_ms": born_ms,
        }
        self.seq += 1
        if health == "left":
            self.rows.pop(host, None)
        else:
            self.rows[host] = row
        self._changes.append((self.seq, row))
        self._tell({"seq": self.seq, "whole": False, "hosts": [row]})

    def _tell(self, message: dict[str, Any]) -> None:
        for writer in list(self._watchers):
            self._line(writer, json.dumps(message).encode())

    @staticmethod
    def _line(writer: asyncio.StreamWriter, line: bytes) -> None:
        line += b"\n"
        writer.write(b"%x\r\n%b\r\n" % (len(line), line))

    def whole(self) -> dict[str, Any]:
        """Return the whole list."""
        return {"seq": self.seq, "whole": True, "hosts": list(self.rows.values())}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            target = head.split(b" ", 2)[1].decode()
            if "follow=1" not in target:
                body = json.dumps(self.whole()).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
                return
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self._line(writer, json.dumps(self.whole()).encode())
            self._watchers.add(writer)
            while not writer.is_closing():
                await asyncio.sleep(EMPTY_LINE_S)
                self._line(writer, b"")
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._watchers.discard(writer)
            writer.close()


@dataclass(slots=True)
class Received:
    """A request as an equipo has received it, with its last byte."""

    equipo: str
    target: str
    headers: dict[str, str]
    body: bytes
    first_byte_s: float
    received_s: float

    @property
    def id(self) -> str:
        """Return the Request-Id."""
        return self.headers.get("request-id", "")


Behaviour = Callable[["Equipo", Received, asyncio.StreamWriter], Awaitable[bool]]
"""Answers a request; returns whether the connection can be used again."""


def answer(status: int, body: bytes = b"", *headers: str) -> bytes:
    """Return a whole HTTP answer."""
    lines = "".join(f"{line}\r\n" for line in headers)
    return f"HTTP/1.1 {status} X\r\n{lines}Content-Length: {len(body)}\r\n\r\n".encode() + body


async def serve_at_once(equipo: Equipo, request: Received, writer: asyncio.StreamWriter) -> bool:
    """Answer with a body made for this request, after the equipo's service time."""
    await asyncio.sleep(equipo.service_s)
    writer.write(answer(200, f"{request.id} by {equipo.name}".encode(), "Server-Load: TEXT queue=0"))
    return True


class Equipo:
    """One equipo."""

    def __init__(self, name: str, behaviour: Behaviour = serve_at_once, service_s: float = 0.02) -> None:
        self.name, self.behaviour, self.service_s = name, behaviour, service_s
        self.port = 0
        self.received: list[Received] = []
        self.started: list[tuple[float, str, str]] = []
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, port: int = 0) -> None:
        """Open the listener."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port, limit=1 << 20)
        self.port = self._server.sockets[0].getsockname()[1]

    def crash(self) -> None:
        """End as a process that dies: reset all connections, refuse new ones."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            reset(writer)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        first = await reader.read(1)
        if not first:
            return False
        first_byte_s = time.monotonic()
        head = (first + await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        request_line, *lines = head.strip().split("\r\n")
        headers = {
            name.strip().lower(): value.strip() for name, value in (line.split(":", 1) for line in lines)
        }
        target = request_line.split(" ")[1]
        if target in ("/_load", "/ping"):
            writer.write(answer(200, b"TEXT queue=0"))
            return True
        body = await read_body(reader, headers)
        request = Received(self.name, target, headers, body, first_byte_s, time.monotonic())
        self.received.append(request)
        return await self.behaviour(self, request, writer)


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Read the body of a message by its head."""
    if "chunked" not in headers.get("transfer-encoding", ""):
        return await reader.readexactly(int(headers.get("content-length", 0)))
    body = bytearray()
    while size := int(await reader.readline(), 16):
        body += (await reader.readexactly(size + 2))[:-2]
    await reader.readline()
    return bytes(body)


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


@dataclass(slots=True)
class Answered:
    """What a client got: a status, or the way in which its wait ended."""

    status: int | None
    body: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)
    end: str = "answered"
    took_s: float = 0.0


def request_bytes(
    class_name: str, id: str, timeout_ms: int, body: bytes = b"", key: str = "", extra: str = ""
) -> bytes:
    """Return a request of a client."""
    method = "POST" if body or class_name != "ver-album" else "GET"
    lines = [
        f"{method} /api HTTP/1.1",
        "Host: app.svc",
        f"Request-Id: {id}",
        f"Request-Class: {class_name}",
        f"Request-Timeout-Ms: {timeout_ms}",
    ]
    if key:
        lines.append(f"Idempotency-Key: {key}")
    if method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + f"\r\n{extra}\r\n").encode() + body


class Client:
    """A client with one connection, on which it sends one request at a time."""

    def __init__(self, port: int) -> None:
        self.port = port
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def connect(self) -> None:
        """Open the connection."""
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port, limit=1 << 20)

    async def ask(self, request: bytes, wait_s: float) -> Answered:
        """Send a request and wait for its answer."""
        if self.writer is None or self.writer.is_closing():
            await self.connect()
        assert self.writer is not None
        self.writer.write(request)
        return await self.take(wait_s)

    async def take(self, wait_s: float) -> Answered:
        """Wait for the next answer; the connection is closed if none comes or it is the last one."""
        started_s = time.monotonic()
        try:
            found = await asyncio.wait_for(self._read(), wait_s)
        except TimeoutError:
            found = Answered(None, end="no answer")
        except (OSError, asyncio.IncompleteReadError) as error:
            found = Answered(None, end=f"closed without an answer: {type(error).__name__}")
        found.took_s = time.monotonic() - started_s
        if found.status is None or found.headers.get("connection", "").lower() == "close":
            self.close()
        return found

    async def _read(self) -> Answered:
        assert self.reader is not None
        head = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        status_line, *lines = head.strip().split("\r\n")
        headers = {
            name.strip().lower(): value.strip() for name, value in (line.split(":", 1) for line in lines)
        }
        return Answered(int(status_line.split(" ")[1]), await read_body(self.reader, headers), headers)

    def close(self) -> None:
        """Close the connection."""
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None
