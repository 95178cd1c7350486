"""The watch through which a follower receives the leader's log."""

from __future__ import annotations

import asyncio
import logging
import random
from collections import deque
from collections.abc import Mapping
from functools import partial

from rosewheel.control.codec.log_records import decode_log_suffix
from rosewheel.control.codec.watch import encode_watch_target
from rosewheel.control.errors import OutOfSequenceError, SuffixRejectedError
from rosewheel.control.heartbeats import PeerHeartbeat
from rosewheel.control.messages import WatchRequest
from rosewheel.control.replication_source import ReplicationSource, SourceAction
from rosewheel.control.revisions import LogSuffix
from rosewheel.control.store import Store
from rosewheel.control.timer import Timer
from rosewheel.control.timing import MIN_BACKOFF_SHARE, RECONNECT_BACKOFF_S
from rosewheel.control.watch_client import make_watch_client
from rosewheel.discovery.watch_client import WatchClient

log = logging.getLogger("rosewheel.control")


class ReplicationWatch:
    """Watches the replication source and appends the log suffixes that it sends."""

    def __init__(self, name: str, store: Store, peers: Mapping[str, PeerHeartbeat]) -> None:
        """Start without a watch.

        Args:
            name: Name of this machine.
            store: Store to which log suffixes are appended.
            peers: Heartbeats to the other machines, by name.
        """
        self._name, self._store, self._peers = name, store, peers
        self._loop = asyncio.get_running_loop()
        self._random = random.Random()
        self._source = ReplicationSource(name, list(peers), self._random)
        self._received: deque[LogSuffix] = deque()
        self._append_task: asyncio.Task[None] | None = None
        self._retry_timer = Timer()
        self._watch_client: WatchClient[LogSuffix] | None = None
        self._closed = False

    @property
    def source(self) -> str:
        """Name of the watched machine; empty if there is none."""
        return self._source.current

    def reconcile(self) -> None:
        """Open, close or keep the watch; called after each change of the store and periodically."""
        if self._closed:
            return
        leader = self._leader
        leader_alive = leader in self._peers and self._peers[leader].alive
        match self._source.reconcile(leader, leader_alive, self._loop.time()):
            case SourceAction.STOP:
                self._stop()
            case SourceAction.OPEN:
                self._open(self._source.current)
            case SourceAction.KEEP:
                pass

    @property
    def _leader(self) -> str:
        """The machine to follow: the leader, or while this machine returns as the leader, the most advanced peer."""
        replica = self._store.replica
        return replica.most_advanced_peer if replica.is_returning else replica.highest_epoch_seen.leader

    def close(self) -> None:
        """Close the watch; `reconcile` has no effect afterwards."""
        self._closed = True
        self._stop()

    def _stop(self) -> None:
        self._source.stop()
        self._received.clear()
        self._retry_timer.cancel()
        if self._watch_client is not None:
            self._watch_client.close()
            self._watch_client = None

    def _open(self, peer: str) -> None:
        self._stop()
        self._source.select(peer, self._loop.time())
        self._watch_client = make_watch_client(
            self._peers[peer].address,
            self._target,
            decode=decode_log_suffix,
            on_update=self._receive,
            on_failure=self._watch_failed,
        )
        self._watch_client.start()

    def _target(self) -> str:
        return encode_watch_target(WatchRequest(self._store.replica.last, peer=self._name))

    def _watch_failed(self) -> None:
        alive = [name for name, peer in self._peers.items() if peer.alive]
        self._open_later(self._source.after_failure(self._leader, alive))

    def _open_later(self, peer: str) -> None:
        self._received.clear()
        backoff_s = RECONNECT_BACKOFF_S * self._random.uniform(MIN_BACKOFF_SHARE, 1.0)
        self._retry_timer.start(backoff_s, partial(self._open, peer))

    def _receive(self, suffix: LogSuffix) -> None:
        self._received.append(suffix)
        if self._append_task is None or self._append_task.done():
            self._append_task = self._loop.create_task(self._append_received())

    async def _append_received(self) -> None:
        while self._received:
            suffix = self._received.popleft()
            try:
                await self._store.append_suffix(suffix)
            except (SuffixRejectedError, OutOfSequenceError, OSError) as error:
                log.warning("log suffix rejected: %s, peer=%s", error, self.source)
                if self._watch_client is not None:
                    self._watch_client.close()
                    self._open_later(self.source)
