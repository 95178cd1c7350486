"""The watch on discovery: its lines tell which servers there are."""

from __future__ import annotations

import asyncio
import logging
import time
from collections import deque
from collections.abc import Callable, Iterable, Iterator
from typing import Any

from rosewheel.config.platform import Address, parse_address
from rosewheel.discovery.watch import Watcher
from rosewheel.policy.events import EndpointListForm, Server, ServerState

log = logging.getLogger("rosewheel.discovery")

SLICE = 250  # entries that are taken at a time: a longer list must not hold up the requests meanwhile

STATES = {"active": ServerState.UP, "leaving": ServerState.DRAINING, "left": ServerState.REMOVED}
OFFSET_MS = time.monotonic() * 1000.0 - time.time() * 1000.0  # taken once, so that a start time stays equal

Entry = tuple[Server, Address]
Heard = Callable[[EndpointListForm, list[Entry]], None]


def entries_from(rows: object) -> list[Entry]:
    """The entries of a list; a malformed one is left out with a log line, not with the rest of the list."""
    entries: list[Entry] = []
    for row in rows if isinstance(rows, list) else ():
        try:
            entries.append(_entry(row))
        except (KeyError, TypeError, ValueError, OverflowError, AttributeError) as error:
            log.warning("entry left out: %s: %.200r", error, row)
    return entries


def _entry(row: dict[str, Any]) -> Entry:
    host, state, born = row["host"], STATES[row["health"]], row.get("born_ms") or 0
    if not isinstance(host, str) or not host:
        raise ValueError("host is not a name")
    # A server that has left may come without its address, which nobody needs any more.
    dial = ("", 0) if state is ServerState.REMOVED and not row.get("dial") else parse_address(row["dial"])
    launched = float(born) + OFFSET_MS if born else None
    return Server(host, str(row.get("site") or ""), int(row.get("block") or 0), state, launched), dial


class Lists:
    """Makes of long lists what has changed by them, a slice at a time.

    Lists of up to `SLICE` rows are passed on as they came, until a longer one has come. From then on each whole one is
    compared with what was told, row by row, and passed on as changes: what it costs behind here goes by what has
    changed, and no turn of the loop takes more than a slice.
    """

    def __init__(self, heard: Heard, known: Iterable[str] = ()) -> None:
        self.heard = heard
        self.rows: dict[str, Any] = dict.fromkeys(known)  # as last told, or None where just the host is known
        self.long = False  # a long list has come
        self._waiting: deque[Iterator[None]] = deque()
        self._turn: asyncio.Handle | None = None

    def take(self, whole: bool, rows: object) -> None:
        listed = rows if isinstance(rows, list) else []
        if not self.long and len(listed) <= SLICE:
            if whole:
                self.rows.clear()
            for row in listed:
                if isinstance(row, dict) and isinstance(row.get("host"), str):
                    self.rows[row["host"]] = row
            self.heard(EndpointListForm.SNAPSHOT if whole else EndpointListForm.DELTA, entries_from(listed))
            return
        self.long = True
        self._waiting.append(self._sliced(whole, listed))
        if self._turn is None:  # not at once: to make rows of its text took a turn's time already
            self._turn = asyncio.get_running_loop().call_soon(self._next)

    def close(self) -> None:
        if self._turn is not None:
            self._turn.cancel()
            self._turn = None
        self._waiting.clear()

    def _next(self) -> None:
        self._turn = None
        while self._waiting:
            if next(self._waiting[0], self) is self:  # this list is done
                self._waiting.popleft()
            else:
                self._turn = asyncio.get_running_loop().call_soon(self._next)
                return

    def _sliced(self, whole: bool, rows: list[Any]) -> Iterator[None]:
        told = self.rows
        named: set[str] = set()
        for at in range(0, max(1, len(rows)), SLICE):
            changed = []
            for row in rows[at : at + SLICE]:
                host = row.get("host") if isinstance(row, dict) else None
                if isinstance(host, str):
                    named.add(host)
                    if told.get(host) == row:
                        continue
                    told[host] = row
                changed.append(row)
            if changed or not at:
                self.heard(EndpointListForm.DELTA, entries_from(changed))
            yield
        if whole:
            yield from self._gone(told, named)

    def _gone(self, told: dict[str, Any], named: set[str]) -> Iterator[None]:
        gone = [host for host in told if host not in named]
        for at in range(0, len(gone), SLICE):
            part = gone[at : at + SLICE]
            for host in part:
                del told[host]
            self.heard(
                EndpointListForm.DELTA, [(Server(host, state=ServerState.REMOVED), ("", 0)) for host in part]
            )
            yield


def _rows(row: dict[str, Any]) -> list[Any]:
    rows = row["hosts"]
    if not isinstance(rows, list):
        raise TypeError("hosts is not a list")
    return rows


class Discovery(Watcher[list[Any]]):
    """The watch on the list of equipos. `known` are the hosts of the list with which its owner begins."""

    def __init__(
        self,
        address: Address,
        since: int,
        heard: Heard,
        known: Iterable[str] = (),
        silence_s: float | None = None,
        spoke: Callable[[], None] = lambda: None,
    ) -> None:
        self.lists = Lists(heard, known)
        super().__init__(
            address,
            since,
            path=lambda since: f"/catalog/members?follow=1&since={since}",
            read=_rows,
            take=self.lists.take,
            failed=lambda: heard(EndpointListForm.FAILED, []),
            log=log,
            silence_s=silence_s,
            spoke=spoke,
        )
