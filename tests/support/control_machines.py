"""Control machines and subscribers on loopback, connected over routes that a test can interrupt."""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
from collections.abc import AsyncIterator, Callable
from pathlib import Path
from typing import Any

from rosewheel.config.address import Address
from rosewheel.control.documents import Document
from rosewheel.control.durable_log import DurableLog
from rosewheel.control.http_client import JsonHttpClient
from rosewheel.control.machine import ControlMachine
from rosewheel.control.machine_settings import MachineSettings
from rosewheel.control.subscriber import ConfigurationSubscriber

# A loopback address that only this process uses, derived from its ID. A stopped machine restarts on the same port; on
# 127.0.0.1 an outgoing connection of another process could have taken that port meanwhile.
HOST = f"127.{64 + os.getpid() // 250 % 128}.{os.getpid() % 250 + 1}.1"


class InterruptibleRoute:
    """Forwards connections to one address, and can be interrupted.

    While `passable` is clear, no data passes and neither end is notified. Data written meanwhile arrives afterwards, as
    with TCP retransmission.
    """

    def __init__(self, target: Address) -> None:
        self.target = target
        self.passable = asyncio.Event()
        self.passable.set()
        self.writers: list[asyncio.StreamWriter] = []

    async def start(self) -> InterruptibleRoute:
        self.server = await asyncio.start_server(self._forward, "127.0.0.1", 0)
        self.address: Address = self.server.sockets[0].getsockname()[:2]
        return self

    async def _forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        with contextlib.suppress(asyncio.CancelledError, OSError):  # the test or the machine ended
            await self.passable.wait()
            target_reader, target_writer = await asyncio.open_connection(*self.target)
            self.writers.append(target_writer)
            await asyncio.gather(self._pump(reader, target_writer), self._pump(target_reader, writer))
        writer.close()

    async def _pump(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(65536):
                await self.passable.wait()
                writer.write(data)
        await self.passable.wait()
        writer.close()

    def close(self) -> None:
        self.server.close()
        for writer in self.writers:
            writer.close()


class ControlCluster:
    """Control machines `c1`, `c2`, ... and nodes that subscribe to them.

    Each machine or node connects to each machine over an interruptible route of its own.
    """

    def __init__(self, directory: Path, count: int = 4, initial_leader: str = "c1") -> None:
        self.directory, self.initial_leader = directory, initial_leader
        self.names = [f"c{index + 1}" for index in range(count)]
        self.sockets = {name: socket.create_server((HOST, 0)) for name in self.names}
        self.addresses: dict[str, Address] = {
            name: sock.getsockname()[:2] for name, sock in self.sockets.items()
        }
        self.machines: dict[str, ControlMachine] = {}
        self.routes: dict[tuple[str, str], InterruptibleRoute] = {}
        self.nodes: dict[str, ConfigurationSubscriber] = {}
        self.documents: dict[str, Document] = {}  # by node: the document applied last
        self.applied: dict[str, list[Document]] = {}  # by node: all documents applied, in order

    async def route(self, start: str, end: str) -> InterruptibleRoute:
        """Return the route from a machine or node to a machine, and start it on first use."""
        if (start, end) not in self.routes:
            self.routes[start, end] = await InterruptibleRoute(self.addresses[end]).start()
        return self.routes[start, end]

    async def start(self, name: str) -> ControlMachine:
        """Start a machine, on its earlier port if it was stopped."""
        peers = {peer: (await self.route(name, peer)).address for peer in self.names if peer != name}
        settings = MachineSettings(
            name, self.addresses[name], self.directory / name, peers, self.initial_leader
        )
        machine = ControlMachine(settings, DurableLog(settings.data_dir))
        sock = self.sockets.pop(name, None) or socket.create_server(self.addresses[name])
        await machine.start(sock)
        self.machines[name] = machine
        return machine

    async def stop(self, name: str) -> None:
        await self.machines.pop(name).close()

    def partition(self, one: set[str], other: set[str]) -> None:
        """Interrupt all routes between two sets of machines and nodes."""
        for route in self._routes_between(one, other):
            route.passable.clear()

    def heal(self, one: set[str], other: set[str]) -> None:
        """End the partition of two sets of machines and nodes."""
        for route in self._routes_between(one, other):
            route.passable.set()

    def _routes_between(self, one: set[str], other: set[str]) -> list[InterruptibleRoute]:
        return [
            route
            for (start, end), route in self.routes.items()
            if (start in one and end in other) or (start in other and end in one)
        ]

    async def start_node(
        self,
        name: str,
        service: str = "fotos",
        cache_path: Path | None = None,
        reject: Callable[[Document], str] = lambda document: "",
    ) -> ConfigurationSubscriber:
        """Start a node.

        Args:
            name: of the node.
            service: whose configuration the node subscribes to.
            cache_path: file in which the node keeps its document, if any.
            reject: returns why the node can't apply a document, or an empty string to apply it.
        """
        machines = {machine: (await self.route(name, machine)).address for machine in self.names}

        def apply(document: Document) -> None:
            if reason := reject(document):
                raise ValueError(reason)
            self.documents[name] = document
            self.applied.setdefault(name, []).append(document)

        node = ConfigurationSubscriber(name, service, machines, seed_of(name), cache_path, apply)
        self.nodes[name] = node
        node.start()
        return node

    async def call(self, name: str, method: str, target: str, body: Any = None) -> tuple[int, Any]:
        """Call a machine's HTTP API; return the status code and the decoded body."""
        client = JsonHttpClient(self.addresses[name])
        try:
            return await client.call(method, target, body, timeout_s=20.0)
        finally:
            client.close()

    async def put(self, name: str, patch: Any, version: int | None = None, **fields: Any) -> tuple[int, Any]:
        """Apply a patch through a machine, by default to the newest version that this machine has."""
        if version is None:
            version = self.machines[name].store.replica.last.number
        return await self.call(name, "POST", "/control/put", {"patch": patch, "version": version} | fields)

    async def status(self, name: str) -> Any:
        """Return a machine's status, with all nodes listed."""
        code, body = await self.call(name, "GET", "/control/status?all=1")
        assert code == 200
        return body


def seed_of(name: str) -> int:
    """Return a seed that depends on the name only, unlike `hash()`, which differs between processes."""
    return int(sum(ord(letter) * 31**index for index, letter in enumerate(name)) % 2**32)


@contextlib.asynccontextmanager
async def control_cluster(
    directory: Path, count: int = 4, initial_leader: str = "c1"
) -> AsyncIterator[ControlCluster]:
    """Start a cluster of `count` control machines, and close its machines, nodes and routes at the end."""
    cluster = ControlCluster(directory, count, initial_leader)
    for name in cluster.names:
        await cluster.start(name)
    try:
        yield cluster
    finally:
        for node in cluster.nodes.values():
            node.close()
        for machine in list(cluster.machines.values()):
            await machine.close()
        for route in cluster.routes.values():
            route.close()
