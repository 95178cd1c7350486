"""The parts of a control machine that its HTTP API, status report and promotion share."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Protocol

from rosewheel.control.heartbeats import PeerHeartbeat
from rosewheel.control.machine_settings import MachineSettings
from rosewheel.control.node_registry import NodeRegistry
from rosewheel.control.store import Store
from rosewheel.control.watches import WatchPublisher


class Clock(Protocol):
    """A monotonic clock, such as an event loop."""

    def time(self) -> float:
        """Return the time in seconds since an arbitrary start."""


@dataclass(slots=True, frozen=True)
class MachineParts:
    """Parts of a control machine.

    Attributes:
        settings: The startup settings.
        store: The replica and its log.
        nodes: The latest status of each node.
        watches: The watches open at the machine.
        peers: Heartbeats to the other machines, by name; empty until the machine is started.
        clock: The clock that the times in `nodes` and `peers` refer to.
    """

    settings: MachineSettings
    store: Store
    nodes: NodeRegistry
    watches: WatchPublisher
    peers: Mapping[str, PeerHeartbeat]
    clock: Clock

    @property
    def name(self) -> str:
        """Name of the machine."""
        return self.settings.name
