"""Equipos of all tiers and their discovery on loopback, with the nodes between the tiers, driven by a plan."""

from __future__ import annotations

import asyncio
import contextlib
import time
from array import array
from pathlib import Path
from typing import Any

import numpy as np

from rosewheel.lab import record_codec
from rosewheel.lab import server_model as model
from rosewheel.lab.discovery import DiscoveryAgent, DiscoveryEntry, DiscoveryRegistry
from rosewheel.lab.discovery_delays import DiscoveryChange, discovery_delay_ms
from rosewheel.lab.node_process import NodeProcess, platform_settings
from rosewheel.lab.plan import Plan
from rosewheel.lab.plan_faults import FaultStep
from rosewheel.lab.random_streams import random_stream
from rosewheel.lab.records import RecordWriter
from rosewheel.lab.request_codec import ClientRequest
from rosewheel.lab.request_work import call_targets, work_segments
from rosewheel.lab.server_host import ConnectionFault, EmulatedServerHost, ServerWork
from rosewheel.lab.wire import HttpClient, HttpRequest, HttpResponse, PendingRequest, now_ms
from rosewheel.policy.settings import Idempotency

SAMPLE_PERIOD_S = 0.5


class Emulator:
    """Everything behind the front's nodes. `start`, then `run_steps` from the moment the clock of the plan begins."""

    def __init__(self, plan: Plan, folder: Path, records: RecordWriter) -> None:
        self.plan, self.folder, self.records = plan, folder, records
        self.loop = asyncio.get_running_loop()
        self.t0 = now_ms()
        # Discovery tells starts in the time of day. Taken once: a step of that clock midway moves nothing.
        self._epoch_ms = time.time() * 1000.0 - now_ms()
        self.hosts: dict[str, EmulatedServerHost] = {}
        self.dedup_tables: dict[tuple[int, int], model.DedupTable] = {}
        self.registries = [self._registry(tier) for tier in range(len(plan.scenario.tiers))]
        self.classes = {row.name: row for row in plan.scenario.classes}
        self.class_parameters = {row.name: row for row in plan.classes}
        self.work: dict[int, ServerWork] = {}
        self.local_nodes: dict[str, NodeProcess] = {}  # by equipo: its own node for the calls it makes
        self.local_clients: dict[str, HttpClient] = {}
        self.lags = array("f")
        # (node, equipo): last heard health, when, and the start it was told of (0: none)
        self.notifications: dict[tuple[str, str], tuple[str, float, int]] = {}
        self.unready: list[str] = []
        self.served = [0] * len(plan.scenario.tiers)
        self._noise = random_stream(plan.seed, "run", "noise")
        self._calls = random_stream(plan.seed, "run", "calls")
        self._tasks: set[asyncio.Task[None]] = set()
        self._timers: list[asyncio.TimerHandle] = []
        self._sampler: asyncio.TimerHandle | None = None
        self._next = 0
        self._asking: dict[tuple[int, int], tuple[PendingRequest, asyncio.TimerHandle]] = {}
        self._cpu = 0.0
        self.stopped = False

    # ------------------------------------------------------------- start, end

    async def start(self) -> None:
        """Bring up all equipos and the nodes between the tiers; returns when every one of them is ready."""
        for spec in self.plan.servers:
            host = self._host(spec, cold=False)
            await host.listen()
            self._list(host, DiscoveryChange.ADD, at_once=True, born=False)
        waits = [self._companion(host) for host in list(self.hosts.values())]
        await asyncio.gather(*(wait for wait in waits if wait is not None))
        if self.unready:
            raise RuntimeError(f"the node of {self.unready[0]} did not start: {self.unready[-1]}")

    def add_agent(self, node: str, tier: int = 0) -> DiscoveryAgent:
        return self.registries[tier].add_agent(node)

    def start_clock(self, t0: float) -> None:
        """The plan's clock begins at `t0`: its steps and the samples are set."""
        self.t0 = t0
        self.lags = array("f")
        self._cpu = time.process_time()
        for step in self.plan.steps:
            wait = max(0.0, (t0 + step.at_ms - now_ms()) / 1000.0)
            self._timers.append(self.loop.call_later(wait, self._step, step))
        self._sampler = self.loop.call_later(max(0.0, (t0 - now_ms()) / 1000.0), self._sample)

    def statistics(self) -> dict[str, Any]:
        """Its own cost: CPU seconds since the plan's clock began, and how late its timers were."""
        lags = np.frombuffer(self.lags, dtype=np.float32) if self.lags else np.zeros(1, dtype=np.float32)
        return {
            "e": "emulator",
            "t": self._t(),
            "cpu_s": round(time.process_time() - self._cpu, 3),
            "timers": len(self.lags),
            "lag_p50_ms": round(float(np.percentile(lags, 50)), 3),
            "lag_p99_ms": round(float(np.percentile(lags, 99)), 3),
            "lag_max_ms": round(float(lags.max()), 3),
            "served": self.served,
            "companions_cpu_s": round(sum(node.cpu_s() for node in self.local_nodes.values()), 2),
        }

    def close(self) -> None:
        self.stopped = True
        for timer in (*self._timers, self._sampler):
            if timer is not None:
                timer.cancel()
        for task in self._tasks:
            task.cancel()
        for registry in self.registries:
            registry.close()
        for peer in self.local_clients.values():
            peer.close()
        for host in self.hosts.values():
            host.close()
        for node in self.local_nodes.values():
            with contextlib.suppress(ProcessLookupError):
                node.process.kill()
        for node in self.local_nodes.values():
            node.kill()
        self.records.write(self.statistics())
        self.records.flush()

    # ------------------------------------------------------------------ fleet

    def _host(self, spec: model.ServerSpec, cold: bool) -> EmulatedServerHost:
        memory = self.dedup_tables.setdefault((spec.tier, spec.cell), model.DedupTable())
        rng = random_stream(self.plan.seed, "run", "equipo", spec.name)
        reports = self.plan.scenario.tiers[spec.tier].report.enabled
        self.hosts[spec.name] = host = EmulatedServerHost(self, spec, memory, rng, cold, reports)
        return host

    def _list(
        self,
        host: EmulatedServerHost,
        change: DiscoveryChange,
        health: str = "active",
        at_once: bool = False,
        born: bool = True,
    ) -> None:
        spec, (address, port) = host.spec, host.address
        entry = DiscoveryEntry(spec.name, f"{address}:{port}", spec.zone, spec.cell, health)
        if born:
            entry.launched_ms = self._born(host)
        self.registries[spec.tier].update(entry, change, at_once)

    def _born(self, host: EmulatedServerHost) -> int:
        """Its start as the list tells it, in ms of the epoch; 0 of those that ran from the first."""
        return int(host.model.started_ms + self._epoch_ms) if host.model.started_ms > 0.0 else 0

    def _companion(self, host: EmulatedServerHost) -> asyncio.Task[None] | None:
        """The node through which this equipo calls the next tier."""
        tier = host.spec.tier + 1
        if tier >= len(self.plan.scenario.tiers):
            return None
        name = f"n-{host.spec.name}"

        async def start() -> None:
            agent = self.add_agent(name, tier)
            discovery = await agent.start()
            seed = int(random_stream(self.plan.seed, "node", name).integers(1 << 62))
            siblings = sum(1 for spec in self.plan.servers if spec.tier == tier - 1)
            scenario = self.plan.scenario
            node = NodeProcess(
                name,
                self.folder / "nodes",
                discovery,
                {
                    "seed": f"{seed:x}",
                    "limits": {"memory_mb": scenario.nodes.memory_mb, "sockets": scenario.nodes.sockets},
                    "known": agent.snapshot_record(),
                    "settings": platform_settings(self.plan, tier, siblings),
                },
            )
            self.local_nodes[host.spec.name] = node
            if not await node.wait_healthy():
                self.unready += [host.spec.name, node.last_log_line()]
            self.local_clients[host.spec.name] = HttpClient(node.listen_address)

        return self._task(start())

    def _task(self, work: Any) -> asyncio.Task[None]:
        task: asyncio.Task[None] = self.loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def _registry(self, tier: int) -> DiscoveryRegistry:
        rng = random_stream(self.plan.seed, "run", "discovery", tier)

        def delay(change: DiscoveryChange) -> float:
            return discovery_delay_ms(self.plan.scenario.discovery, rng, change)

        return DiscoveryRegistry(delay, self._told)

    def _told(self, node: str, host: str, entry: DiscoveryEntry, at: float) -> None:
        self.notifications[(node, host)] = (entry.health, at, entry.launched_ms)
        self.records.write(
            {"e": "told", "t": self._t(at), "node": node, "equipo": host, "health": entry.health}
        )

    # --------------------------------------------------------------- requests

    def accept_request(self, host: EmulatedServerHost, asked: HttpRequest) -> ServerWork | None:
        """A request at an equipo: what it is, and how much work it will be there."""
        rid, service = asked.header(b"request-id"), asked.header(b"request-class")
        service = service or asked.target.partition(b"?")[0].rpartition(b"/")[2].decode("latin-1")
        if not rid:
            asked.connection.respond(404)
            return None
        table = self.classes.get(service)
        if table is None:
            asked.connection.respond(400)
            return None
        figures, spec = self.class_parameters[service], host.spec
        try:
            total = float(asked.header(b"lab-work") or figures.work_ms)
            patience = float(asked.header(b"request-timeout-ms") or table.deadline_ms)
        except ValueError:
            asked.connection.respond(400)
            return None
        calls = len(call_targets(self.plan, spec.tier, self._calls))
        work_ms = work_segments(self.plan, spec, figures, total, self._noise, calls)
        if asked.first_on_connection:
            work_ms = (work_ms[0] + spec.handshake_work_ms, *work_ms[1:])
        self._next += 1
        key = asked.header(b"idempotency-key") if table.idempotency is Idempotency.IDEMPOTENT_WITH_KEY else ""
        node = asked.header(b"lab-node")
        # A caller may only be held to the start that it has been told of; without a name it was told.
        health, _, born = self.notifications.get((node, spec.name), ("active", 0.0, 0))
        job = model.Job(self._next, work_ms, f"{service}/{key}" if key else None, table.dedup_window_ms)
        job.sender_informed = not node or born == self._born(host) > 0
        op = asked.header(b"lab-op") or rid
        work = ServerWork(host, asked, job, service, node, op, asked.received_ms + patience, total)
        self.work[job.id] = work
        if health != "active":
            self._late(work)
        return work

    def _late(self, work: ServerWork) -> None:
        """Something new has come to an equipo of which its node had been told that it drains or is gone."""
        rules = self.plan.scenario.rules
        health, at, _ = self.notifications[(work.sender, work.host.spec.name)]
        over = work.request.first_byte_ms - at - rules.drain_ms - rules.drain_slack_ms
        if over > 0.0:
            row = {"e": "late", "t": self._t(), "node": work.sender, "equipo": work.host.spec.name}
            self.records.write({**row, "health": health, "over_ms": round(over, 1), "op": work.operation_id})

    def apply_actions(self, host: EmulatedServerHost, acts: list[model.Action]) -> None:
        for act in acts:
            match act:
                case model.Reply(id, verdict):
                    self._reply(id, verdict)
                case model.CallNextTier(id, number):
                    self._call(self.work[id], number)
                case model.JobStarted():
                    pass
                case model.ServerCollapsed(share):
                    row = {"e": "fell", "t": self._t(), "equipo": host.spec.name, "told_share": share}
                    self.records.write(row)
                    self._crash(host)

    def _reply(self, id: int, verdict: model.JobResult) -> None:
        work = self.work.pop(id, None)
        if work is None:
            return
        joined = work.job.stage is model.JobStage.DUPLICATE
        if joined:  # it may have joined at another equipo of the grupo
            work.host.model.finish_duplicate(id)
        now = now_ms()
        if verdict is model.JobResult.SERVED:
            self.served[work.host.spec.tier] += 1
        self._record(work, verdict.value, now)
        size = self.classes[work.class_name].answer_bytes if verdict is model.JobResult.SERVED else 0
        rid = work.request.header(b"request-id").encode("latin-1")
        work.host.reply(work, verdict, (rid + b"\n").ljust(size, b".") if size else b"")

    def _record(self, work: ServerWork, verdict: str, now: float) -> None:
        """How a request ended at an equipo, and whether its work had begun there."""
        asked = (work.sender, work.class_name, work.operation_id, work.request.header(b"request-id"))
        came, over = self._t(work.request.received_ms), now > work.deadline_ms
        row = record_codec.job_record(
            work.host.spec, work.job, self._t(now), came, asked, verdict, work.client_connected, over
        )
        self.records.write(row)

    def _call(self, work: ServerWork, number: int) -> None:
        """One call to the next tier, through the equipo's own node."""
        table, peer = self.classes[work.class_name], self.local_clients.get(work.host.spec.name)
        left = work.deadline_ms - now_ms() if self.plan.scenario.propagate_deadline else table.deadline_ms
        if peer is None or left < 1.0:
            self.loop.call_soon(self._called, work, number, HttpResponse(0, failure="no time left"))
            return
        key = f"{work.job.key or work.request.header(b'request-id')}.{number}"
        rid = f"{work.request.header(b'request-id')}.{work.job.id}.{number}"
        op = (
            f"{work.operation_id}/{work.job.id}.{number}"
            if table.idempotency is not Idempotency.IDEMPOTENT_WITH_KEY
            else key
        )
        data = ClientRequest(
            work.class_name,
            table.idempotency,
            rid,
            left,
            f"n-{work.host.spec.name}",
            op,
            work.total_work_ms,
            key,
            0,
        ).encode()
        asking = peer.send(data, lambda answered: self._called(work, number, answered))
        timer = self.loop.call_later(left / 1000.0, self._give_up, work, number)
        self._asking[(work.job.id, number)] = (asking, timer)

    def _give_up(self, work: ServerWork, number: int) -> None:
        entry = self._asking.get((work.job.id, number))
        if entry is not None:
            entry[0].abandon()
            self._called(work, number, HttpResponse(0, failure="timed out"))

    def _called(self, work: ServerWork, number: int, answered: HttpResponse) -> None:
        entry = self._asking.pop((work.job.id, number), None)
        if entry is not None:
            entry[1].cancel()
        if self.stopped:
            return
        work.host.catch_up(now := now_ms())
        self.apply_actions(work.host, work.host.model.call_finished(now, work.job.id, answered.status == 200))
        work.host.arm()

    # --------------------------------------------------------------- troubles

    def _step(self, step: FaultStep) -> None:
        trouble = self.plan.scenario.faults[step.fault]
        row = {"e": "step", "t": self._t(), "kind": trouble.kind, "what": step.phase, "equipos": step.targets}
        self.records.write(row)
        on = [self.hosts[name] for name in step.targets if name in self.hosts]
        begins, now = step.phase == "begin", now_ms()
        for host in on:
            host.catch_up(now)
        match trouble.kind:
            case "slow" | "neighbour" | "errors":
                for host in on:
                    record_codec.apply_server_fault(host.model, trouble.kind, step.size, begins, now)
            case "deploy":
                self._deploy_step(step, on)
            case "discovery-lag":
                for registry in self.registries:
                    registry.extra_delay_ms = step.size * 1000.0 if begins else 0.0
            case "discovery-stall":
                for registry in self.registries:
                    for agent in registry.agents.values():
                        agent.stall(begins)
            case "discovery-break":
                for registry in self.registries:
                    for agent in registry.agents.values():
                        agent.reset_watches()
            case "discovery-storm":
                for host in on:
                    self._list(host, DiscoveryChange.STORM, "leaving" if step.phase == "away" else "active")
            case "faults":
                self._fault_step(step, begins)
            case "crash":
                for host in on:
                    if begins:
                        self._crash(host)
                    else:
                        self._task(self._revive(host))
            case "vanish":
                for host in on:
                    self._task(self._vanish(host, begins, trouble.restart_cold))
            case _:  # of the nodes and of the load: others see to them
                pass
        for host in on:
            host.arm()

    def _deploy_step(self, step: FaultStep, on: list[EmulatedServerHost]) -> None:
        if step.phase == "drain":
            for host in on:
                host.model.drain(now_ms())
                self._list(host, DiscoveryChange.DRAIN, "leaving")
        elif step.phase == "stop":
            for host in on:
                self._list(host, DiscoveryChange.STOP, "left")
                self._retire(host)
        else:
            for name in step.targets:
                self._task(self._launch(self.plan.server_spec(name)))

    def _restart(self, host: EmulatedServerHost) -> None:
        host.restart()
        self.records.write(record_codec.start_record(self.plan, host.spec, self._t(host.model.started_ms)))

    async def _launch(self, spec: model.ServerSpec) -> None:
        """A new equipo: its node first, then it takes work and the list is told."""
        host = self._host(spec, cold=True)
        wait = self._companion(host)
        if wait is not None:
            await wait
        self._restart(host)  # its warming counts from when it can be asked
        await host.listen()
        self._list(host, DiscoveryChange.ADD)

    def _fault_step(self, step: FaultStep, begins: bool) -> None:
        trouble = self.plan.scenario.faults[step.fault]
        tier = trouble.tier_name or self.plan.scenario.tiers[0].name
        for name, host in self.hosts.items():
            if self.plan.scenario.tiers[host.spec.tier].name != tier:
                continue
            if trouble.connection_fault == "refuse":
                if name in step.targets:
                    if begins:
                        host.stop_accepting()
                    else:
                        self._task(host.resume_accepting())
            elif begins:
                rng = random_stream(self.plan.seed, "run", "fault", step.fault, name)
                host.begin_fault(
                    step.fault,
                    ConnectionFault(trouble.connection_fault, trouble.share, trouble.delay_ms, rng),
                )
            else:
                host.end_fault(step.fault)

    def _crash(self, host: EmulatedServerHost) -> None:
        self._retire(host)
        self._list(host, DiscoveryChange.SERVER_DIED, "left")

    def _retire(self, host: EmulatedServerHost) -> None:
        """The process ends, and its node with it."""
        for id in [id for id, work in self.work.items() if work.host is host]:
            self._record(self.work.pop(id), "lost", now_ms())
        host.terminate()
        self._drop_companion(host)

    def _drop_companion(self, host: EmulatedServerHost) -> None:
        node = self.local_nodes.pop(host.spec.name, None)
        if node is not None:
            node.kill()
            self.registries[host.spec.tier + 1].remove_agent(node.name)
        peer = self.local_clients.pop(host.spec.name, None)
        if peer is not None:
            peer.close()

    async def _revive(self, host: EmulatedServerHost) -> None:
        wait = self._companion(host)
        if wait is not None:
            await wait
        self._restart(host)
        await host.resume_accepting()
        self._list(host, DiscoveryChange.ADD)

    async def _vanish(self, host: EmulatedServerHost, begins: bool, cold: bool) -> None:
        if begins:
            host.isolate()
            self._list(host, DiscoveryChange.SERVER_DIED, "left")
        elif cold:
            self._retire(host)
            await host.rejoin()
            await self._revive(host)
        else:
            await host.rejoin()
            self._list(host, DiscoveryChange.ADD)

    # ---------------------------------------------------------------- records

    def _t(self, at: float | None = None) -> float:
        """Milliseconds of the plan's clock."""
        return round((now_ms() if at is None else at) - self.t0, 1)

    def record_timer_lag(self, lag_ms: float) -> None:
        self.lags.append(lag_ms)

    def _sample(self) -> None:
        now = now_ms()
        for name, host in self.hosts.items():
            one = host.model
            host.catch_up(now)
            one.reported_queue(now)  # as of now, not of the last event
            self.records.write(record_codec.sample_record(name, one, self._t(now)))
        self.records.flush()
        self._sampler = self.loop.call_later(SAMPLE_PERIOD_S, self._sample)
