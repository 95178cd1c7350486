"""Shedding of load by the responses of real servers."""

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
    answer,
    entry,
    node,
    run,
)


async def cursors(proxy: Proxy, client: Client, periods: int) -> list[int]:
    """Ask one after another for so many of the module's periods; where the cursor stood at each answer."""
    balancer, seen = proxy.node.balancer, []
    until_period = balancer.parts.throughput.period_count + periods
    while balancer.parts.throughput.period_count < until_period:
        await client.ask("read")
        seen.append(balancer.parts.table.cursor)
    return seen


# Periods go by the shortest aim, and this one is asked for by nobody: thirty of them take less than a second.
BRISK = (
    ServiceClass("read", latency_objective_ms=1000, deadline_ms=2500, idempotency=Idempotency.NON_IDEMPOTENT),
    ServiceClass("brief", latency_objective_ms=200, deadline_ms=500, idempotency=Idempotency.NON_IDEMPOTENT),
)


def failing(every: list[int]) -> Handler:
    """One in so many of its answers is a 500, as where an answer below was spoilt, or a call refused."""
    count = 0

    async def handler(_message: Message, writer: asyncio.StreamWriter) -> None:
        nonlocal count
        count += 1
        writer.write(answer(500 if every[0] and count % every[0] == 0 else 200))

    return handler


def test_baseline_errors_do_not_shed_load():
    """Guards against a lock: answers spoilt below the front moved the cursor to its end in an idle pool."""

    async def main() -> None:
        async with (
            FakeServer(failing([10])).up() as server,
            node([entry("s", server.port)], classes=BRISK) as proxy,
            Client(proxy) as client,
        ):
            await cursors(proxy, client, 40)
            seen = await cursors(proxy, client, 20)
            assert max(seen) <= 2

    run(main())


def test_errors_above_the_baseline_shed_load():
    """Guards the tier below, whose refusals show at the front as errors only."""

    async def main() -> None:
        every = [10]
        async with (
            FakeServer(failing(every)).up() as server,
            node([entry("s", server.port)], classes=BRISK) as proxy,
            Client(proxy) as client,
        ):
            await cursors(proxy, client, 40)
            every[0] = 2
            seen = await cursors(proxy, client, 15)
            assert max(seen) >= 5

    run(main())


def test_fast_first_responses_do_not_block_a_node():
    """Guards against a quiet latency learnt from ten lucky answers: the node shed three calls of four."""

    async def main() -> None:
        given = 0

        async def quick_then_usual(_message: Message, writer: asyncio.StreamWriter) -> None:
            nonlocal given
            given += 1
            if given > 10:
                await asyncio.sleep(0.05)  # a quarter of the aim: nothing is wrong
            writer.write(answer())

        brief = (
            ServiceClass(
                "read", latency_objective_ms=200, deadline_ms=2000, idempotency=Idempotency.NON_IDEMPOTENT
            ),
        )
        async with (
            FakeServer(quick_then_usual).up() as server,
            node([entry("s", server.port)], classes=brief) as proxy,
            contextlib.AsyncExitStack() as stack,
        ):
            clients = [await stack.enter_async_context(Client(proxy)) for _ in range(6)]
            await asyncio.gather(*(cursors(proxy, client, 40) for client in clients))
            seen = await asyncio.gather(*(cursors(proxy, client, 20) for client in clients))
            assert max(map(max, seen)) <= 3

    run(main())
