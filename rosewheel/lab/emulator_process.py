"""Program of the emulator process: `python -m rosewheel.lab.emulator_process SCENARIO.json SEED FOLDER`.

It writes one line with the addresses of the discovery agents, then reads one line with the start of the plan. It exits
at the end of its standard input, so that it never outlives the run that started it.
"""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

import msgspec
import uvloop

from rosewheel.lab import plan as plans
from rosewheel.lab.emulated_fleet import NodeStartError
from rosewheel.lab.emulator import Emulator
from rosewheel.lab.emulator_child import EmulatorReady, StartClock
from rosewheel.lab.garbage_collection import tune_garbage_collector
from rosewheel.lab.record_types import RecordFile
from rosewheel.lab.records import RecordWriter
from rosewheel.lab.scenario import Scenario


async def serve(scenario: Scenario, seed: int, folder: Path) -> int:
    """Run the emulator until the end of standard input, and return the exit status."""
    loop = asyncio.get_running_loop()
    commands = asyncio.StreamReader()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(commands), sys.stdin)
    records = RecordWriter(folder / f"{RecordFile.SERVERS}.jsonl")
    emulator = Emulator(plans.make(scenario, seed), folder, records)
    try:
        await emulator.start()
        ready = await _start_agents(emulator, scenario.nodes.count)
        sys.stdout.buffer.write(msgspec.json.encode(ready) + b"\n")
        sys.stdout.buffer.flush()
        tune_garbage_collector()
        line = await commands.readline()
        if line:
            emulator.start_clock(msgspec.json.decode(line, type=StartClock).start_ms)
            await commands.read()
    except NodeStartError as error:
        print(error, file=sys.stderr)
        return 1
    finally:
        emulator.close()
        records.close()
    return 0


async def _start_agents(emulator: Emulator, count: int) -> EmulatorReady:
    agents, known = {}, {}
    for number in range(count):
        agent = emulator.fleet.add_agent(f"n{number}")
        agents[agent.node] = await agent.start()
        known = agent.snapshot_record()
    return EmulatorReady(agents, known)


def main() -> int:
    """Run the emulator with the arguments of the command line."""
    # Ctrl-C signals the whole process group; the run that started this process stops it by closing its input.
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    path, seed, folder = sys.argv[1:4]
    scenario = msgspec.json.decode(Path(path).read_bytes(), type=Scenario)
    return uvloop.run(serve(scenario, int(seed), Path(folder)))


if __name__ == "__main__":
    sys.exit(main())
