"""Discovery in virtual time: an event loop with a virtual clock, and a network with scripted failures."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, cast

STREAM_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
NETWORK_DELAY_S = 0.001
HEARTBEAT_INTERVAL_S = 2.0  # between empty lines on a watch
# When the operating system sends SYN packets while none is answered, since the start of a connect.
CONNECT_RETRY_TIMES_S = (0.0, 1.0, 3.0, 7.0)
ACCEPTING_PHASES = ("up", "mute", "head", "half")  # connections are accepted


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop that advances its clock to the next timer instead of waiting. It does no real I/O."""

    def __init__(self) -> None:
        self.now = 0.0
        super().__init__(_JumpingSelector(self))
        self.net: VirtualNetwork | None = None

    def time(self) -> float:
        return self.now

    async def create_connection(self, *args: Any, **kwargs: Any) -> Any:  # type: ignore[override]
        assert self.net is not None
        return await self.net.connect(args[0])


class _JumpingSelector(selectors.DefaultSelector):  # type: ignore[misc,valid-type]
    """Advances the clock of its loop by the timeout instead of waiting for it."""

    def __init__(self, loop: VirtualLoop) -> None:
        super().__init__()
        self.loop = loop

    def select(self, timeout: float | None = None) -> Any:
        assert timeout is not None, "no timer is due: the event loop would wait forever"
        if timeout > 0.0:
            self.loop.now += timeout + 1e-6  # rounding must not leave the clock just before the timer
        return super().select(0)


@dataclass
class VirtualNetwork:
    """The network between one node and discovery, with failures in phases.

    The phases follow one another from time 0, and the phase `up` follows the last one:

    - `up`: watches are served.
    - `refuse`: the process has died: connections are reset and new ones refused.
    - `hang`: no packet is answered.
    - `mute`: connections are accepted, and nothing is sent on them.
    - `head`: nothing is sent after the head of the response.
    - `half`: nothing is sent after a part of a line.

    Attributes:
        loop: supplies the time.
        phases: length in seconds and kind of each phase.
        change_s: when the endpoint list changes.
        on_recovery: what happens to a silent connection when `up` begins: `served`, `silent` (it stays so) or `reset`.
        always_sends_object: whether a new watch gets an update even if nothing has changed.
        first_heartbeat_delay_s: delay of the first empty line on a connection.
        heartbeat_delay_s: delay of each later one.
        connections_lost_at_s: when the connections open at that time fall silent for good, if any; new ones are served.
        revisions_restart: whether revisions count from 1 again once the last phase has begun.
        connect_times_s: when each connect began.
        connections: the open connections.
    """

    loop: VirtualLoop
    phases: list[tuple[float, str]]
    change_s: float
    on_recovery: str = "silent"
    always_sends_object: bool = True
    first_heartbeat_delay_s: float = 0.0
    heartbeat_delay_s: float = 0.0
    connections_lost_at_s: float | None = None
    revisions_restart: bool = False
    connect_times_s: list[float] = field(default_factory=list)
    connections: list[_VirtualConnection] = field(default_factory=list)

    def start(self) -> None:
        """Schedule the phases, the change of the list and the loss of connections."""
        at_s = 0.0
        for length_s, phase in self.phases:
            if at_s > 0.0:
                self.loop.call_at(at_s, self._enter_phase, phase)
            at_s += length_s
        self.recovered_at_s = at_s
        if at_s > 0.0:
            self.loop.call_at(at_s, self._enter_phase, "up")
        self.loop.call_at(self.change_s, self._apply_change)
        if self.connections_lost_at_s is not None:
            self.loop.call_at(self.connections_lost_at_s, self._silence_connections)
        self.phase = self.phases[0][1] if self.phases else "up"
        self.is_changed = False

    @property
    def base_revision(self) -> int:
        """The revision of the list before its change."""
        return 1 if self.revisions_restart and self.loop.now >= self.recovered_at_s else 5

    def update_since(self, since: int) -> bytes | None:
        """Return the line for a watch that has this revision; None if it needs no line."""
        revision = self.base_revision + self.is_changed
        if since == revision:
            return b'{"seq":%d,"whole":false,"hosts":[]}\n' % revision if self.always_sends_object else None
        whole = b"true" if since == 0 else b"false"
        row = b'{"host":"new","dial":"127.0.0.1:9","health":"active"}' if self.is_changed else b""
        return b'{"seq":%d,"whole":%b,"hosts":[%b]}\n' % (revision, whole, row)

    async def connect(self, protocol_factory: Callable[[], asyncio.Protocol]) -> Any:
        """Connect as `loop.create_connection` does. While no packet is answered, wait until the caller cancels."""
        protocol, started_s = protocol_factory(), self.loop.now
        self.connect_times_s.append(started_s)
        for retry_s in CONNECT_RETRY_TIMES_S:
            await asyncio.sleep(max(NETWORK_DELAY_S, started_s + retry_s - self.loop.now))
            if self.phase == "refuse":
                raise ConnectionRefusedError("refused")
            if self.phase in ACCEPTING_PHASES:
                connection = _VirtualConnection(self, protocol)
                self.connections.append(connection)
                protocol.connection_made(cast(asyncio.Transport, connection))
                return connection, protocol
        await asyncio.Event().wait()  # the caller cancels this
        raise AssertionError

    def _enter_phase(self, phase: str) -> None:
        if self.phase == "up" and phase != "up":
            for connection in list(self.connections):
                connection.is_served = False
                if phase == "refuse":
                    connection.disconnect(ConnectionResetError("reset"))
                elif phase == "half":
                    connection.send(b'{"seq":6,"whole":fal', chunked=True)
        if phase == "refuse":
            for connection in list(self.connections):
                connection.disconnect(ConnectionResetError("reset"))
        self.phase = phase
        if phase == "up":
            for connection in list(self.connections):
                if self.on_recovery == "reset":
                    connection.disconnect(ConnectionResetError("reset"))
                elif (
                    self.on_recovery == "served"
                    and not connection.is_served
                    and not connection.is_cut_within_line
                ):
                    connection.serve()

    def _silence_connections(self) -> None:
        for connection in self.connections:
            connection.is_served, connection.is_dead = False, True

    def _apply_change(self) -> None:
        self.is_changed = True
        for connection in list(self.connections):
            if connection.is_served and self.phase == "up":
                connection.send_update()


class _VirtualConnection:
    """A connection of the node to discovery: its transport, and the sending side of discovery."""

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
        """Serve the watch: send the head, an update, and from now on the heartbeats."""
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
        if (update := self.net.update_since(self.since)) is not None:
            self.since = self.net.base_revision + self.net.is_changed
            self.send(update, chunked=True)

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

    def disconnect(self, error: Exception | None) -> None:
        if self in self.net.connections:
            self.net.connections.remove(self)
            if self._heartbeat_timer is not None:
                self._heartbeat_timer.cancel()
            self.is_served = False
            self.protocol.connection_lost(error)

    def abort(self) -> None:
        self.net.loop.call_soon(self.disconnect, None)
