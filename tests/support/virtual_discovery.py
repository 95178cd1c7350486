"""Discovery in virtual time: an event loop whose clock jumps, and a network whose script says when what fails."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, cast

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
HOP_S = 0.001
BEAT_S = 2.0  # an empty line comes this often
SYN_S = (0.0, 1.0, 3.0, 7.0)  # when the system sends for a connection, and again while nothing comes back

REACHED = ("up", "mute", "head", "half")  # a connection comes up, whatever is said on it


class VirtualLoop(asyncio.SelectorEventLoop):
    """Waits take no time: the clock goes to whatever is due next. Without I/O nothing else can come."""

    def __init__(self) -> None:
        self.now = 0.0
        super().__init__(_Jumping(self))
        self.net: Net | None = None

    def time(self) -> float:
        return self.now

    async def create_connection(self, *given: Any, **more: Any) -> Any:  # type: ignore[override]
        assert self.net is not None
        return await self.net.connect(given[0])


class _Jumping(selectors.DefaultSelector):  # type: ignore[misc,valid-type]
    def __init__(self, loop: VirtualLoop) -> None:
        super().__init__()
        self.loop = loop

    def select(self, timeout: float | None = None) -> Any:
        assert timeout is not None, "nothing is due: whoever waits would wait for ever"
        if timeout > 0.0:  # and a little, as the sum of two times may fall just short of what is due
            self.loop.now += timeout + 1e-6
        return super().select(0)


@dataclass
class Net:
    """One node's way to discovery. `phases` are (seconds, kind) in a row, `up` for ever behind the last:

    up: served; refuse: the process is dead; hang: nothing comes back to anything; mute: accepted and silent;
    head, half: accepted, and silent after the head or within a line. `cut_s`: when an open watch is lost in silence,
    while new ones are served. `back` is what becomes of a silent connection at the return: it is served on, stays
    silent, or is reset.
    """

    loop: VirtualLoop
    phases: list[tuple[float, str]]
    change_s: float
    back: str = "silent"
    eager: bool = True  # a first object comes, also where nothing has changed
    late_s: float = 0.0  # how late the first empty line comes,
    lag_s: float = 0.0  # and each other one
    cut_s: float | None = None
    recount: bool = False  # after its last return it counts from 1 again
    calls: list[float] = field(default_factory=list)
    ways: list[_Way] = field(default_factory=list)

    def begin(self) -> None:
        at = 0.0
        for length, kind in self.phases:
            if at > 0.0:
                self.loop.call_at(at, self._turn, kind)
            at += length
        self.up_s = at
        if at > 0.0:
            self.loop.call_at(at, self._turn, "up")
        self.loop.call_at(self.change_s, self._changed)
        if self.cut_s is not None:
            self.loop.call_at(self.cut_s, self._cut)
        self.kind = self.phases[0][1] if self.phases else "up"
        self.has = False

    @property
    def base(self) -> int:
        return 1 if self.recount and self.loop.now >= self.up_s else 5

    def text(self, since: int) -> bytes | None:
        """What is to be told to one that knows this much."""
        seq = self.base + self.has
        if since == seq:
            return b'{"seq":%d,"whole":false,"hosts":[]}\n' % seq if self.eager else None
        whole = b"true" if since == 0 else b"false"
        row = b'{"host":"new","dial":"127.0.0.1:9","health":"active"}' if self.has else b""
        return b'{"seq":%d,"whole":%b,"hosts":[%b]}\n' % (seq, whole, row)

    async def connect(self, factory: Callable[[], asyncio.Protocol]) -> Any:
        protocol, began = factory(), self.loop.now
        self.calls.append(began)
        for wait in SYN_S:
            await asyncio.sleep(max(HOP_S, began + wait - self.loop.now))
            if self.kind == "refuse":
                raise ConnectionRefusedError("refused")
            if self.kind in REACHED:
                way = _Way(self, protocol)
                self.ways.append(way)
                protocol.connection_made(cast(asyncio.Transport, way))
                return way, protocol
        await asyncio.Event().wait()  # given up by whoever waits
        raise AssertionError

    def _turn(self, kind: str) -> None:
        if self.kind == "up" and kind != "up":
            for way in list(self.ways):
                way.live = False
                if kind == "refuse":
                    way.lost(ConnectionResetError("reset"))
                elif kind == "half":
                    way.say(b'{"seq":6,"whole":fal', chunked=True)
        if kind == "refuse":
            for way in list(self.ways):
                way.lost(ConnectionResetError("reset"))
        self.kind = kind
        if kind == "up":
            for way in list(self.ways):
                if self.back == "reset":
                    way.lost(ConnectionResetError("reset"))
                elif self.back == "served" and not way.live and not way.half:
                    way.serve()

    def _cut(self) -> None:
        for way in self.ways:
            way.live, way.dead = False, True

    def _changed(self) -> None:
        self.has = True
        for way in list(self.ways):
            if way.live and self.kind == "up":
                way.tell()


class _Way:
    """A connection, as both ends have it."""

    def __init__(self, net: Net, protocol: asyncio.Protocol) -> None:
        self.net, self.protocol = net, protocol
        self.since: int | None = None
        self.live = self.dead = self.half = self.headed = False
        self.beat: asyncio.TimerHandle | None = None

    def write(self, data: bytes) -> None:
        self.since = int(data.split(b"since=")[1].split()[0])
        self.net.loop.call_later(HOP_S, self._asked)

    def _asked(self) -> None:
        if self.net.kind == "up":
            self.serve()
        elif self.net.kind == "head":
            self.say(HEAD)
            self.headed = True
        elif self.net.kind == "half":
            self.say(HEAD)
            self.say(b'{"seq":6,"whole":fal', chunked=True)
            self.half = True

    def serve(self) -> None:
        if self.dead or self.since is None:
            return
        self.live = True
        if not self.headed:
            self.headed = True
            self.say(HEAD)
        self.tell()
        if self.beat is None:
            self.beat = self.net.loop.call_later(BEAT_S + self.net.late_s, self._beats)

    def tell(self) -> None:
        assert self.since is not None
        if (text := self.net.text(self.since)) is not None:
            self.since = self.net.base + self.net.has
            self.say(text, chunked=True)

    def _beats(self) -> None:
        if self.live:
            self.say(b"\n", chunked=True)
        self.beat = self.net.loop.call_later(BEAT_S + self.net.lag_s, self._beats)

    def say(self, data: bytes, chunked: bool = False) -> None:
        if chunked:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        if self in self.net.ways and not self.dead:
            self.protocol.data_received(data)

    def lost(self, error: Exception | None) -> None:
        if self in self.net.ways:
            self.net.ways.remove(self)
            if self.beat is not None:
                self.beat.cancel()
            self.live = False
            self.protocol.connection_lost(error)

    def abort(self) -> None:
        self.net.loop.call_soon(self.lost, None)
