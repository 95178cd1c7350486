"""Discovery in virtual time: an event loop whose clock jumps, and a network whose script says when what fails."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, cast

STREAM_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
NETWORK_DELAY_S = 0.001
HEARTBEAT_INTERVAL_S = 2.0  # an empty line comes this often
# When the operating system sends for a connection, and again while there is no answer.
CONNECT_RETRY_TIMES_S = (0.0, 1.0, 3.0, 7.0)

CONNECTING_PHASES = ("up", "mute", "head", "half")  # in these a connection is opened, whatever is sent on it


class VirtualLoop(asyncio.SelectorEventLoop):
    """Waits take no time: the clock goes to whatever is due next. Without I/O nothing else can come."""

    def __init__(self) -> None:
        self.now = 0.0
        super().__init__(_JumpingSelector(self))
        self.net: VirtualNetwork | None = None

    def time(self) -> float:
        return self.now

    async def create_connection(self, *given: Any, **more: Any) -> Any:  # type: ignore[override]
        assert self.net is not None
        return await self.net.connect(given[0])


class _JumpingSelector(selectors.DefaultSelector):  # type: ignore[misc,valid-type]
    def __init__(self, loop: VirtualLoop) -> None:
        super().__init__()
        self.loop = loop

    def select(self, timeout: float | None = None) -> Any:
        assert timeout is not None, "nothing is due: whoever waits would wait for ever"
        if timeout > 0.0:  # and a little, as the sum of two times may fall just short of what is due
            self.loop.now += timeout + 1e-6
        return super().select(0)


@dataclass
class VirtualNetwork:
    """One node's way to discovery. `phases` are (seconds, kind) in a row, `up` for ever behind the last:

    up: served; refuse: the process is dead; hang: nothing comes back to anything; mute: accepted and silent;
    head, half: accepted, and silent after the head or within a line. `cut_s`: when an open watch is lost in silence,
    while new ones are served. `back` is what becomes of a silent connection at the return: it is served on, stays
    silent, or is reset.
    """

    loop: VirtualLoop
    phases: list[tuple[float, str]]
    change_s: float
    on_recovery: str = "silent"
    always_sends_object: bool = True  # a first object comes, also where nothing has changed
    first_heartbeat_delay_s: float = 0.0  # how late the first empty line comes,
    heartbeat_delay_s: float = 0.0  # and each other one
    connections_lost_at_s: float | None = None
    revisions_restart: bool = False  # after its last return it counts from 1 again
    connect_times_s: list[float] = field(default_factory=list)
    connections: list[_VirtualConnection] = field(default_factory=list)

    def start(self) -> None:
        at = 0.0
        for length, phase in self.phases:
            if at > 0.0:
                self.loop.call_at(at, self._enter_phase, phase)
            at += length
        self.recovered_at_s = at
        if at > 0.0:
            self.loop.call_at(at, self._enter_phase, "up")
        self.loop.call_at(self.change_s, self._apply_change)
        if self.connections_lost_at_s is not None:
            self.loop.call_at(self.connections_lost_at_s, self._lose_connections)
        self.phase = self.phases[0][1] if self.phases else "up"
        self.is_changed = False

    @property
    def base_revision(self) -> int:
        return 1 if self.revisions_restart and self.loop.now >= self.recovered_at_s else 5

    def update_since(self, since: int) -> bytes | None:
        """What is to be told to one that knows this much."""
        seq = self.base_revision + self.is_changed
        if since == seq:
            return b'{"seq":%d,"whole":false,"hosts":[]}\n' % seq if self.always_sends_object else None
        whole = b"true" if since == 0 else b"false"
        row = b'{"host":"new","dial":"127.0.0.1:9","health":"active"}' if self.is_changed else b""
        return b'{"seq":%d,"whole":%b,"hosts":[%b]}\n' % (seq, whole, row)

    async def connect(self, protocol_factory: Callable[[], asyncio.Protocol]) -> Any:
        protocol, started_s = protocol_factory(), self.loop.now
        self.connect_times_s.append(started_s)
        for wait in CONNECT_RETRY_TIMES_S:
            await asyncio.sleep(max(NETWORK_DELAY_S, started_s + wait - self.loop.now))
            if self.phase == "refuse":
                raise ConnectionRefusedError("refused")
            if self.phase in CONNECTING_PHASES:
                connection = _VirtualConnection(self, protocol)
                self.connections.append(connection)
                protocol.connection_made(cast(asyncio.Transport, connection))
                return connection, protocol
        await asyncio.Event().wait()  # given up by whoever waits
        raise AssertionError

    def _enter_phase(self, phase: str) -> None:
        if self.phase == "up" and phase != "up":
            for connection in list(self.connections):
                connection.is_served = False
                if phase == "refuse":
                    connection.lose(ConnectionResetError("reset"))
                elif phase == "half":
                    connection.send(b'{"seq":6,"whole":fal', chunked=True)
        if phase == "refuse":
            for connection in list(self.connections):
                connection.lose(ConnectionResetError("reset"))
        self.phase = phase
        if phase == "up":
            for connection in list(self.connections):
                if self.on_recovery == "reset":
                    connection.lose(ConnectionResetError("reset"))
                elif (
                    self.on_recovery == "served"
                    and not connection.is_served
                    and not connection.is_cut_within_line
                ):
                    connection.serve()

    def _lose_connections(self) -> None:
        for connection in self.connections:
            connection.is_served, connection.is_dead = False, True

    def _apply_change(self) -> None:
        self.is_changed = True
        for connection in list(self.connections):
            if connection.is_served and self.phase == "up":
                connection.send_update()


class _VirtualConnection:
    """A connection, as both ends have it."""

    def __init__(self, net: VirtualNetwork, protocol: asyncio.Protocol) -> None:
        self.net, self.protocol = net, protocol
        self.since: int | None = None
        self.is_served = self.is_dead = self.is_cut_within_line = self.head_sent = False
        self._heartbeat_timer: asyncio.TimerHandle | None = None

    def write(self, data: bytes) -> None:
        self.since = int(data.split(b"since=")[1].split()[0])
        self.net.loop.call_later(NETWORK_DELAY_S, self._request_received)

    def _request_received(self) -> None:
        if self.net.phase == "up":
            self.serve()
        elif self.net.phase == "head":
            self.send(STREAM_HEAD)
            self.head_sent = True
        elif self.net.phase == "half":
            self.send(STREAM_HEAD)
            self.send(b'{"seq":6,"whole":fal', chunked=True)
            self.is_cut_within_line = True

    def serve(self) -> None:
        if self.is_dead or self.since is None:
            return
        self.is_served = True
        if not self.head_sent:
            self.head_sent = True
            self.send(STREAM_HEAD)
        self.send_update()
        if self._heartbeat_timer is None:
            self._heartbeat_timer = self.net.loop.call_later(
                HEARTBEAT_INTERVAL_S + self.net.first_heartbeat_delay_s, self._send_heartbeat
            )

    def send_update(self) -> None:
        assert self.since is not None
        if (update_since := self.net.update_since(self.since)) is not None:
            self.since = self.net.base_revision + self.net.is_changed
            self.send(update_since, chunked=True)

    def _send_heartbeat(self) -> None:
        if self.is_served:
            self.send(b"\n", chunked=True)
        self._heartbeat_timer = self.net.loop.call_later(
            HEARTBEAT_INTERVAL_S + self.net.heartbeat_delay_s, self._send_heartbeat
        )

    def send(self, data: bytes, chunked: bool = False) -> None:
        if chunked:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        if self in self.net.connections and not self.is_dead:
            self.protocol.data_received(data)

    def lose(self, error: Exception | None) -> None:
        if self in self.net.connections:
            self.net.connections.remove(self)
            if self._heartbeat_timer is not None:
                self._heartbeat_timer.cancel()
            self.is_served = False
            self.protocol.connection_lost(error)

    def abort(self) -> None:
        self.net.loop.call_soon(self.lose, None)
