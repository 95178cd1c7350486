"""Runs a coroutine of the lab on an event loop of its own."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

import uvloop

from rosewheel.cli.output import exit_failed
from rosewheel.lab.run import RunError, interrupt_to_cancel

T = TypeVar("T")


def run_until_interrupted(main: Coroutine[Any, Any, T]) -> T | None:
    """Run it to its end or to Ctrl-C, which cancels it and so stops in order all that it started.

    Returns:
        Its result; None where it was interrupted.

    Raises:
        SystemExit: the run failed; the reason was printed.
    """

    async def cancellable() -> T:
        interrupt_to_cancel(asyncio.current_task())  # type: ignore[arg-type]
        return await main

    try:
        return uvloop.run(cancellable())
    except asyncio.CancelledError:
        return None
    except (RunError, RuntimeError, OSError) as error:
        exit_failed(str(error))
