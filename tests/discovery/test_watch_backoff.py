"""How soon a node hears of a change, wherever in its tries to reach discovery that comes back."""

from __future__ import annotations

import asyncio
import dataclasses
from collections.abc import Callable
from unittest import mock

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from rosewheel.discovery import backoff, watch_client
from rosewheel.node.limits import Limits
from rosewheel.policy import discovery_polling
from rosewheel.policy.actions import StartTimer, WatchEndpoints
from rosewheel.policy.events import EndpointListForm, EndpointListUpdate, TimerFired
from rosewheel.proxy import clock
from rosewheel.proxy.proxy import Proxy
from tests.support.balancers import BalancerHarness, settings
from tests.support.scripted_discovery import restartable_discovery
from tests.support.sockets import config, entry, node, run, until
from tests.support.virtual_discovery import VirtualLoop, VirtualNetwork

HEARD_S = 5.5  # from when discovery has a change and can be reached; it counts as told 0.5 s later

KINDS = st.sampled_from(["up", "refuse", "hang", "mute", "head", "half"])
# Also phases of just the length of a time-out or a wait: the return right behind the beginning of a try.
LENGTHS = st.floats(0.01, 9.0) | st.sampled_from([2.0, 2.2, 2.21, 2.8, 4.0])
PHASES = st.lists(st.tuples(LENGTHS, KINDS), max_size=7)


def _clock(loop: VirtualLoop) -> Callable[[], float]:
    return lambda: loop.now * 1000.0


def play(
    asks: bool, seed: int, until_s: float, grace_ms: float = 400.0, **script: object
) -> tuple[VirtualNetwork, Proxy]:
    """A node by its discovery up to this time; what it sends and takes is none of this."""

    async def main() -> Proxy:
        told = dataclasses.replace(config([]), seed=seed, settings=settings(poll_discovery=asks))
        relay = Proxy(dataclasses.replace(told, limits=Limits(drain_notice_ms=grace_ms)))
        relay.endpoints.list_updated(EndpointListForm.CACHED, [])
        if not asks:
            relay.discovery.start()
        await asyncio.sleep(until_s)
        relay.stopped = True
        relay.discovery.close()
        relay.upstream.close()
        return relay

    loop = VirtualLoop()
    net = loop.net = VirtualNetwork(loop, **script)  # type: ignore[arg-type]
    net.start()
    with mock.patch.object(clock, "now_ms", new=_clock(loop)):
        try:
            return net, loop.run_until_complete(main())
        finally:
            for task in asyncio.all_tasks(loop):
                task.cancel()
            loop.run_until_complete(asyncio.sleep(0))
            loop.close()


@pytest.mark.parametrize("asks", [False, True], ids=["pushed", "asked"])
@given(
    phases=PHASES,
    change=st.floats(0.0, 1.0),
    after=st.floats(0.0, 4.0) | st.just(0.0),
    cut=st.none() | st.floats(0.0, 30.0),
    on_recovery=st.sampled_from(["served", "silent", "reset"]),
    always_sends_object=st.booleans(),
    late=st.floats(0.0, 0.15),
    revisions_restart=st.booleans(),
    grace=st.sampled_from([50.0, 400.0, 3000.0, 30000.0]),
    seed=st.integers(0, 1 << 30),
)
@hypothesis_settings(max_examples=60, deadline=None)
def test_change_is_known_in_time_once_discovery_is_reachable(
    asks: bool,
    phases: list[tuple[float, str]],
    change: float,
    after: float,
    cut: float | None,
    on_recovery: str,
    always_sends_object: bool,
    late: float,
    revisions_restart: bool,
    grace: float,
    seed: int,
):
    up_s = sum(length for length, _ in phases)
    change_s = change * up_s + after
    connections_lost_at_s = None if cut is None else up_s + cut
    heard_by = max(change_s, up_s) + HEARD_S
    script = {
        "phases": phases,
        "change_s": change_s,
        "on_recovery": on_recovery,
        "always_sends_object": always_sends_object,
        "first_heartbeat_delay_s": late,
    }
    net, relay = play(
        asks,
        seed,
        heard_by,
        grace,
        **script,
        connections_lost_at_s=connections_lost_at_s,
        revisions_restart=revisions_restart,
    )
    assert relay.node.is_known_server("new"), f"tried at {net.connect_times_s}"


@pytest.mark.parametrize("asks", [False, True], ids=["pushed", "asked"])
@pytest.mark.parametrize("kind", ["mute", "hang", "refuse", "head", "half"])
@pytest.mark.parametrize("seed", range(4))
def test_silent_watch_is_replaced_in_time_after_a_failed_attempt(asks: bool, kind: str, seed: int):
    """Seen from when it fell silent: noticed, a call that comes to nothing, and one that is answered."""
    net, _ = play(
        asks, seed, 40.0, phases=[(20.5, "up"), (19.5, "mute")], change_s=90.0, always_sends_object=False
    )
    (first, second, *_) = [at for at in net.connect_times_s if at > 20.5]
    fell_s = 20.0  # its last line
    phases = [(20.5, "up"), (first - 20.5 - 0.1, "mute"), (0.2, kind)]
    net, relay = play(asks, seed, fell_s + HEARD_S, phases=phases, change_s=21.0, always_sends_object=False)
    assert relay.node.is_known_server("new"), f"tried at {net.connect_times_s}"
    assert second <= fell_s + HEARD_S


@pytest.mark.parametrize("asks", [False, True], ids=["pushed", "asked"])
@pytest.mark.parametrize("always_sends_object", [False, True])
def test_working_discovery_is_asked_once(asks: bool, always_sends_object: bool):
    """Lines that are late by a good part of a second, by a busy machine or network, cost no call."""
    net, _ = play(
        asks,
        3,
        600.0,
        phases=[],
        change_s=300.0,
        always_sends_object=always_sends_object,
        first_heartbeat_delay_s=0.15,
        heartbeat_delay_s=0.7,
    )
    assert len(net.connect_times_s) == 1


@pytest.mark.parametrize("kind", ["refuse", "hang", "mute"])
def test_unavailable_service_is_asked_rarely(kind: str):
    """Where lists are asked for: nodes by the hundred must not keep it down, nor come all at one moment."""
    at: list[float] = []
    for seed in range(20):
        net, _ = play(True, seed, 600.0, phases=[(600.0, kind)], change_s=900.0)
        assert 600.0 / 4.0 <= len(net.connect_times_s) <= 600.0 / 2.0
        at.append(net.connect_times_s[-1])
    assert len({round(one, 2) for one in at}) > 15


def test_closing_quiet_watches_does_not_count_as_unavailable():
    """Found: only a list reset the count of failures, so that after some quiet watches the next wait was of 4 s."""
    phases = [part for _ in range(8) for part in ((9.0, "up"), (0.01, "refuse"))]
    net, _ = play(
        True, 5, 100.0, phases=phases, change_s=99.0, always_sends_object=False, on_recovery="reset"
    )
    ends = [sum(length for length, _ in phases[: 2 * turn + 2]) for turn in range(8)]
    for end in ends:
        assert min(at for at in net.connect_times_s if at > end - 0.005) - end < 1.1


def test_outage_of_hours_causes_no_error():
    """Found: the wait was 2.0 to the power of the failures in a row, which is no number after 1024 of them."""
    harness = BalancerHarness(count=0, poll_discovery=True)
    for _ in range(3000):
        (wake,) = harness.handle(EndpointListUpdate(EndpointListForm.FAILED), after=2000.0)
        assert isinstance(wake, StartTimer)
        assert harness.handle(TimerFired("watch"), after=wake.delay_ms) == [WatchEndpoints()]


@given(st.lists(st.floats(0.0, 60.0), min_size=1, max_size=20), st.integers(0, 1 << 30))
def test_time_between_attempts_is_bounded(lasted: list[float], seed: int):
    """By the module itself: a call that took long is followed soon, one refused at once after growing waits."""
    harness = BalancerHarness(count=0, seed=seed, poll_discovery=True)
    harness.handle(EndpointListUpdate(EndpointListForm.CACHED))
    for took_s in lasted:
        (wake,) = harness.handle(EndpointListUpdate(EndpointListForm.FAILED), after=took_s * 1000.0)
        assert isinstance(wake, StartTimer)
        assert 0.0 < wake.delay_ms <= max(4000.0 - took_s * 1000.0, 200.0)
        harness.handle(TimerFired("watch"), after=wake.delay_ms)


def test_sum_of_timeouts_matches_the_documented_one():
    shortest_s = discovery_polling.MIN_WAIT_MS / 1000.0
    longest_s = discovery_polling.MAX_INTERVAL_MS / 1000.0
    silence_s, first_line_s = watch_client.SILENCE_TIMEOUT_S, watch_client.FIRST_LINE_TIMEOUT_S
    recheck_s = watch_client.SILENCE_RECHECK_S
    for wait_s, apart_s in ((shortest_s, longest_s), (0.0, backoff.MAX_DELAY_S)):
        assert first_line_s >= backoff.MAX_DELAY_S  # so that no backoff follows a watch that was silent
        assert max(silence_s + wait_s, first_line_s + wait_s, apart_s) + recheck_s < HEARD_S
        assert silence_s + first_line_s + 2.0 * (wait_s + recheck_s) < HEARD_S
    assert first_line_s > watch_client.CONNECT_TIMEOUT_S


# ---------------------------------------------------------------- on loopback


@pytest.mark.parametrize("asks", [False, True], ids=["pushed", "asked"])
def test_node_recovers_from_every_kind_of_outage(asks: bool, monkeypatch: pytest.MonkeyPatch):
    """On sockets, with all times a fortieth: silent, dead, dying within a line, silent within one, and back."""
    for name in ("SILENCE_TIMEOUT_S", "CONNECT_TIMEOUT_S", "FIRST_LINE_TIMEOUT_S"):
        monkeypatch.setattr(watch_client, name, getattr(watch_client, name) / 40.0)
    for name in ("BASE_INTERVAL_MS", "MAX_INTERVAL_MS", "MIN_WAIT_MS"):
        monkeypatch.setattr(discovery_polling, name, getattr(discovery_polling, name) / 40.0)

    async def main() -> None:
        async with restartable_discovery() as discovery:
            given = {"discovery" if asks else "pushed": discovery}
            async with node([entry("old", 9)], **given) as relay:  # type: ignore[arg-type]
                for manners in ("mute", "dies", "half", "mute"):
                    await discovery.begin(manners)
                    await until(lambda: discovery.asked >= 3)
                    assert relay.node.is_known_server("old")
                    discovery.end()
                    await until(lambda: not relay.discovery.is_open)
                await discovery.begin("served")
                await until(lambda: relay.node.is_known_server("new"))
                assert not relay.node.is_known_server("old")

    run(main())
