"""`rosewheel demo`: runs one node with emulated servers, discovery and a light load."""

from __future__ import annotations

import asyncio
import contextlib
import tempfile
import time
from pathlib import Path

import click

from rosewheel.cli.runner import run_until_interrupted
from rosewheel.cli.scenario_options import load_plan, seconds_option, seed_option
from rosewheel.lab.emulator import Emulator
from rosewheel.lab.load import LoadGenerator
from rosewheel.lab.node_process import NodeProcess
from rosewheel.lab.node_settings import platform_settings
from rosewheel.lab.plan import Plan
from rosewheel.lab.records import RecordWriter
from rosewheel.lab.run import RunError
from rosewheel.lab.wire import now_ms

NODE_NAME = "n0"
PROGRESS_INTERVAL_S = 1.0
NODE_STOP_TIMEOUT_S = 5.0  # time from SIGTERM until the node's process is killed


@click.command()
@click.option("--scenario", "name", default="demo", show_default=True)
@seed_option
@seconds_option
def demo(name: str, seed: int | None, seconds: float | None) -> None:
    """Run a node, emulated servers, discovery and a light load on loopback, with statistics. Ctrl-C ends it."""
    plan = load_plan(name, seed, seconds)
    with tempfile.TemporaryDirectory(prefix="rosewheel-demo-") as folder:
        run_until_interrupted(_run_demo(plan, Path(folder)))
    click.echo("\nended")


async def _run_demo(plan: Plan, folder: Path) -> None:
    """Start all parts and generate load until the end of the plan, then stop the parts in reverse order."""
    async with contextlib.AsyncExitStack() as cleanup:
        load_records = RecordWriter(folder / "load.jsonl")
        cleanup.callback(load_records.close)
        server_records = RecordWriter(folder / "equipos.jsonl")
        cleanup.callback(server_records.close)
        emulator = Emulator(plan, folder, server_records)
        cleanup.callback(emulator.close)
        await emulator.start()
        node = await _start_node(plan, folder, emulator)
        cleanup.push_async_callback(_stop_node, node)
        if not await node.wait_healthy():
            raise RunError(f"the node did not start: {node.last_log_line()}")
        _print_addresses(plan, emulator, node)
        load = LoadGenerator(plan, {NODE_NAME: node.listen_address}, load_records)
        cleanup.callback(load.close)
        emulator.start_clock(now_ms())
        progress = asyncio.get_running_loop().create_task(_print_progress(emulator, load))
        cleanup.callback(progress.cancel)
        await load.run(now_ms())


async def _start_node(plan: Plan, folder: Path, emulator: Emulator) -> NodeProcess:
    agent = emulator.fleet.add_agent(NODE_NAME)
    discovery = await agent.start()
    nodes = plan.scenario.nodes
    config = {
        "limits": {"memory_mb": nodes.memory_mb, "sockets": nodes.sockets},
        "known": agent.snapshot_record(),
        "settings": platform_settings(plan, 0, 1),
    }
    return NodeProcess(NODE_NAME, folder, discovery, config, admin=True)


async def _stop_node(node: NodeProcess) -> None:
    node.terminate()
    with contextlib.suppress(asyncio.CancelledError):
        await node.wait_ended(NODE_STOP_TIMEOUT_S)
    node.kill()


def _print_addresses(plan: Plan, emulator: Emulator, node: NodeProcess) -> None:
    host, port = node.listen_address
    service = plan.scenario.classes[0].name
    click.echo(f"node      http://{host}:{port}   {len(emulator.fleet.hosts)} servers behind it")
    if node.admin_address is not None:
        click.echo(f"admin     http://{node.admin_address[0]}:{node.admin_address[1]}/admin/stats")
    click.echo(
        f'try       curl -si -X POST http://{host}:{port}/api/{service} -H "Request-Id: try-$RANDOM" '
        f'-H "Request-Class: {service}" -H "Request-Timeout-Ms: 3000" -d photo\n'
    )


async def _print_progress(emulator: Emulator, load: LoadGenerator) -> None:
    started_s = time.monotonic()
    while True:
        await asyncio.sleep(PROGRESS_INTERVAL_S)
        elapsed_s = time.monotonic() - started_s
        requests = sum(counts["asked"] for counts in load.counts.values())
        in_time = sum(counts["in_time"] for counts in load.counts.values())
        queues = " ".join(f"{host.model.in_progress:2}" for host in emulator.fleet.hosts.values())
        click.echo(
            f"{elapsed_s:5.0f} s  requests {requests:6}  in time {in_time:6}  open {len(load.open_operations):3}"
            f"  in progress at each server {queues}"
        )
