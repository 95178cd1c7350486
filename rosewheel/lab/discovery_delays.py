"""How long discovery takes to pass on a change, drawn during a run."""

from __future__ import annotations

from enum import Enum

import numpy as np

from rosewheel.lab.run_tables import DiscoveryTable
from rosewheel.lab.tables import Range, upper_bound


class DiscoveryChange(Enum):
    """A change of the endpoint list that has a delay of its own."""

    ADD = "add"
    DRAIN = "drain"
    STOP = "stop"
    SERVER_DIED = "silent"
    STORM = "storm"  # reported by discovery itself, without a cause
    SPREAD = "spread"  # no change: how much later than the first one a node learns of it


def discovery_delay_ms(table: DiscoveryTable, rng: np.random.Generator, change: DiscoveryChange) -> float:
    """A drawn delay of a change of this kind, in ms."""
    if change is DiscoveryChange.SPREAD:
        return float(rng.uniform(0.0, upper_bound(table.spread_ms)))
    delay: Range = {
        DiscoveryChange.ADD: table.add_ms,
        DiscoveryChange.DRAIN: table.notice_ms,
        DiscoveryChange.STOP: table.notice_ms,
        DiscoveryChange.SERVER_DIED: table.silent_ms,
        DiscoveryChange.STORM: 0.0,
    }[change]
    return float(rng.uniform(*delay)) if isinstance(delay, tuple) else delay
