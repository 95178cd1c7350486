"""Fake discovery services on loopback: one writes scripted bytes, one can be stopped and restarted."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

import orjson

from tests.support.sockets import Message, read_message

STREAM_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def encode_chunk(data: bytes) -> bytes:
    """Return the data as one chunk of a chunked body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


@dataclass
class ScriptedDiscovery:
    """Writes scripted bytes to each watch and keeps the connection open until the client closes it.

    Attributes:
        scripts: the bytes to write, by number of the watch from 1. A watch without an entry gets no response.
        watch_requests: the request line of each watch.
        ended: the number of connections that the client has closed.
        writers: of all connections.
        port: where it listens.
    """

    scripts: dict[int, bytes] = field(default_factory=dict)
    watch_requests: list[str] = field(default_factory=list)
    ended: int = 0
    writers: list[asyncio.StreamWriter] = field(default_factory=list)
    port: int = 0

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        message = await read_message(reader)
        if message is None:
            return
        self.watch_requests.append(message.start_line)
        self.writers.append(writer)
        if (script := self.scripts.get(len(self.watch_requests))) is not None:
            writer.write(script)
        with contextlib.suppress(ConnectionError):
            await reader.read()
        self.ended += 1

    @contextlib.asynccontextmanager
    async def up(self) -> AsyncIterator[ScriptedDiscovery]:
        """Listen on a free port until the context ends."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]
        try:
            yield self
        finally:
            server.close()
            for writer in self.writers:
                writer.close()


class RestartableDiscovery:
    """A discovery service that can be stopped and restarted on the same port with another behaviour.

    What it writes to a watch, by behaviour: `served` a snapshot, `mute` nothing, `half` the start of a line, `dies` the
    start of a line before it resets the connection. `watch_count` counts the watches since the last start.
    """

    def __init__(self) -> None:
        self.behaviour, self.host, self.dial = "served", "new", "127.0.0.1:9"
        self.watch_count = self.port = 0
        self.writers: list[asyncio.StreamWriter] = []
        self.server: asyncio.Server | None = None

    async def start(self, behaviour: str) -> None:
        """Start with this behaviour, on the same port as before; a running service only changes its behaviour."""
        self.behaviour, self.watch_count = behaviour, 0
        if self.server is None:
            self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
            self.port = self.server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Stop listening and reset all connections."""
        if self.server is not None:
            self.server.close()
            self.server = None
        while self.writers:
            self.writers.pop().transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        message: Message | None = await read_message(reader)
        if message is None:
            return
        self.writers.append(writer)
        self.watch_count += 1
        if self.behaviour != "mute":
            row = {"host": self.host, "dial": self.dial, "health": "active"}
            line = orjson.dumps({"seq": 9, "whole": True, "hosts": [row]}) + b"\n"
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n" % len(line))
            writer.write(line + b"\r\n" if self.behaviour == "served" else line[:30])
        if self.behaviour == "dies":
            await writer.drain()
            writer.transport.abort()


@contextlib.asynccontextmanager
async def restartable_discovery() -> AsyncIterator[RestartableDiscovery]:
    """Start a discovery service with the behaviour `mute`, and stop it at the end."""
    discovery = RestartableDiscovery()
    await discovery.start("mute")
    try:
        yield discovery
    finally:
        discovery.stop()
