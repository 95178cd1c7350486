"""Servers taken out by hand: in the module, on the sockets, and over an upgrade."""

from __future__ import annotations

import asyncio
import os
import socket
from pathlib import Path

import pytest

from rosewheel.node.core import Node
from rosewheel.node.effects import StartAttempt
from rosewheel.node.limits import Limits
from rosewheel.policy.actions import RejectRequest
from rosewheel.policy.events import (
    AttemptResult,
    CordonChanged,
    EndpointListForm,
    EndpointListUpdate,
    RequestReceived,
    Server,
    ServerState,
)
from tests.support.balancers import BalancerHarness, action_types, forwarded, servers, settings
from tests.support.sockets import Client, FakeServer, entry, node, run, status, until


def picks(harness: BalancerHarness, count: int = 30) -> set[str]:
    return {harness.serve_request() for _ in range(count)}


def test_a_cordon_holds_whatever_the_list_says():
    harness = BalancerHarness(3)
    for _ in range(2):
        harness.handle(CordonChanged("s1", cordoned=True))
    assert picks(harness) == {"s0", "s2"}
    harness.handle(EndpointListUpdate(EndpointListForm.DELTA, servers(3)))
    harness.handle(EndpointListUpdate(EndpointListForm.DELTA, (Server("s1", state=ServerState.REMOVED),)))
    harness.handle(EndpointListUpdate(EndpointListForm.SNAPSHOT, servers(3, launched_ms=harness.now)))
    harness.now += 20000.0  # warm, so that only the cordon keeps calls away
    assert picks(harness) == {"s0", "s2"}
    harness.handle(CordonChanged("s1", cordoned=False))
    harness.handle(CordonChanged("s1", cordoned=False))
    assert picks(harness) == {"s0", "s1", "s2"}


def test_with_all_taken_out_a_call_is_refused_at_once():
    harness = BalancerHarness(1)
    harness.handle(CordonChanged("s0", cordoned=True))
    assert action_types(harness.receive_request()[1]) == [RejectRequest]


def test_an_attempt_that_is_out_there_goes_on():
    harness = BalancerHarness(1)
    name, acts = harness.receive_request()
    server = forwarded(acts)[0].server
    assert harness.handle(CordonChanged(server, cordoned=True)) == []
    assert harness.finish_attempt(name, server, AttemptResult.OK) == []


def share_of(harness: BalancerHarness, server: str) -> float:
    got = []
    for _ in range(20):
        got.append(harness.serve_request(latency=10.0))
        harness.end_period()
    return got.count(server) / len(got)


def test_one_that_returns_is_cold_unless_the_list_knows_better():
    """Guards a server that was restarted while out: the list tells so late, and by then it has tipped."""
    harness = BalancerHarness(2)
    share_of(harness, "s1")
    harness.handle(CordonChanged("s1", cordoned=True))
    harness.now += 3000.0
    harness.handle(CordonChanged("s1", cordoned=False))
    assert 0.0 < share_of(harness, "s1") < 0.3
    harness.now += 10000.0  # as long as a cold one takes to be warm
    assert share_of(harness, "s1") > 0.3


def test_nothing_is_sent_to_one_that_is_out_even_if_the_module_errs():
    box = Node(settings(), Limits(), seed=1, now=0.0)
    box.update_endpoints(0.0, EndpointListForm.SNAPSHOT, (Server("s", zone="a"),))
    assert not box.is_known_server("nobody")
    box.set_cordon(0.0, "s", cordoned=True)
    box.balancer.parts.shared.pool.cordoned_since_ms.clear()  # a module that forgets
    box.balancer.parts.shared.pool.refresh_readiness(box.balancer.parts.shared.pool.servers["s"], 0.0)
    effects = box.receive_request(1.0, RequestReceived("r", "read", 2000.0))
    assert not any(isinstance(effect, StartAttempt) for effect in effects)
    assert (box.can_serve, box.cordoned_endpoint_count) == (False, 1)
    box.update_endpoints(2.0, EndpointListForm.DELTA, (Server("s", state=ServerState.REMOVED),))
    assert box.is_known_server("s"), "it can be called back also while the list does not name it"


def test_no_connection_that_is_coming_up_is_used_after_the_yes():
    """Guards the word given to operators: an attempt that waits for its connection has not begun."""

    async def main() -> None:
        async with FakeServer().up() as out, FakeServer().up() as other:
            async with node([entry("out", out.port)]) as relay, Client(relay) as client:
                connect = relay.loop.create_connection

                async def slow(*args: object, **more: object) -> object:
                    made = await connect(*args, **more)  # type: ignore[arg-type]
                    assert await relay.cordon("out")
                    return made

                relay.upstream.loop = _Loop(relay.loop, slow)  # type: ignore[assignment]
                client.send("post")
                got = await client.answer()
                assert status(got) == 503
                assert out.got == []
                assert await relay.cordon("out")
                assert not await relay.cordon("nobody")
                assert relay.statistics().cordoned_endpoints == 1
                relay.upstream.loop = relay.loop
                assert await relay.uncordon("out")
                assert status(await client.ask("post")) == 200
                assert len(out.got) == 1
                assert other.got == []

    run(main())


class _Loop:
    """The loop, but for its way to make a connection."""

    def __init__(self, loop: asyncio.AbstractEventLoop, connect: object) -> None:
        self._loop, self.create_connection = loop, connect

    def __getattr__(self, name: str) -> object:
        return getattr(self._loop, name)


def test_a_cordon_holds_over_an_upgrade(tmp_path: Path, monkeypatch: pytest.MonkeyPatch):
    monkeypatch.setattr(
        "rosewheel.proxy.endpoints.TAKEOVER_LIST_WAIT_S", 0.0
    )  # no discovery is there to wait for

    async def main() -> None:
        with socket.create_server(("127.0.0.1", 0)) as held:
            async with FakeServer().up() as one, FakeServer().up() as two:
                known = [entry("one", one.port), entry("two", two.port)]
                shared = {"state": str(tmp_path), "inherited": os.dup(held.fileno())}
                async with node(known, **shared) as old:
                    assert await old.cordon("one")
                    shared["inherited"] = os.dup(held.fileno())
                    async with node(known, **shared) as new, Client(new) as client:
                        await until(
                            lambda: (old.resources.process_count, new.resources.process_count) == (2, 2)
                        )
                        assert old.resources.max_descriptors < new.config.limits.max_sockets // 2
                        for _ in range(10):
                            assert status(await client.ask()) == 200
                        assert (len(one.got), len(two.got)) == (0, 10)
                        assert await new.uncordon("one")
                        assert old.node.cordoned == set()

    run(main())
