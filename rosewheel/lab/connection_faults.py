"""Faults of connections: which connections of a host are affected, and by what."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol

import numpy as np

from rosewheel.lab.fault_table import ConnectionFaultKind


@dataclass(slots=True, frozen=True)
class ConnectionFault:
    """A fault that affects a share of the connections.

    Attributes:
        delay_ms: delay of responses, of a fault of kind `DELAY`.
        rng: draws the affected connections.
    """

    kind: ConnectionFaultKind
    share: float
    delay_ms: float
    rng: np.random.Generator


class FaultableConnection(Protocol):
    """A connection that can have a fault; `silent`: whatever is received, nothing is sent."""

    fault: ConnectionFault | None
    silent: bool


class ConnectionFaults:
    """The active faults of a host, by the index of the fault in the scenario."""

    def __init__(self) -> None:
        self._active: dict[int, ConnectionFault] = {}

    def begin(self, number: int, fault: ConnectionFault, connections: Iterable[FaultableConnection]) -> None:
        """Affect a share of the connections from now on, the open ones included."""
        self._active[number] = fault
        for connection in connections:
            _affect(connection, fault)

    def end(self, number: int) -> None:
        """Affect new connections no longer; those that are affected stay so until they are closed."""
        self._active.pop(number, None)

    def affect_new(self, connection: FaultableConnection) -> None:
        """Draw whether a new connection is affected."""
        for fault in self._active.values():
            _affect(connection, fault)


def _affect(connection: FaultableConnection, fault: ConnectionFault) -> None:
    if connection.fault is None and fault.rng.random() < fault.share:
        connection.fault = fault
        connection.silent = fault.kind is ConnectionFaultKind.SILENCE
