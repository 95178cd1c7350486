"""Long lists of servers: taken a slice at a time, and with the same end as taken whole."""

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

START_TIMES = ServerStartTimes()  # of servers that started long ago

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
TOLD = st.lists(st.tuples(st.booleans(), ROWS), max_size=6)


def _applied(into: dict[str, Any], form: EndpointListForm, entries: list[Endpoint]) -> None:
    """What whoever hears of lists makes of one."""
    if form is EndpointListForm.SNAPSHOT:
        into.clear()
    for server, dial in entries:
        if server.state is ServerState.REMOVED:
            into.pop(server.address, None)
        else:
            into[server.address] = (server, dial)


@given(TOLD, ROWS)
@hypothesis_settings(suppress_health_check=[HealthCheck.function_scoped_fixture], deadline=None)
def test_updates_in_parts_equal_whole_lists(
    told: list[tuple[bool, list[dict[str, Any]]]], known: list[dict[str, Any]]
):
    """Whatever comes in whichever order, also while an earlier list is not done yet."""
    whole: dict[str, Any] = {}
    sliced: dict[str, Any] = {}
    most = [0]
    for into in (whole, sliced):
        _applied(into, EndpointListForm.SNAPSHOT, parse_endpoints(known, START_TIMES))

    def heard(form: EndpointListForm, entries: list[Endpoint]) -> None:
        most[0] = max(most[0], len(entries))
        _applied(sliced, form, entries)

    async def main() -> None:
        lists = EndpointList(heard, [row["host"] for row in known if row["health"] != "left"])
        for is_whole, rows in told:
            lists.apply(is_whole, rows)
            _applied(
                whole,
                EndpointListForm.SNAPSHOT if is_whole else EndpointListForm.DELTA,
                parse_endpoints(rows, START_TIMES),
            )
        while lists._next_turn is not None:
            await asyncio.sleep(0)

    kept, endpoint_list.MAX_ENTRIES_PER_TURN = endpoint_list.MAX_ENTRIES_PER_TURN, 3
    try:
        run(main())
    finally:
        endpoint_list.MAX_ENTRIES_PER_TURN = kept
    assert sliced == whole
    assert most[0] <= 3


def test_unchanged_long_list_is_not_passed_on():
    async def main() -> None:
        heard: list[int] = []
        lists = EndpointList(lambda form, entries: heard.append(len(entries)))
        rows = [entry(f"s{at}", 9000) for at in range(2 * endpoint_list.MAX_ENTRIES_PER_TURN)]
        for again in range(3):
            rows[again] = entry(f"s{again}", 9001)
            lists.apply(True, rows)
            while lists._next_turn is not None:
                await asyncio.sleep(0)
        assert heard[:2] == [endpoint_list.MAX_ENTRIES_PER_TURN] * 2
        assert sum(heard[2:]) == 2

    run(main())


@pytest.mark.parametrize("count", [3, 2000])
def test_node_follows_lists_of_any_length(count: int):
    async def main() -> None:
        relay = Proxy(config([entry("old", 9000)]))
        relay.discovery.start = lambda: None  # type: ignore[method-assign]
        relay.endpoints.list_updated(
            EndpointListForm.CACHED, parse_endpoints(relay.config.initial_endpoints.entries, START_TIMES)
        )
        assert "old" in relay.node.servers
        rows = [entry(f"s{at}", 9000) for at in range(count)]
        for part in (rows, rows[1:], rows[1:2]):
            relay.discovery.endpoint_list.apply(True, part)
            while relay.discovery.endpoint_list._next_turn is not None:
                await asyncio.sleep(0)
            wanted = {row["host"] for row in part}
            assert set(relay.node.servers) == wanted, "what a whole list does not name is gone"
            assert set(relay.upstream.endpoints) == wanted
            assert set(relay.node.balancer.parts.shared.pool.servers) == wanted
        relay.discovery.endpoint_list.close()

    run(main())
