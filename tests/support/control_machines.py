"""Control machines and followers on loopback, with ways between them that a test can cut."""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
from collections.abc import AsyncIterator, Callable
from pathlib import Path
from typing import Any

from rosewheel.config.platform import Address
from rosewheel.control.durable_log import DurableLog
from rosewheel.control.http_client import JsonHttpClient
from rosewheel.control.machine import ControlMachine, MachineSettings
from rosewheel.control.revisions import Document
from rosewheel.control.subscriber import ConfigurationSubscriber

# A host of this process: a machine that is stopped starts again on its port, which a connection from 127.0.0.1 must not
# have taken meanwhile.
HOST = f"127.{64 + os.getpid() // 250 % 128}.{os.getpid() % 250 + 1}.1"


class Way:
    """From one place to another. While it is cut nothing comes through and nothing says so; what was written
    meanwhile comes late, as it does where the system sends it again."""

    def __init__(self, to: Address) -> None:
        self.to = to
        self.whole = asyncio.Event()
        self.whole.set()
        self.writers: list[asyncio.StreamWriter] = []

    async def start(self) -> Way:
        self.server = await asyncio.start_server(self._take, "127.0.0.1", 0)
        self.address: Address = self.server.sockets[0].getsockname()[:2]
        return self

    async def _take(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        with contextlib.suppress(asyncio.CancelledError, OSError):  # the end of the test, of the machine
            await self.whole.wait()
            inner_reader, inner = await asyncio.open_connection(*self.to)
            self.writers.append(inner)
            await asyncio.gather(self._pump(reader, inner), self._pump(inner_reader, writer))
        writer.close()

    async def _pump(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(65536):
                await self.whole.wait()
                writer.write(data)
        await self.whole.wait()
        writer.close()

    def close(self) -> None:
        self.server.close()
        for writer in self.writers:
            writer.close()


class Bed:
    """Machines c1, c2, ... that reach one another and are reached by nodes over ways."""

    def __init__(self, folder: Path, count: int = 4, writer: str = "c1") -> None:
        self.folder, self.writer = folder, writer
        self.names = [f"c{at + 1}" for at in range(count)]
        self.sockets = {name: socket.create_server((HOST, 0)) for name in self.names}
        self.addresses: dict[str, Address] = {
            name: sock.getsockname()[:2] for name, sock in self.sockets.items()
        }
        self.services: dict[str, ControlMachine] = {}
        self.ways: dict[tuple[str, str], Way] = {}
        self.followers: dict[str, ConfigurationSubscriber] = {}
        self.documents: dict[str, Document] = {}
        self.applied: dict[str, list[Document]] = {}

    async def way(self, one: str, other: str) -> Way:
        if (one, other) not in self.ways:
            self.ways[one, other] = await Way(self.addresses[other]).start()
        return self.ways[one, other]

    async def start(self, name: str) -> ControlMachine:
        peers = {peer: (await self.way(name, peer)).address for peer in self.names if peer != name}
        setup = MachineSettings(name, self.addresses[name], self.folder / name, peers, self.writer)
        service = ControlMachine(setup, DurableLog(setup.data_dir))
        sock = self.sockets.pop(name, None) or socket.create_server(self.addresses[name])
        await service.start(sock)
        self.services[name] = service
        return service

    async def stop(self, name: str) -> None:
        await self.services.pop(name).close()

    def cut(self, one: set[str], other: set[str], off: bool = True) -> None:
        """Between two sets of machines and nodes, both ways."""
        for (start, end), way in self.ways.items():
            if (start in one and end in other) or (start in other and end in one):
                if off:
                    way.whole.clear()
                else:
                    way.whole.set()

    async def node(
        self,
        name: str,
        service: str = "fotos",
        copy: Path | None = None,
        refuse: Callable[[Document], str] = lambda document: "",
    ) -> ConfigurationSubscriber:
        machines = {machine: (await self.way(name, machine)).address for machine in self.names}

        def apply(document: Document) -> None:
            if why := refuse(document):
                raise ValueError(why)
            self.documents[name] = document
            self.applied.setdefault(name, []).append(document)

        follower = ConfigurationSubscriber(name, service, machines, hash_of(name), copy, apply)
        self.followers[name] = follower
        follower.start()
        return follower

    async def call(self, name: str, method: str, target: str, row: Any = None) -> tuple[int, Any]:
        client = JsonHttpClient(self.addresses[name])
        try:
            return await client.call(method, target, row, timeout_s=20.0)
        finally:
            client.close()

    async def put(self, name: str, patch: Any, version: int | None = None, **more: Any) -> tuple[int, Any]:
        if version is None:
            version = self.services[name].store.replica.last.number
        return await self.call(name, "POST", "/control/put", {"patch": patch, "version": version} | more)

    async def status(self, name: str) -> Any:
        code, row = await self.call(name, "GET", "/control/status?all=1")
        assert code == 200
        return row


def hash_of(name: str) -> int:
    return sum(ord(letter) * 31**at for at, letter in enumerate(name)) % 2**32


@contextlib.asynccontextmanager
async def machines(folder: Path, count: int = 4, writer: str = "c1") -> AsyncIterator[Bed]:
    bed = Bed(folder, count, writer)
    for name in bed.names:
        await bed.start(name)
    try:
        yield bed
    finally:
        for follower in bed.followers.values():
            follower.close()
        for service in list(bed.services.values()):
            await service.close()
        for way in bed.ways.values():
            way.close()
