"""`rosewheel emulate` and `rosewheel load`: servers and clients of an experiment, for nodes started separately."""

from __future__ import annotations

import asyncio
import sys
import tempfile
from pathlib import Path

import click
import msgspec

from rosewheel.cli.output import EXIT_BAD_INPUT, print_error, print_json
from rosewheel.cli.runner import run_until_interrupted
from rosewheel.cli.scenario_options import load_plan, plan_option, print_plan, seconds_option, seed_option
from rosewheel.config.address import Address, parse_address
from rosewheel.lab.emulator import Emulator
from rosewheel.lab.load import LoadGenerator
from rosewheel.lab.node_settings import platform_settings
from rosewheel.lab.plan import Plan
from rosewheel.lab.records import RecordWriter
from rosewheel.lab.wire import now_ms

LATENCY_PERCENTILES = (50.0, 99.0)

records_option = click.option(
    "--out", type=click.Path(path_type=Path), help="Folder for records; without it they are discarded."
)


@click.command()
@click.argument("name", metavar="SCENARIO")
@seed_option
@seconds_option
@plan_option
@records_option
def emulate(name: str, seed: int | None, seconds: float | None, only_plan: bool, out: Path | None) -> None:
    """Run emulated servers and discovery on loopback; print the addresses of discovery, then inject faults."""
    plan = load_plan(name, seed, seconds)
    if only_plan:
        print_plan(plan)
        return
    with tempfile.TemporaryDirectory(prefix="rosewheel-emulate-") as folder:
        run_until_interrupted(_emulate(plan, out or Path(folder)))


async def _emulate(plan: Plan, folder: Path) -> None:
    folder.mkdir(parents=True, exist_ok=True)
    records = RecordWriter(folder / "equipos.jsonl")
    emulator = Emulator(plan, folder, records)
    node_count = plan.scenario.nodes.count
    try:
        await emulator.start()
        addresses = {}
        for number in range(node_count):
            host, port = await emulator.fleet.add_agent(f"n{number}").start()
            addresses[f"n{number}"] = f"{host}:{port}"
        print_json({"discovery": addresses, "settings": platform_settings(plan, 0, node_count)})
        sys.stdout.flush()
        emulator.start_clock(now_ms())
        await asyncio.sleep(plan.scenario.seconds)
    finally:
        statistics = msgspec.to_builtins(emulator.statistics())
        emulator.close()
        records.close()
    print_json({"ok": True, **statistics})


@click.command()
@click.argument("name", metavar="SCENARIO")
@click.option("--target", required=True, help="Nodes as ADDRESS:PORT, separated by commas.")
@seed_option
@seconds_option
@plan_option
@records_option
def load(
    name: str, target: str, seed: int | None, seconds: float | None, only_plan: bool, out: Path | None
) -> None:
    """Run open-loop clients of a scenario against running nodes; the last line is the result as JSON."""
    plan = load_plan(name, seed, seconds, emulated=False)
    if only_plan:
        print_plan(plan)
        return
    nodes = _parse_targets(target)
    with tempfile.TemporaryDirectory(prefix="rosewheel-load-") as folder:
        run_until_interrupted(_load(plan, nodes, out or Path(folder)))


def _parse_targets(text: str) -> dict[str, Address]:
    try:
        return {f"n{number}": parse_address(part) for number, part in enumerate(text.split(","))}
    except ValueError as error:
        print_error(f"--target: {error}")
        sys.exit(EXIT_BAD_INPUT)


async def _load(plan: Plan, nodes: dict[str, Address], folder: Path) -> None:
    folder.mkdir(parents=True, exist_ok=True)
    records = RecordWriter(folder / "load.jsonl")
    generator = LoadGenerator(plan, nodes, records)
    try:
        await generator.run(now_ms())
    finally:
        records.close()
        _print_load(generator)


def _print_load(generator: LoadGenerator) -> None:
    """Print counts and latencies of the load so far as a line of JSON."""
    percentiles = {
        name: {
            f"p{percent:g}_ms": histogram.get_value_at_percentile(percent) for percent in LATENCY_PERCENTILES
        }
        for name, histogram in generator.latency.items()
    }
    service = round(generator.service(), 4)
    print_json({"ok": True, "service": service, "classes": generator.counts, **percentiles})
