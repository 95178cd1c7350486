"""Load shedding in response to errors and latencies of servers."""

from __future__ import annotations

import asyncio
import contextlib

from rosewheel.policy.settings import Idempotency, ServiceClass
from rosewheel.proxy.proxy import Proxy
from tests.support.sockets import (
    Client,
    FakeServer,
    Handler,
    Message,
    encode_response,
    entry,
    node,
    run,
)


async def cursors_over_periods(proxy: Proxy, client: Client, periods: int) -> list[int]:
    """Send requests one after another for a number of policy periods; return the cursor after each response."""
    balancer, cursors = proxy.node.balancer, []
    until_period = balancer.parts.throughput.period_count + periods
    while balancer.parts.throughput.period_count < until_period:
        await client.request("read")
        cursors.append(balancer.parts.table.cursor)
    return cursors


# The shortest latency objective determines the period. No request uses the second class, which makes periods short.
SHORT_PERIOD_CLASSES = (
    ServiceClass("read", latency_objective_ms=1000, deadline_ms=2500, idempotency=Idempotency.NON_IDEMPOTENT),
    ServiceClass("brief", latency_objective_ms=200, deadline_ms=500, idempotency=Idempotency.NON_IDEMPOTENT),
)


def failing_handler(error_interval: list[int]) -> Handler:
    """Respond with a 500 to every n-th request, where n is the only element of the list; 0 for no errors."""
    count = 0

    async def handler(_message: Message, writer: asyncio.StreamWriter) -> None:
        nonlocal count
        count += 1
        writer.write(encode_response(500 if error_interval[0] and count % error_interval[0] == 0 else 200))

    return handler


def test_baseline_errors_do_not_shed_load():
    """Guards against shedding all load of an idle pool because of a constant rate of errors in a lower tier."""

    async def main() -> None:
        async with (
            FakeServer(failing_handler([10])).up() as server,
            node([entry("s", server.port)], classes=SHORT_PERIOD_CLASSES) as proxy,
            Client(proxy) as client,
        ):
            await cursors_over_periods(proxy, client, 40)
            cursors = await cursors_over_periods(proxy, client, 20)
            assert max(cursors) <= 2

    run(main())


def test_errors_above_the_baseline_shed_load():
    """Guards the tier below, whose rejections are visible to this node only as errors."""

    async def main() -> None:
        error_interval = [10]
        async with (
            FakeServer(failing_handler(error_interval)).up() as server,
            node([entry("s", server.port)], classes=SHORT_PERIOD_CLASSES) as proxy,
            Client(proxy) as client,
        ):
            await cursors_over_periods(proxy, client, 40)
            error_interval[0] = 2
            cursors = await cursors_over_periods(proxy, client, 15)
            assert max(cursors) >= 5

    run(main())


def test_fast_first_responses_do_not_block_a_node():
    """Guards against shedding load because the baseline latency was learned from a few fast responses."""

    async def main() -> None:
        response_count = 0

        async def fast_at_first(_message: Message, writer: asyncio.StreamWriter) -> None:
            nonlocal response_count
            response_count += 1
            if response_count > 10:
                await asyncio.sleep(0.05)  # a quarter of the latency objective
            writer.write(encode_response())

        read_class = (
            ServiceClass(
                "read", latency_objective_ms=200, deadline_ms=2000, idempotency=Idempotency.NON_IDEMPOTENT
            ),
        )
        async with (
            FakeServer(fast_at_first).up() as server,
            node([entry("s", server.port)], classes=read_class) as proxy,
            contextlib.AsyncExitStack() as stack,
        ):
            clients = [await stack.enter_async_context(Client(proxy)) for _ in range(6)]
            await asyncio.gather(*(cursors_over_periods(proxy, client, 40) for client in clients))
            cursors = await asyncio.gather(*(cursors_over_periods(proxy, client, 20) for client in clients))
            assert max(map(max, cursors)) <= 3

    run(main())
