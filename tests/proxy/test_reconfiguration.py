"""Another configuration on the sockets: at SIGHUP, from the fleet, and with requests and lists in flight."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import math
import signal
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import orjson
import pytest

from rosewheel.admin.server import respond_to
from rosewheel.config.errors import ConfigError
from rosewheel.discovery.watch_client import SILENCE_TIMEOUT_S
from rosewheel.node.limits import Limits
from rosewheel.policy.settings import Settings
from rosewheel.proxy.cordons import Cordons
from rosewheel.proxy.proxy import Proxy
from rosewheel.proxy.shared_state import SharedState
from tests.hot_restart.test_hot_restart import LONG, bench, read_long, send_long, slow_client
from tests.support.balancers import IDEMPOTENT, NON_IDEMPOTENT
from tests.support.configurations import PLATFORM_SETTINGS, platform_document
from tests.support.processes import connect, free_port, start_node
from tests.support.sockets import (
    WAIT_S,
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


def other(relay: Proxy, **changes: Any) -> Settings:
    return dataclasses.replace(relay.config.settings, **changes)


def lines_of(process: Any) -> Iterator[str]:
    return iter(process.stderr.readline, "")


@pytest.mark.parametrize("effect", ["free", "single_shot"])
def test_sighup_with_other_classes_while_requests_are_in_flight(effect: str, tmp_path: Path):
    """Guards a change of classes through the real program: what was taken under the old ones is answered under them,
    the new one is served, the removed one refused, and a file that can't be applied changes nothing."""

    async def main() -> None:
        free, slow = gated_handler()
        port = free_port()
        async with FakeServer(slow).up() as server:
            row = platform_document(
                listen=f"127.0.0.1:{port}",
                known={"seq": 1, "whole": True, "hosts": [entry("s", server.port)]},
                settings=PLATFORM_SETTINGS | {"registryMode": "push", "invariants": {"drainGraceMs": 400.0}},
            )

            async def refused(service: str) -> bool:
                async with Client(port=port) as client:  # one of its own, since it ends with that
                    return status(await client.ask(service)) == 400

            process = start_node(tmp_path, row)
            lines = lines_of(process)
            path = tmp_path / "config.json"
            try:
                connected = await asyncio.to_thread(connect, process, port)
                connected.close()
                async with Client(port=port) as old, Client(port=port) as new:
                    old.send("post", id="old")
                    await until(lambda: len(server.got) == 1)
                    late = {"name": "late", "aimMs": 900.0, "giveUpMs": 2000.0, "effect": effect}
                    classes = [one for one in PLATFORM_SETTINGS["categories"] if one["name"] != "post"]
                    wanted = row["settings"] | {"categories": [*classes, late]}

                    async def told(settings: dict[str, Any], line: str) -> None:
                        path.write_bytes(orjson.dumps({**row, "settings": settings}))
                        process.send_signal(signal.SIGHUP)
                        assert await asyncio.to_thread(lambda: any(line in one for one in lines))

                    await told(wanted | {"locality": "b"}, "configuration not reloaded: error=zone: 'b'")
                    assert await refused("late")
                    await told(wanted, "configuration applied: classes=3")
                    assert await refused("post")
                    new.send("late")
                    await until(lambda: len(server.got) == 2)
                    free.set()
                    for client in (old, new):
                        assert status(await client.answer()) == 200
                process.send_signal(signal.SIGTERM)
                await asyncio.to_thread(process.wait, WAIT_S)
                assert process.returncode == 0
            finally:
                process.kill()
                process.communicate()

    run(main())


def test_a_reload_that_can_not_be_applied_leaves_the_whole_of_the_old_one():
    """Also discovery's address and the sockets, which could have changed by themselves."""

    async def main() -> None:
        async with (
            FakeServer().up() as server,
            node([entry("s", server.port)]) as relay,
            Client(relay) as client,
        ):
            before = relay.config
            kept = vars(relay.node.balancer).copy()
            bad = dataclasses.replace(
                before,
                discovery_address=("127.0.0.1", 2),
                settings=other(relay, tier=1, classes=(IDEMPOTENT,)),
                limits=Limits(max_sockets=64, memory_limit_mb=33.0),
            )
            with pytest.raises(ConfigError, match=r"^tier: 1 requires a restart of the node$"):
                relay.reload(bad)
            assert relay.config is before
            assert relay.upstream.limits is before.limits
            assert relay.node.limits is before.limits
            assert relay.discovery.address == before.discovery_address
            assert all(value is kept[key] for key, value in vars(relay.node.balancer).items())
            assert status(await client.ask("post")) == 200

    run(main())


def test_the_same_configuration_again_is_none():
    async def main() -> None:
        async with node([]) as relay:
            before = vars(relay.node.balancer).copy()
            relay.reload(
                dataclasses.replace(relay.config, seed=99, limits=dataclasses.replace(relay.config.limits))
            )
            assert all(value is before[key] for key, value in vars(relay.node.balancer).items())

    run(main())


def test_what_only_a_start_takes_over_is_said(caplog: pytest.LogCaptureFixture):
    async def main() -> None:
        async with node([]) as relay:
            relay.reload(dataclasses.replace(relay.config, listen_address=("127.0.0.1", 9), name="x"))
            assert "configuration keys ignored until a restart: keys=name, listen" in caplog.text

    run(main())


def test_other_bounds_reach_all_that_keeps_to_them():
    async def main() -> None:
        async with node([]) as relay:
            relay.upstream.idle_timeout.rejection_limit_s = 3.0
            bounds = Limits(
                idle_timeout_ms=500.0, connect_timeout_ms=7.0, max_sockets=200, memory_limit_mb=40.0
            )
            relay.configure(other(relay, balancer_count=100), bounds)
            assert (relay.upstream.limits, relay.node.limits) == (bounds, bounds)
            assert relay.upstream.idle_timeout.reusable_for_s == pytest.approx(0.4)
            assert relay.upstream.idle_timeout.large_fleet
            assert relay.upstream.idle_timeout.rejection_limit_s == 3.0
            assert relay.budget.limit_bytes == 6 << 20
            assert relay.resources.max_descriptors < 200
            assert relay.server.max_connections < relay.resources.max_descriptors
            relay.configure(other(relay, balancer_count=1), bounds)
            assert not relay.upstream.idle_timeout.large_fleet
            assert relay.upstream.idle_timeout.rejection_limit_s == math.inf

    run(main())


def test_fewer_sockets_than_are_open_close_what_is_idle_and_leave_what_is_in_use():
    async def main() -> None:
        free, slow = gated_handler()
        async with FakeServer(slow).up() as server, node([entry("s", server.port)]) as relay:
            async with contextlib.AsyncExitStack() as stack:
                clients = [await stack.enter_async_context(Client(relay)) for _ in range(40)]
                for client in clients[:6]:
                    client.send("read")
                await until(lambda: len(server.got) == 6 and len(relay.server.connections) == 40)
                for caller in relay.server.connections:
                    caller.last_activity_s -= 10.0  # none of them is new, so each may be closed
                relay.configure(
                    relay.config.settings, dataclasses.replace(relay.config.limits, max_sockets=64)
                )
                assert relay.resources.max_descriptors < 46
                assert relay.resources.descriptor_count <= relay.resources.max_descriptors
                relay.configure(
                    relay.config.settings, dataclasses.replace(relay.config.limits, max_sockets=32)
                )
                assert relay.resources.max_descriptors < 12  # 6 callers and 6 equipos' connections are in use
                await until(lambda: len(relay.server.connections) == 6)
                free.set()
                for client in clients[:6]:
                    assert status(await client.answer()) == 200

    run(main())


def test_lists_that_were_asked_for_come_unasked_and_the_other_way_round():
    async def main() -> None:
        async with FakeDiscovery().up() as discovery, node([], discovery) as relay:
            await until(lambda: len(discovery.writers) == 1)
            relay.configure(other(relay, poll_discovery=False), relay.config.limits)
            assert relay.discovery.silence_timeout_s == SILENCE_TIMEOUT_S  # one time for both ways
            assert relay.discovery.is_open
            discovery.writers[-1].transport.abort()  # the module would wait for long; the agent costs nothing
            await until(lambda: len(discovery.writers) == 2)
            discovery.writers[-1].transport.abort()
            await until(lambda: not relay.discovery.is_open)  # the next look is set for a moment from now
            relay.configure(other(relay, poll_discovery=True), relay.config.limits)
            assert relay.discovery.silence_timeout_s == SILENCE_TIMEOUT_S
            await until(lambda: len(discovery.writers) == 3)
            watch = relay.discovery._connection
            relay.endpoints.reopen_watch()  # the look that was set: it must not break off what the module has asked for
            assert relay.discovery._connection is watch
            relay.discovery.close()
            relay.endpoints.reopen_watch()
            assert not relay.discovery.is_open, "where lists are asked for the module says when"

    run(main())


def test_a_change_between_the_choice_and_its_connection_gives_that_no_more_time(
    monkeypatch: pytest.MonkeyPatch,
):
    """Guards a keyed repeat: it was chosen because its connection comes up within its window or not at all."""

    async def main() -> None:
        async with node([entry("s", 1)]) as relay:
            waits: list[float] = []
            timeout = asyncio.timeout

            def noted(delay: float) -> asyncio.Timeout:
                waits.append(delay)
                return timeout(delay)

            monkeypatch.setattr("rosewheel.http.upstream_pool.asyncio.timeout", noted)
            relay.configure(relay.config.settings, Limits(connect_timeout_ms=100.0))
            relay.upstream.start_attempt("r", 0, "s", bytes)
            relay.configure(relay.config.settings, Limits(connect_timeout_ms=5000.0))
            await until(lambda: 0.1 in waits or 5.0 in waits)
            assert 5.0 not in waits

    run(main())


# --------------------------------------------------------------------- cordons


class Outs:
    """What is out, as it was carried out, and how often that was told."""

    def __init__(self) -> None:
        self.now: set[str] = set()
        self.cordons = Cordons(self.carry_out)

    def carry_out(self, member: str, out: bool) -> None:
        (self.now.add if out else self.now.discard)(member)


def test_what_either_holds_is_out():
    box = Outs()
    box.cordons.set_by_operator(frozenset("ab"))
    box.cordons.set_by_fleet(frozenset("bc"))
    assert box.now == set("abc")
    box.cordons.set_by_operator(frozenset())
    assert box.now == set("bc")
    box.cordons.set_by_operator(frozenset("c"))
    box.cordons.set_by_fleet(frozenset())
    assert box.now == set("c") == box.cordons.cordoned


def test_a_cordon_that_can_not_be_kept_holds_here_all_the_same(tmp_path: Path):
    async def main() -> None:
        box = Outs()
        state = SharedState(str(tmp_path / "gone"), box.cordons.set_by_operator, lambda _: None)
        with pytest.raises(OSError, match="gone"):
            await box.cordons.change_by_operator("a", True, state)
        assert box.now == {"a"}

    run(main())


def test_the_fleets_cordons_and_those_by_hand_are_two(tmp_path: Path):
    async def main() -> None:
        async with FakeServer().up() as one, FakeServer().up() as two, FakeDiscovery().up() as told:
            known = [entry("one", one.port), entry("two", two.port)]
            async with node(known, told, state=str(tmp_path)) as relay, Client(relay) as client:
                await until(lambda: bool(told.writers))
                relay.set_fleet_cordons(frozenset({"one", "later"}))
                assert await relay.cordon("one")
                for _ in range(5):
                    assert status(await client.ask()) == 200
                assert len(one.got) == 0
                got = await respond_to(relay, "POST", "/admin/uncordon?member=one")
                assert got.body == {"member": "one", "cordoned": True, "by": "fleet"}
                assert relay.statistics().cordoned_endpoints == 1
                assert status(await client.ask()) == 200
                assert len(one.got) == 0
                # One that the list names only now is out from its first moment.
                await relay.cordon("two")
                told.tell(9, entry("later", two.port))
                await until(lambda: "later" in relay.node.servers)
                assert status(await client.ask()) == 503
                relay.set_fleet_cordons(frozenset())
                assert relay.node.cordoned == {"two"}
                assert status(await client.ask()) == 200
                got = await respond_to(relay, "POST", "/admin/uncordon?member=two")
                assert got.body == {"member": "two", "cordoned": False}
                # What outlives the process is what was said by hand.
                relay.set_fleet_cordons(frozenset({"one"}))
                assert await relay.cordon("two")
                assert orjson.loads((tmp_path / "state.json").read_bytes())["cordoned"] == ["two"]
                relay.cordons.set_by_operator(frozenset())  # as another process of this node was told
                assert relay.node.cordoned == {"one"}

    run(main())


# -------------------------------------------------------------------- upgrades


def test_a_long_answer_of_a_class_that_the_new_process_does_not_have_goes_on(tmp_path: Path):
    """Guards an upgrade that comes with other settings: it goes on in the new process, and is counted there."""

    async def main() -> None:
        gate = asyncio.Event()
        pieces = [LONG[at : at + 100_000] for at in range(0, len(LONG), 100_000)]
        async with FakeServer(send_long(pieces, gate, "length")).up() as server:
            async with bench([entry("s", server.port)], tmp_path) as nodes:
                old = await nodes.next()
                client = await slow_client(old, nodes.port)
                old.configure(
                    other(old, classes=(NON_IDEMPOTENT, dataclasses.replace(IDEMPOTENT, name="new"))),
                    old.config.limits,
                )
                nodes.changes["classes"] = (NON_IDEMPOTENT,)
                new = await nodes.next()
                await old.drain()
                assert (len(old.calls), len(new.calls)) == (0, 1)
                gate.set()
                async with asyncio.timeout(WAIT_S):
                    assert await read_long(client.reader) == LONG
                assert new.statistics().classes["read"].ok == 1
                assert new.node.service_names == {"post"}
                assert status(await client.ask(id="small-1")) == 400
                await client.__aexit__()

    run(main())
