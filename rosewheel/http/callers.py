"""The callers' side: who is connected, in which order they make room, and how all of that ends."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable

from rosewheel.http.body import Budget
from rosewheel.http.call import Call
from rosewheel.http.downstream import Caller
from rosewheel.listener import BACKLOG

log = logging.getLogger("rosewheel.callers")

SWEEP_S = 0.25
UNREAD_S = (
    0.1  # how often those that are not read just now are asked of the system whether they are still there
)
IDLE_S = 0.2  # a connection that was used this lately is not closed to make room,
SILENT_S = 0.3  # nor one that is this new and has not asked yet, or has sent a part of a head this lately
LINGER_S = 0.6  # how long after SIGTERM new connections still come, and some more
STAY_S = 2.0  # and how long those that are there may go on asking: other nodes may be starting just now,
# but no longer than until so long before the longest patience of a request is over: the end comes not long after that,
# and finds unanswered what it finds on a connection that is still open.
STAY_SPARE_S = 0.1
FRESH_S = 0.2  # a connection that came this lately may still bring its request,
FRESH_PART = 0.2  # or, where patience is short, within this part of it
DRAIN_S = 0.4  # so long after the longest patience a stop waits only for answers that are owed


class Server:
    """Takes calls for `asked`, which answers each through its caller; `arrived` hears of the end of those
    that were asked before it had come, `gone` of callers that left."""

    def __init__(
        self,
        make_room: Callable[[], bool],
        asked: Callable[[Call], None],
        arrived: Callable[[Call], None],
        gone: Callable[[Call], None],
        healthy: Callable[[], bool],
        budget: Budget,
    ) -> None:
        self.make_room, self.asked, self.arrived = make_room, asked, arrived
        self.gone, self.healthy, self.budget = gone, healthy, budget
        self.callers: dict[Caller, None] = {}  # in order of their arrival
        self.quiet: dict[Caller, None] = {}  # those on which nothing is asked, the longest so first
        self._unread: dict[Caller, None] = {}  # those that are not read just now, or were a moment ago
        self._watching: asyncio.TimerHandle | None = None
        self.halves: dict[Caller, None] = {}  # those with half a head, the longest silent first
        self.most = 1 << 20  # callers that may be connected at a time
        self.most_surplus = 16  # callers past the descriptors that are told so; the others are just closed
        self.surplus = 0  # of the callers, those past the descriptors
        self.rejected = 0  # requests that can't be taken, since they were last logged
        self.why = ""  # the last one of them
        self.draining = self.closing = self.handover = False
        self.drained_s = 0.0  # since when
        self.loop = asyncio.get_running_loop()
        self._listener: asyncio.Server | None = None
        self._sweeper: asyncio.TimerHandle | None = None

    async def start(self, sock: socket.socket) -> None:
        self._listener = await self.loop.create_server(lambda: Caller(self), sock=sock, backlog=BACKLOG)
        self._sweep()

    @property
    def listening(self) -> bool:
        return self._listener is not None and not self.draining

    @property
    def listening_socket(self) -> socket.socket | None:
        """For another process to accept from as well."""
        return self._listener.sockets[0] if self._listener is not None and self.listening else None

    @property
    def port(self) -> int:
        assert self._listener is not None
        return int(self._listener.sockets[0].getsockname()[1])

    async def drain(
        self, longest_s: float = 3.0, handover: bool = False, give: Callable[[], bool] | None = None
    ) -> None:
        """Answer what still comes, then close; returns when no caller is left. `longest_s` is the longest patience of a
        request, as far as a stop waits for it. At a handover another process
        accepts from the same socket: this one lets go of it at once, and sends its callers over there, or
        `give`s them: which does what can be done by now, and says whether that goes on."""
        self.draining, self.drained_s = True, self.loop.time()
        giving = give is not None and give()
        self.handover, self.closing = handover, handover and not giving
        if self._listener is not None and handover:
            self._listener.close()
        if not giving:
            await asyncio.sleep(LINGER_S)
        if self._listener is not None:
            self._listener.close()
        if not giving:
            await asyncio.sleep(max(0.0, min(STAY_S, longest_s - STAY_SPARE_S) - LINGER_S))
        fresh_s = min(FRESH_S, longest_s * FRESH_PART)
        while self.callers or giving:
            giving = giving and give is not None and give()
            self.closing = not giving
            late = self.loop.time() - self.drained_s > longest_s + DRAIN_S
            for caller in list(self.callers):
                if not giving or caller.kept:
                    caller.close_if_idle(fresh_s)
                if late and caller.current is None:
                    caller.abort()
            await asyncio.sleep(0.005 if giving else 0.02)
        self.close()

    def close(self) -> None:
        """End at once whatever is still open."""
        if self._listener is not None:
            self._listener.close()
        if self._sweeper is not None:
            self._sweeper.cancel()
        if self._watching is not None:
            self._watching.cancel()
        for caller in list(self.callers):
            caller.abort()

    def _sweep(self) -> None:
        self._sweeper = self.loop.call_later(SWEEP_S, self._sweep)
        if self.rejected:  # one line for all, since bad callers send at full speed
            log.info("%d turned away, the last one: %s", self.rejected, self.why)
            self.rejected = 0
        now = self.loop.time()
        for caller in list(self.callers):
            caller.close_if_stuck(now)

    def unread(self, caller: Caller) -> None:
        """It is not read from now on, so that the loop will not tell when it leaves."""
        self._unread[caller] = None
        if self._watching is None:
            self._watching = self.loop.call_later(UNREAD_S, self._watch)

    def _watch(self) -> None:
        for caller in list(self._unread):
            if not caller.paused or caller.forget_if_left():
                self._unread.pop(caller, None)
        self._watching = self.loop.call_later(UNREAD_S, self._watch) if self._unread else None

    def joined(self, caller: Caller) -> None:
        self.callers[caller] = None
        self.quiet[caller] = None
        # Guards the descriptors, and the servers' share of them: a caller past their number is not kept.
        crowded = len(self.callers) > self.most and not self.close_idle()
        caller.surplus = crowded or not self.make_room()
        if caller.surplus:
            self.surplus += 1
            if (
                self.surplus > self.most_surplus
            ):  # Guards the process: past its own limit the system accepts no more
                caller.abort()

    def left(self, caller: Caller) -> None:
        if caller in self.callers:
            del self.callers[caller]
            self.quiet.pop(caller, None)
            self.halves.pop(caller, None)
            self._unread.pop(caller, None)
            self.surplus -= caller.surplus

    def close_idle(self) -> bool:
        """Close the connection on which nothing has been asked for longest, if it may be."""
        for caller in self.quiet:
            if caller.close_if_idle(IDLE_S if caller.asked else SILENT_S):
                # Out of the count at once: it is as good as gone, and the next one must not rely on it again.
                self.left(caller)
                return True
            if self.loop.time() - caller.since < SILENT_S:
                break
        # A slow caller goes on sending; who says no more is one of a crowd, or as good as gone.
        half = next(iter(self.halves), None)
        if half is not None and self.loop.time() - half.heard >= SILENT_S:
            half.give_up()
            self.left(half)
            return True
        return False
