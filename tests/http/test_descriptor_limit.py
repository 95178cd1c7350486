"""A node process with a low descriptor limit: many clients connect while discovery fails and restarts."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import sys
from collections.abc import AsyncIterator
from pathlib import Path

import orjson
import pytest

from tests.support.configurations import PLATFORM_SETTINGS, platform_document
from tests.support.processes import ROOT, free_port
from tests.support.scripted_discovery import RestartableDiscovery
from tests.support.sockets import Client, FakeServer, Message, entry, read_message, run, status, until

CONNECTION_COUNT = 200
LIMITED_NODE = """
import resource, runpy, sys
max_descriptors = int(sys.argv.pop(1))
resource.setrlimit(resource.RLIMIT_NOFILE, (max_descriptors, max_descriptors))
runpy.run_module("rosewheel", run_name="__main__", alter_sys=True)
"""


class HeldConnection:
    """A client's connection that stays open without sending a request."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    async def is_closed_or_answered(self) -> bool:
        """Send a health check, and return whether the node responds or closes the connection."""
        with contextlib.suppress(ConnectionError):
            self.writer.write(b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n")
            response = await self.reader.read(64)
            return not response or response.startswith(b"HTTP/1.1 ")
        return True


@contextlib.asynccontextmanager
async def limited_node(
    tmp_path: Path, document: object, max_descriptors: int
) -> AsyncIterator[asyncio.subprocess.Process]:
    path = tmp_path / "config.json"
    path.write_bytes(orjson.dumps(document))
    environ = {"LB_CONFIG": str(path), "PATH": "", "PYTHONPATH": str(ROOT)}
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-c",
        LIMITED_NODE,
        str(max_descriptors),
        cwd=ROOT,
        env=environ,
        stderr=asyncio.subprocess.PIPE,
    )
    try:
        yield process
    finally:
        if process.returncode is None:
            process.kill()
        _, errors = await process.communicate()
        assert b"Traceback" not in errors, errors.decode()
        print(errors.decode()[-4000:])


async def call_admin(port: int, path: str) -> Message | None:
    """Send a request to the admin server; None if the connection ended before the response."""
    with contextlib.suppress(ConnectionError):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(f"GET {path} HTTP/1.1\r\nHost: a\r\n\r\n".encode())
        try:
            return await read_message(reader)
        finally:
            writer.close()
    return None


async def wait_until_served(port: int) -> None:
    """Send a request on a new connection, and again as long as the connection is closed or the response is not 200."""
    while True:
        with contextlib.suppress(ConnectionError):
            async with Client(port=port) as client:
                client.send(timeout=2000)
                if (response := await client.read_response()) is not None and status(response) == 200:
                    return
        await asyncio.sleep(0.01)


@pytest.mark.parametrize("max_descriptors", [64, 128])
@pytest.mark.parametrize("mode", ["push", "ask"])
def test_many_clients_exclude_neither_discovery_nor_servers_nor_operators(
    tmp_path: Path, max_descriptors: int, mode: str
):
    async def main() -> None:
        async with FakeServer().up() as one, FakeServer().up() as two, contextlib.AsyncExitStack() as stack:
            port, admin_port = free_port(), free_port()
            discovery = RestartableDiscovery()
            await discovery.start("mute")
            stack.callback(discovery.stop)
            document = platform_document(
                listen=f"127.0.0.1:{port}",
                ops=f"127.0.0.1:{admin_port}",
                discovery=f"127.0.0.1:{discovery.port}",
                settings=PLATFORM_SETTINGS | {"registryMode": mode},
                known={"seq": 1, "whole": True, "hosts": [entry("one", one.port)]},
                limits={"sockets": max_descriptors, "memory_mb": 200},
            )
            process = await stack.enter_async_context(limited_node(tmp_path, document, max_descriptors))
            await until(lambda: discovery.watch_count > 0)
            await wait_until_served(port)
            connections: list[HeldConnection] = []
            stopped = asyncio.Event()

            async def open_connections() -> None:
                """Open connections in bursts until the test stops."""
                while not stopped.is_set():
                    with contextlib.suppress(OSError):
                        opening = [asyncio.open_connection("127.0.0.1", port) for _ in range(50)]
                        for streams in await asyncio.gather(*opening, return_exceptions=True):
                            if not isinstance(streams, BaseException):
                                connections.append(HeldConnection(*streams))
                    while len(connections) > 3 * CONNECTION_COUNT:
                        connections.pop(0).writer.close()
                    await asyncio.sleep(0.05)

            opening_task = asyncio.ensure_future(open_connections())
            await until(lambda: len(connections) >= CONNECTION_COUNT)
            descriptors = Path(f"/proc/{process.pid}/fd")
            # All descriptors for clients are in use.
            assert len(list(descriptors.iterdir())) > max_descriptors / 3
            for _ in range(2):
                # The kernel accepts all connections while the process is stopped; the node then takes them at once.
                process.send_signal(signal.SIGSTOP)
                burst = [await asyncio.open_connection("127.0.0.1", port) for _ in range(CONNECTION_COUNT)]
                connections.extend(HeldConnection(*streams) for streams in burst)
                calls = [asyncio.ensure_future(call_admin(admin_port, "/admin/stats")) for _ in range(3)]
                clients = [asyncio.ensure_future(wait_until_served(port)) for _ in range(3)]
                process.send_signal(signal.SIGCONT)
                assert [status(answer) for answer in await asyncio.gather(*calls)] == [200] * 3
                await asyncio.gather(*clients)
            await wait_until_served(port)
            discovery.stop()  # connections to discovery are refused from here on
            await wait_until_served(port)
            assert status(await call_admin(admin_port, "/admin/stats")) == 200
            await discovery.start("mute")
            await until(lambda: discovery.watch_count > 0)  # a descriptor was free for discovery
            await wait_until_served(port)
            discovery.stop()
            discovery.host, discovery.dial = "two", f"127.0.0.1:{two.port}"
            await discovery.start("served")
            await until(lambda: discovery.watch_count > 0)
            before = len(two.requests)
            while len(two.requests) == before:  # a descriptor is free for a connection to a new server
                await wait_until_served(port)
            assert status(await call_admin(admin_port, "/admin/stats")) == 200
            stopped.set()
            await opening_task
            async with asyncio.timeout(20.0):
                assert all(await asyncio.gather(*(one.is_closed_or_answered() for one in connections)))
            assert process.returncode is None
            for connection in connections:
                connection.writer.close()

    run(main())
