"""One run of a scenario: the emulator as a process, the front's nodes as processes, the clients here."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import os
import signal
import socket
import statistics
import sys
import time
from collections import Counter
from pathlib import Path
from typing import Any

import msgspec

from rosewheel.lab import invariant_checker
from rosewheel.lab.load import LoadGenerator
from rosewheel.lab.node_process import NodeProcess, listening_socket, platform_settings
from rosewheel.lab.plan import Plan
from rosewheel.lab.plan_codec import plan_digest
from rosewheel.lab.plan_faults import FaultStep
from rosewheel.lab.random_streams import random_stream
from rosewheel.lab.records import RecordWriter, read_records
from rosewheel.lab.wire import Address, now_ms
from rosewheel.proxy import snapshots

EMULATOR_START_TIMEOUT_S = 60.0
LEAD_MS = 500.0  # from the moment all is ready to the plan's first
# A timer that is late moves an answer by as much. Where one in a hundred is later than this share of the shortest
# aim, the emulator itself may have moved the service by a point, and the run says nothing.
VOID_LAG_SHARE = 0.01
AFTER_RESTART_MS = 10_000.0  # what is looked at after a restart
UPGRADE_HEALTHY_TIMEOUT_S = 6.0
UPGRADE_EXIT_TIMEOUT_S = 3.7


class RunError(Exception):
    """A run that could not be made; the text is one plain line."""


def tune_garbage_collector() -> None:
    """Guards timers against the collector: what is there lives as long as the run."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(50_000, 50, 100)


NODE_FAULT_KINDS = (
    "node-crash",
    "node-upgrade",
    "node-loss",
    "front-shift",
    "retry-storm",
)  # not the emulator's


class ExperimentRun:
    """`execute` plays the plan once and leaves its records in `folder`."""

    def __init__(self, plan: Plan, folder: Path) -> None:
        self.plan, self.folder = plan, folder
        self.nodes: dict[str, NodeProcess] = {}
        self.load: LoadGenerator | None = None
        self._agents: dict[str, tuple[Address, dict[str, Any]]] = {}
        self._held: dict[str, socket.socket] = {}
        self._old: list[NodeProcess] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._emulator: asyncio.subprocess.Process | None = None
        self._errors = (folder / "emulator.log").open("ab")
        self.records = RecordWriter(folder / "run.jsonl")
        self.cpu_s = 0.0  # of the front's nodes

    async def execute(self) -> dict[str, Any]:
        began = time.monotonic()
        try:
            await self._start()
            tune_garbage_collector()
            t0 = now_ms() + LEAD_MS
            await self._say({"t0": t0})
            with_load = RecordWriter(self.folder / "load.jsonl")
            self.load = LoadGenerator(
                self.plan, {name: node.listen_address for name, node in self.nodes.items()}, with_load
            )
            loop = asyncio.get_running_loop()
            timers = [
                loop.call_later(max(0.0, (t0 + step.at_ms - now_ms()) / 1000.0), self._step, step, t0)
                for step in self.plan.steps
                if self.plan.scenario.faults[step.fault].kind in NODE_FAULT_KINDS
            ]
            flush = loop.create_task(self._flush(with_load, t0))
            try:
                await self.load.run(t0)
            finally:
                flush.cancel()
                for timer in timers:
                    timer.cancel()
                with_load.close()
            crashed = [name for name, node in self.nodes.items() if not node.alive and not self._tasks]
            self.cpu_s += sum(node.cpu_s() for node in self.nodes.values())
            memory = max((node_memory(node) for node in self.nodes.values()), default=0.0)
        finally:
            await self.close()
        return self._summary(time.monotonic() - began, crashed, memory)

    # ------------------------------------------------------------------ parts

    async def _start(self) -> None:
        scenario = self.plan.scenario
        path = self.folder / "scenario.json"
        path.write_bytes(msgspec.json.encode(scenario))
        command = [
            sys.executable,
            "-m",
            "rosewheel.lab.emulator_process",
            str(path),
            str(self.plan.seed),
            str(self.folder),
        ]
        self._emulator = await asyncio.create_subprocess_exec(
            *command, stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE, stderr=self._errors
        )
        row = await self._heard()
        for name, (host, port) in row["agents"].items():
            self._agents[name] = ((host, port), row["known"])
        upgrades = any(trouble.kind == "node-upgrade" for trouble in scenario.faults)
        for name in self._agents:
            if upgrades:
                self._held[name] = listening_socket()
            self.nodes[name] = self._node(name)
        for name, node in self.nodes.items():
            if not await node.wait_healthy():
                raise RunError(f"node {name} did not start: {node.last_log_line()}")

    def _node(self, name: str, after: NodeProcess | None = None) -> NodeProcess:
        discovery, known = self._agents[name]
        nodes = self.plan.scenario.nodes
        seed = int(random_stream(self.plan.seed, "node", name, len(self._old)).integers(1 << 62))
        config = {
            "seed": f"{seed:x}",
            "limits": {"memory_mb": nodes.memory_mb, "sockets": nodes.sockets},
            "known": known,
            "settings": platform_settings(self.plan, 0, nodes.count),
        }
        held = self._held.get(name)
        return NodeProcess(name, self.folder / "nodes", discovery, config, held, ops=True, after=after)

    async def _say(self, row: dict[str, Any]) -> None:
        assert self._emulator is not None
        assert self._emulator.stdin is not None
        self._emulator.stdin.write(msgspec.json.encode(row) + b"\n")
        await self._emulator.stdin.drain()

    async def _heard(self) -> dict[str, Any]:
        assert self._emulator is not None
        assert self._emulator.stdout is not None
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(EMULATOR_START_TIMEOUT_S):
                line = await self._emulator.stdout.readline()
            if line:
                row: dict[str, Any] = msgspec.json.decode(line)
                return row
        said = (self.folder / "emulator.log").read_text(errors="replace").strip().rpartition("\n")[2]
        raise RunError(f"the emulator did not start: {said or 'it said nothing'}")

    async def _flush(self, records: RecordWriter, t0: float) -> None:
        while True:
            await asyncio.sleep(0.5)
            self._weigh(now_ms() - t0)
            records.flush()
            self.records.flush()

    def _weigh(self, t_ms: float) -> None:
        """Memory and descriptors of each process of the front's nodes."""
        for node in (*self.nodes.values(), *self._old):
            memory, held = node_memory(node), node_descriptors(node)
            if memory and held:
                row = {"e": "process", "t": round(t_ms, 1), "node": node.name, "pid": node.process.pid}
                self.records.write({**row, "memory_mb": round(memory, 2), "descriptors": held})

    # --------------------------------------------------------------- troubles

    def _step(self, step: FaultStep, t0: float) -> None:
        trouble, begins = self.plan.scenario.faults[step.fault], step.phase == "begin"
        if trouble.kind in ("front-shift", "retry-storm"):
            assert self.load is not None
            if trouble.kind == "front-shift":
                self.load.dispatcher.allowed_nodes = step.targets if begins else ()
            else:
                self.load.extra_retries = round(step.size) if begins else 0
            return
        names = step.targets if trouble.kind == "node-loss" else (list(self.nodes)[trouble.node_index],)
        for name in names if begins else ():
            self.records.write({"e": trouble.kind, "t": round(now_ms() - t0, 1), "node": name})
            crash = trouble.kind != "node-upgrade"
            work = (
                self._crash(name, self._length_s(step), t0) if crash else self._upgrade(name, step.fault, t0)
            )
            if crash:
                self.records.write({"e": "killed", "t": round(now_ms() - t0, 1), "node": name})
            task = asyncio.get_running_loop().create_task(work)
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def _length_s(self, step: FaultStep) -> float:
        """From this step to the end of its trouble, as the seed drew it; 0 where it has none."""
        ends = [one.at_ms for one in self.plan.steps if one.fault == step.fault and one.phase == "end"]
        return (ends[0] - step.at_ms) / 1000.0 if ends else 0.0

    async def _crash(self, name: str, down_s: float, t0: float) -> None:
        """Killed outright, and started again from nothing on the same address."""
        old = self.nodes[name]
        self.cpu_s += old.cpu_s()
        old.kill(keep_address=True)
        self._old.append(old)
        await asyncio.sleep(down_s)
        self._forget(old)
        self.nodes[name] = self._node(name, after=old)
        if await self.nodes[name].wait_healthy():
            self._back(name, t0)

    def _forget(self, node: NodeProcess) -> None:
        """Where a scenario wants it, a new process finds nothing of what the one before it had learned."""
        if not self.plan.scenario.nodes.keep_learned_state:
            (node.folder / "tmp" / snapshots.SNAPSHOT_NAME).unlink(missing_ok=True)

    def _back(self, name: str, t0: float) -> None:
        self.records.write({"e": "back", "t": round(now_ms() - t0, 1), "node": name})

    async def _upgrade(self, name: str, trouble: int, t0: float) -> None:
        """A new process beside the old one; SIGTERM to the old one once the new one says yes. Where the scenario
        wants it one of them is killed on the way."""
        row, old = self.plan.scenario.faults[trouble], self.nodes[name]
        low, high = (
            row.kill_delay_ms
            if isinstance(row.kill_delay_ms, tuple)
            else (row.kill_delay_ms, row.kill_delay_ms)
        )
        after_s = float(random_stream(self.plan.seed, "trouble", trouble, "kill").uniform(low, high)) / 1000.0
        self._forget(old)
        new = self._node(name)
        if row.killed_process == "starting":
            await asyncio.sleep(after_s)
            self._kill(new, t0)
            return
        self.nodes[name] = new
        self._old.append(old)
        deadline = asyncio.get_running_loop().time() + UPGRADE_HEALTHY_TIMEOUT_S
        while asyncio.get_running_loop().time() < deadline and not await _admin_healthy(new):
            await asyncio.sleep(0.05)
        self._back(name, t0)
        self.cpu_s += old.cpu_s()
        old.terminate()
        if row.killed_process:
            await asyncio.sleep(after_s)
            self._kill(old if row.killed_process == "old" else new, t0)
        if row.killed_process == "new":
            self._old.append(new)
            self.nodes[name] = self._node(name)
        if not await old.wait_ended(UPGRADE_EXIT_TIMEOUT_S):
            self._kill(old, t0)

    def _kill(self, node: NodeProcess, t0: float) -> None:
        self.records.write({"e": "killed", "t": round(now_ms() - t0, 1), "node": node.name})
        node.kill()

    # -------------------------------------------------------------------- end

    async def close(self) -> None:
        """End everything that was started; what has been recorded stays."""
        for task in list(self._tasks):
            task.cancel()
        for node in (*self.nodes.values(), *self._old):
            node.terminate()
        if self._emulator is not None and self._emulator.returncode is None:
            if self._emulator.stdin is not None:
                self._emulator.stdin.close()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(10.0):
                    await self._emulator.wait()
            if self._emulator.returncode is None:
                self._emulator.kill()
                await self._emulator.wait()
        for node in (*self.nodes.values(), *self._old):
            await node.wait_ended(5.0)
            node.kill()
        for held in self._held.values():
            held.close()
        self.records.close()
        self._errors.close()

    def _summary(self, wall_s: float, crashed: list[str], memory_mb: float) -> dict[str, Any]:
        assert self.load is not None
        scenario = self.plan.scenario
        broken = invariant_checker.check_records(scenario, self.folder)
        own: dict[str, Any] = {}
        for row in read_records(self.folder / "equipos.jsonl"):
            if row["e"] == "emulator":
                own = row
        lag = own.get("lag_p99_ms", 1e9)
        aim = min(row.latency_objective_ms for row in scenario.classes)
        elapsed = scenario.seconds
        summary: dict[str, Any] = {
            "ok": broken.count() == 0 and not crashed,
            "scenario": scenario.name,
            "seed": self.plan.seed,
            "plan": plan_digest(self.plan),
            "service": round(self.load.service(), 4),
            "after_restarts": self._after_restarts(),
            "void": bool(lag > VOID_LAG_SHARE * aim or self.load.lag_max_ms > VOID_LAG_SHARE * aim * 10),
            "classes": {
                name: {
                    **self.load.counts[name],
                    "p50_ms": self.load.latency[name].get_value_at_percentile(50.0),
                    "p99_ms": self.load.latency[name].get_value_at_percentile(99.0),
                }
                for name in self.load.counts
            },
            "rules": broken.as_record(),
            "crashed": crashed,
            "emulator": {
                "cores": round(own.get("cpu_s", 0.0) / elapsed, 3),
                "lag_p99_ms": lag,
                "lag_max_ms": own.get("lag_max_ms"),
                "clients_lag_max_ms": round(self.load.lag_max_ms, 2),
            },
            "nodes": {
                "cores": round(self.cpu_s / elapsed, 3),
                "memory_mb": round(memory_mb, 1),
                "quarters": self._quarters(),
            },
            "wall_s": round(wall_s, 1),
        }
        (self.folder / "summary.json").write_bytes(msgspec.json.encode(summary))
        return summary

    def _quarters(self) -> list[dict[str, float]]:
        """Of each quarter of the run: the median over the processes of the front's nodes, every half second, of
        memory and descriptors, and how many processes there were at most at one time."""
        length = self.plan.scenario.seconds * 1000.0 / 4.0
        rows = [row for row in read_records(self.folder / "run.jsonl") if row.get("e") == "process"]
        quarters: list[dict[str, float]] = []
        for at in range(4):
            mine = [row for row in rows if at * length <= row["t"] < (at + 1) * length]
            if not mine:
                continue
            counts = Counter(row["t"] for row in mine)
            quarters.append(
                {
                    "memory_mb": statistics.median(row["memory_mb"] for row in mine),
                    "descriptors": statistics.median(row["descriptors"] for row in mine),
                    "processes": max(counts.values()),
                }
            )
        return quarters

    def _after_restarts(self) -> float | None:
        """Service in the 10 s after each node that started again; None where none did."""
        assert self.load is not None
        backs = [row["t"] for row in read_records(self.folder / "run.jsonl") if row.get("e") == "back"]
        windows = [self.load.service(back, back + AFTER_RESTART_MS) for back in backs]
        return round(sum(windows) / len(windows), 4) if windows else None


async def _admin_healthy(node: NodeProcess) -> bool:
    """What an operator would ask: the health at the new process's own door."""
    if node.admin_address is None:
        return False
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(*node.admin_address)
            writer.write(b"GET /admin/health HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
            line = await reader.readline()
            writer.close()
    except (OSError, TimeoutError):
        return False
    return b" 200" in line


def node_memory(node: NodeProcess) -> float:
    """Resident memory in MB; 0 once it has ended."""
    try:
        pages = int(Path(f"/proc/{node.process.pid}/statm").read_text().split()[1])
    except (OSError, IndexError):
        return 0.0
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


def node_descriptors(node: NodeProcess) -> int:
    """Those that it holds; 0 once it has ended."""
    try:
        return len(os.listdir(f"/proc/{node.process.pid}/fd"))
    except OSError:
        return 0


def interrupt_to_cancel(task: asyncio.Task[Any]) -> None:
    """SIGINT and SIGTERM cancel the task, so that everything it started is ended in order."""
    loop = asyncio.get_running_loop()
    for name in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(name, task.cancel)
