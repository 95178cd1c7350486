"""The lab's verbs: `demo`, `emulate`, `load`, `experiment`, `scenarios`."""

from __future__ import annotations

import asyncio
import contextlib
import sys
import tempfile
import time
from collections.abc import Coroutine, Sequence
from pathlib import Path
from typing import Any, NoReturn

import click
import msgspec
import uvloop

from rosewheel.config.address import parse_address
from rosewheel.config.errors import InvalidFileError
from rosewheel.lab import experiment as experiments
from rosewheel.lab import plan as plans
from rosewheel.lab import plan_codec
from rosewheel.lab import scenario as scenarios
from rosewheel.lab.emulator import Emulator
from rosewheel.lab.load import LoadGenerator
from rosewheel.lab.node_process import NodeProcess
from rosewheel.lab.node_settings import platform_settings
from rosewheel.lab.plan import Plan
from rosewheel.lab.records import RecordWriter
from rosewheel.lab.run import RunError, interrupt_to_cancel
from rosewheel.lab.wire import now_ms

INTERRUPTED = 130


def _plan(name: str, seed: int | None, seconds: float | None, emulated: bool = True) -> Plan:
    """`emulated`: its equipos are to stand on sockets."""
    changes = {} if seconds is None else {"seconds": seconds}
    try:
        told = scenarios.load(name, changes)
        if emulated:
            experiments.check_emulated(told)
        return plans.make(told, seed)
    except InvalidFileError as error:
        bad_input(error)


def bad_input(error: InvalidFileError) -> NoReturn:
    for line in error.messages():
        click.echo(f"rosewheel: {line}", err=True)
    sys.exit(2)


def _run(main: Coroutine[Any, Any, Any]) -> Any:
    """Run this to its end or to Ctrl-C, which ends in order all that was started."""

    async def cancellable() -> Any:
        interrupt_to_cancel(asyncio.current_task())  # type: ignore[arg-type]
        return await main

    try:
        return uvloop.run(cancellable())
    except asyncio.CancelledError:
        return None
    except (RunError, RuntimeError, OSError) as error:
        click.echo(f"rosewheel: {error}", err=True)
        sys.exit(1)


def json_line(row: dict[str, Any]) -> None:
    click.echo(msgspec.json.encode(row).decode())


seed_option = click.option("--seed", type=int, help="In place of the scenario's own.")
seconds_option = click.option("--seconds", type=float, help="In place of the scenario's own length.")
plan_option = click.option(
    "--plan", "only_plan", is_flag=True, help="Print the plan, one JSON object a line."
)
repeat_option = click.option(
    "--repeat", type=click.IntRange(1), default=1, show_default=True, help="Runs of each variant."
)
vary_option = click.option(
    "--vary", multiple=True, metavar="KEY=A,B", help="A scenario's key and the values it takes."
)


def print_plan(plan: Plan) -> None:
    for line in plan_codec.plan_lines(plan):
        click.echo(line.decode())


@click.command("scenarios")
def scenarios_command() -> None:
    """List the scenarios that come with the program."""
    for name in scenarios.bundled_names():
        told = scenarios.load(name)
        click.echo(f"{name:24} {told.seconds:5.0f} s  {told.about}")


# ----------------------------------------------------------------------- demo


@click.command()
@click.option("--scenario", "name", default="demo", show_default=True)
@seed_option
@seconds_option
def demo(name: str, seed: int | None, seconds: float | None) -> None:
    """A node, emulated equipos, discovery and a light load on loopback, with live figures. Ctrl-C ends it."""
    plan = _plan(name, seed, seconds)
    with tempfile.TemporaryDirectory(prefix="rosewheel-demo-") as folder:
        _run(_demo(plan, Path(folder)))
    click.echo("\nended")


async def _demo(plan: Plan, folder: Path) -> None:
    records, asked = RecordWriter(folder / "equipos.jsonl"), RecordWriter(folder / "load.jsonl")
    emulator = Emulator(plan, folder, records)
    node: NodeProcess | None = None
    load: LoadGenerator | None = None
    live: asyncio.Task[None] | None = None
    try:
        await emulator.start()
        agent = emulator.fleet.add_agent("n0")
        discovery = await agent.start()
        limits = {"memory_mb": plan.scenario.nodes.memory_mb, "sockets": plan.scenario.nodes.sockets}
        config = {
            "limits": limits,
            "known": agent.snapshot_record(),
            "settings": platform_settings(plan, 0, 1),
        }
        node = NodeProcess("n0", folder, discovery, config, admin=True)
        if not await node.wait_healthy():
            raise RunError(f"the node did not start: {node.last_log_line()}")
        host, port = node.listen_address
        service = plan.scenario.classes[0].name
        click.echo(f"node      http://{host}:{port}   {len(emulator.fleet.hosts)} equipos behind it")
        if node.admin_address is not None:
            click.echo(f"operators http://{node.admin_address[0]}:{node.admin_address[1]}/admin/stats")
        click.echo(
            f'try       curl -si -X POST http://{host}:{port}/api/{service} -H "Request-Id: try-$RANDOM" '
            f'-H "Request-Class: {service}" -H "Request-Timeout-Ms: 3000" -d photo\n'
        )
        load = LoadGenerator(plan, {"n0": node.listen_address}, asked)
        emulator.start_clock(now_ms())
        live = asyncio.get_running_loop().create_task(_live(emulator, load))
        await load.run(now_ms())
    finally:
        if live is not None:
            live.cancel()
        if load is not None:
            load.close()
        if node is not None:
            node.terminate()
            with contextlib.suppress(asyncio.CancelledError):
                await node.wait_ended(5.0)
            node.kill()
        emulator.close()
        records.close()
        asked.close()


async def _live(emulator: Emulator, load: LoadGenerator) -> None:
    began = time.monotonic()
    while True:
        await asyncio.sleep(1.0)
        asked = sum(counts["asked"] for counts in load.counts.values())
        good = sum(counts["in_time"] for counts in load.counts.values())
        queues = " ".join(f"{host.model.in_progress:2}" for host in emulator.fleet.hosts.values())
        elapsed, open_count = time.monotonic() - began, len(load.open_operations)
        line = f"{elapsed:5.0f} s  asked {asked:6}  in time {good:6}  open {open_count:3}"
        click.echo(f"{line}  at each equipo {queues}")


# -------------------------------------------------------------------- emulate


@click.command()
@click.argument("name", metavar="SCENARIO")
@seed_option
@seconds_option
@plan_option
@click.option("--out", type=click.Path(path_type=Path), help="Where records go; without it they are dropped.")
def emulate(name: str, seed: int | None, seconds: float | None, only_plan: bool, out: Path | None) -> None:
    """Equipos and their discovery on loopback; says where nodes find discovery, then plays the troubles."""
    plan = _plan(name, seed, seconds)
    if only_plan:
        print_plan(plan)
        return
    with tempfile.TemporaryDirectory(prefix="rosewheel-emulate-") as folder:
        _run(_emulate(plan, out or Path(folder)))


async def _emulate(plan: Plan, folder: Path) -> None:
    folder.mkdir(parents=True, exist_ok=True)
    records = RecordWriter(folder / "equipos.jsonl")
    emulator = Emulator(plan, folder, records)
    try:
        await emulator.start()
        agents = {}
        for number in range(plan.scenario.nodes.count):
            host, port = await emulator.fleet.add_agent(f"n{number}").start()
            agents[f"n{number}"] = f"{host}:{port}"
        json_line({"discovery": agents, "settings": platform_settings(plan, 0, plan.scenario.nodes.count)})
        sys.stdout.flush()
        emulator.start_clock(now_ms())
        await asyncio.sleep(plan.scenario.seconds)
    finally:
        figures = msgspec.to_builtins(emulator.statistics())
        emulator.close()
        records.close()
    json_line({"ok": True, **figures})


# ----------------------------------------------------------------------- load


@click.command()
@click.argument("name", metavar="SCENARIO")
@click.option("--target", required=True, help="The nodes, as address:port, separated by commas.")
@seed_option
@seconds_option
@plan_option
@click.option("--out", type=click.Path(path_type=Path), help="Where records go; without it they are dropped.")
def load(
    name: str, target: str, seed: int | None, seconds: float | None, only_plan: bool, out: Path | None
) -> None:
    """Open-loop clients of a scenario against nodes that run already; the last line is the result as JSON."""
    plan = _plan(name, seed, seconds, emulated=False)
    if only_plan:
        print_plan(plan)
        return
    try:
        nodes = {f"n{at}": parse_address(text) for at, text in enumerate(target.split(","))}
    except ValueError as error:
        click.echo(f"rosewheel: --target: {error}", err=True)
        sys.exit(2)
    with tempfile.TemporaryDirectory(prefix="rosewheel-load-") as folder:
        _run(_load(plan, nodes, out or Path(folder)))


async def _load(plan: Plan, nodes: dict[str, tuple[str, int]], folder: Path) -> None:
    folder.mkdir(parents=True, exist_ok=True)
    records = RecordWriter(folder / "load.jsonl")
    clients = LoadGenerator(plan, nodes, records)
    try:
        await clients.run(now_ms())
    finally:
        records.close()
        quantiles = {
            name: {f"p{q:g}_ms": one.get_value_at_percentile(q) for q in (50.0, 99.0)}
            for name, one in clients.latency.items()
        }
        json_line(
            {"ok": True, "service": round(clients.service(), 4), "classes": clients.counts, **quantiles}
        )


# ----------------------------------------------------------------- experiment


@click.command()
@click.argument("names", nargs=-1, required=True, metavar="SCENARIO...")
@seed_option
@seconds_option
@plan_option
@repeat_option
@vary_option
@click.option("--out", type=click.Path(path_type=Path), help="Where records and the report go.")
def experiment(
    names: tuple[str, ...],
    seed: int | None,
    seconds: float | None,
    only_plan: bool,
    repeat: int,
    vary: tuple[str, ...],
    out: Path | None,
) -> None:
    """Emulator, real nodes and load together: records, a table, and a page with plots. 1 where a rule broke."""
    try:
        found = experiments.variants(names, changes_from(vary, seconds))
        for variant in found:
            experiments.check_emulated(variant.scenario)
    except InvalidFileError as error:
        bad_input(error)
    if only_plan:
        for variant in found:
            print_plan(plans.make(variant.scenario, seed))
        return
    folder = out or Path(tempfile.mkdtemp(prefix="rosewheel-"))
    folder.mkdir(parents=True, exist_ok=True)
    summaries: list[dict[str, Any]] = []
    for item in experiments.plan_runs(found, seed, repeat, folder):
        click.echo(f"playing {item.variant.name}, seed {item.seed} ...", err=True)
        summary = _run(experiments.play_run(item))
        if summary is None:
            click.echo(f"rosewheel: interrupted; records so far are in {folder}", err=True)
            sys.exit(INTERRUPTED)
        summaries.append(summary)
        void = "  VOID: the emulator was late" if summary["void"] else ""
        click.echo(f"  service {summary['service']:.3f}  rules {rules_text(summary)}{void}", err=True)
    _conclude(folder, summaries)


def _conclude(folder: Path, summaries: list[dict[str, Any]]) -> None:
    from rosewheel.lab import report

    rows = experiments.summarize(summaries)
    click.echo(report.text_table(rows))
    page = report.write_report(folder, summaries, rows)
    good = all(one["ok"] for one in summaries)
    # One run's whole summary, or the table of several.
    last = summaries[0] if len(summaries) == 1 else {"runs": len(summaries)}
    services = {row.variant: round(row.service, 4) for row in rows}
    json_line({**last, "ok": good, "services": services, "report": str(page)})
    sys.exit(0 if good else 1)


def changes_from(vary: Sequence[str], seconds: float | None) -> list[tuple[str, Sequence[object]]]:
    """What `--vary` and `--seconds` ask for; 2 where a text is not KEY=A,B."""
    changes: list[tuple[str, Sequence[object]]] = [_change(text) for text in vary]
    return changes if seconds is None else [*changes, ("seconds", [seconds])]


def _change(text: str) -> tuple[str, list[object]]:
    key, equals, values = text.partition("=")
    if not equals or not key or not values:
        click.echo(f"rosewheel: --vary: {text!r} is not KEY=A,B", err=True)
        sys.exit(2)
    return key, [experiments.parse_value(item) for item in values.split(",")]


def rules_text(summary: dict[str, Any]) -> str:
    broken = [name for name, what in summary["rules"].items() if what] + summary["crashed"]
    return "kept" if not broken else "BROKEN: " + ", ".join(broken)
