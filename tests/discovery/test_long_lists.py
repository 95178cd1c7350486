"""Tests of long endpoint lists: handled in batches, with the same result as at once."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest
from hypothesis import HealthCheck, given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from rosewheel.discovery import endpoint_list
from rosewheel.discovery.endpoint_list import Endpoint, EndpointList, parse_endpoints
from rosewheel.discovery.start_times import ServerStartTimes
from rosewheel.policy.events import EndpointListForm, ServerState
from rosewheel.proxy.proxy import Proxy
from tests.support.sockets import config, entry, run

START_TIMES = ServerStartTimes()

ROWS = st.lists(
    st.builds(
        lambda host, port, health: entry(f"s{host}", port, health=health),
        st.integers(0, 12),
        st.integers(1, 3),
        st.sampled_from(["active", "leaving", "left"]),
    ),
    max_size=12,
    unique_by=lambda row: row["host"],
)
UPDATES = st.lists(st.tuples(st.booleans(), ROWS), max_size=6)


def _apply(known: dict[str, Any], form: EndpointListForm, endpoints: list[Endpoint]) -> None:
    """Apply an update to the endpoints known so far."""
    if form is EndpointListForm.SNAPSHOT:
        known.clear()
    for server, address in endpoints:
        if server.state is ServerState.REMOVED:
            known.pop(server.address, None)
        else:
            known[server.address] = (server, address)


@given(UPDATES, ROWS)
@hypothesis_settings(suppress_health_check=[HealthCheck.function_scoped_fixture], deadline=None)
def test_updates_in_parts_equal_whole_lists(
    updates: list[tuple[bool, list[dict[str, Any]]]], initial: list[dict[str, Any]]
):
    """Updates may follow one another in any order, and before an earlier one has been handled."""
    at_once: dict[str, Any] = {}
    in_batches: dict[str, Any] = {}
    longest = [0]
    for known in (at_once, in_batches):
        _apply(known, EndpointListForm.SNAPSHOT, parse_endpoints(initial, START_TIMES))

    def record(form: EndpointListForm, endpoints: list[Endpoint]) -> None:
        longest[0] = max(longest[0], len(endpoints))
        _apply(in_batches, form, endpoints)

    async def main() -> None:
        servers = EndpointList(record, [row["host"] for row in initial if row["health"] != "left"])
        for is_snapshot, rows in updates:
            servers.apply(is_snapshot, rows)
            _apply(
                at_once,
                EndpointListForm.SNAPSHOT if is_snapshot else EndpointListForm.DELTA,
                parse_endpoints(rows, START_TIMES),
            )
        while servers._next_turn is not None:
            await asyncio.sleep(0)

    original, endpoint_list.MAX_ENTRIES_PER_TURN = endpoint_list.MAX_ENTRIES_PER_TURN, 3
    try:
        run(main())
    finally:
        endpoint_list.MAX_ENTRIES_PER_TURN = original
    assert in_batches == at_once
    assert longest[0] <= 3


def test_unchanged_long_list_is_not_passed_on():
    async def main() -> None:
        sizes: list[int] = []
        servers = EndpointList(lambda form, endpoints: sizes.append(len(endpoints)))
        rows = [entry(f"s{at}", 9000) for at in range(2 * endpoint_list.MAX_ENTRIES_PER_TURN)]
        for changed in range(3):
            rows[changed] = entry(f"s{changed}", 9001)
            servers.apply(True, rows)
            while servers._next_turn is not None:
                await asyncio.sleep(0)
        assert sizes[:2] == [endpoint_list.MAX_ENTRIES_PER_TURN] * 2
        assert sum(sizes[2:]) == 2

    run(main())


@pytest.mark.parametrize("count", [3, 2000])
def test_node_follows_lists_of_any_length(count: int):
    async def main() -> None:
        proxy = Proxy(config([entry("old", 9000)]))
        proxy.discovery.start = lambda: None  # type: ignore[method-assign]
        proxy.endpoints.list_updated(
            EndpointListForm.CACHED, parse_endpoints(proxy.config.initial_endpoints.entries, START_TIMES)
        )
        assert "old" in proxy.node.servers
        rows = [entry(f"s{at}", 9000) for at in range(count)]
        for part in (rows, rows[1:], rows[1:2]):
            proxy.discovery.endpoint_list.apply(True, part)
            while proxy.discovery.endpoint_list._next_turn is not None:
                await asyncio.sleep(0)
            expected = {row["host"] for row in part}
            assert set(proxy.node.servers) == expected, "a server that the snapshot lacks must be removed"
            assert set(proxy.upstream.endpoints) == expected
            assert set(proxy.node.balancer.parts.shared.pool.servers) == expected
        proxy.discovery.endpoint_list.close()

    run(main())
