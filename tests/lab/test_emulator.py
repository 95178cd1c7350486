"""Emulated servers on sockets, as a plain client sees them, and interrupted runs."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import msgspec
import pytest

from rosewheel.config.toml_file import parse_text
from rosewheel.lab import plan as plans
from rosewheel.lab.connection_faults import ConnectionFault
from rosewheel.lab.discovery import DiscoveryEntry, DiscoveryRegistry
from rosewheel.lab.discovery_delays import DiscoveryChange
from rosewheel.lab.emulator import Emulator
from rosewheel.lab.fault_table import ConnectionFaultKind
from rosewheel.lab.random_streams import random_stream
from rosewheel.lab.records import RecordWriter, read_records
from rosewheel.lab.request_codec import ClientRequest
from rosewheel.lab.scenario import Scenario
from rosewheel.lab.server_host import EmulatedServerHost
from rosewheel.lab.wire import now_ms
from rosewheel.policy.settings import Idempotency
from tests.support.sockets import Message, read_message, run, status, until

ROOT = Path(__file__).parent.parent.parent

TEXT = """
name = "small"
seconds = 30
[[class]]
name = "post"
share = 1
work_ms = 20
attempt_noise = 0
answer_bytes = 300
[[class]]
name = "points"
share = 1
work_ms = 20
effect = "keyed"
group = "cell"
[clients]
rate_per_s = 1
[discovery]
add_ms = 0
notice_ms = 0
silent_ms = 0
spread_ms = 0
[[tier]]
name = "entrada"
work = 1
handshake_ms = 0
[[tier.kind]]
name = "a"
count = 2
slots = 2
queue = 1
pause_ms = 0
"""


@contextlib.asynccontextmanager
async def emulated(folder: Path, text: str = TEXT) -> AsyncIterator[Emulator]:
    records = RecordWriter(folder / "equipos.jsonl")
    emulator = Emulator(plans.make(parse_text(text, Scenario, "s")), folder, records)
    try:
        await emulator.start()
        emulator.start_clock(now_ms())
        yield emulator
    finally:
        emulator.close()
        records.close()


def first(emulator: Emulator) -> EmulatedServerHost:
    return next(iter(emulator.fleet.hosts.values()))


class PlainClient:
    """A client's connection without retries or pooling."""

    def __init__(self, host: EmulatedServerHost) -> None:
        self.host, self.sent = host, 0

    async def __aenter__(self) -> PlainClient:
        self.reader, self.writer = await asyncio.open_connection(*self.host.address)
        return self

    async def __aexit__(self, *_: object) -> None:
        self.writer.close()

    def send(
        self, rid: str, service: str = "post", work: float = 20.0, key: str = "", node: str = ""
    ) -> None:
        effect = Idempotency.IDEMPOTENT_WITH_KEY if key else Idempotency.NON_IDEMPOTENT
        request = ClientRequest(service, effect, rid, 2000, node, rid, work, key, 10)
        self.writer.write(request.encode())

    async def answer(self) -> Message | None:
        async with asyncio.timeout(20.0):
            return await read_message(self.reader)

    async def ask(self, rid: str, **more: Any) -> Message | None:
        self.send(rid, **more)
        return await self.answer()


def jobs(folder: Path) -> list[dict[str, Any]]:
    return [row for row in read_records(folder / "equipos.jsonl") if row["e"] == "job"]


def test_a_response_names_its_request_and_reports_the_load(tmp_path: Path):
    async def main() -> None:
        async with emulated(tmp_path) as emulator, PlainClient(first(emulator)) as client:
            got = await client.ask("r1")
            assert got is not None
            assert status(got) == 200
            assert got.body.startswith(b"r1\n")
            assert len(got.body) == 300
            assert got.headers["server-load"].startswith("TEXT queue=")
            client.writer.write(b"GET /_load HTTP/1.1\r\nHost: a\r\n\r\n")
            load = await client.answer()
            assert load is not None
            assert load.body.startswith(b"queue=")

    run(main())
    assert [(row["rid"], row["verdict"], row["ran"]) for row in jobs(tmp_path)] == [("r1", "served", True)]


def test_requests_beyond_concurrency_and_queue_limits_are_rejected(tmp_path: Path):
    async def main() -> None:
        async with emulated(tmp_path) as emulator, contextlib.AsyncExitStack() as stack:
            host = first(emulator)
            for number in range(3):
                client = await stack.enter_async_context(PlainClient(host))
                client.send(f"r{number}", work=1e6)
            await until(lambda: host.model.arrived == 3)
            client = await stack.enter_async_context(PlainClient(host))
            got = await client.ask("late")
            assert status(got) == 503
            assert got is not None
            assert got.headers["not-started"] == "1"

    run(main())
    assert next(row for row in jobs(tmp_path) if row["verdict"] == "turned away")["ran"] is False


def test_work_continues_after_its_client_disconnects(tmp_path: Path):
    async def main() -> None:
        async with emulated(tmp_path) as emulator:
            host = first(emulator)
            async with PlainClient(host) as client:
                client.send("r1", work=60.0)
                await until(lambda: host.model.arrived == 1)
            await until(lambda: host.model.ended == 1)

    run(main())
    assert [(row["verdict"], row["wanted"]) for row in jobs(tmp_path)] == [("served", False)]


def test_a_duplicate_at_another_server_of_the_cell_is_not_executed(tmp_path: Path):
    async def main() -> None:
        async with emulated(tmp_path) as emulator:
            one, two = emulator.fleet.hosts.values()
            async with PlainClient(one) as a, PlainClient(two) as b:
                a.send("r1", service="points", work=80.0, key="k")
                await until(lambda: one.model.arrived == 1)
                assert status(await b.ask("r2", service="points", work=80.0, key="k")) == 200
                assert status(await a.answer()) == 200

    run(main())
    assert sorted((row["rid"], row["ran"]) for row in jobs(tmp_path)) == [("r1", True), ("r2", False)]


@pytest.mark.parametrize("how", ["reset", "silence", "half", "spoilt", "delay"])
def test_each_connection_fault_as_a_plain_client_sees_it(tmp_path: Path, how: str):
    async def main() -> None:
        async with emulated(tmp_path) as emulator:
            host = first(emulator)
            async with PlainClient(host) as client:
                await until(lambda: len(host.connections) == 1)
                host.begin_fault(
                    0, ConnectionFault(ConnectionFaultKind(how), 1.0, 1.0, random_stream(1, "fault"))
                )  # open connections included
                client.send("r1")
                if how == "reset":
                    with pytest.raises(ConnectionResetError):
                        await client.reader.read()
                elif how == "silence":
                    host.end_fault(0)
                    async with PlainClient(
                        host
                    ) as other:  # answered, while the first connection stays silent
                        assert status(await other.ask("r2")) == 200
                    assert not client.reader._buffer  # type: ignore[attr-defined]
                elif how == "half":
                    data = await client.reader.read()
                    assert data.startswith(b"HTTP/1.1 200")
                    assert len(data) < 300
                elif how == "spoilt":
                    assert not (await client.reader.readexactly(64)).startswith(b"HTTP")
                else:
                    assert status(await client.answer()) == 200

    run(main())


def test_connections_are_refused_and_accepted_again(tmp_path: Path):
    async def main() -> None:
        async with emulated(tmp_path) as emulator:
            host = first(emulator)
            host.stop_accepting()
            with pytest.raises(ConnectionRefusedError):
                await asyncio.open_connection(*host.address)
            await host.resume_accepting()
            async with PlainClient(host) as client:
                assert status(await client.ask("r1")) == 200

    run(main())


def test_an_isolated_machine_is_silent_and_resets_connections_when_it_rejoins(tmp_path: Path):
    async def main() -> None:
        async with emulated(tmp_path) as emulator:
            host = first(emulator)
            async with PlainClient(host) as client:
                assert status(await client.ask("r1")) == 200
                host.isolate()
                client.send("r2")
                fresh = socket.socket()
                fresh.setblocking(False)
                with pytest.raises(BlockingIOError):
                    fresh.connect(host.address)
                read = asyncio.get_running_loop().create_task(client.reader.read())
                await asyncio.wait([read], timeout=0.05)
                assert not read.done()
                assert fresh.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == 0
                with pytest.raises(OSError, match=r"107|not connected"):
                    fresh.getpeername()
                fresh.close()
                await host.rejoin()
                with pytest.raises(ConnectionResetError):
                    await read
            async with PlainClient(host) as client:
                assert status(await client.ask("r3")) == 200

    run(main())


def test_a_crash_resets_connections_and_records_jobs_as_lost(tmp_path: Path):
    async def main() -> None:
        async with emulated(tmp_path) as emulator:
            host = first(emulator)
            async with PlainClient(host) as client:
                client.send("r1", work=1e6)
                await until(lambda: host.model.arrived == 1)
                emulator.fleet.crash(host)
                with pytest.raises(ConnectionResetError):
                    await client.reader.read()
            with pytest.raises(ConnectionRefusedError):
                await asyncio.open_connection(*host.address)
            await emulator.fleet.revive(host)
            assert host.model.warm_up_share(now_ms()) < 1.0
            async with PlainClient(host) as client:
                assert status(await client.ask("r2")) == 200

    run(main())
    assert {row["rid"]: row["verdict"] for row in jobs(tmp_path)} == {"r1": "lost", "r2": "served"}


def test_a_step_of_the_wall_clock_changes_nothing(tmp_path: Path, monkeypatch: pytest.MonkeyPatch):
    """Guards a run against a clock that is set, or a machine that slept: a server that starts afterwards warms up as
    before, and the plan's clock continues."""
    wall = time.time

    async def main() -> None:
        async with emulated(tmp_path) as emulator:
            host = first(emulator)
            before = emulator.fleet.clock.plan_time()
            monkeypatch.setattr("time.time", lambda: wall() + 3600.0)
            emulator.fleet.crash(host)
            await emulator.fleet.revive(host)
            born = emulator.fleet.registries[0].endpoints[host.spec.name].launched_ms
            assert born < (wall() + 1800.0) * 1000.0, (
                "an hour ahead: it would look as if it had not started yet"
            )
            assert born > (wall() - 1800.0) * 1000.0
            assert before <= emulator.fleet.clock.plan_time() < 1800e3

    run(main())


# ------------------------------------------------------------------ discovery


async def watch(address: tuple[str, int], since: int) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    reader, writer = await asyncio.open_connection(*address)
    writer.write(f"GET /catalog/members?follow=1&since={since} HTTP/1.1\r\nHost: a\r\n\r\n".encode())
    await reader.readuntil(b"\r\n\r\n")
    return reader, writer


async def next_message(reader: asyncio.StreamReader) -> dict[str, Any]:
    """The next message of a watch, heartbeats left out."""
    async with asyncio.timeout(20.0):
        while True:
            size = int(await reader.readline(), 16)
            data = (await reader.readexactly(size + 2)).strip()
            if data:
                row: dict[str, Any] = msgspec.json.decode(data)
                return row


def test_notifications_are_delayed_ordered_and_withheld_during_a_stall():
    async def main() -> None:
        notified: list[tuple[str, str, str]] = []
        registry = DiscoveryRegistry(
            lambda _change: 1.0, lambda n, h, e, _at: notified.append((n, h, e.health))
        )
        registry.update(DiscoveryEntry("s", "127.0.0.1:1", "z", 0), DiscoveryChange.ADD, at_once=True)
        agent = registry.add_agent("n0")
        reader, writer = await watch(await agent.start(), 0)
        row = await next_message(reader)
        assert (row["whole"], [host["host"] for host in row["hosts"]]) == (True, ["s"])
        agent.stall(True)
        registry.update(DiscoveryEntry("s", "127.0.0.1:1", "z", 0, "leaving"), DiscoveryChange.DRAIN)
        registry.update(DiscoveryEntry("s", "127.0.0.1:1", "z", 0, "left"), DiscoveryChange.STOP)
        await until(lambda: agent.version == 3)
        assert notified[-1][2] == "active", "an unsent change is no notification"
        agent.stall(False)
        row = await next_message(reader)
        assert [host["health"] for host in row["hosts"]] == ["leaving", "left"]
        assert [item[2] for item in notified] == ["active", "leaving", "left"]
        agent.reset_watches()
        with pytest.raises((ConnectionResetError, asyncio.IncompleteReadError)):
            await reader.readuntil(b"never")
        writer.close()
        registry.close()

    run(main())


# ------------------------------------------------------------------- the end


@pytest.mark.parametrize("how", [signal.SIGINT, signal.SIGKILL])
@pytest.mark.parametrize("verb", ["emulate", "experiment"])
def test_an_interrupted_run_leaves_no_child_process_and_readable_records(
    tmp_path: Path, verb: str, how: signal.Signals
):
    """Guards against orphaned node processes and unreadable records."""
    text = TEXT.replace("work = 1\n", "work = 0.5\n", 1).replace(
        "[clients]\n", "[nodes]\ncount = 1\n[clients]\n"
    )
    text += text[text.index("[[tier]]") :].replace("entrada", "archivo")
    path = tmp_path / "two.toml"
    path.write_text(text)
    command = [sys.executable, "-m", "rosewheel.cli", verb, str(path), "--out", str(tmp_path)]
    with subprocess.Popen(
        command, cwd=ROOT, stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True
    ) as process:
        assert process.stdout is not None
        folder = tmp_path if verb == "emulate" else tmp_path / "v0-s1"
        if verb == "emulate":
            process.stdout.readline()  # everything has started
        asyncio.run(
            until(lambda: any(row["e"] == "sample" for row in read_records(folder / "equipos.jsonl")))
        )
        family = _family(process.pid)
        assert len(family) == (2 if verb == "emulate" else 4)  # nodes; and for the experiment the emulator
        process.send_signal(how)
        process.wait(timeout=60)
    for one in family:
        _wait_ended(one)
    for config in (folder / "nodes").glob("*/config.json"):
        host, port = msgspec.json.decode(config.read_bytes())["listen"].split(":")
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection((host, int(port)))
    assert all("e" in row for row in read_records(folder / "equipos.jsonl"))
    assert process.returncode == {"emulate": 0, "experiment": 130}[verb] or how is signal.SIGKILL


def _family(pid: int) -> list[int]:
    """All descendants of this process."""
    direct = Path(f"/proc/{pid}/task/{pid}/children").read_text().split()
    return [one for child in direct for one in (int(child), *_family(int(child)))]


def test_timer_lag_is_reported(tmp_path: Path):
    async def main() -> None:
        async with emulated(tmp_path) as emulator:
            for _ in range(100):
                first(emulator)._tick(now_ms() - 40.0)
            assert emulator.statistics().lag_p99_ms >= 40.0

    run(main())


def _wait_ended(pid: int) -> None:
    """Wait until the process has ended."""
    with contextlib.suppress(OSError):
        handle = os.pidfd_open(pid)
        try:
            import select

            assert select.select([handle], [], [], 30.0)[0], "it lives on"
        finally:
            os.close(handle)


def test_records_are_readable_up_to_a_torn_last_line(tmp_path: Path):
    path = tmp_path / "r.jsonl"
    path.write_bytes(b'{"e":"a"}\n{"e":"b"}\n{"e":"c","t"')
    assert [row["e"] for row in read_records(path)] == ["a", "b"]
