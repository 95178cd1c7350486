"""Emulated servers and discovery on sockets, and interrupted runs."""

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


def first_host(emulator: Emulator) -> EmulatedServerHost:
    return next(iter(emulator.fleet.hosts.values()))


class PlainClient:
    """Connection to an emulated server, without retries or pooling."""

    def __init__(self, host: EmulatedServerHost) -> None:
        self.host, self.sent = host, 0

    async def __aenter__(self) -> PlainClient:
        self.reader, self.writer = await asyncio.open_connection(*self.host.address)
        return self

    async def __aexit__(self, *_: object) -> None:
        self.writer.close()

    def send(
        self, request_id: str, class_name: str = "post", work_ms: float = 20.0, key: str = "", node: str = ""
    ) -> None:
        idempotency = Idempotency.IDEMPOTENT_WITH_KEY if key else Idempotency.NON_IDEMPOTENT
        request = ClientRequest(
            class_name, idempotency, request_id, 2000, node, request_id, work_ms, key, body_bytes=10
        )
        self.writer.write(request.encode())

    async def response(self) -> Message | None:
        async with asyncio.timeout(20.0):
            return await read_message(self.reader)

    async def request(self, request_id: str, **options: Any) -> Message | None:
        self.send(request_id, **options)
        return await self.response()


def jobs(folder: Path) -> list[dict[str, Any]]:
    return [row for row in read_records(folder / "equipos.jsonl") if row["e"] == "job"]


def test_a_response_names_its_request_and_reports_the_load(tmp_path: Path):
    async def main() -> None:
        async with emulated(tmp_path) as emulator, PlainClient(first_host(emulator)) as client:
            response = await client.request("r1")
            assert response is not None
            assert status(response) == 200
            assert response.body.startswith(b"r1\n")
            assert len(response.body) == 300
            assert response.headers["server-load"].startswith("TEXT queue=")
            client.writer.write(b"GET /_load HTTP/1.1\r\nHost: a\r\n\r\n")
            report = await client.response()
            assert report is not None
            assert report.body.startswith(b"queue=")

    run(main())
    assert [(row["rid"], row["verdict"], row["ran"]) for row in jobs(tmp_path)] == [("r1", "served", True)]


def test_requests_beyond_concurrency_and_queue_limits_are_rejected(tmp_path: Path):
    async def main() -> None:
        async with emulated(tmp_path) as emulator, contextlib.AsyncExitStack() as stack:
            host = first_host(emulator)
            for number in range(3):
                client = await stack.enter_async_context(PlainClient(host))
                client.send(f"r{number}", work_ms=1e6)
            await until(lambda: host.model.arrived == 3)
            client = await stack.enter_async_context(PlainClient(host))
            response = await client.request("late")
            assert status(response) == 503
            assert response is not None
            assert response.headers["not-started"] == "1"

    run(main())
    assert next(row for row in jobs(tmp_path) if row["verdict"] == "turned away")["ran"] is False


def test_work_continues_after_its_client_disconnects(tmp_path: Path):
    async def main() -> None:
        async with emulated(tmp_path) as emulator:
            host = first_host(emulator)
            async with PlainClient(host) as client:
                client.send("r1", work_ms=60.0)
                await until(lambda: host.model.arrived == 1)
            await until(lambda: host.model.ended == 1)

    run(main())
    assert [(row["verdict"], row["wanted"]) for row in jobs(tmp_path)] == [("served", False)]


def test_a_duplicate_at_another_server_of_the_cell_is_not_executed(tmp_path: Path):
    async def main() -> None:
        async with emulated(tmp_path) as emulator:
            first, second = emulator.fleet.hosts.values()
            async with PlainClient(first) as first_client, PlainClient(second) as second_client:
                first_client.send("r1", class_name="points", work_ms=80.0, key="k")
                await until(lambda: first.model.arrived == 1)
                response = await second_client.request("r2", class_name="points", work_ms=80.0, key="k")
                assert status(response) == 200
                assert status(await first_client.response()) == 200

    run(main())
    assert sorted((row["rid"], row["ran"]) for row in jobs(tmp_path)) == [("r1", True), ("r2", False)]


@pytest.mark.parametrize("how", ["reset", "silence", "half", "spoilt", "delay"])
def test_each_connection_fault_as_a_plain_client_sees_it(tmp_path: Path, how: str):
    async def main() -> None:
        async with emulated(tmp_path) as emulator:
            host = first_host(emulator)
            async with PlainClient(host) as client:
                await until(lambda: len(host.connections) == 1)
                # The fault affects open connections too.
                host.begin_fault(
                    0, ConnectionFault(ConnectionFaultKind(how), 1.0, 1.0, random_stream(1, "fault"))
                )
                client.send("r1")
                if how == "reset":
                    with pytest.raises(ConnectionResetError):
                        await client.reader.read()
                elif how == "silence":
                    host.end_fault(0)
                    # New connections are served; the first one stays silent.
                    async with PlainClient(host) as other:
                        assert status(await other.request("r2")) == 200
                    assert not client.reader._buffer  # type: ignore[attr-defined]
                elif how == "half":
                    data = await client.reader.read()
                    assert data.startswith(b"HTTP/1.1 200")
                    assert len(data) < 300
                elif how == "spoilt":
                    assert not (await client.reader.readexactly(64)).startswith(b"HTTP")
                else:
                    assert status(await client.response()) == 200

    run(main())


def test_connections_are_refused_and_accepted_again(tmp_path: Path):
    async def main() -> None:
        async with emulated(tmp_path) as emulator:
            host = first_host(emulator)
            host.stop_accepting()
            with pytest.raises(ConnectionRefusedError):
                await asyncio.open_connection(*host.address)
            await host.resume_accepting()
            async with PlainClient(host) as client:
                assert status(await client.request("r1")) == 200

    run(main())


def test_an_isolated_machine_is_silent_and_resets_connections_when_it_rejoins(tmp_path: Path):
    async def main() -> None:
        async with emulated(tmp_path) as emulator:
            host = first_host(emulator)
            async with PlainClient(host) as client:
                assert status(await client.request("r1")) == 200
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
                assert status(await client.request("r3")) == 200

    run(main())


def test_a_crash_resets_connections_and_records_jobs_as_lost(tmp_path: Path):
    async def main() -> None:
        async with emulated(tmp_path) as emulator:
            host = first_host(emulator)
            async with PlainClient(host) as client:
                client.send("r1", work_ms=1e6)
                await until(lambda: host.model.arrived == 1)
                emulator.fleet.crash(host)
                with pytest.raises(ConnectionResetError):
                    await client.reader.read()
            with pytest.raises(ConnectionRefusedError):
                await asyncio.open_connection(*host.address)
            await emulator.fleet.restart_crashed(host)
            assert host.model.warm_up_share(now_ms()) < 1.0
            async with PlainClient(host) as client:
                assert status(await client.request("r2")) == 200

    run(main())
    assert {row["rid"]: row["verdict"] for row in jobs(tmp_path)} == {"r1": "lost", "r2": "served"}


def test_a_step_of_the_wall_clock_changes_nothing(tmp_path: Path, monkeypatch: pytest.MonkeyPatch):
    """Guards against wrong start times and plan times after the wall clock is set or the machine was suspended."""
    wall_s = time.time

    async def main() -> None:
        async with emulated(tmp_path) as emulator:
            host = first_host(emulator)
            before = emulator.fleet.clock.plan_time()
            monkeypatch.setattr("time.time", lambda: wall_s() + 3600.0)
            emulator.fleet.crash(host)
            await emulator.fleet.restart_crashed(host)
            launched_ms = emulator.fleet.registries[0].endpoints[host.spec.name].launched_ms
            assert launched_ms < (wall_s() + 1800.0) * 1000.0, "start of the server is in the future"
            assert launched_ms > (wall_s() - 1800.0) * 1000.0
            assert before <= emulator.fleet.clock.plan_time() < 1800e3

    run(main())


async def watch(address: tuple[str, int], since: int) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    reader, writer = await asyncio.open_connection(*address)
    writer.write(f"GET /catalog/members?follow=1&since={since} HTTP/1.1\r\nHost: a\r\n\r\n".encode())
    await reader.readuntil(b"\r\n\r\n")
    return reader, writer


async def next_message(reader: asyncio.StreamReader) -> dict[str, Any]:
    """Return the next message of a watch, skipping heartbeats."""
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
        agent.set_stalled(True)
        registry.update(DiscoveryEntry("s", "127.0.0.1:1", "z", 0, "leaving"), DiscoveryChange.DRAIN)
        registry.update(DiscoveryEntry("s", "127.0.0.1:1", "z", 0, "left"), DiscoveryChange.STOP)
        await until(lambda: agent.version == 3)
        assert notified[-1][2] == "active", "notified of a change that was not sent"
        agent.set_stalled(False)
        row = await next_message(reader)
        assert [host["health"] for host in row["hosts"]] == ["leaving", "left"]
        assert [item[2] for item in notified] == ["active", "leaving", "left"]
        agent.reset_watches()
        with pytest.raises((ConnectionResetError, asyncio.IncompleteReadError)):
            await reader.readuntil(b"never")
        writer.close()
        registry.close()

    run(main())


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
            process.stdout.readline()  # printed when all processes have started
        asyncio.run(
            until(lambda: any(row["e"] == "sample" for row in read_records(folder / "equipos.jsonl")))
        )
        descendants = _descendants(process.pid)
        # 2 local nodes; an experiment also has 1 node for clients and the emulator.
        assert len(descendants) == (2 if verb == "emulate" else 4)
        process.send_signal(how)
        process.wait(timeout=60)
    for pid in descendants:
        _wait_ended(pid)
    for config in (folder / "nodes").glob("*/config.json"):
        host, port = msgspec.json.decode(config.read_bytes())["listen"].split(":")
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection((host, int(port)))
    assert all("e" in row for row in read_records(folder / "equipos.jsonl"))
    assert process.returncode == {"emulate": 0, "experiment": 130}[verb] or how is signal.SIGKILL


def _descendants(pid: int) -> list[int]:
    """Return the IDs of all descendants of a process."""
    children = Path(f"/proc/{pid}/task/{pid}/children").read_text().split()
    return [descendant for child in children for descendant in (int(child), *_descendants(int(child)))]


def test_timer_lag_is_reported(tmp_path: Path):
    async def main() -> None:
        async with emulated(tmp_path) as emulator:
            for _ in range(100):
                first_host(emulator)._tick(now_ms() - 40.0)
            assert emulator.statistics().lag_p99_ms >= 40.0

    run(main())


def _wait_ended(pid: int) -> None:
    """Fail unless the process exits in time."""
    with contextlib.suppress(OSError):
        handle = os.pidfd_open(pid)
        try:
            import select

            assert select.select([handle], [], [], 30.0)[0], "process is still running"
        finally:
            os.close(handle)


def test_records_are_readable_up_to_a_torn_last_line(tmp_path: Path):
    path = tmp_path / "r.jsonl"
    path.write_bytes(b'{"e":"a"}\n{"e":"b"}\n{"e":"c","t"')
    assert [row["e"] for row in read_records(path)] == ["a", "b"]
