"""Measures the time that a node adds to a request, against requests sent directly to the server, on loopback.

    python benchmarks/added_time.py [--rates 20,100,400] [--seconds 20] [--equipos 22] [--new 0.1]
                                    [--nodes plain,gc-off,memory,on-loop] [--csv benchmarks/results/added-time.csv]

Processes: the clients (this one), one server that responds at once and stands in for all endpoints (`equipo` in the
output), and a node for each of `--nodes`:

- `plain`: as `run` starts it.
- `gc-off`: without garbage collection.
- `memory`: with its state folder in memory (/dev/shm) instead of on a disk.
- `on-loop`: writes its snapshots of learned state on the event loop instead of in a thread.

Requests take the path `direct`, or that of a node. On each path they are sent in an open loop, as a Poisson process of
its own at the given rate; all paths are measured at the same time, under the same load of the machine. A share `--new`
of the requests is sent on a new connection to the node (on the direct path, to the server), and the others on the idle
connection that was used longest ago.

All processes read the machine's monotonic clock. The server writes into each response when it had the request, when it
responded, and the number of requests on the connection. Columns of a request, in ms:

- `late_ms`: from the scheduled time until the client starts the request.
- `connect_ms`: from then until the connection is open.
- `there_ms`: from writing the request until the server has received it.
- `back_ms`: from the server's response until the client has received it.
- `took_ms`: from writing the request until the client has received the response.
- `on_ms`, `ready_ms`: how long the node ran on a core, and was runnable without one, while the request was in flight
  (from /proc/PID/schedstat).
- `far_on_ms`, `far_ready_ms`: the same of the server.

The last two are also reported for each process over the time of each rate. Each garbage collection of a node and each
write of a snapshot is recorded with its length. `--csv` gets one row for each request, with the machine's load average;
the last line of the output is JSON.
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
from added_time_clients import Clients, RequestPath, schedule_ms
from added_time_report import (
    Pause,
    format_table,
    pause_statistics,
    read_pauses,
    requests_during_writes,
    slow_requests,
    summarize,
)
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

SETTLE_S = 1.0  # pause after the last request of a rate
WARM_UP_RATE, WARM_UP_S = 50.0, 2.0
FIELDS = [
    *("at_s", "rate", "path", "client", "equipo", "late_ms", "connect_ms", "there_ms", "back_ms", "took_ms"),
    *("on_ms", "ready_ms", "far_on_ms", "far_ready_ms", "load"),
]


class StandInServer(RequestReader):
    """Responds with the number of requests on the connection, and when it received this one and responded."""

    def __init__(self) -> None:
        super().__init__()
        self.request_count = 0

    def response(self) -> bytes:
        received_ms = now_ms()
        self.request_count += 1
        body = b"%d %.4f %.4f" % (self.request_count, received_ms, now_ms())
        return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)


def run_traced_node(trace_path: str, name: str) -> None:
    """Run `python -m rosewheel`, and record its garbage collections and snapshot writes in a file."""
    from rosewheel.proxy.snapshots import SnapshotWriter

    collection_started_ms, replace_file = [0.0], SnapshotWriter._replace_file
    with Path(trace_path).open("w", buffering=1) as trace:

        def record_collection(phase: str, info: dict[str, int]) -> None:
            if phase == "start":
                collection_started_ms[0] = now_ms()
            else:
                trace.write(
                    f"generation-{info['generation']} {collection_started_ms[0]:.3f} "
                    f"{now_ms() - collection_started_ms[0]:.3f}\n"
                )

        def timed_replace(self: SnapshotWriter, path: str, data: bytes) -> OSError | None:
            started_ms = now_ms()
            error = replace_file(self, path, data)
            trace.write(f"snapshot {started_ms:.3f} {now_ms() - started_ms:.3f}\n")
            return error

        def write_on_loop(self: SnapshotWriter) -> None:
            self.write()
            self._schedule()

        SnapshotWriter._replace_file = timed_replace  # type: ignore[method-assign]
        if name == "on-loop":
            SnapshotWriter._write_scheduled = write_on_loop  # type: ignore[method-assign]
        gc.callbacks.append(record_collection)
        if name == "gc-off":
            gc.disable()
        sys.argv = ["rosewheel"]
        runpy.run_module("rosewheel", run_name="__main__")


def start_traced_node(
    folder: Path, memory: Path, name: str, document: dict[str, Any]
) -> subprocess.Popen[bytes]:
    """Start a process that runs `run_traced_node`; the node `memory` keeps its state in the folder `memory`."""
    folder.mkdir()
    command = [sys.executable, __file__, "--role", name, "--note", str(folder / "pauses")]
    return start_node(folder, document, command, memory if name == "memory" else folder)


@dataclass
class Benchmark:
    """The processes of a run, and its measurements.

    Attributes:
        clients: send the requests, and keep their measurements.
        paths: `direct` and one for each node.
        processes: the server and the nodes, in the order of the paths.
        cores: times on a core and waiting for one, by rate and process.
        spans: when each rate began and ended, in ms.
    """

    clients: Clients
    paths: list[RequestPath]
    processes: list[subprocess.Popen[Any]]
    cores: list[dict[str, Any]] = field(default_factory=list)
    spans: dict[str, tuple[float, float]] = field(default_factory=dict)

    async def start_nodes(self, options: argparse.Namespace, folder: Path, memory: Path) -> None:
        """Start the nodes in turn, waiting until each listens."""
        server_port = self.paths[0].port
        for name in options.nodes.split(","):
            port = await free_port()
            document = node_document(name, port, server_port, options.servers)
            self.processes.append(start_traced_node(folder / name, memory, name, document))
            await wait_listening(port)
            self.paths.append(RequestPath(name, port, self.processes[-1].pid))

    async def warm_up(self, new_share: float, rng: random.Random) -> None:
        """Send requests on all paths, and discard their measurements."""
        await self.clients.run(self.paths, WARM_UP_RATE, WARM_UP_S, new_share, rng)
        failed, self.clients.rows, self.clients.failed = self.clients.failed, [], 0
        if failed:
            raise SystemExit(f"{failed} requests of the warm-up failed")

    async def measure_rate(self, rate: str, options: argparse.Namespace, rng: random.Random) -> None:
        """Send requests at one rate, and record how long each process was on a core and waited for one."""
        pids = {"clients": os.getpid(), "stand-in": self.processes[0].pid}
        pids |= {path.name: path.pid for path in self.paths[1:]}
        begin_ms, before = now_ms(), {name: schedule_ms(pid) for name, pid in pids.items()}
        row_count = len(self.clients.rows)
        await self.clients.run(self.paths, float(rate), options.seconds, options.new, rng)
        await asyncio.sleep(SETTLE_S)
        self.spans[f"{float(rate):g}"] = begin_ms, now_ms()
        rows = self.clients.rows[row_count:]
        for name, pid in pids.items():
            on_ms, ready_ms = (new - old for new, old in zip(schedule_ms(pid), before[name], strict=True))
            request_count = sum(row["path"] == name for row in rows) or len(rows)
            self.cores.append(
                {
                    "rate": rate,
                    "process": name,
                    "on_core_ms_a_call": round(on_ms / request_count, 3),
                    "waited_for_a_core_ms_a_call": round(ready_ms / request_count, 3),
                }
            )


async def measure(options: argparse.Namespace) -> dict[str, Any]:
    """Start the processes, measure each rate, and return the result."""
    server, port = start_role(__file__, "stand-in")
    benchmark = Benchmark(Clients(server.pid), [RequestPath("direct", port, server.pid)], [server])
    rng = random.Random(options.seed)
    with tempfile.TemporaryDirectory() as folder, tempfile.TemporaryDirectory(dir="/dev/shm") as memory:
        try:
            await benchmark.start_nodes(options, Path(folder), Path(memory))
            await benchmark.warm_up(options.new, rng)
            gc.collect()
            gc.freeze()
            gc.disable()  # the rows that the clients keep make each collection longer
            for rate in options.rates.split(","):
                await benchmark.measure_rate(rate, options, rng)
        finally:
            stop(benchmark.processes)
        pauses = {name: read_pauses(Path(folder) / name / "pauses") for name in options.nodes.split(",")}
    if options.csv:
        write_rows(options.csv, benchmark.clients.rows)
    return make_result(benchmark, pauses)


def write_rows(path: Path, rows: list[dict[str, Any]]) -> None:
    """Write a CSV row for each request, in the order of their scheduled times."""
    path.parent.mkdir(parents=True, exist_ok=True)
    with path.open("w", newline="") as file:
        writer = csv.DictWriter(file, FIELDS, extrasaction="ignore")
        writer.writeheader()
        writer.writerows(sorted(rows, key=lambda row: row["at_s"]))


def make_result(benchmark: Benchmark, pauses: dict[str, list[Pause]]) -> dict[str, Any]:
    """Return the result, which the last line of the output shows."""
    rows, names = benchmark.clients.rows, [path.name for path in benchmark.paths]
    loads = [row["load"] for row in rows]
    return {
        "load": {"least": min(loads), "mean": round(statistics.fmean(loads), 1), "most": max(loads)},
        "failed": benchmark.clients.failed,
        "paths": summarize(rows, names),
        "cores": benchmark.cores,
        "during_writes": requests_during_writes(rows, pauses),
        "slow": slow_requests(rows, names, pauses),
        "stops": {
            name: pause_statistics(node_pauses, benchmark.spans) for name, node_pauses in pauses.items()
        },
    }


def main() -> None:
    """Run the benchmark, or one of its other processes if `--role` is given."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").split("\n", 1)[0])
    parser.add_argument("--rates", default="20,100,400", help="requests per second on each path")
    parser.add_argument("--seconds", type=float, default=20.0, help="duration of each rate")
    parser.add_argument(
        "--equipos", dest="servers", type=int, default=22, help="number of endpoints of each node"
    )
    parser.add_argument("--new", type=float, default=0.1, help="share of requests on a new connection")
    parser.add_argument("--nodes", default="plain,gc-off,memory,on-loop")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--csv", type=Path)
    parser.add_argument("--role", help=argparse.SUPPRESS)
    parser.add_argument("--note", help=argparse.SUPPRESS)
    options = parser.parse_args()
    if options.role == "stand-in":
        uvloop.run(serve_role(StandInServer))
    elif options.role:
        run_traced_node(options.note, options.role)
    else:
        result = uvloop.run(measure(options))
        print(format_table(result))
        print(json.dumps(result))


if __name__ == "__main__":
    main()
