"""What a node adds to the time of a call, against the same calls straight to the equipo, in one run on loopback.

    python benchmarks/added_time.py [--rates 20,100,400] [--seconds 20] [--equipos 22] [--new 0.1]
                                    [--nodes plain,gc-off,memory,on-loop] [--csv benchmarks/results/added-time.csv]

Processes: the clients (this one), a stand-in for all equipos that answers at once, and a node for each of `--nodes`:
`plain` as `run` starts it; `gc-off` without the garbage collector; `memory` with its folder for what it has learned in
memory (/dev/shm) and not on a disk; `on-loop` writing that file on its loop and not in a thread. Each path (`direct`
and one for each node) gets calls in an open loop, at moments of a Poisson process of its own at the given rate; the
moments of all paths are interleaved, so that all see the same machine. A share `--new` of the calls comes on a
connection of its own to the node (on the direct path, to the stand-in). Clients take the connection that was used
longest ago.

All processes share the machine's monotonic clock. The stand-in writes into each answer when the request reached it,
when it answered, and whether it was the first on its connection, so each call has: `late_ms`, from the meant moment to
the clients' first step; `connect_ms`, until its connection is up; `there_ms`, from the write to the request's end at
the stand-in; `back_ms`, from its answer to its end at the client; `took_ms`, from the write to the end. From
`/proc/PID/schedstat`, of the node while the call was out: `on_ms`, on a core; `ready_ms`, ready to run without one;
of the stand-in `far_on_ms`, `far_ready_ms`; the same of each process over each rate. Every collection of a node's
garbage and every write of what it has learned is noted with its length. Rows go to `--csv`, one a call, with the load
of the machine; the last line is JSON.
"""

from __future__ import annotations

import argparse
import asyncio
import csv
import functools
import gc
import json
import os
import random
import runpy
import statistics
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, cast

import uvloop
from added_time_report import during, slow, stops, stops_in, summary, table

READY_S = 20.0
SETTLE_S = 1.0  # after the last call of a rate
FIELDS = [
    "at_s",
    "rate",
    "path",
    "client",
    "equipo",
    "late_ms",
    "connect_ms",
    "there_ms",
    "back_ms",
    "took_ms",
]
FIELDS += ["on_ms", "ready_ms", "far_on_ms", "far_ready_ms", "load"]
BODY = 200


def now_ms() -> float:
    return time.monotonic() * 1000.0


class StandIn(asyncio.Protocol):
    """Answers each request as soon as its end is there. Requests come one at a time."""

    def __init__(self) -> None:
        self.got, self.used = b"", 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        self.got += data
        head, end, rest = self.got.partition(b"\r\n\r\n")
        if not end:
            return
        length = 0
        for line in head.lower().split(b"\r\n"):
            if line.startswith(b"content-length:"):
                length = int(line[15:])
        if len(rest) < length:
            return
        came, self.got = now_ms(), b""
        self.used += 1
        body = b"%d %.4f %.4f" % (self.used, came, now_ms())
        self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))


async def serve() -> None:
    loop = asyncio.get_running_loop()
    server = await loop.create_server(StandIn, "127.0.0.1", 0, backlog=1024)
    print(server.sockets[0].getsockname()[1], flush=True)
    await loop.run_in_executor(None, sys.stdin.read)  # until whoever started it has gone


def be_a_node(path: str, name: str) -> None:
    """`python -m rosewheel` with its collections and its writes of what it learned noted in this file."""
    from rosewheel.proxy.snapshots import SnapshotWriter

    began, plain = [0.0], SnapshotWriter._replace_file
    with Path(path).open("w", buffering=1) as file:

        def note(phase: str, info: dict[str, int]) -> None:
            if phase == "start":
                began[0] = now_ms()
            else:
                file.write(f"generation-{info['generation']} {began[0]:.3f} {now_ms() - began[0]:.3f}\n")

        def put(self: SnapshotWriter, path: Path, data: bytes) -> OSError | None:
            start = now_ms()
            error = plain(self, path, data)
            file.write(f"snapshot {start:.3f} {now_ms() - start:.3f}\n")
            return error

        def due(self: SnapshotWriter) -> None:
            self.write()
            self._schedule()

        SnapshotWriter._replace_file = put
        if name == "on-loop":
            SnapshotWriter._write_scheduled = due
        gc.callbacks.append(note)
        if name == "gc-off":
            gc.disable()
        sys.argv = ["rosewheel"]
        runpy.run_module("rosewheel", run_name="__main__")


def start_node(
    folder: Path, memory: Path, name: str, port: int, equipo: int, equipos: int
) -> subprocess.Popen[bytes]:
    folder.mkdir()
    listed = [
        {"host": f"e{at}", "dial": f"127.0.0.1:{equipo}", "site": "a", "block": 0, "health": "active"}
        for at in range(equipos)
    ]
    row = {
        "name": name,
        "listen": f"127.0.0.1:{port}",
        "discovery": "127.0.0.1:1",
        "seed": "1",
        "limits": {"memory_mb": 192, "sockets": 1024},
        "known": {"seq": 1, "hosts": listed},
        "settings": {
            "locality": "a",
            "tier": 0,
            "siblings": 1,
            "registryMode": "push",
            "categories": [
                {
                    "name": "post",
                    "effect": "single_shot",
                    "keyScope": "all",
                    "aimMs": 2500,
                    "giveUpMs": 6000,
                    "credit": 1.0,
                    "lateWorth": 0.0,
                    "memorySpanMs": 0,
                }
            ],
            "bounds": {"maxAttempts": 3, "connIdleMs": 30000, "connectTimeoutMs": 250},
            "invariants": {"coldFrom": 1.0, "coldMs": 0.0, "tipAfterMs": 1500.0, "overloadFactor": 2.0},
        },
    }
    config = folder / "config.json"
    config.write_text(json.dumps(row))
    environ = {key: value for key, value in os.environ.items() if not key.startswith("LB_")}
    environ |= {"LB_CONFIG": str(config), "TMPDIR": str(memory if name == "memory" else folder)}
    command = [sys.executable, __file__, "--role", name, "--note", str(folder / "stops")]
    with (folder / "log").open("wb") as log:
        return subprocess.Popen(command, env=environ, stdout=log, stderr=log)


# -------------------------------------------------------------------- clients


class Caller(asyncio.Protocol):
    """One connection of a client: a call at a time."""

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
class Way:
    name: str
    port: int
    pid: int  # of what the clients talk to
    idle: list[Caller] = field(default_factory=list)


@dataclass
class Clients:
    rows: list[dict[str, Any]] = field(default_factory=list)
    failed: int = 0
    far: int = 0  # the process of the stand-in
    _number: int = 0

    async def call(self, way: Way, rate: float, meant_ms: float, new: bool) -> None:
        self._number += 1
        head = (
            b"POST /api/album/7 HTTP/1.1\r\nHost: app.svc\r\nRequest-Id: %d-%d\r\nRequest-Class: post\r\n"
            b"Request-Timeout-Ms: 6000\r\nContent-Length: %d\r\n\r\n" % (way.port, self._number, BODY)
        )
        began, caller = now_ms(), None
        while not new and way.idle and caller is None:
            caller = way.idle.pop(0)
            caller = None if caller.ended else caller
        fresh = caller is None
        loop = asyncio.get_running_loop()
        if caller is None:
            _, caller = await loop.create_connection(Caller, "127.0.0.1", way.port)
        caller.answer = answer = loop.create_future()
        near, far = schedule_ms(way.pid), schedule_ms(self.far)
        sent = now_ms()
        caller.transport.write(head + b"x" * BODY)
        ended, body = await answer
        near, far = (
            tuple(new - old for new, old in zip(schedule_ms(pid), before, strict=True))
            for pid, before in ((way.pid, near), (self.far, far))
        )
        if not body:
            self.failed += 1
            return
        if new:
            caller.transport.close()
        else:
            way.idle.append(caller)
        used, came, wrote = body.split()
        row = {
            "at_s": round(meant_ms / 1000.0, 3),
            "at_ms": meant_ms,
            "rate": f"{rate:g}",
            "path": way.name,
            "client": "new" if fresh else "kept",
            "equipo": "new" if used == b"1" else "kept",
            "late_ms": began - meant_ms,
            "connect_ms": sent - began,
            "there_ms": float(came) - sent,
            "back_ms": ended - float(wrote),
            "took_ms": ended - sent,
            "on_ms": near[0],
            "ready_ms": near[1],
            "far_on_ms": far[0],
            "far_ready_ms": far[1],
            "load": os.getloadavg()[0],
        }
        self.rows.append(
            {key: round(value, 3) if isinstance(value, float) else value for key, value in row.items()}
        )

    async def play(
        self, ways: list[Way], rate: float, seconds: float, share: float, rng: random.Random
    ) -> None:
        """Calls to all ways at this rate each."""
        moments: list[tuple[float, Way]] = []
        begin = now_ms() + 100.0
        for way in ways:
            at = rng.expovariate(rate)
            while at < seconds:
                moments.append((begin + at * 1000.0, way))
                at += rng.expovariate(rate)
        tasks = []
        for meant, way in sorted(moments, key=lambda one: one[0]):
            if (wait := meant - now_ms()) > 0.0:
                await asyncio.sleep(wait / 1000.0)
            tasks.append(asyncio.ensure_future(self.call(way, rate, meant, rng.random() < share)))
        await asyncio.gather(*tasks)


# ------------------------------------------------------------------- measures


@functools.cache
def _schedule(pid: int) -> int:
    return os.open(f"/proc/{pid}/schedstat", os.O_RDONLY)


def schedule_ms(pid: int) -> tuple[float, ...]:
    """On a core, and ready to run without one, since the process began."""
    on, ready, _ = os.pread(_schedule(pid), 128, 0).split()
    return int(on) / 1e6, int(ready) / 1e6


async def up(port: int) -> None:
    began = time.monotonic()
    while time.monotonic() - began < READY_S:
        try:
            (await asyncio.open_connection("127.0.0.1", port))[1].close()
        except OSError:
            await asyncio.sleep(0.05)
        else:
            return
    raise SystemExit("the node did not start")


async def free_port() -> int:
    server = await asyncio.start_server(lambda *_: None, "127.0.0.1", 0)
    port: int = server.sockets[0].getsockname()[1]
    server.close()
    await server.wait_closed()
    return port


async def measure(given: argparse.Namespace) -> dict[str, Any]:
    command = [sys.executable, __file__, "--role", "stand-in"]
    stand_in = subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True)
    started: list[subprocess.Popen[Any]] = [stand_in]
    assert stand_in.stdout is not None
    equipo = int(stand_in.stdout.readline())
    clients, rng = Clients(far=stand_in.pid), random.Random(given.seed)
    ways = [Way("direct", equipo, stand_in.pid)]
    spans: dict[str, tuple[float, float]] = {}
    cores: list[dict[str, Any]] = []
    with tempfile.TemporaryDirectory() as folder, tempfile.TemporaryDirectory(dir="/dev/shm") as memory:
        try:
            for name in given.nodes.split(","):
                port = await free_port()
                started.append(
                    start_node(Path(folder) / name, Path(memory), name, port, equipo, given.equipos)
                )
                await up(port)
                ways.append(Way(name, port, started[-1].pid))
            await clients.play(ways, 50.0, 2.0, given.new, rng)  # warms all paths
            failed, clients.rows, clients.failed = clients.failed, [], 0
            if failed:
                raise SystemExit(f"{failed} of the first calls failed")
            gc.collect()
            gc.freeze()
            gc.disable()  # the clients' own: what they keep grows with the run
            pids = {"clients": os.getpid(), "stand-in": stand_in.pid}
            pids |= {way.name: process.pid for way, process in zip(ways[1:], started[1:], strict=True)}
            for text in given.rates.split(","):
                begin, before = now_ms(), {name: schedule_ms(pid) for name, pid in pids.items()}
                count = len(clients.rows)
                await clients.play(ways, float(text), given.seconds, given.new, rng)
                await asyncio.sleep(SETTLE_S)
                spans[f"{float(text):g}"] = begin, now_ms()
                for name, pid in pids.items():
                    on, ready = (
                        after - old for after, old in zip(schedule_ms(pid), before[name], strict=True)
                    )
                    calls = (
                        sum(row["path"] == name for row in clients.rows[count:]) or len(clients.rows) - count
                    )
                    cores.append(
                        {
                            "rate": text,
                            "process": name,
                            "on_core_ms_a_call": round(on / calls, 3),
                            "waited_for_a_core_ms_a_call": round(ready / calls, 3),
                        }
                    )
        finally:
            for process in started:
                process.terminate()
                process.wait()
        noted = {name: stops_in(Path(folder) / name / "stops") for name in given.nodes.split(",")}
    if given.csv:
        given.csv.parent.mkdir(parents=True, exist_ok=True)
        with given.csv.open("w", newline="") as file:
            writer = csv.DictWriter(file, FIELDS, extrasaction="ignore")
            writer.writeheader()
            writer.writerows(sorted(clients.rows, key=lambda row: row["at_s"]))
    names = [way.name for way in ways]
    loads = [row["load"] for row in clients.rows]
    return {
        "load": {"least": min(loads), "mean": round(statistics.fmean(loads), 1), "most": max(loads)},
        "failed": clients.failed,
        "paths": summary(clients.rows, names),
        "cores": cores,
        "during_writes": during(clients.rows, noted),
        "slow": slow(clients.rows, names, noted),
        "stops": {name: stops(rows, spans) for name, rows in noted.items()},
    }


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.split("\n", 1)[0])
    parser.add_argument("--rates", default="20,100,400")
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--equipos", type=int, default=22)
    parser.add_argument("--new", type=float, default=0.1)
    parser.add_argument("--nodes", default="plain,gc-off,memory,on-loop")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--csv", type=Path)
    parser.add_argument("--role", help=argparse.SUPPRESS)
    parser.add_argument("--note", help=argparse.SUPPRESS)
    given = parser.parse_args()
    if given.role == "stand-in":
        uvloop.run(serve())
    elif given.role:
        be_a_node(given.note, given.role)
    else:
        found = uvloop.run(measure(given))
        print(table(found))
        print(json.dumps(found))


if __name__ == "__main__":
    main()
