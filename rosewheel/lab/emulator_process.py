"""The emulator as a process of its own: `python -m rosewheel.lab.emulator_process SCENARIO.json SEED FOLDER`.

It says once, in one line, where its nodes find discovery; then it waits for the moment at which the plan begins. It
ends when its standard input ends, so that it never outlives the run that started it.
"""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

import msgspec
import uvloop

from rosewheel.lab import plan as plans
from rosewheel.lab.emulator import Emulator
from rosewheel.lab.records import RecordWriter
from rosewheel.lab.run import tune_garbage_collector
from rosewheel.lab.scenario import Scenario


async def serve(scenario: Scenario, seed: int, folder: Path) -> int:
    loop = asyncio.get_running_loop()
    told = asyncio.StreamReader()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(told), sys.stdin)
    plan = plans.make(scenario, seed)
    records = RecordWriter(folder / "equipos.jsonl")
    emulator = Emulator(plan, folder, records)
    try:
        await emulator.start()
        agents = {}
        for number in range(scenario.nodes.count):
            agent = emulator.add_agent(f"n{number}")
            agents[agent.node] = await agent.start()
            known = agent.snapshot_record()
        sys.stdout.buffer.write(msgspec.json.encode({"agents": agents, "known": known}) + b"\n")
        sys.stdout.buffer.flush()
        tune_garbage_collector()
        line = await told.readline()
        if line:
            emulator.start_clock(msgspec.json.decode(line)["t0"])
            await told.read()
    except RuntimeError as error:
        print(error, file=sys.stderr)
        return 1
    finally:
        emulator.close()
        records.close()
    return 0


def main() -> int:
    # Ctrl-C reaches the whole group; the run that started this one ends it in order.
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    path, seed, folder = sys.argv[1:4]
    scenario = msgspec.json.decode(Path(path).read_bytes(), type=Scenario)
    return uvloop.run(serve(scenario, int(seed), Path(folder)))


if __name__ == "__main__":
    sys.exit(main())
