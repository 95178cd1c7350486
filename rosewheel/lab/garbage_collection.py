"""Garbage collector settings of a run."""

from __future__ import annotations

import gc

GENERATION_THRESHOLDS = (50_000, 50, 100)


def tune_garbage_collector() -> None:
    """Keep collections from delaying timers: freeze the existing objects, which live as long as the run."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GENERATION_THRESHOLDS)
