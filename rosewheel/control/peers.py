"""The other control machines: a beat to each, and the watch by which those that do not write follow."""

from __future__ import annotations

import asyncio
import logging
import random
from collections import deque
from typing import Any, Protocol

from rosewheel.config.platform import Address
from rosewheel.control.client import CallError, Client
from rosewheel.control.placement import CONNECT_S, FIRST_S, SILENCE_S, WAIT_S
from rosewheel.control.replica import FencedError, Tail, epoch_from, position_from, tail_from
from rosewheel.control.store import Store
from rosewheel.control.versions import Epoch, Position
from rosewheel.discovery.watch import Watcher

log = logging.getLogger("rosewheel.control")

BEAT_S = 1.0  # how often each peer hears of this machine; at once, when there is something new
LOST_S = 6.0  # a machine that is silent for so long counts as lost
BACK_S = 1.0  # how long one that follows another follower stays at least, where the writer answers


class Owner(Protocol):
    name: str
    store: Store

    def batch(self, peer: str, whole: bool) -> list[Any]:
        """What the writer is to be told of nodes: all that is known first-hand, or what has changed."""

    def machine_lost(self, peer: str) -> None: ...


class Link:
    """The beat to one peer, on a connection that is kept."""

    def __init__(self, owner: Owner, peer: str, address: Address) -> None:
        self.owner, self.peer, self.address = owner, peer, address
        self.client = Client(address)
        self.heard_s = asyncio.get_running_loop().time()  # when it last answered or called, or this one began
        self.boot = ""  # which of its processes was told all
        self.at: Position | None = None
        self._news = asyncio.Event()
        self._task = asyncio.get_running_loop().create_task(self._run())

    def poke(self) -> None:
        self._news.set()

    def close(self) -> None:
        self._task.cancel()
        self.client.close()

    @property
    def alive(self) -> bool:
        return self.at is not None and asyncio.get_running_loop().time() - self.heard_s < LOST_S

    async def _run(self) -> None:
        lost = told = False
        while True:
            self._news.clear()
            try:
                await self._beat()
            except CallError as error:
                self.boot = ""
                if not lost:
                    log.info("%s does not answer: %s", self.peer, error)
                lost = True
            except Exception:
                self.boot = ""
                log.exception("beat to %s", self.peer)
            else:
                if lost:
                    log.info("%s answers again", self.peer)
                lost = told = False
            if lost and not told and self.at is not None and not self.alive:
                told = True
                self.owner.machine_lost(self.peer)
            try:
                async with asyncio.timeout(BEAT_S):
                    await self._news.wait()
                if lost:
                    await asyncio.sleep(BEAT_S / 4)
            except TimeoutError:
                pass

    async def _beat(self) -> None:
        replica = self.owner.store.replica
        row: dict[str, Any] = {"machine": self.owner.name, "seen": replica.seen, "at": replica.top}
        if replica.seen.writer == self.peer:
            row["whole"] = not self.boot
            row["nodes"] = self.owner.batch(self.peer, whole=not self.boot)
        told = replica.seen.writer == self.peer
        status, answer = await self.client.call("POST", "/control/beat", row)
        if status != 200:
            raise CallError(
                f"{self.peer}: {answer.get('error', status) if isinstance(answer, dict) else status}"
            )
        boot = str(answer["boot"])
        if self.boot and self.boot != boot:
            self.poke()  # another process, which knows nothing yet
            self.boot = ""
        else:
            self.boot = boot if told else ""
        await self.told(epoch_from(answer["seen"]), position_from(answer["at"]))

    async def told(self, seen: Epoch, at: Position) -> None:
        """What the peer says of itself, in its answer or its own beat."""
        self.heard_s = asyncio.get_running_loop().time()
        self.at = at
        await self.owner.store.learn(max(seen, at.epoch))
        self.owner.store.heard(self.peer, at)


class Following:
    """The watch on the writer, or on another follower while the writer can't be reached."""

    def __init__(self, owner: Owner, links: dict[str, Link]) -> None:
        self.owner, self.links = owner, links
        self.loop = asyncio.get_running_loop()
        self.random = random.Random()
        self.peer = ""
        self._writer = ""  # as of the last turn
        self.since_s = 0.0
        self._queue: deque[Tail] = deque()
        self._worker: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._watcher: Watcher[dict[str, Any]] | None = None
        self._stopped = False

    def turn(self) -> None:
        """Follow whom there is to follow; called after each step, and now and then."""
        writer = self.owner.store.replica.seen.writer
        if self._stopped or writer == self.owner.name or not writer or not self.links:
            self._end()
        elif (
            not self.peer
            or writer != self._writer
            or (self.peer != writer and writer in self.links and self._writer_is_back(self.links[writer]))
        ):
            self._open(writer if writer in self.links else next(iter(self.links)))
        self._writer = writer

    def _writer_is_back(self, link: Link) -> bool:
        return link.alive and self.loop.time() - self.since_s > BACK_S

    def close(self) -> None:
        self._stopped = True
        self._end()

    def _end(self) -> None:
        self.peer = ""
        self._queue.clear()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._watcher is not None:
            self._watcher.close()
            self._watcher = None

    def _open(self, peer: str) -> None:
        self._end()
        self.peer, self.since_s = peer, self.loop.time()
        self._watcher = watcher = Watcher(
            self.links[peer].address,
            0,
            path=lambda _: self._path(),
            read=_read,
            take=lambda _, row: self._take(tail_from(row)),
            failed=self._failed,
            log=log,
            silence_s=SILENCE_S,
            connect_s=CONNECT_S,
            first_s=FIRST_S,
        )
        watcher.watch()

    def _path(self) -> str:
        at = self.owner.store.replica.top
        where = f"since={at.version}&epoch={at.number}&writer={at.writer}"
        return f"/control/config?follow=1&peer={self.owner.name}&{where}"

    def _failed(self) -> None:
        peers = list(self.links)
        # The writer after each other one, so that it is back as soon as it can be.
        writer = self.owner.store.replica.seen.writer
        if self.peer == writer or writer not in peers:
            alive = [peer for peer in peers if peer != self.peer and self.links[peer].alive]
            after = self.random.choice(alive) if alive else self.peer
        else:
            after = writer
        self._again(after)

    def _again(self, peer: str) -> None:
        self._queue.clear()
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self.loop.call_later(WAIT_S * self.random.uniform(0.25, 1.0), self._open, peer)

    def _take(self, tail: Tail) -> None:
        self._queue.append(tail)
        if self._worker is None or self._worker.done():
            self._worker = self.loop.create_task(self._work())

    async def _work(self) -> None:
        while self._queue:
            tail = self._queue.popleft()
            try:
                await self.owner.store.take(tail)
            except (FencedError, ValueError, OSError) as error:
                log.warning("what %s says is not taken: %s", self.peer, error)
                if self._watcher is not None:
                    self._watcher.close()
                    self._again(self.peer)


def _read(row: dict[str, Any]) -> dict[str, Any]:
    tail_from(row)
    return row
