"""Measures a node's CPU time per request against a proxy that copies bytes without parsing them, on loopback.

    python benchmarks/passthrough.py [--requests 6000] [--connections 16] [--rounds 3] [--body 200] [--equipos 10]

Four processes: the clients (this one), a server that responds at once, the bare proxy (on uvloop), and a node as `run`
starts it. Requests go through the bare proxy and the node in turns. All `--equipos` endpoints of the node are the one
server. The last line is JSON: user and system time of each per request in microseconds, the ratio of the two, and the
node's memory at the end.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import statistics
import sys
import tempfile
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, cast

import uvloop
from processes import (
    RequestReader,
    cpu_s,
    free_port,
    node_document,
    resident_mb,
    serve_role,
    start_node,
    start_role,
    stop,
    wait_listening,
)

WARM_UP_REQUESTS = 20  # on each connection, before the measurement
NODE_COMMAND = [sys.executable, "-m", "rosewheel"]


class StandInServer(RequestReader):
    """A server that responds at once."""

    def response(self) -> bytes:
        return b"HTTP/1.1 200 OK\r\nContent-Length: 20\r\nServer-Load: inflight=1\r\n\r\n" + b"a" * 20


class BareProxy(asyncio.Protocol):
    """One side of a proxied connection, which copies its bytes to the other side."""

    def __init__(self, target: tuple[str, int] | None = None, other: BareProxy | None = None) -> None:
        self.target, self.other = target, other
        self.transport: asyncio.Transport | None = None
        self.pending: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        if self.target is not None:
            loop = asyncio.get_running_loop()
            other = BareProxy(other=self)
            self.other = other
            self._task = loop.create_task(loop.create_connection(lambda: other, *self.target))
        for data in self.pending:
            self.transport.write(data)

    def data_received(self, data: bytes) -> None:
        assert self.other is not None
        if self.other.transport is None:
            self.other.pending.append(data)
        else:
            self.other.transport.write(data)

    def connection_lost(self, exc: Exception | None) -> None:
        if self.other is not None and self.other.transport is not None:
            self.other.transport.close()


async def send_requests(port: int, requests: int, connections: int, body: int, round_number: int) -> int:
    """Send requests over several connections, one at a time on each; return how many got status 200."""
    served = 0

    async def send_on_connection(connection: int) -> None:
        nonlocal served
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        for number in range(requests // connections):
            writer.write(
                b"POST /api/album/7 HTTP/1.1\r\nHost: app.svc\r\nRequest-Id: %d-%d-%d-%d\r\n"
                b"Request-Class: post\r\nRequest-Timeout-Ms: 6000\r\nTenant: family\r\n"
                b"User-Agent: benchmark\r\nContent-Length: %d\r\n\r\n"
                % (port, round_number, connection, number, body)
                + b"x" * body
            )
            head = await reader.readuntil(b"\r\n\r\n")
            size = head.lower().partition(b"content-length:")[2].partition(b"\r\n")[0]
            await reader.readexactly(int(size))
            served += head.startswith(b"HTTP/1.1 200")
        writer.close()

    await asyncio.gather(*(send_on_connection(connection) for connection in range(connections)))
    return served


@dataclass
class ForwardingPath:
    """A process that forwards requests, and its CPU time per request.

    Attributes:
        pid: ID of the process.
        port: where it listens.
        cpu_us: microseconds of CPU time per request, by round.
    """

    pid: int
    port: int
    cpu_us: list[float] = field(default_factory=list)


async def measure_paths(paths: dict[str, ForwardingPath], options: argparse.Namespace) -> None:
    """Warm up each path, then send requests through the paths in turns."""
    for name, path in paths.items():
        warm_up = options.connections * WARM_UP_REQUESTS
        if not await send_requests(path.port, warm_up, options.connections, options.body, -1):
            raise SystemExit(f"{name}: no request of the warm-up got status 200")
    for number in range(options.rounds):
        for path in paths.values():
            before_s = cpu_s(path.pid)
            served = await send_requests(
                path.port, options.requests, options.connections, options.body, number
            )
            path.cpu_us.append((cpu_s(path.pid) - before_s) / max(1, served) * 1e6)


async def measure(options: argparse.Namespace) -> dict[str, Any]:
    """Start the processes, measure both paths, and return the result."""
    with tempfile.TemporaryDirectory() as folder:
        server, server_port = start_role(__file__, "server")
        bare, bare_port = start_role(__file__, "bare", "--target", str(server_port))
        port = await free_port()
        document = node_document("n0", port, server_port, options.servers)
        node = start_node(Path(folder), document, NODE_COMMAND)
        paths = {"bare": ForwardingPath(bare.pid, bare_port), "node": ForwardingPath(node.pid, port)}
        try:
            await wait_listening(port)
            await measure_paths(paths, options)
            memory = resident_mb(node.pid)
        finally:
            stop([node, bare, server])
    medians = {name: statistics.median(path.cpu_us) for name, path in paths.items()}
    return {
        "bare_us": round(medians["bare"], 1),
        "node_us": round(medians["node"], 1),
        "ratio": round(medians["node"] / medians["bare"], 2),
        "node_mb": round(memory, 1),
        "rounds": {name: [round(cost, 1) for cost in path.cpu_us] for name, path in paths.items()},
    }


def main() -> None:
    """Run the benchmark, or one of its other processes if `--role` is given."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").split("\n", 1)[0])
    parser.add_argument("--requests", type=int, default=6000)
    parser.add_argument("--connections", type=int, default=16)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--body", type=int, default=200, help="size of a request body in bytes")
    parser.add_argument(
        "--equipos", dest="servers", type=int, default=10, help="number of endpoints of the node"
    )
    parser.add_argument("--role", choices=("server", "bare"), help=argparse.SUPPRESS)
    parser.add_argument("--target", type=int, default=0, help=argparse.SUPPRESS)
    options = parser.parse_args()
    if options.role == "server":
        uvloop.run(serve_role(StandInServer))
    elif options.role == "bare":
        uvloop.run(serve_role(lambda: BareProxy(("127.0.0.1", options.target))))
    else:
        print(json.dumps(uvloop.run(measure(options))))


if __name__ == "__main__":
    main()
