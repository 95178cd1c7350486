"""Everything of a simulated run behind its clients: equipos of all tiers, their nodes, discovery, the troubles."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable
from typing import Any

from rosewheel.lab import record_codec
from rosewheel.lab import server_model as model
from rosewheel.lab.discovery_delays import DiscoveryChange
from rosewheel.lab.node_process import platform_settings
from rosewheel.lab.plan import Plan
from rosewheel.lab.plan_faults import FaultStep
from rosewheel.lab.random_streams import random_stream
from rosewheel.lab.request_work import call_targets, work_segments
from rosewheel.lab.retry import AttemptOutcome
from rosewheel.lab.server_host import ConnectionFault
from rosewheel.lab.simulation.clients import SimulatedDispatcher
from rosewheel.lab.simulation.discovery import SimulatedRegistry
from rosewheel.lab.simulation.events import EventQueue
from rosewheel.lab.simulation.host import SimulatedServerHost, SimulatedWork
from rosewheel.lab.simulation.network import Attempt, Connection
from rosewheel.lab.simulation.node import NodeRequest, SimulatedNode
from rosewheel.lab.simulation.outages import ZoneOutages
from rosewheel.lab.simulation.topology import Topology
from rosewheel.node.limits import Limits
from rosewheel.policy.events import AttemptResult, Server, ServerState
from rosewheel.policy.settings import Idempotency, Settings
from rosewheel.policy.settings_codec import settings_from

SAMPLE_PERIOD_MS = 500.0
PROCESS_START_MS = 500.0  # of a process, until it serves
UPGRADE_OVERLAP_MS = 800.0  # two processes of one node side by side, until the old one takes nothing new

Write = Callable[[str, dict[str, Any]], None]


class SimulatedFleet:
    def __init__(self, plan: Plan, queue: EventQueue, write: Write) -> None:
        self.plan, self.queue, self.write = plan, queue, write
        scenario = plan.scenario
        self.hosts: dict[str, SimulatedServerHost] = {}
        self.specs = {spec.name: spec for spec in (*plan.servers, *plan.deployed_servers)}
        self.dedup_tables: dict[tuple[int, int], model.DedupTable] = {}
        self.cells: dict[tuple[int, int], list[SimulatedServerHost]] = {}
        self.classes = {row.name: row for row in scenario.classes}
        self.class_parameters = {row.name: row for row in plan.classes}
        # by node and equipo: its state and start as last told, and when
        self.notifications: dict[tuple[str, str], tuple[ServerState, float, float | None]] = {}
        self.results: list[Counter[AttemptResult]] = [
            Counter() for _ in scenario.tiers
        ]  # of attempts, by tier
        self.sent = [0] * len(scenario.tiers)  # requests that came to equipos
        self.served = [0] * len(scenario.tiers)
        self.topology = Topology(scenario)
        self.local_nodes: dict[
            tuple[str, int], SimulatedNode
        ] = {}  # by equipo, and the tier that it calls by it
        self._losses = ZoneOutages(self)
        self.nodes: dict[str, SimulatedNode] = {}
        self.registries = [
            SimulatedRegistry(
                queue,
                plan,
                self._told,
                lambda node, equipo: (node, equipo) in self.notifications,
                random_stream(plan.seed, "run", "discovery", tier),
            )
            for tier in range(len(scenario.tiers))
        ]
        self._noise = random_stream(plan.seed, "run", "noise")
        self._calls = random_stream(plan.seed, "run", "calls")
        self._settings: dict[tuple[int, int, str], Settings] = {}
        self._bounds = Limits(
            idle_timeout_ms=30000.0,
            hedging_allowed=scenario.nodes.hedged_requests,
            health_checks_allowed=True,
            max_sockets=scenario.nodes.sockets,
            memory_limit_mb=scenario.nodes.memory_mb,
        )
        self._next = 0
        self._processes = 0
        for spec in plan.servers:
            host = self._host(spec, cold=False)
            host.listening = True
            self.registries[spec.tier].current[spec.name] = Server(spec.name, spec.zone, spec.cell)
        self.queue.call_at(0.0, self._sample)

    def start(self, ready: Callable[[], None]) -> None:
        """The nodes begin, each at a moment of its own before the plan's clock does; `ready` once all have."""
        spread, rng = (
            self.plan.scenario.nodes.start_spread_s * 1000.0,
            random_stream(self.plan.seed, "run", "starts"),
        )
        for number in range(self.plan.scenario.nodes.count):
            wait = float(rng.uniform(0.0, spread))
            self.queue.call_later(wait, self._front_starts, f"n{number}")
        for spec in self.plan.servers:
            if self.plan.edges[spec.tier]:
                self.queue.call_later(float(rng.uniform(0.0, spread)), self._companions, spec)
        self.queue.call_later(spread, ready)

    def _front_starts(self, name: str) -> None:
        self.nodes[name] = self._front_node(name)

    def _front_node(self, name: str) -> SimulatedNode:
        """They stand in the zones of the first tier, in turn."""
        scenario = self.plan.scenario
        zones = scenario.tiers[0].zones or scenario.zones
        return self._node(name, 0, scenario.nodes.count, zones[int(name[1:]) % len(zones)])

    # ------------------------------------------------------------------ fleet

    def _host(self, spec: model.ServerSpec, cold: bool) -> SimulatedServerHost:
        memory = self.dedup_tables.setdefault((spec.tier, spec.cell), model.DedupTable())
        rng = random_stream(self.plan.seed, "run", "equipo", spec.name)
        reports = self.plan.scenario.tiers[spec.tier].report.enabled
        self.hosts[spec.name] = host = SimulatedServerHost(self, spec, memory, rng, cold, reports)
        self.cells.setdefault((spec.tier, spec.cell), []).append(host)
        return host

    def _node(self, name: str, tier: int, siblings: int, zone: str) -> SimulatedNode:
        told = self._settings.get((tier, siblings, zone))
        if told is None:
            told = settings_from(platform_settings(self.plan, tier, siblings, zone))
            self._settings[tier, siblings, zone] = told
        self._processes += 1
        seed = int(random_stream(self.plan.seed, "node", name, self._processes).integers(1 << 62))
        node = SimulatedNode(self, name, tier, told, self._bounds, seed)
        self.registries[tier].add_agent(node)
        return node

    def _companions(self, spec: model.ServerSpec) -> None:
        """The nodes through which this equipo calls: one for each tier that it calls."""
        edges, tiers = self.plan.edges, self.plan.scenario.tiers
        for number, (tier, _) in enumerate(edges[spec.tier]):
            callers = {at for at, row in enumerate(edges) if any(to == tier for to, _ in row)}
            siblings = sum(1 for one in self.plan.servers if one.tier in callers)
            name = f"n-{spec.name}-{tiers[tier].name}" if number else f"n-{spec.name}"
            self.local_nodes[spec.name, tier] = self._node(name, tier, siblings, spec.zone)

    def end_companions(self, spec: model.ServerSpec) -> None:
        for tier, _ in self.plan.edges[spec.tier]:
            node = self.local_nodes.pop((spec.name, tier), None)
            if node is not None:
                node.kill()
                self.registries[node.tier].remove_agent(node)

    def _told(self, node: str, entry: Server) -> None:
        self.notifications[node, entry.address] = (entry.state, self.queue.now, entry.launched_ms)
        health = entry.state.value
        self.write(
            "equipos",
            {"e": "told", "t": self.plan_time(), "node": node, "equipo": entry.address, "health": health},
        )

    # --------------------------------------------------------------- requests

    def accept_request(self, host: SimulatedServerHost, link: Connection, exchange: Attempt) -> SimulatedWork:
        """A request at an equipo: how much work it will be there."""
        call, spec = exchange.request, host.spec
        table = self.classes[call.class_name]
        called = call_targets(self.plan, spec.tier, self._calls)
        figures = self.class_parameters[call.class_name]
        work = work_segments(self.plan, spec, figures, call.work_ms, self._noise, len(called))
        if link.use_count == 1:
            work = (work[0] + spec.handshake_work_ms, *work[1:])
        self._next += 1
        self.sent[spec.tier] += 1
        key = (
            f"{call.class_name}/{call.dedup_key}"
            if table.idempotency is Idempotency.IDEMPOTENT_WITH_KEY
            else None
        )
        told = self.notifications.get((link.node.name, spec.name))
        job = model.Job(
            self._next,
            work,
            key,
            table.dedup_window_ms,
            sender_informed=told is not None and told[2] == self._start(host),
        )
        if told is not None and told[0] is not ServerState.UP:
            self._late(host, link, call, told)
        now = self.queue.now
        return SimulatedWork(host, link, exchange, job, now, now + exchange.timeout_ms, call_targets=called)

    @staticmethod
    def _start(host: SimulatedServerHost) -> float | None:
        """As the list tells it: nothing of those that ran from the first."""
        started = host.model.started_ms
        return started if math.isfinite(started) else None

    def _late(
        self,
        host: SimulatedServerHost,
        link: Connection,
        call: NodeRequest,
        told: tuple[ServerState, float, float | None],
    ) -> None:
        """Something new has come to an equipo of which its node had been told that it drains or is gone."""
        rules = self.plan.scenario.rules
        over = self.queue.now - told[1] - rules.drain_ms - rules.drain_slack_ms
        if over > 0.0:
            row = {"e": "late", "t": self.plan_time(), "node": link.node.name, "equipo": host.spec.name}
            self.write(
                "equipos",
                {**row, "health": told[0].value, "over_ms": round(over, 1), "op": call.operation_id},
            )

    def attempt_finished(self, node: SimulatedNode, exchange: Attempt, result: AttemptResult) -> None:
        self.results[node.tier][result] += 1

    def apply_actions(self, host: SimulatedServerHost, acts: list[model.Action]) -> None:
        for act in acts:
            match act:
                case model.Reply(id, verdict):
                    self._reply(host, id, verdict)
                case model.CallNextTier(id, number):
                    self._call(host, host.work[id], number)
                case model.JobStarted():
                    pass
                case model.ServerCollapsed(share):
                    row = {"e": "fell", "t": self.plan_time(), "equipo": host.spec.name, "told_share": share}
                    self.write("equipos", row)
                    self._crash(host)

    def _reply(self, host: SimulatedServerHost, id: int, verdict: model.JobResult) -> None:
        # A repeat may have joined the first one at another equipo of the grupo.
        work = host.work.pop(id, None) or self._elsewhere(host, id)
        if work is None:
            return
        if work.job.stage is model.JobStage.DUPLICATE:
            work.host.model.finish_duplicate(id)
        if verdict is model.JobResult.SERVED:
            self.served[work.host.spec.tier] += 1
        self.record(work, verdict.value)
        work.host.reply(work, verdict)

    def _elsewhere(self, here: SimulatedServerHost, id: int) -> SimulatedWork | None:
        for host in self.cells[here.spec.tier, here.spec.cell]:
            work = host.work.pop(id, None)
            if work is not None:
                return work
        return None

    def record(self, work: SimulatedWork, verdict: str) -> None:
        """How a request ended at an equipo, and whether its work had begun there."""
        call = work.attempt.request
        asked = (work.connection.node.name, call.class_name, call.operation_id, call.request_id)
        over = self.queue.now > work.deadline_ms
        came = round(work.received_ms, 1)
        row = record_codec.job_record(
            work.host.spec, work.job, self.plan_time(), came, asked, verdict, work.client_connected, over
        )
        self.write("equipos", row)

    def _call(self, host: SimulatedServerHost, work: SimulatedWork, number: int) -> None:
        """One call to another tier, through the equipo's own node for it."""
        above, node = work.attempt.request, self.local_nodes.get((host.spec.name, work.call_targets[number]))
        table = self.classes[above.class_name]
        left = (
            work.deadline_ms - self.queue.now if self.plan.scenario.propagate_deadline else table.deadline_ms
        )
        model_then = host.model
        if node is None or left < 1.0:
            self.queue.call_later(0.0, self._called, host, model_then, work.job.id, False)
            return
        keyed = table.idempotency is Idempotency.IDEMPOTENT_WITH_KEY
        key = f"{work.job.key or above.request_id}.{number}"
        rid = f"{above.request_id}.{work.job.id}.{number}"
        op = key if keyed else f"{above.operation_id}/{work.job.id}.{number}"
        over = False

        def done(verdict: AttemptOutcome) -> None:
            nonlocal over
            if not over:
                over = True
                self.queue.cancel(timer)
                self._called(host, model_then, work.job.id, verdict.status == 200)

        def give_up() -> None:
            node.abandon(call)
            done(AttemptOutcome(failure="timed out"))

        call = NodeRequest(rid, above.class_name, op, above.work_ms, key, float(max(1, int(left))), done)
        timer = self.queue.call_later(left, give_up)
        node.submit(call)

    def _called(self, host: SimulatedServerHost, then: model.EmulatedServer, id: int, good: bool) -> None:
        if host.model is not then:  # it was started anew since
            return
        host.catch_up()
        self.apply_actions(host, host.model.call_finished(self.queue.now, id, good))
        host.arm()

    # --------------------------------------------------------------- troubles

    def inject(self, step: FaultStep, front: SimulatedDispatcher) -> None:
        trouble = self.plan.scenario.faults[step.fault]
        self.write(
            "equipos",
            {
                "e": "step",
                "t": self.plan_time(),
                "kind": trouble.kind,
                "what": step.phase,
                "equipos": step.targets,
            },
        )
        on = [self.hosts[name] for name in step.targets if name in self.hosts]
        begins, now = step.phase == "begin", self.queue.now
        for host in on:
            host.catch_up()
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
                    registry.stall(begins)
            case "discovery-break":
                for registry in self.registries if begins else ():
                    registry.reset_watches()
            case "discovery-storm":
                state = ServerState.DRAINING if step.phase == "away" else ServerState.UP
                for host in on:
                    if host.model.state is model.LifecycleState.UP:
                        self.registries[host.spec.tier].set_state(
                            host.spec.name, state, DiscoveryChange.STORM
                        )
            case "faults":
                self._fault_step(step, begins)
            case "crash":
                for host in on:
                    if begins:
                        self._crash(host)
                    else:
                        self.launch(host)
            case "vanish":
                for host in on:
                    self._vanish(host, begins, trouble.restart_cold)
            case "node-crash" | "node-loss":
                names = step.targets if trouble.kind == "node-loss" else (f"n{trouble.node_index}",)
                for name in names if begins else ():
                    self.node_dies(name, front, self.length_ms(step))
            case "node-upgrade":
                if begins:
                    self._upgrade(f"n{trouble.node_index}", front)
            case "loss":
                self._losses.loss(step, front, begins)
            case "cut-off":
                self._losses.cut(step, begins)
            case "front-shift":
                front.allowed_nodes = step.targets if begins else ()
                front.refresh()
        for host in on:
            host.arm()

    def _deploy_step(self, step: FaultStep, on: list[SimulatedServerHost]) -> None:
        if step.phase == "drain":
            for host in on:
                host.model.drain(self.queue.now)
                self.registries[host.spec.tier].set_state(
                    host.spec.name, ServerState.DRAINING, DiscoveryChange.DRAIN
                )
        elif step.phase == "stop":
            for host in on:
                self.gone(host, DiscoveryChange.STOP)
        else:
            for name in step.targets:
                host = self._host(self.specs[name], cold=True)
                self.launch(host)

    def launch(self, host: SimulatedServerHost) -> None:
        """Its node first, then it takes work and the list is told."""
        self.queue.call_later(PROCESS_START_MS, self._launched, host)

    def _launched(self, host: SimulatedServerHost) -> None:
        if host.listening and host.model.state is not model.LifecycleState.DOWN:
            return  # two troubles have started it
        spec = host.spec
        self._companions(spec)
        host.restart()
        self.write("equipos", record_codec.start_record(self.plan, spec, self.plan_time()))
        self.registries[spec.tier].update(
            Server(spec.name, spec.zone, spec.cell, launched_ms=self.queue.now), DiscoveryChange.ADD
        )

    def _fault_step(self, step: FaultStep, begins: bool) -> None:
        trouble = self.plan.scenario.faults[step.fault]
        tier = trouble.tier_name or self.plan.scenario.tiers[0].name
        for name, host in self.hosts.items():
            if self.plan.scenario.tiers[host.spec.tier].name != tier:
                continue
            if trouble.connection_fault == "refuse":
                if name in step.targets and host.model.state is not model.LifecycleState.DOWN:
                    host.listening = not begins
            elif begins:
                rng = random_stream(self.plan.seed, "run", "fault", step.fault, name)
                host.begin_fault(
                    step.fault,
                    ConnectionFault(trouble.connection_fault, trouble.share, trouble.delay_ms, rng),
                )
            else:
                host.end_fault(step.fault)

    def _crash(self, host: SimulatedServerHost) -> None:
        self.gone(host, DiscoveryChange.SERVER_DIED)

    def gone(self, host: SimulatedServerHost, change: DiscoveryChange) -> None:
        """The process ends, and its node with it."""
        for work in host.work.values():
            self.record(work, "lost")
        host.terminate()
        self.end_companions(host.spec)
        self.registries[host.spec.tier].set_state(host.spec.name, ServerState.REMOVED, change)

    def _vanish(self, host: SimulatedServerHost, begins: bool, cold: bool) -> None:
        spec = host.spec
        if begins:
            host.isolate()
            self.registries[spec.tier].set_state(spec.name, ServerState.REMOVED, DiscoveryChange.SERVER_DIED)
        elif cold:
            self.gone(host, DiscoveryChange.SERVER_DIED)
            self.launch(host)
        else:
            host.rejoin()
            self.registries[spec.tier].update(self.entry(host), DiscoveryChange.ADD)

    @staticmethod
    def entry(host: SimulatedServerHost) -> Server:
        """What discovery says of one that has run on."""
        spec = host.spec
        return Server(spec.name, spec.zone, spec.cell, launched_ms=SimulatedFleet._start(host))

    # ------------------------------------------------------- the front's nodes

    def length_ms(self, step: FaultStep) -> float:
        """From this step to the end of its trouble; 0 where it has none."""
        ends = [one.at_ms for one in self.plan.steps if one.fault == step.fault and one.phase == "end"]
        return ends[0] - step.at_ms if ends else 0.0

    def node_dies(self, name: str, front: SimulatedDispatcher, down_ms: float) -> None:
        old = self.nodes[name]
        if old.dead:
            return
        self.write("run", {"e": "killed", "t": self.plan_time(), "node": name})
        learned = (
            old.node.learned_state(self.queue.now) if self.plan.scenario.nodes.keep_learned_state else None
        )
        old.kill()
        self.registries[0].remove_agent(old)
        front.node_changed(name)
        self.queue.call_later(
            down_ms + PROCESS_START_MS, self._node_returns, name, front, learned, self.queue.now
        )

    def _node_returns(self, name: str, front: SimulatedDispatcher, learned: Any, died: float) -> None:
        self._front_starts(name)
        if learned is not None:
            self.nodes[name].restore(learned, self.queue.now - died)
        self.write("run", {"e": "back", "t": self.plan_time(), "node": name})
        front.node_changed(name)

    def _upgrade(self, name: str, front: SimulatedDispatcher) -> None:
        """A new process beside the old one, which takes nothing new once the new one serves."""
        old = self.nodes[name]
        if old.dead:
            return
        new = self._front_node(name)
        if self.plan.scenario.nodes.keep_learned_state:
            new.restore(old.node.learned_state(self.queue.now), 0.0)
        for one in (old, new):
            one.apply(one.node.process_count_changed(self.queue.now, 2))
        self.queue.call_later(UPGRADE_OVERLAP_MS, self._upgraded, name, old, new)

    def _upgraded(self, name: str, old: SimulatedNode, new: SimulatedNode) -> None:
        if old.dead:  # it was killed meanwhile, and another has taken its place
            new.kill()
            return
        self.nodes[name] = new
        new.apply(new.node.process_count_changed(self.queue.now, 1))
        self.write("run", {"e": "back", "t": self.plan_time(), "node": name})

    # ---------------------------------------------------------------- records

    def plan_time(self) -> float:
        return round(self.queue.now, 1)

    def _sample(self) -> None:
        now = self.queue.now
        for name, host in self.hosts.items():
            host.catch_up()
            one = host.model
            one.reported_queue(now)  # as of now, not of the last event
            self.write("equipos", record_codec.sample_record(name, one, self.plan_time()))
            host.arm()
        self.queue.call_later(SAMPLE_PERIOD_MS, self._sample)
