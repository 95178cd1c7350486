"""A relayed connection of the simulated network, which can be blocked, delayed and reset.

A blocked connection stays open and passes no data in either direction, as if packets were dropped. A connection that is
opened while caller and target can't reach each other is accepted and then blocked. After a partition between regions,
pending data is delivered. When a lost machine returns, its connections are reset, because its kernel no longer knows
them.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import cast

from rosewheel.lab.scale.messages import ListenerSetup, TrafficCounters, TrafficTable
from rosewheel.lab.scale.reachability import Reachability
from rosewheel.lab.wire import reset_connection


@dataclass(slots=True)
class RelayState:
    """State that all connections of a network share.

    Attributes:
        reachability: Which machines can reach each other.
        machines: Names of the machines, by address.
        region_delay_s: One-way delay between regions, in seconds.
        connections: The open connections.
        callers: Traffic by kind and by the machine that opened the connection.
        targets: Traffic by kind and by the machine that accepted the connection.
        addresses: Addresses of the machines, by name.
    """

    reachability: Reachability
    machines: Mapping[str, str]
    region_delay_s: float
    connections: set[RelayedConnection] = field(default_factory=set)
    callers: TrafficTable = field(default_factory=dict)
    targets: TrafficTable = field(default_factory=dict)
    addresses: dict[str, str] = field(init=False)

    def __post_init__(self) -> None:
        self.addresses = {name: address for address, name in self.machines.items()}


class _RelayEnd(asyncio.Protocol):
    """One of the two ends of a relayed connection."""

    def __init__(self, connection: RelayedConnection) -> None:
        self.connection = connection
        self.transport: asyncio.Transport | None = None
        self.closed = False
        self._paused = False  # the write buffer of the other end is full

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the transport (called by asyncio)."""
        self.transport = cast(asyncio.Transport, transport)
        self.connection.end_connected(self)

    def data_received(self, data: bytes) -> None:
        """Pass data to the other end (called by asyncio)."""
        self.connection.forward(self, data)

    def pause_writing(self) -> None:
        """Stop reading at the other end, because the write buffer is full (called by asyncio)."""
        self.connection.other_end(self).set_paused(True)

    def resume_writing(self) -> None:
        """Resume reading at the other end (called by asyncio)."""
        self.connection.other_end(self).set_paused(False)

    def set_paused(self, paused: bool) -> None:
        """Set whether reading is paused because the write buffer of the other end is full."""
        self._paused = paused
        self.update_reading()

    def update_reading(self) -> None:
        """Pause or resume reading; while paused, received data stays in the buffer of the kernel."""
        if self.transport is None or self.transport.is_closing():
            return
        if self._paused or self.connection.blocked:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    def connection_lost(self, exc: Exception | None) -> None:
        """Mark the end as closed (called by asyncio)."""
        self.transport, self.closed = None, True
        self.connection.end_closed()


class RelayedConnection:
    """A connection from a caller to a control machine, opened through a listener.

    Attributes:
        downstream: The caller's end.
        upstream: The control machine's end.
        caller: Name of the machine that opened the connection.
        target: Name of the control machine that it leads to.
        blocked: Whether caller and target cannot reach each other.
    """

    def __init__(self, state: RelayState, listener: ListenerSetup) -> None:
        self.state, self.listener = state, listener
        self.downstream, self.upstream = _RelayEnd(self), _RelayEnd(self)
        self.caller, self.target = listener.caller, ""
        self.blocked = False
        self._machine_lost = False  # since the connection was opened; it is reset on the return
        self._closed = False
        self._delay_s = 0.0
        # Data that waits for the delay between regions or for the upstream end to connect, and its destination.
        self._pending: deque[tuple[_RelayEnd, bytes]] = deque()
        self._connect_task: asyncio.Task[None] | None = None

    def other_end(self, end: _RelayEnd) -> _RelayEnd:
        """Return the opposite end."""
        return self.upstream if end is self.downstream else self.downstream

    def end_connected(self, end: _RelayEnd) -> None:
        """Handle the connection of an end, whose transport is set."""
        if end is self.downstream:
            self._accept(end)
        elif self._closed:
            if end.transport is not None:
                end.transport.abort()
        else:
            self.upstream.update_reading()
            self._deliver_pending()

    def _accept(self, end: _RelayEnd) -> None:
        transport = cast(asyncio.Transport, end.transport)
        host = transport.get_extra_info("peername")[0]
        self.caller = self.listener.caller or self.state.machines.get(host, "")
        if not self.caller:
            transport.abort()
            return
        reachability = self.state.reachability
        self.target = reachability.choose_target(self.caller, self.listener.targets)
        self._delay_s = (
            0.0 if reachability.same_region(self.caller, self.target) else self.state.region_delay_s
        )
        self.state.connections.add(self)
        for counters in self._counters():
            counters.connections += 1
        self.update_reachability()
        self._connect()

    def _counters(self) -> tuple[TrafficCounters, TrafficCounters]:
        kind = self.listener.kind
        return (
            self.state.callers.setdefault(kind, {}).setdefault(self.caller, TrafficCounters()),
            self.state.targets.setdefault(kind, {}).setdefault(self.target, TrafficCounters()),
        )

    def _connect(self) -> None:
        if not self.blocked and self._connect_task is None:
            self._connect_task = asyncio.get_running_loop().create_task(self._connect_upstream())

    async def _connect_upstream(self) -> None:
        host = self.state.addresses.get(self.caller)
        try:
            await asyncio.get_running_loop().create_connection(
                lambda: self.upstream,
                *self.listener.targets[self.target],
                local_addr=(host, 0) if host else None,
            )
        except OSError:
            self.reset()

    def update_reachability(self) -> None:
        """Block, resume or reset the connection, depending on whether caller and target can reach each other."""
        reachability = self.state.reachability
        blocked = not reachability.can_reach(self.caller, self.target)
        lost = self.caller in reachability.lost or self.target in reachability.lost
        self._machine_lost = self._machine_lost or lost
        if blocked == self.blocked:
            return
        self.blocked = blocked
        if not blocked and self._machine_lost:
            self.reset()
            return
        for end in (self.downstream, self.upstream):
            end.update_reading()
        if blocked:
            return
        self._deliver_pending()
        if self.downstream.closed or self.upstream.closed:
            self._close()
        else:
            self._connect()

    def forward(self, source: _RelayEnd, data: bytes) -> None:
        """Pass data to the other end, after the delay between regions."""
        for counters in self._counters():
            if source is self.downstream:
                counters.upstream_bytes += len(data)
                counters.upstream_reads += 1
            else:
                counters.downstream_bytes += len(data)
                counters.downstream_reads += 1
        destination = self.other_end(source)
        if destination.transport is None:
            self._pending.append((destination, data))
        elif self._delay_s:
            self._pending.append((destination, data))
            asyncio.get_running_loop().call_later(self._delay_s, self._deliver_next)
        else:
            _write(destination, data)

    def _deliver_pending(self) -> None:
        while self._deliver_next():
            pass

    def _deliver_next(self) -> bool:
        """Write the first pending data; return False if there is none or it can't be written yet."""
        if not self._pending or self.blocked:
            return False
        destination, data = self._pending[0]
        if destination.transport is None and not destination.closed:  # not connected yet
            return False
        self._pending.popleft()
        _write(destination, data)
        return True

    def end_closed(self) -> None:
        """Handle the close of an end: close the other one, after the data that is in flight between regions."""
        if self._delay_s and not self._closed:
            asyncio.get_running_loop().call_later(self._delay_s, self._close)
        else:
            self._close()

    def _close(self) -> None:
        if self._closed or self.blocked:  # a blocked connection is closed when it resumes
            return
        self._closed = True
        self.state.connections.discard(self)
        for end in (self.downstream, self.upstream):
            if end.transport is not None:
                end.transport.close()
        if self._connect_task is not None and self.upstream.transport is None:
            self._connect_task.cancel()

    def reset(self) -> None:
        """Reset both ends."""
        self._closed = True
        self.state.connections.discard(self)
        for end in (self.downstream, self.upstream):
            if end.transport is not None:
                reset_connection(end.transport)


def _write(end: _RelayEnd, data: bytes) -> None:
    if end.transport is not None and not end.transport.is_closing():
        end.transport.write(data)
