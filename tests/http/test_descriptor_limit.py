"""A crowd that fills a node's descriptors while discovery is down: a real process under a small limit."""

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

CROWD = 200
LIMITED = """
import resource, runpy, sys
most = int(sys.argv.pop(1))
resource.setrlimit(resource.RLIMIT_NOFILE, (most, most))
runpy.run_module("rosewheel", run_name="__main__", alter_sys=True)
"""


class Held:
    """A connection of a client that asks nothing, and goes on holding it."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    async def ends_or_answers(self) -> bool:
        """Whether it is closed, or answered once it asks: nobody is accepted and left lying."""
        with contextlib.suppress(ConnectionError):
            self.writer.write(b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n")
            got = await self.reader.read(64)
            return not got or got.startswith(b"HTTP/1.1 ")
        return True


@contextlib.asynccontextmanager
async def program(tmp_path: Path, row: object, most: int) -> AsyncIterator[asyncio.subprocess.Process]:
    path = tmp_path / "config.json"
    path.write_bytes(orjson.dumps(row))
    environ = {"LB_CONFIG": str(path), "PATH": "", "PYTHONPATH": str(ROOT)}
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-c", LIMITED, str(most), cwd=ROOT, env=environ, stderr=asyncio.subprocess.PIPE
    )
    try:
        yield process
    finally:
        if process.returncode is None:
            process.kill()
        _, errors = await process.communicate()
        assert b"Traceback" not in errors, errors.decode()
        print(errors.decode()[-4000:])


async def asks(port: int, path: str) -> Message | None:
    """One call of the operators' door."""
    with contextlib.suppress(ConnectionError):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(f"GET {path} HTTP/1.1\r\nHost: a\r\n\r\n".encode())
        try:
            return await read_message(reader)
        finally:
            writer.close()
    return None


async def served(port: int) -> None:
    """A new client comes by, as often as its connection is closed unread, until it has an answer."""
    while True:
        with contextlib.suppress(ConnectionError):
            async with Client(port=port) as client:
                client.send(timeout=2000)
                if (got := await client.answer()) is not None and status(got) == 200:
                    return
        await asyncio.sleep(0.01)


@pytest.mark.parametrize("most", [64, 128])
@pytest.mark.parametrize("mode", ["push", "ask"])
def test_many_clients_exclude_neither_discovery_nor_servers_nor_operators(
    tmp_path: Path, most: int, mode: str
):
    async def main() -> None:
        async with FakeServer().up() as one, FakeServer().up() as two, contextlib.AsyncExitStack() as stack:
            port, door = free_port(), free_port()
            discovery = RestartableDiscovery()
            await discovery.begin("mute")
            stack.callback(discovery.end)
            row = platform_document(
                listen=f"127.0.0.1:{port}",
                ops=f"127.0.0.1:{door}",
                discovery=f"127.0.0.1:{discovery.port}",
                settings=PLATFORM_SETTINGS | {"registryMode": mode},
                known={"seq": 1, "whole": True, "hosts": [entry("one", one.port)]},
                limits={"sockets": most, "memory_mb": 200},
            )
            process = await stack.enter_async_context(program(tmp_path, row, most))
            await until(lambda: discovery.asked > 0)
            await served(port)
            held: list[Held] = []
            stopped = asyncio.Event()

            async def crowd() -> None:
                """It comes all at once, and again for as long as the test goes on."""
                while not stopped.is_set():
                    with contextlib.suppress(OSError):
                        opening = [asyncio.open_connection("127.0.0.1", port) for _ in range(50)]
                        for pair in await asyncio.gather(*opening, return_exceptions=True):
                            if not isinstance(pair, BaseException):
                                held.append(Held(*pair))
                    while len(held) > 3 * CROWD:
                        held.pop(0).writer.close()
                    await asyncio.sleep(0.05)

            crowding = asyncio.ensure_future(crowd())
            await until(lambda: len(held) >= CROWD)
            descriptors = Path(f"/proc/{process.pid}/fd")
            assert len(list(descriptors.iterdir())) > most / 3  # those that are for clients are full
            for _ in range(2):  # while it is stopped they all come up, and so are accepted in one turn
                process.send_signal(signal.SIGSTOP)
                burst = [await asyncio.open_connection("127.0.0.1", port) for _ in range(CROWD)]
                held.extend(Held(*pair) for pair in burst)
                calls = [asyncio.ensure_future(asks(door, "/admin/stats")) for _ in range(3)]
                true = [asyncio.ensure_future(served(port)) for _ in range(3)]
                process.send_signal(signal.SIGCONT)
                assert [status(answer) for answer in await asyncio.gather(*calls)] == [200] * 3
                await asyncio.gather(*true)
            await served(port)
            discovery.end()  # refused from now on
            await served(port)
            assert status(await asks(door, "/admin/stats")) == 200
            await discovery.begin("mute")
            await until(lambda: discovery.asked > 0)  # it found a descriptor for that
            await served(port)
            discovery.end()
            discovery.host, discovery.dial = "two", f"127.0.0.1:{two.port}"
            await discovery.begin("served")
            await until(lambda: discovery.asked > 0)
            before = len(two.got)
            while len(two.got) == before:  # a connection to a new server finds one too
                await served(port)
            assert status(await asks(door, "/admin/stats")) == 200
            stopped.set()
            await crowding
            async with asyncio.timeout(20.0):
                assert all(await asyncio.gather(*(one.ends_or_answers() for one in held)))
            assert process.returncode is None
            for one_held in held:
                one_held.writer.close()

    run(main())
