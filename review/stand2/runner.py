"""Runs a case and turns its verdict into an exit code."""

from __future__ import annotations

import asyncio
import os
import sys
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from stand2.programs import Stage

LIMIT_S = 110.0
HELD, BROKEN, NOT_RUN = 0, 1, 2


class NotRunError(Exception):
    """The case could not run to its check."""


def trouble() -> bool:
    """Return whether the disruption is played; `TROUBLE=0` leaves it out."""
    return os.environ.get("TROUBLE", "1") != "0"


def run(script: str, play: Callable[[Stage], Awaitable[bool]]) -> None:
    """Play a case, and exit with 1 if its rule was broken, 0 if it held, 2 if it could not run.

    Args:
        script: Path of the case's script, beside which `record.txt` is written.
        play: Plays the case; returns whether the rule was broken.
    """
    sys.exit(asyncio.run(_run(Path(script).resolve().parent, play)))


async def _run(case: Path, play: Callable[[Stage], Awaitable[bool]]) -> int:
    stage = Stage(case)
    stage.note(f"trouble: {trouble()}")
    try:
        async with asyncio.timeout(LIMIT_S):
            broken = await play(stage)
    except Exception:
        stage.note(traceback.format_exc())
        print(traceback.format_exc(), file=sys.stderr)
        return NOT_RUN
    else:
        stage.note("verdict: broken" if broken else "verdict: held")
        print("broken" if broken else "held")
        return BROKEN if broken else HELD
    finally:
        for program in stage.programs:
            stage.note(f"log of pid {program.pid}:\n{program.log()}")
        await stage.close()
