"""Injected faults of connections, and the choice of the connections that they affect."""

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
        kind: what happens to an affected connection.
        share: probability that a connection is affected.
        delay_ms: delay of responses; used only by kind `DELAY`.
        rng: source of the random choice of connections, and of garbled bytes.
    """

    kind: ConnectionFaultKind
    share: float
    delay_ms: float
    rng: np.random.Generator


class FaultableConnection(Protocol):
    """A connection into which a fault can be injected.

    Attributes:
        fault: the fault that affects the connection; None without one.
        silent: whether the connection ignores what it receives and sends nothing.
    """

    fault: ConnectionFault | None
    silent: bool


class ConnectionFaults:
    """Active connection faults of one host, keyed by the index of the fault in the scenario."""

    def __init__(self) -> None:
        self._active: dict[int, ConnectionFault] = {}

    def begin(self, number: int, fault: ConnectionFault, connections: Iterable[FaultableConnection]) -> None:
        """Activate a fault: it affects a share of the open connections and of those opened later."""
        self._active[number] = fault
        for connection in connections:
            _affect(connection, fault)

    def end(self, number: int) -> None:
        """Stop affecting new connections; connections already affected remain so until they close."""
        self._active.pop(number, None)

    def affect_new(self, connection: FaultableConnection) -> None:
        """Decide at random which active fault, if any, affects a new connection."""
        for fault in self._active.values():
            _affect(connection, fault)


def _affect(connection: FaultableConnection, fault: ConnectionFault) -> None:
    if connection.fault is None and fault.rng.random() < fault.share:
        connection.fault = fault
        connection.silent = fault.kind is ConnectionFaultKind.SILENCE
