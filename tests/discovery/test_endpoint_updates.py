"""Tests of endpoint list updates in a running node, and of changes of discovery's address."""

from __future__ import annotations

import asyncio
import dataclasses

import pytest

from rosewheel.config.node_config import NodeConfig
from rosewheel.policy.events import (
    EndpointListForm,
    Server,
    ServerState,
)
from rosewheel.proxy.proxy import Proxy
from tests.support.sockets import (
    Client,
    FakeDiscovery,
    FakeServer,
    entry,
    gated_handler,
    node,
    run,
    status,
    until,
)


def with_discovery(proxy: Proxy, discovery: FakeDiscovery) -> NodeConfig:
    """Return the node's configuration with the address of another discovery."""
    return dataclasses.replace(proxy.config, discovery_address=("127.0.0.1", discovery.port))


def test_endpoint_list_updates_are_applied():
    """An update must take effect at once, even if it arrives in pieces or has a malformed entry."""

    async def main() -> None:
        async with FakeDiscovery().up() as discovery, FakeServer().up() as first, FakeServer().up() as second:
            servers = [entry("s1", first.port), entry("s2", second.port)]
            async with node(servers, discovery) as proxy, Client(proxy) as client:
                await until(lambda: bool(discovery.writers))
                assert discovery.watch_requests == ["GET /catalog/members?follow=1&since=5 HTTP/1.1"]
                for _ in range(4):
                    await client.request()
                discovery.send_bytes(b"\n")
                discovery.send_update(6, {"host": "bad"}, entry("s1", first.port, health="leaving"))
                await until(lambda: proxy.discovery.revision == 6)
                assert not proxy.upstream.endpoints["s1"].idle_connections
                received_before = len(first.requests)
                for _ in range(6):
                    assert status(await client.request()) == 200
                assert len(first.requests) == received_before
                line = b'{"seq":7,"whole":false,"hosts":[{"host":"s1","health":"left"}]}\n'
                discovery.send_bytes(line[:20])
                discovery.send_bytes(line[20:])
                await until(lambda: proxy.discovery.revision == 7)
                assert list(proxy.upstream.endpoints) == ["s2"]

    run(main())


def test_server_removed_while_connecting_receives_nothing():
    """A server that starts to drain while a connection to it is opened must not receive the request."""

    async def main() -> None:
        async with (
            FakeServer().up() as server,
            node([entry("s", server.port)]) as proxy,
            Client(proxy) as client,
        ):
            start_attempt = proxy.upstream.start_attempt

            def start_and_drain(*args: object) -> None:
                start_attempt(*args)  # type: ignore[arg-type]
                proxy.loop.call_soon(
                    proxy.endpoints.list_updated,
                    EndpointListForm.DELTA,
                    [(Server("s", "a", 0, ServerState.DRAINING), ("127.0.0.1", server.port))],
                )

            proxy.upstream.start_attempt = start_and_drain  # type: ignore[method-assign]
            assert status(await client.request("post")) == 503
            assert not server.requests

    run(main())


@pytest.mark.parametrize("end", ["refused", "closed", "reset", "garbage"])
def test_ended_watch_is_reported_once_and_reopened(end: str):
    """The policy must learn of the end of each watch exactly once, or the list is no longer updated."""

    async def main() -> None:
        async with FakeDiscovery(rejected_watches=1 if end == "refused" else 0).up() as discovery:
            failures = 0
            async with node([], discovery) as proxy:
                update_endpoints = proxy.node.update_endpoints

                def count_failures(now: float, form: EndpointListForm, servers: tuple[Server, ...] = ()):
                    nonlocal failures
                    failures += form is EndpointListForm.FAILED
                    return update_endpoints(now, form, servers)

                proxy.node.update_endpoints = count_failures  # type: ignore[method-assign]
                if end != "refused":
                    await until(lambda: bool(discovery.writers))
                    if end == "garbage":
                        discovery.send_bytes(b"{no json\n")
                    elif end == "closed":
                        discovery.writers[-1].close()
                    else:
                        discovery.writers[-1].transport.abort()
                await until(lambda: len(discovery.watch_requests) == 2)
                await until(lambda: len(discovery.writers) == (1 if end == "refused" else 2))
                assert failures == 1
                discovery.send_update(9, entry("s", 1), whole=True)
                await until(lambda: proxy.node.can_serve)

    run(main())


def test_silent_watch_fails(monkeypatch: pytest.MonkeyPatch):
    """A watch whose connection is open but delivers nothing must be replaced, or the list is no longer updated."""
    monkeypatch.setattr("rosewheel.discovery.watch_client.SILENCE_TIMEOUT_S", 0.05)

    async def main() -> None:
        async with FakeDiscovery().up() as discovery, node([], discovery):
            await until(lambda: len(discovery.watch_requests) == 2)

    run(main())


def test_new_discovery_address_is_watched_at_once_and_the_old_one_ignored():
    """After a reload, the backoff of the old address must not delay the first watch on the new one, which continues
    from the known revision, and events of the old connection must have no effect."""

    async def main() -> None:
        async with FakeDiscovery().up() as old, FakeDiscovery().up() as new, FakeDiscovery().up() as newer:
            async with node([], old) as proxy:
                await until(lambda: bool(old.writers))
                old.send_update(8)
                await until(lambda: proxy.discovery.revision == 8)
                proxy.node.balancer.parts.polling.failures = 9  # delays the next poll by up to 4 s
                for discovery in (new, newer):
                    started_s = proxy.loop.time()
                    proxy.reload(with_discovery(proxy, discovery))
                    await until(lambda: bool(discovery.writers))  # noqa: B023
                    assert proxy.loop.time() - started_s < 1.0
                    assert discovery.watch_requests == ["GET /catalog/members?follow=1&since=8 HTTP/1.1"]
                for writer in (*old.writers, *new.writers):
                    writer.transport.abort()
                newer.send_update(9, entry("s", 1))
                await until(lambda: proxy.node.can_serve)
                assert proxy.node.balancer.parts.polling.failures == 0
                assert (len(old.watch_requests), len(new.watch_requests), len(newer.watch_requests)) == (
                    1,
                    1,
                    1,
                )

    run(main())


def test_timer_of_the_old_discovery_does_not_close_the_new_watch():
    """After a reload, the backoff timer of the old address must not replace the watch on the new one."""

    async def main() -> None:
        async with FakeDiscovery().up() as old, FakeDiscovery().up() as new:
            async with node([], old) as proxy:
                await until(lambda: bool(old.writers))
                old.writers[-1].transport.abort()
                await until(lambda: proxy.node.balancer.parts.polling.timer_is_set)
                proxy.reload(with_discovery(proxy, new))
                await until(lambda: bool(new.writers))
                proxy.apply(proxy.node.tick(max(timer.due_ms for timer in proxy.node.timers) + 5000.0))
                new.send_update(6, entry("s", 1), whole=True)
                await until(lambda: proxy.node.can_serve)
                assert (len(old.watch_requests), len(new.watch_requests)) == (1, 1)

    run(main())


def test_reload_while_draining_changes_only_the_watch():
    """A reload (SIGHUP) during a drain (SIGTERM) must not disturb the drain."""

    async def main() -> None:
        gate, gated = gated_handler()
        async with FakeDiscovery().up() as old, FakeDiscovery().up() as new, FakeServer(gated).up() as server:
            async with node([entry("s", server.port)], old) as proxy, Client(proxy) as client:
                await until(lambda: bool(old.writers))
                client.send("post")
                await until(lambda: len(server.requests) == 1)
                drain = asyncio.ensure_future(proxy.drain())
                await until(lambda: proxy.server.draining)
                proxy.reload(with_discovery(proxy, new))
                await until(lambda: bool(new.writers))
                gate.set()
                assert status(await client.read_response()) == 200
                await drain
                proxy.reload(with_discovery(proxy, old))  # has no effect after the drain
                assert len(old.watch_requests) == 1

    run(main())


def test_discovery_with_reset_revision_is_asked_for_a_snapshot():
    """After discovery restarts its revisions, its changes do not follow the known list, so all entries are needed."""

    async def main() -> None:
        async with FakeDiscovery().up() as discovery, node([], discovery) as proxy:
            await until(lambda: bool(discovery.writers))
            discovery.send_update(3, entry("s", 1))
            await until(lambda: len(discovery.writers) == 2)
            assert discovery.watch_requests[-1] == "GET /catalog/members?follow=1&since=0 HTTP/1.1"
            assert not proxy.node.can_serve

    run(main())
