"""A scale run from its start to its verdicts: starts the processes, plays the plan, reads the figures."""

from __future__ import annotations

import asyncio
import os
import time
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

import msgspec

from rosewheel.lab.catalog import Entry
from rosewheel.lab.scale import calls
from rosewheel.lab.scale.children import Child, ChildError, usage
from rosewheel.lab.scale.control import ControlProcess, Operator, first, service_name
from rosewheel.lab.scale.control import change as change_patch
from rosewheel.lab.scale.figures import Figures, Sample
from rosewheel.lab.scale.network import FAR_S
from rosewheel.lab.scale.plan import Change, Plan, Step
from rosewheel.lab.scale.real import RealNode
from rosewheel.lab.streams import stream
from rosewheel.lab.wire import Address, now_ms

SHARED = 120  # hollow nodes in a process
LEAD_S = 1.0
SETTLE_S = 30.0  # how long after the last step everything may take to be in force everywhere
STARTS = 8  # real nodes that start at a time: each takes most of a second of CPU
EQUIPOS_MOST = 24


class Run:
    """`execute` plays the plan once."""

    def __init__(self, plan: Plan, folder: Path) -> None:
        self.plan, self.folder = plan, folder
        self.options = plan.options
        self.loop = asyncio.get_running_loop()
        self.children: dict[str, Child] = {}
        self.hollow: list[Child] = []
        self.real: dict[int, RealNode] = {}
        self.control: dict[str, ControlProcess] = {}
        self.operator: Operator | None = None
        self._wanted: asyncio.Queue[Change] = asyncio.Queue()
        self._made = 0  # changes of configuration
        self.figures = Figures(plan)
        self.t0 = 0.0
        self._doors: dict[str, dict[str, Address]] = {}  # by whose they are, and where they lead
        self._tasks: set[asyncio.Task[None]] = set()
        self._changing: asyncio.Task[None] | None = None

    async def execute(self) -> dict[str, Any]:
        """The run's summary; ChildError where a process of it did not do its part."""
        try:
            await self._start()
            await self._play()
            stale = await self._settle()
            await self._finish()
        finally:
            await self._close()
        added = calls.added(self.folder, self.plan.phases[1].end_s) if self._calls else {}
        return self.figures.summary(self.folder, stale, added)

    # ---------------------------------------------------------------- start

    @property
    def _calls(self) -> bool:
        return bool(self.options.real and self.options.calls)

    async def _start(self) -> None:
        dials = await self._start_equipos()
        membership = await self._child("membership", "membership", self._membership(dials))
        for one in self.plan.control:
            self.control[one.name] = ControlProcess(one, self.folder / "control")
        await self._start_network(membership["address"])
        await self._start_control()
        await self._start_hollow()
        await self._start_real()
        if self._calls:
            await self._start_calls(dials)

    async def _child(self, name: str, module: str, given: dict[str, Any]) -> dict[str, Any]:
        path = self.folder / f"{name}.json"
        path.write_bytes(msgspec.json.encode(given))
        self.children[name] = child = await Child.start(
            name, self.folder, f"rosewheel.lab.scale.{module}", str(path)
        )
        return await child.heard()

    async def _start_equipos(self) -> list[str]:
        """Where the equipos stand; without real nodes nobody dials them, and there are none."""
        if not self.options.real:
            return ["127.0.0.1:9"]
        path = self.folder / "scenario.json"
        path.write_bytes(msgspec.json.encode(self._scenario()))
        arguments = (str(path), str(self.options.seed), str(self.folder))
        self.children["equipos"] = child = await Child.start(
            "equipos", self.folder, "rosewheel.lab.child", *arguments
        )
        return [row["dial"] for row in (await child.heard())["known"]["hosts"]]

    def _scenario(self) -> Any:
        ways = self.options.real + self._direct
        rate = max(0.1, self.options.calls * ways)
        return calls.scenario(self.options.seconds, rate, min(self.options.real, EQUIPOS_MOST))

    @property
    def _direct(self) -> int:
        return -(-self.options.real // calls.DIRECT_PART)

    def _membership(self, dials: list[str]) -> dict[str, Any]:
        services: list[list[dict[str, Any]]] = [[] for _ in range(self.options.services)]
        for one in self.plan.machines:
            dial = dials[one.number % len(dials)]
            entry = Entry(one.name, dial, f"z{one.zone}", one.rack)
            services[one.service].append(
                {"host": entry.host, "dial": entry.dial, "site": entry.site, "block": entry.block}
            )
        return {"services": services, "homes": {one.address: one.service for one in self.plan.machines}}

    async def _start_network(self, discovery: Address) -> None:
        """Doors of its own for each zone, for each real node, which has no address of its own to come from, and from
        each control machine to each other one."""
        names = [one.name for one in self.plan.control]
        doors: list[dict[str, Any]] = []
        keys: list[tuple[str, str]] = []  # whose door, and where it leads

        def add(whose: str, kind: str, to: dict[str, Address], caller: str = "") -> None:
            doors.append({"kind": kind, "targets": to, "caller": caller})
            keys.append((whose, "discovery" if kind == "discovery" else next(iter(to))))

        zones = sorted({one.zone for one in self.plan.machines})
        places = [(f"z{zone}", "") for zone in zones]
        places += [(one.name, one.name) for one in self.plan.machines if one.real]
        for whose, caller in places:
            add(whose, "discovery", dict.fromkeys(names, discovery), caller)
            for name in names:
                add(whose, "control", {name: self.control[name].address}, caller)
        for caller in names:
            for name in names:
                if name != caller:
                    add(caller, "peer", {name: self.control[name].address}, caller)
        regions = {one.name: one.region for one in self.plan.machines}
        regions |= {one.name: one.region for one in self.plan.control}
        machines = {one.address: one.name for one in self.plan.machines}
        given = {"places": regions, "machines": machines, "doors": doors, "far_s": FAR_S}
        told = (await self._child("network", "network", given))["doors"]
        for (whose, to), (host, port) in zip(keys, told, strict=True):
            self._doors.setdefault(whose, {})[to] = (host, port)

    def _machines_from(self, whose: str) -> dict[str, Address]:
        """Where the control machines are, as seen from here."""
        return {name: address for name, address in self._doors[whose].items() if name != "discovery"}

    async def _start_control(self) -> None:
        writer = self.plan.control[0].name
        for name, process in self.control.items():
            process.start(self._machines_from(name), writer)
        self.operator = Operator(self.control[writer])
        await self.operator.up()
        await self.operator.put(first(self.options.services))

    async def _start_hollow(self) -> None:
        mine = [one for one in self.plan.machines if not one.real]
        for at in range(0, len(mine), SHARED):
            name = f"hollow-{at // SHARED}"
            rows = []
            for one in mine[at : at + SHARED]:
                here = f"z{one.zone}"
                service, door = service_name(one.service), self._doors[here]["discovery"]
                rows.append((one.number, service, one.address, door, self._machines_from(here)))
            given = {"nodes": rows, "seed": self.options.seed, "folder": str(self.folder), "name": name}
            await self._child(name, "hollow", given)
            self.hollow.append(self.children[name])

    async def _start_real(self) -> None:
        real = [one for one in self.plan.machines if one.real]
        sizes = [0] * self.options.services
        for one in self.plan.machines:
            sizes[one.service] += 1
        for one in real:
            self.real[one.number] = RealNode(
                one,
                self.folder / "nodes",
                self._doors[one.name]["discovery"],
                self._machines_from(one.name),
                service_name(one.service),
                sizes[one.service],
            )
        for at in range(0, len(real), STARTS):
            some = [self.real[one.number] for one in real[at : at + STARTS]]
            for node in some:
                node.start()
            well = await asyncio.gather(*(node.healthy() for node in some))
            for node, good in zip(some, well, strict=True):
                if not good:
                    raise ChildError(f"node {node.machine.name} did not start: {node.last_words()}")

    async def _start_calls(self, dials: list[str]) -> None:
        targets: dict[str, list[Any]] = {}
        for node in self.real.values():
            targets[node.machine.name] = list(node.listen)
        for at in range(self._direct):
            host, _, port = dials[at % len(dials)].rpartition(":")
            targets[f"{calls.DIRECT}-{at}"] = [host, int(port)]
        seed = int(stream(self.options.seed, "scale", "calls").integers(1 << 31))
        given = {
            "scenario": msgspec.to_builtins(self._scenario()),
            "seed": seed,
            "targets": targets,
            "folder": str(self.folder),
        }
        await self._child("calls", "calls", given)

    # ----------------------------------------------------------------- play

    async def _play(self) -> None:
        self.t0 = now_ms() + LEAD_S * 1000.0
        for name in ("equipos", "calls"):
            if name in self.children:
                self.children[name].tell({"do": "go", "t0": self.t0})
        await self._until(0.0)
        self.figures.began(self.t0)
        self._changing = self.loop.create_task(self._make_changes())
        await self._sample("begin")
        moments: list[tuple[float, int, Callable[[], Coroutine[Any, Any, None]]]] = []
        # At one moment: first the figures of the phase that ends, then what the next one begins with.
        for phase in self.plan.phases:
            moments.append((phase.end_s, 0, lambda name=phase.name: self._sample(name)))  # type: ignore[misc]
        for step in self.plan.steps:
            moments.append((step.at_s, 1, lambda step=step: self._step(step)))  # type: ignore[misc]
        for change in self.plan.changes:
            moments.append((change.at_s, 2, lambda change=change: self._change(change)))  # type: ignore[misc]
        for at_s, _, what in sorted(moments, key=lambda item: item[:2]):
            await self._until(at_s)
            await what()

    async def _until(self, at_s: float) -> None:
        await asyncio.sleep(max(0.0, (self.t0 + at_s * 1000.0 - now_ms()) / 1000.0))

    async def _step(self, step: Step) -> None:
        names = [f"n{number}" for number in step.nodes] + list(step.control)
        network, now = self.children["network"], now_ms()
        match step.what:
            case "lose":
                network.tell({"do": "lose", "names": names})
                self._hollow("stop", step.nodes)
                for node in self._real(step.nodes):
                    node.kill()
                for name in step.control:
                    self.control[name].kill()
                self.figures.left(step.nodes, now)
                await self._list([(number, "left") for number in step.nodes])
            case "back":
                network.tell({"do": "back", "names": names})
                self._hollow("start", step.nodes)
                for name in step.control:
                    self.control[name].again()
                for node in self._real(step.nodes):
                    node.start()
                self.figures.back(step.nodes, now_ms())
                await self._list([(number, "active") for number in step.nodes], back=True)
            case "restart":
                self._hollow("restart", step.nodes)
                for node in self._real(step.nodes):
                    self._task(node.restart())
                self.figures.left(step.nodes, now)
                self.figures.back(step.nodes, now_ms())
            case "split" | "join":
                network.tell({"do": "split", "on": step.what == "split"})
                self.figures.split(step.what == "split", now_ms())

    def _hollow(self, what: str, numbers: tuple[int, ...]) -> None:
        for child in self.hollow:
            child.tell({"do": what, "numbers": numbers})

    def _real(self, numbers: tuple[int, ...]) -> list[RealNode]:
        return [self.real[number] for number in numbers if number in self.real]

    def _task(self, work: Coroutine[Any, Any, None]) -> None:
        task = self.loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _change(self, change: Change) -> None:
        if change.kind == "list":
            await self._list([(change.node, change.health)])
        else:
            self._wanted.put_nowait(change)

    async def _make_changes(self) -> None:
        """Changes of configuration, one after another, as whoever makes them waits for each to be acknowledged."""
        assert self.operator is not None
        while True:
            change = await self._wanted.get()
            self._made += 1
            self.figures.config.append(await self.operator.put(change_patch(self._made, change.service)))
            self._wanted.task_done()

    async def _list(self, changes: list[tuple[int, str]], back: bool = False) -> None:
        if not changes:
            return
        services = self.plan.machines
        rows = [(services[number].service, f"n{number}", health) for number, health in changes]
        told = await self.children["membership"].ask({"do": "change", "changes": rows, "back": back})
        self.figures.listed(told["made"])

    # -------------------------------------------------------------- figures

    async def _sample(self, phase: str) -> None:
        """The figures of every process at the end of this phase."""
        network = await self.children["network"].ask({"do": "figures"})
        membership = await self.children["membership"].ask({"do": "figures"})
        hollow = [await child.ask({"do": "figures"}) for child in self.hollow]
        pids: dict[str, list[int]] = {
            "network": [self.children["network"].pid],
            "discovery": [self.children["membership"].pid],
            "hollow": [child.pid for child in self.hollow],
            "real": [node.pid for node in self.real.values()],
            "control-writer": [self.control[self.plan.control[0].name].pid],
            "control-follower": [self.control[one.name].pid for one in self.plan.control[1:]],
        }
        for name in ("equipos", "calls"):
            if name in self.children:
                pids[name] = [self.children[name].pid]
        used = {role: {pid: usage(pid) for pid in some if pid} for role, some in pids.items()}
        used["run"] = {os.getpid(): usage(os.getpid())}
        version = 0 if self.operator is None else self.operator.version
        load = os.getloadavg()[0]
        self.figures.add(Sample(phase, now_ms(), used, network, membership, hollow, load, version))

    async def _settle(self) -> int:
        """Wait until everything is in force everywhere; how many nodes were stale when the time was up."""
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=SETTLE_S)
        if "calls" in self.children:
            await self.children["calls"].ask({"do": "stop"})
        await self._made_all()
        deadline = time.monotonic() + SETTLE_S
        while (stale := await self._stale()) and time.monotonic() < deadline:
            await asyncio.sleep(0.2)
        return stale

    async def _made_all(self) -> None:
        """Wait until the last change of configuration has been made."""
        assert self._changing is not None
        joined = self.loop.create_task(self._wanted.join())
        try:
            await asyncio.wait({joined, self._changing}, return_when=asyncio.FIRST_COMPLETED)
            if self._changing.done():
                self._changing.result()  # it only ends by an error
        finally:
            joined.cancel()

    async def _stale(self) -> int:
        """Nodes that do not have the last list or the last version, or of which the writer does not know it."""
        assert self.operator is not None
        told = await self.children["membership"].ask({"do": "figures"})
        up = 0
        stale = 0
        for child in self.hollow:
            for number, version, config in (await child.ask({"do": "figures"}))["versions"]:
                up += 1
                good = version == told["versions"][self.plan.machines[number].service]
                stale += not good or config != self.operator.version
        for node in self.real.values():
            stats = await node.stats()
            stale += stats.get("pool_size") != told["active"][node.machine.service]
        hollow = self.options.nodes - len(self.real)
        known = (await self.operator.status()).get("in_force", 0)
        return int(max(stale + hollow - up, self.options.nodes - known))

    async def _finish(self) -> None:
        for child in self.hollow:
            await child.ask({"do": "save"})

    async def _close(self) -> None:
        """End every process that was started; returns when the last one has ended."""
        for task in self._tasks:
            task.cancel()
        if self._changing is not None:
            self._changing.cancel()
        if self.operator is not None:
            self.operator.close()
        for node in self.real.values():
            node.close()
        for process in self.control.values():
            process.close()
        # The equipos write their last records when they end, so all are told before any is waited for.
        await asyncio.gather(*(child.end() for child in self.children.values()))
