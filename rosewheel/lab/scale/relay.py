"""A relayed connection of the scale run's network, which can fall silent, be delayed and be reset.

A cut connection stays open and passes nothing in either direction, as where packets are dropped. One that is opened
during a cut is accepted (by this machine's kernel) and stays silent. When a partition between regions heals, the data
that waited is delivered. When a lost machine returns, its connections are reset, since its kernel no longer knows them.
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
    """What all connections of a network share.

    Attributes:
        reachability: Which machines can reach each other.
        machines: Names of machines, by address.
        region_delay_s: One-way delay between regions, in seconds.
        connections: The open connections.
        callers: Traffic by the machine that opened the connection.
        targets: Traffic by the machine that it leads to.
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
    """One of a relayed connection's two ends."""

    def __init__(self, connection: RelayedConnection) -> None:
        self.connection = connection
        self.transport: asyncio.Transport | None = None
        self.closed = False
        self._paused = False  # the other end's write buffer is full

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The end is connected (asyncio)."""
        self.transport = cast(asyncio.Transport, transport)
        self.connection.end_connected(self)

    def data_received(self, data: bytes) -> None:
        """Pass data to the other end (asyncio)."""
        self.connection.forward(self, data)

    def pause_writing(self) -> None:
        """The write buffer is full: stop reading at the other end (asyncio)."""
        self.connection.other_end(self).set_paused(True)

    def resume_writing(self) -> None:
        """The write buffer has space again: read at the other end (asyncio)."""
        self.connection.other_end(self).set_paused(False)

    def set_paused(self, paused: bool) -> None:
        """Stop reading because the other end cannot write, or resume."""
        self._paused = paused
        self.update_reading()

    def update_reading(self) -> None:
        """Read, or leave incoming data in the kernel's buffer, as the connection's state requires."""
        if self.transport is None or self.transport.is_closing():
            return
        if self._paused or self.connection.blocked:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    def connection_lost(self, exc: Exception | None) -> None:
        """The end is closed (asyncio)."""
        self.transport, self.closed = None, True
        self.connection.end_closed()


class RelayedConnection:
    """A connection from a caller through a listener to a control machine.

    Attributes:
        downstream: The caller's end.
        upstream: The control machine's end.
        caller: Name of the machine that opened the connection.
        target: Name of the control machine.
        blocked: Whether caller and target cannot reach each other.
    """

    def __init__(self, state: RelayState, listener: ListenerSetup) -> None:
        self.state, self.listener = state, listener
        self.downstream, self.upstream = _RelayEnd(self), _RelayEnd(self)
        self.caller, self.target = listener.caller, ""
        self.blocked = False
        self._machine_lost = False  # at some time: reset when it returns
        self._closed = False
        self._delay_s = 0.0
        # Data on its way between regions, or before the upstream end is connected.
        self._pending: deque[tuple[_RelayEnd, bytes]] = deque()
        self._connect_task: asyncio.Task[None] | None = None

    def other_end(self, end: _RelayEnd) -> _RelayEnd:
        """The end opposite to this one."""
        return self.upstream if end is self.downstream else self.downstream

    def end_connected(self, end: _RelayEnd) -> None:
        """An end is connected; its transport is set."""
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
        """Fall silent, resume or reset, as caller and target can reach each other now."""
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
        """Pass data on, after the delay between regions."""
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
        """Write the first pending data; False if there is none or it cannot be written yet."""
        if not self._pending or self.blocked:
            return False
        destination, data = self._pending[0]
        if destination.transport is None and not destination.closed:  # not connected yet
            return False
        self._pending.popleft()
        _write(destination, data)
        return True

    def end_closed(self) -> None:
        """One end is closed; the other is closed behind the data that is on its way to it."""
        if self._delay_s and not self._closed:
            asyncio.get_running_loop().call_later(self._delay_s, self._close)
        else:
            self._close()

    def _close(self) -> None:
        if self._closed or self.blocked:  # the close of a blocked connection does not arrive until it resumes
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
