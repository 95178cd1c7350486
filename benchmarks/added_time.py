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
import gc
import json
import os
import random
import runpy
import statistics
import subprocess
import sys
import tempfile
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import uvloop
from added_time_clients import CallPath, Clients, schedule_ms
from added_time_report import Stop, during, slow, stops, stops_in, summary, table
from processes import (
    RequestReader,
    free_port,
    node_document,
    now_ms,
    serve_role,
    start_node,
    start_role,
    stop,
    wait_listening,
)

SETTLE_S = 1.0  # after the last call of a rate
WARM_UP_RATE, WARM_UP_S = 50.0, 2.0
FIELDS = [
    *("at_s", "rate", "path", "client", "equipo", "late_ms", "connect_ms", "there_ms", "back_ms", "took_ms"),
    *("on_ms", "ready_ms", "far_on_ms", "far_ready_ms", "load"),
]


class StandInServer(RequestReader):
    """Answers with the number of requests on the connection, and when it received and answered this one."""

    def __init__(self) -> None:
        super().__init__()
        self.request_count = 0

    def response(self) -> bytes:
        received_ms = now_ms()
        self.request_count += 1
        body = b"%d %.4f %.4f" % (self.request_count, received_ms, now_ms())
        return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)


def run_noted_node(path: str, name: str) -> None:
    """Run `python -m rosewheel`; its garbage collections and its writes of learned state are noted in this file."""
    from rosewheel.proxy.snapshots import SnapshotWriter

    began, plain = [0.0], SnapshotWriter._replace_file
    with Path(path).open("w", buffering=1) as file:

        def note(phase: str, info: dict[str, int]) -> None:
            if phase == "start":
                began[0] = now_ms()
            else:
                file.write(f"generation-{info['generation']} {began[0]:.3f} {now_ms() - began[0]:.3f}\n")

        def put(self: SnapshotWriter, path: str, data: bytes) -> OSError | None:
            start = now_ms()
            error = plain(self, path, data)
            file.write(f"snapshot {start:.3f} {now_ms() - start:.3f}\n")
            return error

        def due(self: SnapshotWriter) -> None:
            self.write()
            self._schedule()

        SnapshotWriter._replace_file = put  # type: ignore[method-assign]
        if name == "on-loop":
            SnapshotWriter._write_scheduled = due  # type: ignore[method-assign]
        gc.callbacks.append(note)
        if name == "gc-off":
            gc.disable()
        sys.argv = ["rosewheel"]
        runpy.run_module("rosewheel", run_name="__main__")


def start_noted_node(
    folder: Path, memory: Path, name: str, document: dict[str, Any]
) -> subprocess.Popen[bytes]:
    """Start a node that runs `run_noted_node`."""
    folder.mkdir()
    command = [sys.executable, __file__, "--role", name, "--note", str(folder / "stops")]
    return start_node(folder, document, command, memory if name == "memory" else folder)


@dataclass
class Bench:
    """All processes of a run.

    Attributes:
        paths: `direct` and one for each node.
        processes: the stand-in and the nodes, in the order of the paths.
        cores: what the processes ran and waited, by rate.
        spans: when each rate began and ended, in ms.
    """

    clients: Clients
    paths: list[CallPath]
    processes: list[subprocess.Popen[Any]]
    cores: list[dict[str, Any]] = field(default_factory=list)
    spans: dict[str, tuple[float, float]] = field(default_factory=dict)

    async def start_nodes(self, options: argparse.Namespace, folder: Path, memory: Path) -> None:
        """Start the nodes, and wait until each listens."""
        server_port = self.paths[0].port
        for name in options.nodes.split(","):
            port = await free_port()
            document = node_document(name, port, server_port, options.servers)
            self.processes.append(start_noted_node(folder / name, memory, name, document))
            await wait_listening(port)
            self.paths.append(CallPath(name, port, self.processes[-1].pid))

    async def warm_up(self, new_share: float, rng: random.Random) -> None:
        """Send calls on all paths, and drop what they took."""
        await self.clients.run(self.paths, WARM_UP_RATE, WARM_UP_S, new_share, rng)
        failed, self.clients.rows, self.clients.failed = self.clients.failed, [], 0
        if failed:
            raise SystemExit(f"{failed} of the first calls failed")

    async def measure_rate(self, text: str, options: argparse.Namespace, rng: random.Random) -> None:
        """Send calls at one rate, and note what the processes ran and waited meanwhile."""
        pids = {"clients": os.getpid(), "stand-in": self.processes[0].pid}
        pids |= {path.name: path.pid for path in self.paths[1:]}
        begin_ms, before = now_ms(), {name: schedule_ms(pid) for name, pid in pids.items()}
        count = len(self.clients.rows)
        await self.clients.run(self.paths, float(text), options.seconds, options.new, rng)
        await asyncio.sleep(SETTLE_S)
        self.spans[f"{float(text):g}"] = begin_ms, now_ms()
        rows = self.clients.rows[count:]
        for name, pid in pids.items():
            on, ready = (new - old for new, old in zip(schedule_ms(pid), before[name], strict=True))
            calls = sum(row["path"] == name for row in rows) or len(rows)
            self.cores.append(
                {
                    "rate": text,
                    "process": name,
                    "on_core_ms_a_call": round(on / calls, 3),
                    "waited_for_a_core_ms_a_call": round(ready / calls, 3),
                }
            )


async def measure(options: argparse.Namespace) -> dict[str, Any]:
    """Start all processes, measure each rate, and return the result."""
    stand_in, port = start_role(__file__, "stand-in")
    bench = Bench(Clients(stand_in.pid), [CallPath("direct", port, stand_in.pid)], [stand_in])
    rng = random.Random(options.seed)
    with tempfile.TemporaryDirectory() as folder, tempfile.TemporaryDirectory(dir="/dev/shm") as memory:
        try:
            await bench.start_nodes(options, Path(folder), Path(memory))
            await bench.warm_up(options.new, rng)
            gc.collect()
            gc.freeze()
            gc.disable()  # the clients' own: what they keep grows with the run
            for text in options.rates.split(","):
                await bench.measure_rate(text, options, rng)
        finally:
            stop(bench.processes)
        noted = {name: stops_in(Path(folder) / name / "stops") for name in options.nodes.split(",")}
    if options.csv:
        write_rows(options.csv, bench.clients.rows)
    return result(bench, noted)


def write_rows(path: Path, rows: list[dict[str, Any]]) -> None:
    """Write one row of CSV for each call."""
    path.parent.mkdir(parents=True, exist_ok=True)
    with path.open("w", newline="") as file:
        writer = csv.DictWriter(file, FIELDS, extrasaction="ignore")
        writer.writeheader()
        writer.writerows(sorted(rows, key=lambda row: row["at_s"]))


def result(bench: Bench, noted: dict[str, list[Stop]]) -> dict[str, Any]:
    """The run's result, as its last line has it."""
    rows, names = bench.clients.rows, [path.name for path in bench.paths]
    loads = [row["load"] for row in rows]
    return {
        "load": {"least": min(loads), "mean": round(statistics.fmean(loads), 1), "most": max(loads)},
        "failed": bench.clients.failed,
        "paths": summary(rows, names),
        "cores": bench.cores,
        "during_writes": during(rows, noted),
        "slow": slow(rows, names, noted),
        "stops": {name: stops(own, bench.spans) for name, own in noted.items()},
    }


def main() -> None:
    """Measure, or be one of the other processes."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").split("\n", 1)[0])
    parser.add_argument("--rates", default="20,100,400", help="calls a second on each path")
    parser.add_argument("--seconds", type=float, default=20.0, help="length of each rate")
    parser.add_argument("--equipos", dest="servers", type=int, default=22, help="endpoints of each node")
    parser.add_argument("--new", type=float, default=0.1, help="share of calls on a connection of their own")
    parser.add_argument("--nodes", default="plain,gc-off,memory,on-loop")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--csv", type=Path)
    parser.add_argument("--role", help=argparse.SUPPRESS)
    parser.add_argument("--note", help=argparse.SUPPRESS)
    options = parser.parse_args()
    if options.role == "stand-in":
        uvloop.run(serve_role(StandInServer))
    elif options.role:
        run_noted_node(options.note, options.role)
    else:
        found = uvloop.run(measure(options))
        print(table(found))
        print(json.dumps(found))


if __name__ == "__main__":
    main()
