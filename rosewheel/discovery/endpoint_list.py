"""The watch on discovery: its lines tell which servers there are."""

from __future__ import annotations

import asyncio
import logging
import time
from collections import deque
from collections.abc import Callable, Iterable, Iterator
from typing import Any

from rosewheel.config.platform import Address, parse_address
from rosewheel.discovery.watch_client import WatchClient
from rosewheel.policy.events import EndpointListForm, Server, ServerState

log = logging.getLogger("rosewheel.discovery")

MAX_ENTRIES_PER_TURN = (
    250  # entries that are taken at a time: a longer list must not hold up the requests meanwhile
)

SERVER_STATES = {"active": ServerState.UP, "leaving": ServerState.DRAINING, "left": ServerState.REMOVED}
MONOTONIC_OFFSET_MS = (
    time.monotonic() * 1000.0 - time.time() * 1000.0
)  # taken once, so that a start time stays equal

Endpoint = tuple[Server, Address]
EndpointListCallback = Callable[[EndpointListForm, list[Endpoint]], None]


def parse_endpoints(rows: object) -> list[Endpoint]:
    """The entries of a list; a malformed one is left out with a log line, not with the rest of the list."""
    entries: list[Endpoint] = []
    for row in rows if isinstance(rows, list) else ():
        try:
            entries.append(_parse_endpoint(row))
        except (KeyError, TypeError, ValueError, OverflowError, AttributeError) as error:
            log.warning("entry left out: %s: %.200r", error, row)
    return entries


def _parse_endpoint(row: dict[str, Any]) -> Endpoint:
    host, state, born = row["host"], SERVER_STATES[row["health"]], row.get("born_ms") or 0
    if not isinstance(host, str) or not host:
        raise ValueError("host is not a name")
    # A server that has left may come without its address, which nobody needs any more.
    dial = ("", 0) if state is ServerState.REMOVED and not row.get("dial") else parse_address(row["dial"])
    launched = float(born) + MONOTONIC_OFFSET_MS if born else None
    return Server(host, str(row.get("site") or ""), int(row.get("block") or 0), state, launched), dial


class EndpointList:
    """Makes of long lists what has changed by them, a slice at a time.

    Lists of up to `SLICE` rows are passed on as they came, until a longer one has come. From then on each whole one is
    compared with what was told, row by row, and passed on as changes: what it costs behind here goes by what has
    changed, and no turn of the loop takes more than a slice.
    """

    def __init__(self, on_update: EndpointListCallback, known_hosts: Iterable[str] = ()) -> None:
        self.on_update = on_update
        self.rows: dict[str, Any] = dict.fromkeys(
            known_hosts
        )  # as last told, or None where just the host is known
        self.is_long = False  # a long list has come
        self._pending_updates: deque[Iterator[None]] = deque()
        self._next_turn: asyncio.Handle | None = None

    def apply(self, is_snapshot: bool, rows: object) -> None:
        listed = rows if isinstance(rows, list) else []
        if not self.is_long and len(listed) <= MAX_ENTRIES_PER_TURN:
            if is_snapshot:
                self.rows.clear()
            for row in listed:
                if isinstance(row, dict) and isinstance(row.get("host"), str):
                    self.rows[row["host"]] = row
            self.on_update(
                EndpointListForm.SNAPSHOT if is_snapshot else EndpointListForm.DELTA, parse_endpoints(listed)
            )
            return
        self.is_long = True
        self._pending_updates.append(self._apply_in_parts(is_snapshot, listed))
        if self._next_turn is None:  # not at once: to make rows of its text took a turn's time already
            self._next_turn = asyncio.get_running_loop().call_soon(self._process_pending)

    def close(self) -> None:
        if self._next_turn is not None:
            self._next_turn.cancel()
            self._next_turn = None
        self._pending_updates.clear()

    def _process_pending(self) -> None:
        self._next_turn = None
        while self._pending_updates:
            if next(self._pending_updates[0], self) is self:  # this list is done
                self._pending_updates.popleft()
            else:
                self._next_turn = asyncio.get_running_loop().call_soon(self._process_pending)
                return

    def _apply_in_parts(self, whole: bool, rows: list[Any]) -> Iterator[None]:
        told = self.rows
        named: set[str] = set()
        for at in range(0, max(1, len(rows)), MAX_ENTRIES_PER_TURN):
            changed = []
            for row in rows[at : at + MAX_ENTRIES_PER_TURN]:
                host = row.get("host") if isinstance(row, dict) else None
                if isinstance(host, str):
                    named.add(host)
                    if told.get(host) == row:
                        continue
                    told[host] = row
                changed.append(row)
            if changed or not at:
                self.on_update(EndpointListForm.DELTA, parse_endpoints(changed))
            yield
        if whole:
            yield from self._remove_missing(told, named)

    def _remove_missing(self, told: dict[str, Any], named: set[str]) -> Iterator[None]:
        gone = [host for host in told if host not in named]
        for at in range(0, len(gone), MAX_ENTRIES_PER_TURN):
            part = gone[at : at + MAX_ENTRIES_PER_TURN]
            for host in part:
                del told[host]
            self.on_update(
                EndpointListForm.DELTA, [(Server(host, state=ServerState.REMOVED), ("", 0)) for host in part]
            )
            yield


def _hosts_field(row: dict[str, Any]) -> list[Any]:
    rows = row["hosts"]
    if not isinstance(rows, list):
        raise TypeError("hosts is not a list")
    return rows


class DiscoveryWatch(WatchClient[list[Any]]):
    """The watch on the list of equipos. `known` are the hosts of the list with which its owner begins."""

    def __init__(
        self,
        address: Address,
        revision: int,
        on_update: EndpointListCallback,
        known_hosts: Iterable[str] = (),
        silence_timeout_s: float | None = None,
        on_first_line: Callable[[], None] = lambda: None,
    ) -> None:
        self.endpoint_list = EndpointList(on_update, known_hosts)
        super().__init__(
            address,
            revision,
            path_for=lambda revision: f"/catalog/members?follow=1&since={revision}",
            parse=_hosts_field,
            on_update=self.endpoint_list.apply,
            on_failure=lambda: on_update(EndpointListForm.FAILED, []),
            log=log,
            silence_timeout_s=silence_timeout_s,
            on_first_line=on_first_line,
        )
