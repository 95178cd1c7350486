"""Runs a coroutine of the lab in a new event loop."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

import uvloop

from rosewheel.cli.output import exit_failed
from rosewheel.lab.run import RunError, cancel_on_signals

T = TypeVar("T")


def run_until_interrupted(main: Coroutine[Any, Any, T]) -> T | None:
    """Run a coroutine. Ctrl-C cancels it, so that its cleanup stops what it started.

    Returns:
        The result, or None if the coroutine was interrupted.

    Raises:
        SystemExit: the run failed; the reason was printed.
    """

    async def cancellable() -> T:
        cancel_on_signals(asyncio.current_task())  # type: ignore[arg-type]
        return await main

    try:
        return uvloop.run(cancellable())
    except asyncio.CancelledError:
        return None
    except (RunError, RuntimeError, OSError) as error:
        exit_failed(str(error))
