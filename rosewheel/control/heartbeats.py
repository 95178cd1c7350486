"""The other control machines: a beat to each, and the watch by which those that do not write follow."""

from __future__ import annotations

import asyncio
import logging
import random
from collections import deque
from typing import Any, Protocol

from rosewheel.config.platform import Address
from rosewheel.control.http_client import HttpCallError, JsonHttpClient
from rosewheel.control.machine_selection import (
    CONNECT_TIMEOUT_S,
    FIRST_LINE_TIMEOUT_S,
    RECONNECT_BACKOFF_S,
    WATCH_IDLE_TIMEOUT_S,
)
from rosewheel.control.replica import FencedError, LogSuffix, decode_epoch, decode_log_suffix, decode_revision
from rosewheel.control.revisions import Epoch, Revision
from rosewheel.control.store import Store
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


class PeerHeartbeat:
    """The beat to one peer, on a connection that is kept."""

    def __init__(self, owner: Owner, peer: str, address: Address) -> None:
        self.owner, self.peer, self.address = owner, peer, address
        self.client = JsonHttpClient(address)
        self.last_contact_s = (
            asyncio.get_running_loop().time()
        )  # when it last answered or called, or this one began
        self.peer_process_id = ""  # which of its processes was told all
        self.last_revision: Revision | None = None
        self._news = asyncio.Event()
        self._task = asyncio.get_running_loop().create_task(self._run())

    def notify(self) -> None:
        self._news.set()

    def close(self) -> None:
        self._task.cancel()
        self.client.close()

    @property
    def alive(self) -> bool:
        return (
            self.last_revision is not None
            and asyncio.get_running_loop().time() - self.last_contact_s < LOST_S
        )

    async def _run(self) -> None:
        lost = told = False
        while True:
            self._news.clear()
            try:
                await self._beat()
            except HttpCallError as error:
                self.peer_process_id = ""
                if not lost:
                    log.info("%s does not answer: %s", self.peer, error)
                lost = True
            except Exception:
                self.peer_process_id = ""
                log.exception("beat to %s", self.peer)
            else:
                if lost:
                    log.info("%s answers again", self.peer)
                lost = told = False
            if lost and not told and self.last_revision is not None and not self.alive:
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
        row: dict[str, Any] = {
            "machine": self.owner.name,
            "seen": replica.highest_epoch_seen,
            "at": replica.last,
        }
        if replica.highest_epoch_seen.leader == self.peer:
            row["whole"] = not self.peer_process_id
            row["nodes"] = self.owner.batch(self.peer, whole=not self.peer_process_id)
        told = replica.highest_epoch_seen.leader == self.peer
        status, answer = await self.client.call("POST", "/control/beat", row)
        if status != 200:
            raise HttpCallError(
                f"{self.peer}: {answer.get('error', status) if isinstance(answer, dict) else status}"
            )
        boot = str(answer["boot"])
        if self.peer_process_id and self.peer_process_id != boot:
            self.notify()  # another process, which knows nothing yet
            self.peer_process_id = ""
        else:
            self.peer_process_id = boot if told else ""
        await self.peer_reported(decode_epoch(answer["seen"]), decode_revision(answer["at"]))

    async def peer_reported(self, seen: Epoch, at: Revision) -> None:
        """What the peer says of itself, in its answer or its own beat."""
        self.last_contact_s = asyncio.get_running_loop().time()
        self.last_revision = at
        await self.owner.store.observe_epoch(max(seen, at.epoch))
        self.owner.store.replica_ack(self.peer, at)


class ReplicationWatch:
    """The watch on the writer, or on another follower while the writer can't be reached."""

    def __init__(self, owner: Owner, links: dict[str, PeerHeartbeat]) -> None:
        self.owner, self.links = owner, links
        self.loop = asyncio.get_running_loop()
        self.random = random.Random()
        self.source = ""
        self._writer = ""  # as of the last turn
        self.since_s = 0.0
        self._queue: deque[LogSuffix] = deque()
        self._worker: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._watcher: Watcher[dict[str, Any]] | None = None
        self._stopped = False

    def reconcile(self) -> None:
        """Follow whom there is to follow; called after each step, and now and then."""
        writer = self.owner.store.replica.highest_epoch_seen.leader
        if self._stopped or writer == self.owner.name or not writer or not self.links:
            self._end()
        elif (
            not self.source
            or writer != self._writer
            or (self.source != writer and writer in self.links and self._writer_is_back(self.links[writer]))
        ):
            self._open(writer if writer in self.links else next(iter(self.links)))
        self._writer = writer

    def _writer_is_back(self, link: PeerHeartbeat) -> bool:
        return link.alive and self.loop.time() - self.since_s > BACK_S

    def close(self) -> None:
        self._stopped = True
        self._end()

    def _end(self) -> None:
        self.source = ""
        self._queue.clear()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._watcher is not None:
            self._watcher.close()
            self._watcher = None

    def _open(self, peer: str) -> None:
        self._end()
        self.source, self.since_s = peer, self.loop.time()
        self._watcher = watcher = Watcher(
            self.links[peer].address,
            0,
            path=lambda _: self._path(),
            read=_read,
            take=lambda _, row: self._take(decode_log_suffix(row)),
            failed=self._failed,
            log=log,
            silence_s=WATCH_IDLE_TIMEOUT_S,
            connect_s=CONNECT_TIMEOUT_S,
            first_s=FIRST_LINE_TIMEOUT_S,
        )
        watcher.watch()

    def _path(self) -> str:
        at = self.owner.store.replica.last
        where = f"since={at.number}&epoch={at.epoch_number}&writer={at.leader}"
        return f"/control/config?follow=1&peer={self.owner.name}&{where}"

    def _failed(self) -> None:
        peers = list(self.links)
        # The writer after each other one, so that it is back as soon as it can be.
        writer = self.owner.store.replica.highest_epoch_seen.leader
        if self.source == writer or writer not in peers:
            alive = [peer for peer in peers if peer != self.source and self.links[peer].alive]
            after = self.random.choice(alive) if alive else self.source
        else:
            after = writer
        self._again(after)

    def _again(self, peer: str) -> None:
        self._queue.clear()
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self.loop.call_later(
            RECONNECT_BACKOFF_S * self.random.uniform(0.25, 1.0), self._open, peer
        )

    def _take(self, tail: LogSuffix) -> None:
        self._queue.append(tail)
        if self._worker is None or self._worker.done():
            self._worker = self.loop.create_task(self._work())

    async def _work(self) -> None:
        while self._queue:
            tail = self._queue.popleft()
            try:
                await self.owner.store.append_suffix(tail)
            except (FencedError, ValueError, OSError) as error:
                log.warning("what %s says is not taken: %s", self.source, error)
                if self._watcher is not None:
                    self._watcher.close()
                    self._again(self.source)


def _read(row: dict[str, Any]) -> dict[str, Any]:
    decode_log_suffix(row)
    return row
