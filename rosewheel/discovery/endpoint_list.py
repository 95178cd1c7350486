"""Endpoint list of discovery: parses its entries, applies its updates, and watches it."""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Callable, Iterable, Iterator
from typing import Any

from rosewheel.config.address import Address, parse_address
from rosewheel.discovery.start_times import ServerStartTimes
from rosewheel.discovery.watch_client import WatchClient
from rosewheel.policy.events import EndpointListForm, Server, ServerState

log = logging.getLogger("rosewheel.discovery")

MAX_ENTRIES_PER_TURN = 250  # entries handled per event loop turn, so that long lists don't delay requests

# Server states by their names in the discovery protocol.
SERVER_STATES = {"active": ServerState.UP, "leaving": ServerState.DRAINING, "left": ServerState.REMOVED}
NO_ADDRESS: Address = ("", 0)  # placeholder for the address of a removed server

Endpoint = tuple[Server, Address]  # a server and the address to connect to
EndpointListCallback = Callable[[EndpointListForm, list[Endpoint]], None]


def parse_endpoints(rows: object, start_times: ServerStartTimes) -> list[Endpoint]:
    """Parse the entries of an endpoint list. Malformed entries are logged and left out.

    Args:
        rows: The `hosts` of a message; a value that is not a list counts as empty.
        start_times: Converts start times of servers to the monotonic clock.

    Returns:
        The valid entries, in order.
    """
    endpoints: list[Endpoint] = []
    for row in rows if isinstance(rows, list) else ():
        try:
            endpoints.append(_parse_endpoint(row, start_times))
        except (KeyError, TypeError, ValueError, OverflowError, AttributeError) as error:
            log.warning("endpoint ignored: reason=%s, entry=%.200r", error, row)
    return endpoints


def _parse_endpoint(row: dict[str, Any], start_times: ServerStartTimes) -> Endpoint:
    host, state, born_ms = row["host"], SERVER_STATES[row["health"]], row.get("born_ms") or 0
    if not isinstance(host, str) or not host:
        raise ValueError("host must be a non-empty string")
    # The entry of a removed server may have no address.
    is_removed = state is ServerState.REMOVED and not row.get("dial")
    address = NO_ADDRESS if is_removed else parse_address(row["dial"])
    zone, cell = str(row.get("site") or ""), int(row.get("block") or 0)
    if state is ServerState.REMOVED:
        start_times.server_removed(host)
    launched_ms = start_times.launched_ms(host, float(born_ms)) if born_ms else None
    return Server(host, zone, cell, state, launched_ms, f"{address[0]}:{address[1]}"), address


class EndpointList:
    """Passes on updates of the endpoint list; those of a long list as changes, in batches.

    Updates of up to `MAX_ENTRIES_PER_TURN` entries are passed on as received until a longer one is received. From then
    on, each update is compared with the entries received before and passed on as changes, so that its cost depends on
    the number of changes. Each turn of the event loop handles one batch of at most `MAX_ENTRIES_PER_TURN` entries.

    Attributes:
        on_update: Called with each update or batch.
        rows: JSON entries by host, as last received; None for a host whose entry has not been received.
        received_long_list: An update of more than `MAX_ENTRIES_PER_TURN` entries has been received.
        start_times: Start times of the servers.
    """

    def __init__(
        self,
        on_update: EndpointListCallback,
        known_hosts: Iterable[str] = (),
        start_times: ServerStartTimes | None = None,
    ) -> None:
        self.on_update = on_update
        self.rows: dict[str, Any] = dict.fromkeys(known_hosts)
        self.received_long_list = False
        self.start_times = start_times or ServerStartTimes()
        self._pending_updates: deque[Iterator[None]] = deque()
        self._next_turn: asyncio.Handle | None = None

    def apply(self, is_snapshot: bool, rows: object) -> None:
        """Apply an update.

        Args:
            is_snapshot: True if hosts that are not in `rows` were removed.
            rows: JSON entries; a value that is not a list counts as empty.
        """
        listed = rows if isinstance(rows, list) else []
        if not self.received_long_list and len(listed) <= MAX_ENTRIES_PER_TURN:
            self._apply_at_once(is_snapshot, listed)
            return
        self.received_long_list = True
        self._pending_updates.append(self._apply_in_batches(is_snapshot, listed))
        if self._next_turn is None:  # in a later turn, because this one has already parsed the message
            self._next_turn = asyncio.get_running_loop().call_soon(self._process_pending)

    def close(self) -> None:
        """Drop the pending batches of updates."""
        if self._next_turn is not None:
            self._next_turn.cancel()
            self._next_turn = None
        self._pending_updates.clear()

    def _apply_at_once(self, is_snapshot: bool, rows: list[Any]) -> None:
        if is_snapshot:
            self._drop_missing({row["host"] for row in rows if _has_host(row)})
        for row in rows:
            if _has_host(row):
                self.rows[row["host"]] = row
        form = EndpointListForm.SNAPSHOT if is_snapshot else EndpointListForm.DELTA
        self.on_update(form, parse_endpoints(rows, self.start_times))
        if rows:
            self.start_times.list_applied()

    def _drop_missing(self, listed_hosts: set[str]) -> None:
        for host in self.rows.keys() - listed_hosts:
            self.start_times.server_removed(host)
        self.rows.clear()

    def _process_pending(self) -> None:
        self._next_turn = None
        while self._pending_updates:
            # `next` returns `self` at the end of the iterator, which yields None only.
            is_finished = next(self._pending_updates[0], self) is self
            if is_finished:
                self._pending_updates.popleft()
            else:
                self._next_turn = asyncio.get_running_loop().call_soon(self._process_pending)
                return

    def _apply_in_batches(self, is_snapshot: bool, rows: list[Any]) -> Iterator[None]:
        """Pass on the changed entries; each step of the iterator handles one batch."""
        listed_hosts: set[str] = set()
        for start in range(0, max(1, len(rows)), MAX_ENTRIES_PER_TURN):
            batch = rows[start : start + MAX_ENTRIES_PER_TURN]
            changed = [row for row in batch if self._record(row, listed_hosts)]
            if changed or not start:
                self.on_update(EndpointListForm.DELTA, parse_endpoints(changed, self.start_times))
            yield
        self.start_times.list_applied()
        if is_snapshot:
            yield from self._remove_missing(listed_hosts)

    def _record(self, row: Any, listed_hosts: set[str]) -> bool:
        """Store an entry; return True if it is new or has changed. A malformed entry counts as changed."""
        host = row.get("host") if isinstance(row, dict) else None
        if not isinstance(host, str):
            return True
        listed_hosts.add(host)
        if self.rows.get(host) == row:
            return False
        self.rows[host] = row
        return True

    def _remove_missing(self, listed_hosts: set[str]) -> Iterator[None]:
        missing = [host for host in self.rows if host not in listed_hosts]
        for start in range(0, len(missing), MAX_ENTRIES_PER_TURN):
            batch = missing[start : start + MAX_ENTRIES_PER_TURN]
            for host in batch:
                del self.rows[host]
                self.start_times.server_removed(host)
            removed = [(Server(host, state=ServerState.REMOVED), NO_ADDRESS) for host in batch]
            self.on_update(EndpointListForm.DELTA, removed)
            yield


def _has_host(row: Any) -> bool:
    return isinstance(row, dict) and isinstance(row.get("host"), str)


def _hosts_field(message: dict[str, Any]) -> list[Any]:
    rows = message["hosts"]
    if not isinstance(rows, list):
        raise TypeError("hosts is not a list")
    return rows


class DiscoveryWatch(WatchClient[list[Any]]):
    """Watch on the endpoint list.

    Attributes:
        endpoint_list: Applies the updates that the watch receives.
    """

    def __init__(
        self,
        address: Address,
        revision: int,
        on_update: EndpointListCallback,
        known_hosts: Iterable[str] = (),
        silence_timeout_s: float | None = None,
        on_first_line: Callable[[], None] = lambda: None,
        start_times: ServerStartTimes | None = None,
    ) -> None:
        """Create a watch that is not open yet.

        Args:
            address: Address of discovery.
            revision: Revision of the current list; 0 if there is none.
            on_update: Called with each update, and with `EndpointListForm.FAILED` once for each watch that has ended.
            known_hosts: Hosts in the current list.
            silence_timeout_s: Time that a watch may receive nothing; None for the default.
            on_first_line: Called once for each watch that receives a valid line.
            start_times: Start times of servers in the current list; None if there is none.
        """
        self.endpoint_list = EndpointList(on_update, known_hosts, start_times)
        super().__init__(
            address,
            revision,
            path_for=lambda since: f"/catalog/members?follow=1&since={since}",
            parse=_hosts_field,
            on_update=self.endpoint_list.apply,
            on_failure=lambda: on_update(EndpointListForm.FAILED, []),
            log=log,
            subject="endpoint list",
            silence_timeout_s=silence_timeout_s,
            on_first_line=on_first_line,
        )
