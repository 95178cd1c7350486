"""Random delays of discovery, drawn during a run."""

from __future__ import annotations

from enum import Enum

import numpy as np

from rosewheel.lab.run_tables import DiscoveryTable
from rosewheel.lab.tables import Range, upper_bound


class DiscoveryChange(Enum):
    """Kinds of endpoint list changes, each with a separate delay setting."""

    ADD = "add"
    DRAIN = "drain"
    STOP = "stop"
    SERVER_DIED = "silent"
    STORM = "storm"  # spurious report of a discovery storm; no server changed its state
    SPREAD = "spread"  # extra delay of each node on top of the delay of a change; not a change itself


def discovery_delay_ms(table: DiscoveryTable, rng: np.random.Generator, change: DiscoveryChange) -> float:
    """Draw the delay of a change of this kind, in ms."""
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
