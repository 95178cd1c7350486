"""The parts of one control machine that its API, status and promotion work on."""

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
        """Return seconds from an arbitrary start."""


@dataclass(slots=True, frozen=True)
class MachineParts:
    """Parts of a control machine.

    Attributes:
        settings: What it was started with.
        store: Its replica and log.
        nodes: The nodes that it knows of.
        watches: The watches that are open here.
        peers: The other machines by name; empty before the machine has started.
        clock: The clock of `nodes` and `peers`.
    """

    settings: MachineSettings
    store: Store
    nodes: NodeRegistry
    watches: WatchPublisher
    peers: Mapping[str, PeerHeartbeat]
    clock: Clock

    @property
    def name(self) -> str:
        """The machine's name."""
        return self.settings.name
