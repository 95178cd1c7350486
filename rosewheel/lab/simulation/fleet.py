"""Everything of a simulated run behind its clients: equipos of all tiers, their nodes, discovery, the troubles."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable
from typing import Any

from rosewheel.lab import record_codec
from rosewheel.lab import server_model as model
from rosewheel.lab.node_process import platform_settings
from rosewheel.lab.plan import FaultStep, Plan, call_targets, work_segments
from rosewheel.lab.random_streams import random_stream
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
from rosewheel.node.limits import Bounds
from rosewheel.policy.events import AttemptResult, Server, ServerState
from rosewheel.policy.settings import Settings
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
        self.specs = {spec.name: spec for spec in (*plan.equipos, *plan.later)}
        self.memories: dict[tuple[int, int], model.DedupTable] = {}
        self.grupos: dict[tuple[int, int], list[SimulatedServerHost]] = {}
        self.tables = {row.name: row for row in scenario.classes}
        self.figures = {row.name: row for row in plan.classes}
        # by node and equipo: its state and start as last told, and when
        self.told: dict[tuple[str, str], tuple[ServerState, float, float | None]] = {}
        self.results: list[Counter[AttemptResult]] = [
            Counter() for _ in scenario.tiers
        ]  # of attempts, by tier
        self.sent = [0] * len(scenario.tiers)  # requests that came to equipos
        self.served = [0] * len(scenario.tiers)
        self.areas = Topology(scenario)
        self.companions: dict[
            tuple[str, int], SimulatedNode
        ] = {}  # by equipo, and the tier that it calls by it
        self._losses = ZoneOutages(self)
        self.nodes: dict[str, SimulatedNode] = {}
        self.registries = [
            SimulatedRegistry(
                queue,
                plan,
                self._told,
                lambda node, equipo: (node, equipo) in self.told,
                random_stream(plan.seed, "run", "discovery", tier),
            )
            for tier in range(len(scenario.tiers))
        ]
        self._noise = random_stream(plan.seed, "run", "noise")
        self._calls = random_stream(plan.seed, "run", "calls")
        self._settings: dict[tuple[int, int, str], Settings] = {}
        self._bounds = Bounds(
            conn_idle_ms=30000.0,
            second_copies=scenario.nodes.second_copies,
            may_probe=True,
            sockets=scenario.nodes.sockets,
            memory_mb=scenario.nodes.memory_mb,
        )
        self._next = 0
        self._processes = 0
        for spec in plan.equipos:
            host = self._host(spec, cold=False)
            host.listening = True
            self.registries[spec.tier].truth[spec.name] = Server(spec.name, spec.zone, spec.cell)
        self.queue.at(0.0, self._sample)

    def start(self, ready: Callable[[], None]) -> None:
        """The nodes begin, each at a moment of its own before the plan's clock does; `ready` once all have."""
        spread, rng = (
            self.plan.scenario.nodes.spread_s * 1000.0,
            random_stream(self.plan.seed, "run", "starts"),
        )
        for number in range(self.plan.scenario.nodes.count):
            wait = float(rng.uniform(0.0, spread))
            self.queue.after(wait, self._front_starts, f"n{number}")
        for spec in self.plan.equipos:
            if self.plan.edges[spec.tier]:
                self.queue.after(float(rng.uniform(0.0, spread)), self._companions, spec)
        self.queue.after(spread, ready)

    def _front_starts(self, name: str) -> None:
        self.nodes[name] = self._front_node(name)

    def _front_node(self, name: str) -> SimulatedNode:
        """They stand in the zones of the first tier, in turn."""
        scenario = self.plan.scenario
        zones = scenario.tiers[0].zones or scenario.zones
        return self._node(name, 0, scenario.nodes.count, zones[int(name[1:]) % len(zones)])

    # ------------------------------------------------------------------ fleet

    def _host(self, spec: model.ServerSpec, cold: bool) -> SimulatedServerHost:
        memory = self.memories.setdefault((spec.tier, spec.cell), model.DedupTable())
        rng = random_stream(self.plan.seed, "run", "equipo", spec.name)
        reports = self.plan.scenario.tiers[spec.tier].report.on
        self.hosts[spec.name] = host = SimulatedServerHost(self, spec, memory, rng, cold, reports)
        self.grupos.setdefault((spec.tier, spec.cell), []).append(host)
        return host

    def _node(self, name: str, tier: int, siblings: int, zone: str) -> SimulatedNode:
        told = self._settings.get((tier, siblings, zone))
        if told is None:
            told = settings_from(platform_settings(self.plan, tier, siblings, zone))
            self._settings[tier, siblings, zone] = told
        self._processes += 1
        seed = int(random_stream(self.plan.seed, "node", name, self._processes).integers(1 << 62))
        node = SimulatedNode(self, name, tier, told, self._bounds, seed)
        self.registries[tier].add(node)
        return node

    def _companions(self, spec: model.ServerSpec) -> None:
        """The nodes through which this equipo calls: one for each tier that it calls."""
        edges, tiers = self.plan.edges, self.plan.scenario.tiers
        for number, (tier, _) in enumerate(edges[spec.tier]):
            callers = {at for at, row in enumerate(edges) if any(to == tier for to, _ in row)}
            siblings = sum(1 for one in self.plan.equipos if one.tier in callers)
            name = f"n-{spec.name}-{tiers[tier].name}" if number else f"n-{spec.name}"
            self.companions[spec.name, tier] = self._node(name, tier, siblings, spec.zone)

    def end_companions(self, spec: model.ServerSpec) -> None:
        for tier, _ in self.plan.edges[spec.tier]:
            node = self.companions.pop((spec.name, tier), None)
            if node is not None:
                node.kill()
                self.registries[node.tier].drop(node)

    def _told(self, node: str, entry: Server) -> None:
        self.told[node, entry.address] = (entry.state, self.queue.now, entry.launched_ms)
        health = entry.state.value
        self.write(
            "equipos", {"e": "told", "t": self.t(), "node": node, "equipo": entry.address, "health": health}
        )

    # --------------------------------------------------------------- requests

    def take(self, host: SimulatedServerHost, link: Connection, exchange: Attempt) -> SimulatedWork:
        """A request at an equipo: how much work it will be there."""
        call, spec = exchange.call, host.spec
        table = self.tables[call.service]
        called = call_targets(self.plan, spec.tier, self._calls)
        figures = self.figures[call.service]
        work = work_segments(self.plan, spec, figures, call.work_ms, self._noise, len(called))
        if link.used == 1:
            work = (work[0] + spec.handshake_ms, *work[1:])
        self._next += 1
        self.sent[spec.tier] += 1
        key = f"{call.service}/{call.key}" if table.effect == "keyed" else None
        told = self.told.get((link.node.name, spec.name))
        job = model.Job(
            self._next, work, key, table.memory_ms, told=told is not None and told[2] == self._start(host)
        )
        if told is not None and told[0] is not ServerState.UP:
            self._late(host, link, call, told)
        now = self.queue.now
        return SimulatedWork(host, link, exchange, job, now, now + exchange.timeout_ms, targets=called)

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
        over = self.queue.now - told[1] - rules.drain_ms - rules.slack_ms
        if over > 0.0:
            row = {"e": "late", "t": self.t(), "node": link.node.name, "equipo": host.spec.name}
            self.write("equipos", {**row, "health": told[0].value, "over_ms": round(over, 1), "op": call.op})

    def answered_by(self, node: SimulatedNode, exchange: Attempt, result: AttemptResult) -> None:
        self.results[node.tier][result] += 1

    def act(self, host: SimulatedServerHost, acts: list[model.Action]) -> None:
        for act in acts:
            match act:
                case model.Reply(id, verdict):
                    self._reply(host, id, verdict)
                case model.CallNextTier(id, number):
                    self._call(host, host.work[id], number)
                case model.JobStarted():
                    pass
                case model.ServerCollapsed(share):
                    row = {"e": "fell", "t": self.t(), "equipo": host.spec.name, "told_share": share}
                    self.write("equipos", row)
                    self._crash(host)

    def _reply(self, host: SimulatedServerHost, id: int, verdict: model.JobResult) -> None:
        # A repeat may have joined the first one at another equipo of the grupo.
        work = host.work.pop(id, None) or self._elsewhere(host, id)
        if work is None:
            return
        if work.job.stage is model.JobStage.JOINED:
            work.host.model.joined_ended(id)
        if verdict is model.JobResult.SERVED:
            self.served[work.host.spec.tier] += 1
        self.record(work, verdict.value)
        work.host.reply(work, verdict)

    def _elsewhere(self, here: SimulatedServerHost, id: int) -> SimulatedWork | None:
        for host in self.grupos[here.spec.tier, here.spec.cell]:
            work = host.work.pop(id, None)
            if work is not None:
                return work
        return None

    def record(self, work: SimulatedWork, verdict: str) -> None:
        """How a request ended at an equipo, and whether its work had begun there."""
        call = work.exchange.call
        asked = (work.link.node.name, call.service, call.op, call.rid)
        over = self.queue.now > work.deadline_ms
        came = round(work.came_ms, 1)
        row = record_codec.job_record(
            work.host.spec, work.job, self.t(), came, asked, verdict, work.wanted, over
        )
        self.write("equipos", row)

    def _call(self, host: SimulatedServerHost, work: SimulatedWork, number: int) -> None:
        """One call to another tier, through the equipo's own node for it."""
        above, node = work.exchange.call, self.companions.get((host.spec.name, work.targets[number]))
        table = self.tables[above.service]
        left = work.deadline_ms - self.queue.now if self.plan.scenario.passes_deadline else table.give_up_ms
        model_then = host.model
        if node is None or left < 1.0:
            self.queue.after(0.0, self._called, host, model_then, work.job.id, False)
            return
        keyed = table.effect == "keyed"
        key = f"{work.job.key or above.rid}.{number}"
        rid = f"{above.rid}.{work.job.id}.{number}"
        op = key if keyed else f"{above.op}/{work.job.id}.{number}"
        over = False

        def done(verdict: AttemptOutcome) -> None:
            nonlocal over
            if not over:
                over = True
                self.queue.off(timer)
                self._called(host, model_then, work.job.id, verdict.status == 200)

        def give_up() -> None:
            node.abandon(call)
            done(AttemptOutcome(why="timed out"))

        call = NodeRequest(rid, above.service, op, above.work_ms, key, float(max(1, int(left))), done)
        timer = self.queue.after(left, give_up)
        node.ask(call)

    def _called(self, host: SimulatedServerHost, then: model.EmulatedServer, id: int, good: bool) -> None:
        if host.model is not then:  # it was started anew since
            return
        host.catch_up()
        self.act(host, host.model.called(self.queue.now, id, good))
        host.arm()

    # --------------------------------------------------------------- troubles

    def step(self, step: FaultStep, front: SimulatedDispatcher) -> None:
        trouble = self.plan.scenario.troubles[step.trouble]
        self.write(
            "equipos",
            {"e": "step", "t": self.t(), "kind": trouble.kind, "what": step.what, "equipos": step.equipos},
        )
        on = [self.hosts[name] for name in step.equipos if name in self.hosts]
        begins, now = step.what == "begin", self.queue.now
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
                    registry.behind_ms = step.size * 1000.0 if begins else 0.0
            case "discovery-stall":
                for registry in self.registries:
                    registry.stall(begins)
            case "discovery-break":
                for registry in self.registries if begins else ():
                    registry.break_off()
            case "discovery-storm":
                state = ServerState.DRAINING if step.what == "away" else ServerState.UP
                for host in on:
                    if host.model.state is model.LifecycleState.UP:
                        self.registries[host.spec.tier].restate(host.spec.name, state, "storm")
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
                    self._vanish(host, begins, trouble.cold)
            case "node-crash" | "node-loss":
                names = step.equipos if trouble.kind == "node-loss" else (f"n{trouble.node}",)
                for name in names if begins else ():
                    self.node_dies(name, front, self.length_ms(step))
            case "node-upgrade":
                if begins:
                    self._upgrade(f"n{trouble.node}", front)
            case "loss":
                self._losses.loss(step, front, begins)
            case "cut-off":
                self._losses.cut(step, begins)
            case "front-shift":
                front.only = step.equipos if begins else ()
                front.changed()
        for host in on:
            host.arm()

    def _deploy_step(self, step: FaultStep, on: list[SimulatedServerHost]) -> None:
        if step.what == "drain":
            for host in on:
                host.model.drain(self.queue.now)
                self.registries[host.spec.tier].restate(host.spec.name, ServerState.DRAINING, "drain")
        elif step.what == "stop":
            for host in on:
                self.gone(host, "stop")
        else:
            for name in step.equipos:
                host = self._host(self.specs[name], cold=True)
                self.launch(host)

    def launch(self, host: SimulatedServerHost) -> None:
        """Its node first, then it takes work and the list is told."""
        self.queue.after(PROCESS_START_MS, self._launched, host)

    def _launched(self, host: SimulatedServerHost) -> None:
        if host.listening and host.model.state is not model.LifecycleState.DOWN:
            return  # two troubles have started it
        spec = host.spec
        self._companions(spec)
        host.start()
        self.write("equipos", record_codec.start_record(self.plan, spec, self.t()))
        self.registries[spec.tier].set(
            Server(spec.name, spec.zone, spec.cell, launched_ms=self.queue.now), "add"
        )

    def _fault_step(self, step: FaultStep, begins: bool) -> None:
        trouble = self.plan.scenario.troubles[step.trouble]
        tier = trouble.where or self.plan.scenario.tiers[0].name
        for name, host in self.hosts.items():
            if self.plan.scenario.tiers[host.spec.tier].name != tier:
                continue
            if trouble.how == "refuse":
                if name in step.equipos and host.model.state is not model.LifecycleState.DOWN:
                    host.listening = not begins
            elif begins:
                rng = random_stream(self.plan.seed, "run", "fault", step.trouble, name)
                host.begin_fault(
                    step.trouble, ConnectionFault(trouble.how, trouble.part, trouble.delay_ms, rng)
                )
            else:
                host.end_fault(step.trouble)

    def _crash(self, host: SimulatedServerHost) -> None:
        self.gone(host, "silent")

    def gone(self, host: SimulatedServerHost, change: str) -> None:
        """The process ends, and its node with it."""
        for work in host.work.values():
            self.record(work, "lost")
        host.die()
        self.end_companions(host.spec)
        self.registries[host.spec.tier].restate(host.spec.name, ServerState.REMOVED, change)

    def _vanish(self, host: SimulatedServerHost, begins: bool, cold: bool) -> None:
        spec = host.spec
        if begins:
            host.vanish()
            self.registries[spec.tier].restate(spec.name, ServerState.REMOVED, "silent")
        elif cold:
            self.gone(host, "silent")
            self.launch(host)
        else:
            host.reappear()
            self.registries[spec.tier].set(self.entry(host), "add")

    @staticmethod
    def entry(host: SimulatedServerHost) -> Server:
        """What discovery says of one that has run on."""
        spec = host.spec
        return Server(spec.name, spec.zone, spec.cell, launched_ms=SimulatedFleet._start(host))

    # ------------------------------------------------------- the front's nodes

    def length_ms(self, step: FaultStep) -> float:
        """From this step to the end of its trouble; 0 where it has none."""
        ends = [one.at_ms for one in self.plan.steps if one.trouble == step.trouble and one.what == "end"]
        return ends[0] - step.at_ms if ends else 0.0

    def node_dies(self, name: str, front: SimulatedDispatcher, down_ms: float) -> None:
        old = self.nodes[name]
        if old.dead:
            return
        self.write("run", {"e": "killed", "t": self.t(), "node": name})
        learned = old.node.learned(self.queue.now) if self.plan.scenario.nodes.keeps else None
        old.kill()
        self.registries[0].drop(old)
        front.look(name)
        self.queue.after(down_ms + PROCESS_START_MS, self._node_returns, name, front, learned, self.queue.now)

    def _node_returns(self, name: str, front: SimulatedDispatcher, learned: Any, died: float) -> None:
        self._front_starts(name)
        if learned is not None:
            self.nodes[name].recall(learned, self.queue.now - died)
        self.write("run", {"e": "back", "t": self.t(), "node": name})
        front.look(name)

    def _upgrade(self, name: str, front: SimulatedDispatcher) -> None:
        """A new process beside the old one, which takes nothing new once the new one serves."""
        old = self.nodes[name]
        if old.dead:
            return
        new = self._front_node(name)
        if self.plan.scenario.nodes.keeps:
            new.recall(old.node.learned(self.queue.now), 0.0)
        for one in (old, new):
            one.apply(one.node.company(self.queue.now, 2))
        self.queue.after(UPGRADE_OVERLAP_MS, self._upgraded, name, old, new)

    def _upgraded(self, name: str, old: SimulatedNode, new: SimulatedNode) -> None:
        if old.dead:  # it was killed meanwhile, and another has taken its place
            new.kill()
            return
        self.nodes[name] = new
        new.apply(new.node.company(self.queue.now, 1))
        self.write("run", {"e": "back", "t": self.t(), "node": name})

    # ---------------------------------------------------------------- records

    def t(self) -> float:
        return round(self.queue.now, 1)

    def _sample(self) -> None:
        now = self.queue.now
        for name, host in self.hosts.items():
            host.catch_up()
            one = host.model
            one.report(now)  # as of now, not of the last event
            self.write("equipos", record_codec.sample_record(name, one, self.t()))
            host.arm()
        self.queue.after(SAMPLE_PERIOD_MS, self._sample)
