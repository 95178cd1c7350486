"""Emulator child process of a run, and the two messages that they exchange.

The child writes one line when its servers are ready. The run sends one line when the plan begins.
"""

from __future__ import annotations

import asyncio
import contextlib
import sys
from pathlib import Path
from typing import Any

import msgspec

from rosewheel.lab.errors import RunError
from rosewheel.lab.plan import Plan
from rosewheel.lab.wire import Address

START_TIMEOUT_S = 60.0
EXIT_TIMEOUT_S = 10.0


class EmulatorReady(msgspec.Struct, frozen=True):
    """Message of the child: its servers are ready.

    Attributes:
        agents: addresses of the discovery agents by name of the node.
        known: endpoint list of discovery.
    """

    agents: dict[str, Address]
    known: dict[str, Any]


class StartClock(msgspec.Struct, frozen=True, rename={"start_ms": "t0"}):
    """Message to the child: the start of the plan.

    Attributes:
        start_ms: start of the plan, in ms of `wire.now_ms`.
    """

    start_ms: float


class EmulatorChild:
    """Child process that runs the emulator."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self._log = (folder / "emulator.log").open("ab")
        self._process: asyncio.subprocess.Process | None = None

    async def start(self, plan: Plan) -> EmulatorReady:
        """Start the child and wait until its servers are ready.

        Raises:
            RunError: the child exited or did not become ready within `START_TIMEOUT_S`.
        """
        path = self.folder / "scenario.json"
        path.write_bytes(msgspec.json.encode(plan.scenario))
        command = (
            sys.executable,
            "-m",
            "rosewheel.lab.emulator_process",
            str(path),
            str(plan.seed),
            str(self.folder),
        )
        pipe = asyncio.subprocess.PIPE
        self._process = process = await asyncio.create_subprocess_exec(
            *command, stdin=pipe, stdout=pipe, stderr=self._log
        )
        line = b""
        if process.stdout is not None:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(START_TIMEOUT_S):
                    line = await process.stdout.readline()
        if not line:
            raise RunError(f"emulator did not start: {self._last_log_line() or 'no log output'}")
        return msgspec.json.decode(line, type=EmulatorReady)

    async def start_clock(self, start_ms: float) -> None:
        """Send the start of the plan to the child.

        Args:
            start_ms: start of the plan, in ms of `wire.now_ms`.

        Raises:
            RunError: the child has not been started.
        """
        if self._process is None or self._process.stdin is None:
            raise RunError("emulator process has not been started")
        self._process.stdin.write(msgspec.json.encode(StartClock(start_ms)) + b"\n")
        await self._process.stdin.drain()

    async def close(self) -> None:
        """Close the standard input of the child, and kill the child if it does not exit in time."""
        process = self._process
        if process is not None and process.returncode is None:
            if process.stdin is not None:
                process.stdin.close()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(EXIT_TIMEOUT_S):
                    await process.wait()
            if process.returncode is None:
                process.kill()
                await process.wait()
        self._log.close()

    def _last_log_line(self) -> str:
        text = (self.folder / "emulator.log").read_text(errors="replace")
        return text.strip().rpartition("\n")[2]
