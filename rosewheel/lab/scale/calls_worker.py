"""Worker process that sends the calls: `python -m rosewheel.lab.scale.calls_worker SETUP.json`."""

from __future__ import annotations

import asyncio
import contextlib
from pathlib import Path

import msgspec

from rosewheel.lab import plan as plans
from rosewheel.lab.load import LoadGenerator
from rosewheel.lab.records import RecordWriter
from rosewheel.lab.scale.messages import (
    CallsCommand,
    CallsReady,
    CallsSetup,
    LoadStopped,
    StartLoad,
    StopLoad,
)
from rosewheel.lab.scale.worker import run_worker, serve_commands
from rosewheel.lab.scenario import Scenario


class Callers:
    """Sends the planned calls from the start of the run, and records them."""

    def __init__(self, setup: CallsSetup) -> None:
        self.setup = setup
        self.plan = plans.make(msgspec.convert(setup.scenario, Scenario), setup.seed)
        self.records = RecordWriter(Path(setup.folder) / "load.jsonl")
        self._load: LoadGenerator | None = None
        self._task: asyncio.Task[None] | None = None

    async def ready(self) -> CallsReady:
        """Return the number of planned calls."""
        return CallsReady(len(self.plan.arrivals))

    def handle(self, command: CallsCommand) -> LoadStopped | None:
        """Carry out a command."""
        match command:
            case StartLoad(start_ms=start_ms):
                self._load = load = LoadGenerator(self.plan, self.setup.targets, self.records)
                self._task = asyncio.get_running_loop().create_task(self._run(load, start_ms))
            case StopLoad():
                return self._stop()
        return None

    async def _run(self, load: LoadGenerator, start_ms: float) -> None:
        with contextlib.suppress(asyncio.CancelledError):
            await load.run(start_ms)

    def _stop(self) -> LoadStopped | None:
        if self._load is None:
            return None
        self._load.stop()
        self.records.flush()
        return LoadStopped(len(self._load.open_operations), round(self._load.lag_max_ms, 1))

    async def close(self) -> None:
        """Cancel calls in flight and close the record file."""
        if self._task is not None:
            self._task.cancel()
            await self._task
        self.records.close()


async def main(setup: CallsSetup) -> None:
    """Send calls until standard input ends."""
    callers = Callers(setup)
    decoder: msgspec.json.Decoder[CallsCommand] = msgspec.json.Decoder(CallsCommand)
    await serve_commands(decoder, callers.handle, callers.ready)
    await callers.close()


if __name__ == "__main__":
    run_worker(main, CallsSetup)
