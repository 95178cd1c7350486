"""What the start of a node costs, by parts, and how long many take that start at once while the agent is silent.

    python benchmarks/startup.py [--rounds 15] [--processes 30] [--python .venv/bin/python] [TREE ...]

A TREE is a checkout of rosewheel, this one by default; with two of them (`git worktree add`, or `git archive` into a
folder) the second is set against the first, turn by turn in one run. `--python` is an interpreter that has the
libraries of requirements.txt, best the `.venv` that `build` makes: an editable install costs time of its own. Byte code
is made first, as `build` does.

Parts are milliseconds of CPU of whole processes, medians over rounds: the interpreter alone, with asyncio, with the
libraries, with all that a node imports; `ready` is what a node had taken when it served, which it logs itself. Then so
many nodes start at once, before an agent that accepts and says nothing: seconds from the first one's start until each
has answered a call of its health. The last line is JSON.
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
# The second form is the one that older trees log.
SERVES = re.compile(r"(?: node started: .*cpu_ms=| serves, )([0-9]+)")
READY_S = 10.0


def cpu_ms(python: str, tree: Path, code: str) -> float:
    process = subprocess.Popen([python, "-c", code], cwd=tree)
    _, status, used = os.wait4(process.pid, 0)
    if status:
        raise SystemExit(f"{tree}: {code}: ended with {status}")
    return (used.ru_utime + used.ru_stime) * 1000.0


class Agent:
    """Accepts every watch, and says nothing."""

    def __init__(self) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=1024)
        self.held: list[socket.socket] = []
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            self.held.append(self.listener.accept()[0])

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.listener.getsockname()[1]}"


def start(
    python: str, tree: Path, folder: Path, agent: Agent, settings: Any, port: int
) -> subprocess.Popen[str]:
    path = folder / f"{port}.json"
    row = {"name": f"n{port}", "listen": f"127.0.0.1:{port}", "discovery": agent.address}
    known = {"seq": 1, "whole": True, "hosts": [{"host": "s", "dial": "127.0.0.1:9", "health": "active"}]}
    path.write_text(json.dumps({**row, "seed": "8c1f30d27a5be964", "settings": settings, "known": known}))
    environ = {**os.environ, "LB_CONFIG": str(path)}
    command = [python, "-m", "rosewheel"]
    return subprocess.Popen(command, cwd=tree, env=environ, stderr=subprocess.PIPE, text=True)


def end(process: subprocess.Popen[str]) -> None:
    process.send_signal(signal.SIGTERM)
    process.communicate()


def ready_cpu_ms(process: subprocess.Popen[str]) -> float:
    assert process.stderr is not None
    for line in process.stderr:
        if found := SERVES.search(line):
            return float(found[1])
    raise SystemExit(f"a node did not start: {process.wait()}")


def healthy(port: int) -> bool:
    """Whether the node there answers a call of its health; false where it does not listen yet."""
    try:
        with socket.create_connection(("127.0.0.1", port), timeout=60) as sock:
            sock.sendall(b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n")
            return sock.recv(4096).startswith(b"HTTP/1.1 ")
    except ConnectionRefusedError:
        return False


def ports(count: int) -> list[int]:
    held = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    found = [int(sock.getsockname()[1]) for sock in held]
    for sock in held:
        sock.close()
    return found


def crowd(python: str, tree: Path, folder: Path, agent: Agent, settings: Any, count: int) -> list[float]:
    """When each of so many that start at once was ready, in s."""
    began = time.monotonic()
    due = ports(count)
    processes = [start(python, tree, folder, agent, settings, port) for port in due]

    def ready_s(port: int) -> float:
        while not healthy(port):
            time.sleep(0.02)
        return time.monotonic() - began

    with ThreadPoolExecutor(count) as threads:
        times = list(threads.map(ready_s, due))
    for process in processes:
        process.send_signal(signal.SIGTERM)
    for process in processes:
        process.communicate()
    return times


def main() -> None:
    here = Path(__file__).resolve().parent.parent
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--rounds", type=int, default=15)
    parser.add_argument("--processes", type=int, default=30)
    parser.add_argument("--python", default=str(here / ".venv" / "bin" / "python"))
    parser.add_argument("--settings", type=Path, help="JSON of a node's settings; by default the tests' own")
    parser.add_argument("trees", type=Path, nargs="*", default=[here])
    args = parser.parse_args()
    if args.settings is not None:
        settings = json.loads(args.settings.read_text())
    else:
        sys.path.insert(0, str(here))
        from tests.support.configurations import PLATFORM_SETTINGS

        settings = PLATFORM_SETTINGS | {"registryMode": "push"}
    python = str(Path(args.python).absolute())
    trees = [tree.resolve() for tree in args.trees]
    agent = Agent()
    rows: dict[str, dict[str, list[float]]] = {str(tree): {} for tree in trees}
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        for tree in trees:
            subprocess.run([python, "-m", "compileall", "-q", str(tree / "rosewheel")], check=True)
        for _ in range(args.rounds):
            for tree in trees:
                row = rows[str(tree)]
                for part, code in PARTS.items():
                    row.setdefault(part, []).append(cpu_ms(python, tree, code))
                process = start(python, tree, folder, agent, settings, ports(1)[0])
                row.setdefault("ready", []).append(ready_cpu_ms(process))
                end(process)
        for tree in trees:
            rows[str(tree)]["crowd"] = crowd(python, tree, folder, agent, settings, args.processes)
    report: list[dict[str, Any]] = []
    first = rows[str(trees[0])]
    print(f"load of the machine: {os.getloadavg()[0]:.1f} on {os.cpu_count()} cores")
    for tree in trees:
        row = rows[str(tree)]
        times = sorted(row.pop("crowd"))
        parts = {part: round(statistics.median(values), 1) for part, values in row.items()}
        ratio = statistics.median(
            mine / theirs for mine, theirs in zip(row["ready"], first["ready"], strict=True)
        )
        within = sum(moment <= READY_S for moment in times)
        print(f"{tree}: CPU ms {parts}, ready against the first tree x{ratio:.3f}")
        print(
            f"  {len(times)} at once: {within} ready within {READY_S:.0f} s, {times[0]:.2f} to {times[-1]:.2f} s"
        )
        ninth = times[(9 * len(times) - 1) // 10]
        report.append(
            {"tree": str(tree), "cpu_ms": parts, "ratio": ratio, "ninth_s": ninth, "last_s": times[-1]}
        )
    print(json.dumps(report))


if __name__ == "__main__":
    main()
