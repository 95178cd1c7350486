"""Runs a soak: starts its processes and emulated peers, injects the faults of the plan, and checks the records."""

from __future__ import annotations

import asyncio
import random
import tempfile
import time
from collections import Counter
from pathlib import Path
from typing import Any

import msgspec

from rosewheel.lab.soak.clients import CLIENT_FAULTS, SoakClient
from rosewheel.lab.soak.crowd import Crowd
from rosewheel.lab.soak.discovery import SoakDiscovery
from rosewheel.lab.soak.nodes import SoakNode
from rosewheel.lab.soak.plan import Fault, FaultKind, SoakPlan
from rosewheel.lab.soak.records import SoakRecords
from rosewheel.lab.soak.rule_checker import RuleChecker, Violation
from rosewheel.lab.soak.servers import SoakServer

SERVERS = 8
CLIENTS_PER_NODE = 5
DRAIN_S = 1.5  # time from the drain of a server to its removal from the endpoint list
DOWN_S = 0.5  # time from the crash of a server to its restart, and between attempts to restart it
SETTLE_S = 4.5  # time for abandoned requests to end
LAG_POLL_S = 0.01
MAX_LISTED_VIOLATIONS = 12
SERVER_FAULTS = (
    FaultKind.SERVER_HANG,
    FaultKind.SERVER_RESET,
    FaultKind.SERVER_ERROR,
    FaultKind.SERVER_REJECT,
    FaultKind.SERVER_UNFRAMED,
    FaultKind.SERVER_SURPLUS_RESPONSE,
    FaultKind.SERVER_SLOW,
    FaultKind.SERVER_CLOSE_IDLE,
    FaultKind.SERVER_PAUSE,
    FaultKind.SERVER_STOP_READING,
)
CROWD_FAULTS = (FaultKind.CLIENTS_CROWD, FaultKind.CLIENTS_TINY_CHUNKS, FaultKind.CLIENTS_HOSTILE)
DISCOVERY_FAULTS = (FaultKind.DISCOVERY_SILENT, FaultKind.DISCOVERY_SPLIT)


class SoakRun:
    """One run: servers, discovery and clients in the event loop, nodes as processes.

    Attributes:
        plan: Plan of the run.
        records: Observations of clients, servers and discovery.
    """

    def __init__(self, plan: SoakPlan, folder: Path, plant: str | None = None) -> None:
        self.plan, self.records = plan, SoakRecords()
        self.records.memory_limit_mb = plan.deployment.memory_mb
        self._rng = random.Random(f"soak-run-{plan.seed}")
        self._nodes = [
            SoakNode(n, folder, self.records, plant, plan.nodes, plan.deployment) for n in range(plan.nodes)
        ]
        self._servers: list[SoakServer] = []
        self._started_servers = 0
        self._client_faults: Counter[FaultKind] = Counter()
        self._active_client_faults: set[FaultKind] = set()
        self._discovery = SoakDiscovery(self.records, self._node_name, self._fork_rng())
        self._tasks: set[asyncio.Task[None]] = set()

    def _fork_rng(self) -> random.Random:
        return random.Random(self._rng.getrandbits(64))

    def _node_name(self, number: int) -> str:
        return self._nodes[number].name

    async def run(self) -> list[Violation]:
        """Run the plan and return the violations of rules."""
        lag_task = asyncio.create_task(self._measure_lag())
        await self._discovery.start(self.plan.nodes)
        for _ in range(SERVERS):
            await self._add_server(warming_up=False)
        for node in self._nodes:
            self._write_config(node, {})
        await asyncio.gather(*(node.start() for node in self._nodes))
        clients = [
            SoakClient(
                number,
                node.address,
                lambda node=node: node.name,  # type: ignore[misc]
                self.records,
                self._active_client_faults,
                self._fork_rng(),
                self.plan.deployment.timeouts_ms,
            )
            for number, node in enumerate(node for node in self._nodes for _ in range(CLIENTS_PER_NODE))
        ]
        memory_tasks = [asyncio.create_task(node.watch_memory()) for node in self._nodes]
        client_tasks = [asyncio.create_task(client.run()) for client in clients]
        await self._inject_faults()
        for client in clients:
            client.stopping = True
        await asyncio.gather(*client_tasks, *self._tasks)
        await asyncio.sleep(SETTLE_S)
        await self._finish()
        for task in (lag_task, *memory_tasks):
            task.cancel()
        return RuleChecker(self.records).violations()

    async def _finish(self) -> None:
        for node in self._nodes:
            self.records.statistics[node.name] = await node.statistics()
        await asyncio.gather(*(node.stop(is_killed=False) for node in self._nodes))
        for node in self._nodes:
            self.records.log_errors += node.log_errors()
        for server in self._servers:
            server.crash()

    async def _measure_lag(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            due_s = loop.time() + LAG_POLL_S
            await asyncio.sleep(LAG_POLL_S)
            self.records.max_lag_s = max(self.records.max_lag_s, loop.time() - due_s)

    def _write_config(self, node: SoakNode, changes: dict[str, Any]) -> None:
        initial_endpoints = self._discovery.endpoint_list(node.number)
        node.write_config(self._discovery.ports[node.number], initial_endpoints, changes)

    async def _add_server(self, warming_up: bool) -> SoakServer:
        server = SoakServer(f"s{self._started_servers}", self.records, self._node_name, self._fork_rng())
        self._started_servers += 1
        if warming_up:
            server.launched_ms = int(time.time() * 1000.0)
        await server.start(self.plan.nodes)
        self._servers.append(server)
        self._discovery.set_state(server, "active")
        return server

    async def _inject_faults(self) -> None:
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        for fault in self.plan.faults:
            await asyncio.sleep(max(0.0, started_s + fault.at_s - loop.time()))
            task = asyncio.create_task(self._inject(fault))
            self._tasks.add(task)
        await asyncio.sleep(max(0.0, started_s + self.plan.seconds - loop.time()))

    async def _inject(self, fault: Fault) -> None:
        if fault.kind in CLIENT_FAULTS:
            await self._inject_client_fault(fault)
        elif fault.kind in SERVER_FAULTS:
            server = self._servers[fault.target % len(self._servers)]
            server.faults.add(fault.kind)
            await asyncio.sleep(fault.for_s)
            server.faults.discard(fault.kind)
        elif fault.kind in DISCOVERY_FAULTS:
            self._discovery.faults.add(fault.kind)
            await asyncio.sleep(fault.for_s)
            self._discovery.end_fault(fault.kind)
        elif fault.kind is FaultKind.DISCOVERY_RESET:
            self._discovery.reset_watches()
        elif fault.kind is FaultKind.SERVER_DRAIN:
            await self._drain_server(self._servers[fault.target % len(self._servers)])
        elif fault.kind is FaultKind.SERVER_CRASH:
            await self._crash_server(self._servers[fault.target % len(self._servers)])
        elif fault.kind is FaultKind.SERVER_REPLACED:
            await self._replace_server(self._servers[fault.target % len(self._servers)])
        elif fault.kind in CROWD_FAULTS:
            await self._send_crowd(fault, self._nodes[fault.target % len(self._nodes)])
        else:
            await self._inject_node_fault(fault, self._nodes[fault.target % len(self._nodes)])

    async def _inject_client_fault(self, fault: Fault) -> None:
        self._client_faults[fault.kind] += 1
        self._active_client_faults.add(fault.kind)
        await asyncio.sleep(fault.for_s)
        self._client_faults[fault.kind] -= 1
        if not self._client_faults[fault.kind]:
            self._active_client_faults.discard(fault.kind)

    async def _inject_node_fault(self, fault: Fault, node: SoakNode) -> None:
        match fault.kind:
            case FaultKind.NODE_TERM | FaultKind.NODE_KILL:
                is_killed = fault.kind is FaultKind.NODE_KILL
                await node.restart(is_killed, lambda: self._write_config(node, {}))
            case FaultKind.NODE_SIGNALS:
                await node.signal_in_series(fault.target)
                await node.restart(False, lambda: self._write_config(node, {}))
            case FaultKind.NODE_PAUSE:
                await node.pause()
            case FaultKind.NODE_RELOAD_INVALID:
                self._write_config(node, {"categories": "none"})
                node.reload()
                await asyncio.sleep(fault.for_s)
                self._write_config(node, {})
            case _:
                self._write_config(node, {"invariants": {"coldFrom": 0.1, "coldMs": 6000.0}})
                node.reload()

    async def _drain_server(self, server: SoakServer) -> None:
        if len(self._servers) <= SERVERS // 2:
            return
        self._servers.remove(server)
        self._discovery.set_state(server, "leaving")
        await self._add_server(warming_up=True)
        await asyncio.sleep(DRAIN_S)
        self._discovery.set_state(server, "left")
        await asyncio.sleep(SETTLE_S)
        server.crash()

    async def _send_crowd(self, fault: Fault, node: SoakNode) -> None:
        crowd = Crowd(node.address, self.records, self._fork_rng(), self.plan.deployment.deadline_ms)
        if fault.kind is FaultKind.CLIENTS_CROWD:
            await crowd.hold_memory(fault.for_s)
        elif fault.kind is FaultKind.CLIENTS_HOSTILE:
            await crowd.send_hostile_requests(fault.for_s)
        else:
            await crowd.send_tiny_chunks(fault.for_s)

    async def _replace_server(self, server: SoakServer) -> None:
        """Crash a server, and start one with another name at its addresses while the old name is still listed."""
        if len(self._servers) <= SERVERS // 2:
            return
        self._servers.remove(server)
        server.crash()
        await asyncio.sleep(DOWN_S)
        successor = SoakServer(f"s{self._started_servers}", self.records, self._node_name, self._fork_rng())
        self._started_servers += 1
        successor.launched_ms, successor.ports = int(time.time() * 1000.0), list(server.ports)
        while not await self._try_start(successor):
            await asyncio.sleep(DOWN_S)
        self._servers.append(successor)
        self._discovery.set_state(successor, "active")
        await asyncio.sleep(DRAIN_S)
        self._discovery.set_state(server, "left")

    async def _crash_server(self, server: SoakServer) -> None:
        if server not in self._servers:
            return
        server.crash()
        await asyncio.sleep(DOWN_S)
        if server in self._servers:
            server.launched_ms = int(time.time() * 1000.0)
            while not await self._try_start(server):
                await asyncio.sleep(DOWN_S)
            self._discovery.set_state(server, "active")

    async def _try_start(self, server: SoakServer) -> bool:
        """Restart a server; return False if one of its ports is in use by a connection of the run."""
        try:
            await server.start(self.plan.nodes)
        except OSError:
            server.crash()
            return False
        return True


async def run_soak(plan: SoakPlan, plant: str | None, folder: Path | None) -> dict[str, object]:
    """Run a plan and return the result.

    Args:
        plan: Plan to run.
        plant: Name of a fault to plant in the code of the nodes; None for unmodified nodes.
        folder: Folder for configurations and logs; a temporary one if None.
    """
    with tempfile.TemporaryDirectory() as temporary:
        run = SoakRun(plan, folder or Path(temporary), plant)
        violations = await run.run()
    return summary(run, violations, plant)


def summary(run: SoakRun, violations: list[Violation], plant: str | None) -> dict[str, object]:
    """Return the result of a run as it is printed."""
    records = run.records
    rules = Counter(violation.rule for violation in violations)
    statuses = Counter(str(r.responses[0][1]) if r.responses else "none" for r in records.requests.values())
    return {
        "ok": not violations,
        "seed": run.plan.seed,
        "seconds": run.plan.seconds,
        "nodes": run.plan.nodes,
        "deployment": msgspec.structs.asdict(run.plan.deployment),
        "peak_memory_mb": round(max(records.peak_memory_mb.values(), default=0.0), 1),
        "plant": plant,
        "faults": len(run.plan.faults),
        "requests": len(records.requests),
        "attempts": len(records.attempts),
        "statuses": dict(statuses),
        "max_lag_s": round(records.max_lag_s, 3),
        "rules": dict(rules),
        "breaches": [f"{v.rule} {v.subject}: {v.detail}" for v in violations[:MAX_LISTED_VIOLATIONS]],
    }
