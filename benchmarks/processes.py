"""Starts and measures the processes of a benchmark: servers that respond at once, and nodes.

A benchmark runs its own file as further processes with `--role`: `start_role` starts one, and `serve_role` is what it
runs.
"""

from __future__ import annotations

import asyncio
import json
import os
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, cast

READY_TIMEOUT_S = 20.0
READY_RETRY_S = 0.05
ACCEPT_BACKLOG = 1024
MAX_ENDPOINTS = 100
HEAD_END = b"\r\n\r\n"


def now_ms() -> float:
    """Return the machine's monotonic clock, which all its processes share, in ms."""
    return time.monotonic() * 1000.0


class RequestReader(asyncio.Protocol):
    """Responds to each request once it is complete. Does not support pipelining."""

    def __init__(self) -> None:
        self._received = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        self._received += data
        head, end, body = self._received.partition(HEAD_END)
        if end and len(body) >= _content_length(head):
            self._received = b""
            self.transport.write(self.response())

    def response(self) -> bytes:
        """Return the response to the request that is now complete."""
        raise NotImplementedError


def _content_length(head: bytes) -> int:
    """Return the request's Content-Length, or 0 if it has none."""
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return int(line.removeprefix(b"content-length:"))
    return 0


def endpoint_host(number: int) -> str:
    """Return the loopback address of an endpoint."""
    return f"127.0.0.{number + 1}"


async def serve_role(factory: Callable[[], asyncio.Protocol]) -> None:
    """Listen on a free port, print it, and serve until standard input is closed, as when the parent process ends."""
    loop = asyncio.get_running_loop()
    server = await loop.create_server(factory, "127.0.0.1", 0, backlog=ACCEPT_BACKLOG)
    port = server.sockets[0].getsockname()[1]
    for number in range(
        1, MAX_ENDPOINTS
    ):  # an address for each endpoint: a node takes one address for one server
        await loop.create_server(factory, endpoint_host(number), port, backlog=ACCEPT_BACKLOG)
    print(port, flush=True)
    await loop.run_in_executor(None, sys.stdin.read)


def start_role(script: str, role: str, *arguments: str) -> tuple[subprocess.Popen[str], int]:
    """Run a benchmark's file as another process.

    Returns:
        The process and the port on which it listens.
    """
    command = [sys.executable, script, "--role", role, *arguments]
    process = subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True)
    assert process.stdout is not None
    return process, int(process.stdout.readline())


def node_document(name: str, port: int, endpoint_port: int, endpoint_count: int) -> dict[str, Any]:
    """Return a node's configuration as the platform writes it.

    All its endpoints are the process at `endpoint_port`, each at another loopback address.
    """
    if endpoint_count > MAX_ENDPOINTS:
        raise SystemExit(f"--equipos: at most {MAX_ENDPOINTS}")
    endpoints = [
        {
            "host": f"e{number}",
            "dial": f"{endpoint_host(number)}:{endpoint_port}",
            "site": "a",
            "block": 0,
            "health": "active",
        }
        for number in range(endpoint_count)
    ]
    return {
        "name": name,
        "listen": f"127.0.0.1:{port}",
        "discovery": "127.0.0.1:1",
        "seed": "1",
        "limits": {"memory_mb": 192, "sockets": 1024},
        "known": {"seq": 1, "hosts": endpoints},
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


def start_node(
    folder: Path, document: dict[str, Any], command: list[str], state_folder: Path | None = None
) -> subprocess.Popen[bytes]:
    """Start a node.

    Args:
        folder: where its configuration file and its log are written.
        document: its configuration.
        command: what to run.
        state_folder: where it keeps its state, by default `folder`.
    """
    config = folder / "config.json"
    config.write_text(json.dumps(document))
    environ = {key: value for key, value in os.environ.items() if not key.startswith("LB_")}
    environ |= {"LB_CONFIG": str(config), "TMPDIR": str(state_folder or folder)}
    with (folder / "log").open("wb") as log:
        return subprocess.Popen(command, env=environ, stdout=log, stderr=log)


async def wait_listening(port: int) -> None:
    """Wait until a node listens on the port; end the benchmark with an error after READY_TIMEOUT_S."""
    started_s = time.monotonic()
    while time.monotonic() - started_s < READY_TIMEOUT_S:
        try:
            _, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.close()
        except OSError:
            await asyncio.sleep(READY_RETRY_S)
        else:
            return
    raise SystemExit(f"the node did not listen on port {port} within {READY_TIMEOUT_S:g} s")


async def free_port() -> int:
    """Return a loopback port on which nothing listens."""
    server = await asyncio.start_server(lambda *_: None, "127.0.0.1", 0)
    port: int = server.sockets[0].getsockname()[1]
    server.close()
    await server.wait_closed()
    return port


def cpu_s(pid: int) -> float:
    """Return the user and system time of all threads of a process in seconds, to 10 ms."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process in MB."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6


def stop(processes: list[subprocess.Popen[Any]]) -> None:
    """Terminate the processes, and wait until each has ended."""
    for process in processes:
        process.terminate()
        process.wait()
