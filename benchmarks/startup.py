"""Measures the CPU time of a node's start, and how long many nodes take to start at once without endpoint lists.

    python benchmarks/startup.py [--rounds 15] [--processes 30] [--python .venv/bin/python] [TREE ...]

A TREE is a checkout of rosewheel, by default this one. Several trees (from `git worktree add` or `git archive`) are
measured in turns and compared with the first one. `--python` is an interpreter with the libraries of requirements.txt,
preferably the `.venv` that `build` makes, as an editable install starts more slowly. Byte code is compiled first, as by
`build`.

The CPU times are medians over the rounds in milliseconds, each of a whole process: the interpreter alone, with asyncio,
with the libraries, and with all imports of a node. `ready` is the CPU time that a node logs when it starts to serve.
Then `--processes` nodes start at once, with a discovery service that accepts watches and sends nothing. Their times run
from the start of the first one until each has responded to a health check, in seconds. The last line is JSON.
"""

from __future__ import annotations

import argparse
import json
import os
import re
import signal
import socket
import statistics
import subprocess
import sys
import tempfile
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

IMPORTS = "import rosewheel.proxy.process, rosewheel.config.platform, rosewheel.logs"
LIBRARIES = "import uvloop, httptools, orjson"
PARTS = {"interpreter": "pass", "asyncio": "import asyncio", "libraries": LIBRARIES, "imports": IMPORTS}
# The second form is logged by older trees.
READY_LOG = re.compile(r"(?: node started: .*cpu_ms=| serves, )([0-9]+)")
READY_S = 10.0  # the report counts the nodes that are ready within this time


def cpu_ms(python: str, tree: Path, code: str) -> float:
    """Return the CPU time of a process that runs this code."""
    process = subprocess.Popen([python, "-c", code], cwd=tree)
    _, status, used = os.wait4(process.pid, 0)
    if status:
        raise SystemExit(f"{tree}: {code!r} ended with wait status {status}")
    return (used.ru_utime + used.ru_stime) * 1000.0


class SilentDiscovery:
    """A discovery service that accepts every watch and sends nothing."""

    def __init__(self) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=1024)
        self.accepted: list[socket.socket] = []
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            self.accepted.append(self.listener.accept()[0])

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.listener.getsockname()[1]}"


def start_node(
    python: str, tree: Path, folder: Path, discovery: SilentDiscovery, settings: Any, port: int
) -> subprocess.Popen[str]:
    """Start a node that knows one endpoint and listens on this port."""
    path = folder / f"{port}.json"
    document = {"name": f"n{port}", "listen": f"127.0.0.1:{port}", "discovery": discovery.address}
    known = {"seq": 1, "whole": True, "hosts": [{"host": "s", "dial": "127.0.0.1:9", "health": "active"}]}
    path.write_text(
        json.dumps({**document, "seed": "8c1f30d27a5be964", "settings": settings, "known": known})
    )
    environ = {**os.environ, "LB_CONFIG": str(path)}
    command = [python, "-m", "rosewheel"]
    return subprocess.Popen(command, cwd=tree, env=environ, stderr=subprocess.PIPE, text=True)


def stop(process: subprocess.Popen[str]) -> None:
    process.send_signal(signal.SIGTERM)
    process.communicate()


def ready_cpu_ms(process: subprocess.Popen[str]) -> float:
    """Return the CPU time that a node logs when it starts to serve."""
    assert process.stderr is not None
    for line in process.stderr:
        if found := READY_LOG.search(line):
            return float(found[1])
    raise SystemExit(f"a node ended with status {process.wait()} before it served")


def is_healthy(port: int) -> bool:
    """Return whether the node on this port responds to a health check; false if it doesn't listen yet."""
    try:
        with socket.create_connection(("127.0.0.1", port), timeout=60) as sock:
            sock.sendall(b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n")
            return sock.recv(4096).startswith(b"HTTP/1.1 ")
    except ConnectionRefusedError:
        return False


def free_ports(count: int) -> list[int]:
    """Return loopback ports on which nothing listens."""
    servers = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [int(server.getsockname()[1]) for server in servers]
    for server in servers:
        server.close()
    return ports


def start_together(
    python: str, tree: Path, folder: Path, discovery: SilentDiscovery, settings: Any, count: int
) -> list[float]:
    """Start `count` nodes at once; return the time in seconds until each was ready."""
    started_s = time.monotonic()
    ports = free_ports(count)
    processes = [start_node(python, tree, folder, discovery, settings, port) for port in ports]

    def ready_s(port: int) -> float:
        while not is_healthy(port):
            time.sleep(0.02)
        return time.monotonic() - started_s

    with ThreadPoolExecutor(count) as threads:
        times_s = list(threads.map(ready_s, ports))
    for process in processes:
        process.send_signal(signal.SIGTERM)
    for process in processes:
        process.communicate()
    return times_s


def main() -> None:
    root = Path(__file__).resolve().parent.parent
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--rounds", type=int, default=15)
    parser.add_argument("--processes", type=int, default=30)
    parser.add_argument("--python", default=str(root / ".venv" / "bin" / "python"))
    parser.add_argument(
        "--settings", type=Path, help="JSON file of a node's settings; by default those of the tests"
    )
    parser.add_argument("trees", type=Path, nargs="*", default=[root])
    options = parser.parse_args()
    if options.settings is not None:
        settings = json.loads(options.settings.read_text())
    else:
        sys.path.insert(0, str(root))
        from tests.support.configurations import PLATFORM_SETTINGS

        settings = PLATFORM_SETTINGS | {"registryMode": "push"}
    python = str(Path(options.python).absolute())
    trees = [tree.resolve() for tree in options.trees]
    discovery = SilentDiscovery()
    rows: dict[str, dict[str, list[float]]] = {str(tree): {} for tree in trees}
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        for tree in trees:
            subprocess.run([python, "-m", "compileall", "-q", str(tree / "rosewheel")], check=True)
        for _ in range(options.rounds):
            for tree in trees:
                row = rows[str(tree)]
                for part, code in PARTS.items():
                    row.setdefault(part, []).append(cpu_ms(python, tree, code))
                process = start_node(python, tree, folder, discovery, settings, free_ports(1)[0])
                row.setdefault("ready", []).append(ready_cpu_ms(process))
                stop(process)
        for tree in trees:
            rows[str(tree)]["together"] = start_together(
                python, tree, folder, discovery, settings, options.processes
            )
    report: list[dict[str, Any]] = []
    first = rows[str(trees[0])]
    print(f"load of the machine: {os.getloadavg()[0]:.1f} on {os.cpu_count()} cores")
    for tree in trees:
        row = rows[str(tree)]
        times_s = sorted(row.pop("together"))
        parts = {part: round(statistics.median(values), 1) for part, values in row.items()}
        ratio = statistics.median(
            ready_ms / first_ms for ready_ms, first_ms in zip(row["ready"], first["ready"], strict=True)
        )
        in_time = sum(time_s <= READY_S for time_s in times_s)
        print(f"{tree}: CPU ms {parts}, ready against the first tree x{ratio:.3f}")
        print(
            f"  {len(times_s)} at once: {in_time} ready within {READY_S:.0f} s, {times_s[0]:.2f} to {times_s[-1]:.2f} s"
        )
        p90_s = times_s[(9 * len(times_s) - 1) // 10]
        report.append(
            {"tree": str(tree), "cpu_ms": parts, "ratio": ratio, "ninth_s": p90_s, "last_s": times_s[-1]}
        )
    print(json.dumps(report))


if __name__ == "__main__":
    main()
