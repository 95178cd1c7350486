"""What a request costs a node in CPU, against a bare pass-through that reads nothing, in one run on loopback.

    python benchmarks/passthrough.py [--requests 6000] [--connections 16] [--rounds 3] [--body 200] [--equipos 10]

Four processes: the clients (this one), an equipo that answers at once, the bare pass-through (uvloop, bytes copied
both ways), and a node as `run` starts it. The two take turns. The last line is JSON: microseconds of CPU a request,
user and system, their ratio, and the node's memory at the end. All of `--equipos` are the one that answers.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any, cast

import uvloop

READY_S = 20.0


class Equipo(asyncio.Protocol):
    """Answers each request as soon as its end is there. Requests come one at a time."""

    def __init__(self) -> None:
        self.got = b""

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
        if len(rest) >= length:
            self.got = b""
            self.transport.write(
                b"HTTP/1.1 200 OK\r\nContent-Length: 20\r\nServer-Load: inflight=1\r\n\r\n" + b"a" * 20
            )


class Bare(asyncio.Protocol):
    """One side of a copied connection."""

    def __init__(self, target: tuple[str, int] | None = None, other: Bare | None = None) -> None:
        self.target, self.other = target, other
        self.transport: asyncio.Transport | None = None
        self.waiting: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        if self.target is not None:
            loop = asyncio.get_running_loop()
            self.other = Bare(other=self)
            self._task = loop.create_task(loop.create_connection(lambda: self.other, *self.target))
        for data in self.waiting:
            self.transport.write(data)

    def data_received(self, data: bytes) -> None:
        assert self.other is not None
        if self.other.transport is None:
            self.other.waiting.append(data)
        else:
            self.other.transport.write(data)

    def connection_lost(self, exc: Exception | None) -> None:
        if self.other is not None and self.other.transport is not None:
            self.other.transport.close()


async def serve(role: str, target: int) -> None:
    loop = asyncio.get_running_loop()
    made = Equipo if role == "equipo" else lambda: Bare(("127.0.0.1", target))
    server = await loop.create_server(made, "127.0.0.1", 0)
    print(server.sockets[0].getsockname()[1], flush=True)
    await loop.run_in_executor(None, sys.stdin.read)  # until whoever started it has gone


def started(role: str, target: int = 0) -> tuple[subprocess.Popen[str], int]:
    process = subprocess.Popen(
        [sys.executable, __file__, "--role", role, "--target", str(target)],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )
    assert process.stdout is not None
    return process, int(process.stdout.readline())


def node(folder: Path, port: int, equipo: int, equipos: int) -> subprocess.Popen[bytes]:
    service = {"aimMs": 2500, "giveUpMs": 6000, "credit": 1.0, "lateWorth": 0.0, "memorySpanMs": 0}
    row = {
        "name": "n0",
        "listen": f"127.0.0.1:{port}",
        "discovery": "127.0.0.1:1",
        "seed": "1",
        "limits": {"memory_mb": 192, "sockets": 1024},
        "known": {
            "seq": 1,
            "hosts": [
                {"host": f"e{at}", "dial": f"127.0.0.1:{equipo}", "site": "a", "block": 0, "health": "active"}
                for at in range(equipos)
            ],
        },
        "settings": {
            "locality": "a",
            "tier": 0,
            "siblings": 1,
            "registryMode": "push",
            "categories": [{"name": "post", "effect": "single_shot", "keyScope": "all", **service}],
            "bounds": {"maxAttempts": 3, "connIdleMs": 30000, "connectTimeoutMs": 250},
            "invariants": {"coldFrom": 1.0, "coldMs": 0.0, "tipAfterMs": 1500.0, "overloadFactor": 2.0},
        },
    }
    path = folder / "config.json"
    path.write_text(json.dumps(row))
    environ = {key: value for key, value in os.environ.items() if not key.startswith("LB_")}
    environ |= {"LB_CONFIG": str(path), "TMPDIR": str(folder)}
    with (folder / "log").open("wb") as log:
        return subprocess.Popen([sys.executable, "-m", "rosewheel"], env=environ, stdout=log, stderr=log)


def cpu_s(pid: int) -> float:
    """User and system time of all its threads, to 10 ms."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def rss_mb(pid: int) -> float:
    """Resident memory."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6


async def ask(port: int, requests: int, connections: int, body: int, round_: int) -> int:
    """So many requests over so many connections, one at a time on each; how many were served."""
    served = 0

    async def one(number: int) -> None:
        nonlocal served
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        for at in range(requests // connections):
            writer.write(
                b"POST /api/album/7 HTTP/1.1\r\nHost: app.svc\r\nRequest-Id: %d-%d-%d-%d\r\n"
                b"Request-Class: post\r\nRequest-Timeout-Ms: 6000\r\nTenant: family\r\n"
                b"User-Agent: benchmark\r\nContent-Length: %d\r\n\r\n"
                % (port, round_, number, at, body)
                + b"x" * body
            )
            head = await reader.readuntil(b"\r\n\r\n")
            size = head.lower().partition(b"content-length:")[2].partition(b"\r\n")[0]
            await reader.readexactly(int(size))
            served += head.startswith(b"HTTP/1.1 200")
        writer.close()

    await asyncio.gather(*(one(number) for number in range(connections)))
    return served


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


async def measure(given: argparse.Namespace) -> dict[str, Any]:
    with tempfile.TemporaryDirectory() as folder:
        equipo, equipo_port = started("equipo")
        bare, bare_port = started("bare", equipo_port)
        free = await asyncio.start_server(lambda *_: None, "127.0.0.1", 0)
        port = free.sockets[0].getsockname()[1]
        free.close()
        await free.wait_closed()
        process = node(Path(folder), port, equipo_port, given.equipos)
        costs: dict[str, list[float]] = {"bare": [], "node": []}
        try:
            await up(port)
            ways = {"bare": (bare.pid, bare_port), "node": (process.pid, port)}
            for name, (_, at) in ways.items():
                if not await ask(at, given.connections * 20, given.connections, given.body, -1):
                    raise SystemExit(f"{name} serves nothing")
            for round_ in range(given.rounds):
                for name, (pid, at) in ways.items():
                    before = cpu_s(pid)
                    served = await ask(at, given.requests, given.connections, given.body, round_)
                    costs[name].append((cpu_s(pid) - before) / max(1, served) * 1e6)
            memory = rss_mb(process.pid)
        finally:
            for one in (process, bare, equipo):
                one.terminate()
                one.wait()
    medians = {name: statistics.median(row) for name, row in costs.items()}
    return {
        "bare_us": round(medians["bare"], 1),
        "node_us": round(medians["node"], 1),
        "ratio": round(medians["node"] / medians["bare"], 2),
        "node_mb": round(memory, 1),
        "rounds": {name: [round(cost, 1) for cost in row] for name, row in costs.items()},
    }


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.split("\n", 1)[0])
    parser.add_argument("--requests", type=int, default=6000)
    parser.add_argument("--connections", type=int, default=16)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--body", type=int, default=200)
    parser.add_argument("--equipos", type=int, default=10)
    parser.add_argument("--role", choices=("equipo", "bare"), help=argparse.SUPPRESS)
    parser.add_argument("--target", type=int, default=0, help=argparse.SUPPRESS)
    given = parser.parse_args()
    if given.role:
        uvloop.run(serve(given.role, given.target))
    else:
        print(json.dumps(uvloop.run(measure(given))))


if __name__ == "__main__":
    main()
