"""Tests of the time from a recovery of discovery to the update that a node receives, with polled and pushed lists."""

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

# Longest time from when discovery has a change and can be reached until the node has received it: 6 s less 0.5 s.
MAX_NOTICE_S = 5.5

KINDS = st.sampled_from(["up", "refuse", "hang", "mute", "head", "half"])
# The fixed lengths are those of timeouts and delays, so that discovery recovers right after a watch is started.
LENGTHS = st.floats(0.01, 9.0) | st.sampled_from([2.0, 2.2, 2.21, 2.8, 4.0])
PHASES = st.lists(st.tuples(LENGTHS, KINDS), max_size=7)


def _clock(loop: VirtualLoop) -> Callable[[], float]:
    return lambda: loop.now * 1000.0


def simulate(
    polls: bool, seed: int, until_s: float, drain_notice_ms: float = 400.0, **script: object
) -> tuple[VirtualNetwork, Proxy]:
    """Run a node against a scripted discovery, without clients or servers, up to a virtual time."""

    async def main() -> Proxy:
        node_config = dataclasses.replace(config([]), seed=seed, settings=settings(poll_discovery=polls))
        proxy = Proxy(dataclasses.replace(node_config, limits=Limits(drain_notice_ms=drain_notice_ms)))
        proxy.endpoints.list_updated(EndpointListForm.CACHED, [])
        if not polls:
            proxy.discovery.start()
        await asyncio.sleep(until_s)
        proxy.stopped = True
        proxy.discovery.close()
        proxy.upstream.close()
        return proxy

    loop = VirtualLoop()
    network = loop.net = VirtualNetwork(loop, **script)  # type: ignore[arg-type]
    network.start()
    with mock.patch.object(clock, "now_ms", new=_clock(loop)):
        try:
            return network, loop.run_until_complete(main())
        finally:
            for task in asyncio.all_tasks(loop):
                task.cancel()
            loop.run_until_complete(asyncio.sleep(0))
            loop.close()


@pytest.mark.parametrize("polls", [False, True], ids=["pushed", "polled"])
@given(
    phases=PHASES,
    change_share=st.floats(0.0, 1.0),
    change_delay_s=st.floats(0.0, 4.0) | st.just(0.0),
    loss_delay_s=st.none() | st.floats(0.0, 30.0),
    on_recovery=st.sampled_from(["served", "silent", "reset"]),
    always_sends_object=st.booleans(),
    heartbeat_delay_s=st.floats(0.0, 0.15),
    revisions_restart=st.booleans(),
    drain_notice_ms=st.sampled_from([50.0, 400.0, 3000.0, 30000.0]),
    seed=st.integers(0, 1 << 30),
)
@hypothesis_settings(max_examples=60, deadline=None)
def test_change_is_known_in_time_once_discovery_is_reachable(
    polls: bool,
    phases: list[tuple[float, str]],
    change_share: float,
    change_delay_s: float,
    loss_delay_s: float | None,
    on_recovery: str,
    always_sends_object: bool,
    heartbeat_delay_s: float,
    revisions_restart: bool,
    drain_notice_ms: float,
    seed: int,
):
    recovered_at_s = sum(length for length, _ in phases)
    change_s = change_share * recovered_at_s + change_delay_s
    connections_lost_at_s = None if loss_delay_s is None else recovered_at_s + loss_delay_s
    known_by_s = max(change_s, recovered_at_s) + MAX_NOTICE_S
    script = {
        "phases": phases,
        "change_s": change_s,
        "on_recovery": on_recovery,
        "always_sends_object": always_sends_object,
        "first_heartbeat_delay_s": heartbeat_delay_s,
    }
    network, proxy = simulate(
        polls,
        seed,
        known_by_s,
        drain_notice_ms,
        **script,
        connections_lost_at_s=connections_lost_at_s,
        revisions_restart=revisions_restart,
    )
    assert proxy.node.is_listed_or_cordoned("new"), f"connections at {network.connect_times_s}"


@pytest.mark.parametrize("polls", [False, True], ids=["pushed", "polled"])
@pytest.mark.parametrize("kind", ["mute", "hang", "refuse", "head", "half"])
@pytest.mark.parametrize("seed", range(4))
def test_silent_watch_is_replaced_in_time_after_a_failed_attempt(polls: bool, kind: str, seed: int):
    """A watch falls silent, the first attempt to replace it fails, and the second one succeeds in time."""
    network, _ = simulate(
        polls, seed, 40.0, phases=[(20.5, "up"), (19.5, "mute")], change_s=90.0, always_sends_object=False
    )
    (first, second, *_) = [connect_s for connect_s in network.connect_times_s if connect_s > 20.5]
    last_line_s = 20.0
    phases = [(20.5, "up"), (first - 20.5 - 0.1, "mute"), (0.2, kind)]
    network, proxy = simulate(
        polls, seed, last_line_s + MAX_NOTICE_S, phases=phases, change_s=21.0, always_sends_object=False
    )
    assert proxy.node.is_listed_or_cordoned("new"), f"connections at {network.connect_times_s}"
    assert second <= last_line_s + MAX_NOTICE_S


@pytest.mark.parametrize("polls", [False, True], ids=["pushed", "polled"])
@pytest.mark.parametrize("always_sends_object", [False, True])
def test_working_discovery_is_asked_once(polls: bool, always_sends_object: bool):
    """Heartbeats that a busy machine or network delays must not end a watch."""
    network, _ = simulate(
        polls,
        3,
        600.0,
        phases=[],
        change_s=300.0,
        always_sends_object=always_sends_object,
        first_heartbeat_delay_s=0.15,
        heartbeat_delay_s=0.7,
    )
    assert len(network.connect_times_s) == 1


@pytest.mark.parametrize("kind", ["refuse", "hang", "mute"])
def test_unavailable_service_is_asked_rarely(kind: str):
    """Hundreds of polling nodes must not overload a recovering discovery, nor connect at the same time."""
    last_connects_s: list[float] = []
    for seed in range(20):
        network, _ = simulate(True, seed, 600.0, phases=[(600.0, kind)], change_s=900.0)
        assert 600.0 / 4.0 <= len(network.connect_times_s) <= 600.0 / 2.0
        last_connects_s.append(network.connect_times_s[-1])
    assert len({round(connect_s, 2) for connect_s in last_connects_s}) > 15


def test_closing_quiet_watches_does_not_count_as_unavailable():
    """The count of failures must be reset by an empty line too, or the delay grows with each quiet watch."""
    phases = [phase for _ in range(8) for phase in ((9.0, "up"), (0.01, "refuse"))]
    network, _ = simulate(
        True, 5, 100.0, phases=phases, change_s=99.0, always_sends_object=False, on_recovery="reset"
    )
    ends_s = [sum(length for length, _ in phases[: 2 * cycle + 2]) for cycle in range(8)]
    for end_s in ends_s:
        assert (
            min(connect_s for connect_s in network.connect_times_s if connect_s > end_s - 0.005) - end_s < 1.1
        )


def test_outage_of_hours_causes_no_error():
    """The exponential backoff must not overflow after thousands of failures."""
    harness = BalancerHarness(count=0, poll_discovery=True)
    for _ in range(3000):
        (timer,) = harness.handle(EndpointListUpdate(EndpointListForm.FAILED), after=2000.0)
        assert isinstance(timer, StartTimer)
        assert harness.handle(TimerFired("watch"), after=timer.delay_ms) == [WatchEndpoints()]


@given(st.lists(st.floats(0.0, 60.0), min_size=1, max_size=20), st.integers(0, 1 << 30))
def test_time_between_attempts_is_bounded(durations_s: list[float], seed: int):
    """The policy must poll again soon after a long watch, and within 4 s of the start of a short one."""
    harness = BalancerHarness(count=0, seed=seed, poll_discovery=True)
    harness.handle(EndpointListUpdate(EndpointListForm.CACHED))
    for duration_s in durations_s:
        (timer,) = harness.handle(EndpointListUpdate(EndpointListForm.FAILED), after=duration_s * 1000.0)
        assert isinstance(timer, StartTimer)
        assert 0.0 < timer.delay_ms <= max(4000.0 - duration_s * 1000.0, 200.0)
        harness.handle(TimerFired("watch"), after=timer.delay_ms)


def test_sum_of_timeouts_matches_the_documented_one():
    shortest_s = discovery_polling.MIN_WAIT_MS / 1000.0
    longest_s = discovery_polling.MAX_INTERVAL_MS / 1000.0
    silence_s, first_line_s = watch_client.SILENCE_TIMEOUT_S, watch_client.FIRST_LINE_TIMEOUT_S
    recheck_s = watch_client.SILENCE_RECHECK_S
    for backoff_s, interval_s in ((shortest_s, longest_s), (0.0, backoff.MAX_DELAY_S)):
        assert first_line_s >= backoff.MAX_DELAY_S, "a silent watch must be followed without a backoff"
        assert max(silence_s + backoff_s, first_line_s + backoff_s, interval_s) + recheck_s < MAX_NOTICE_S
        assert silence_s + first_line_s + 2.0 * (backoff_s + recheck_s) < MAX_NOTICE_S
    assert first_line_s > watch_client.CONNECT_TIMEOUT_S


# ---------------------------------------------------------------- on sockets


@pytest.mark.parametrize("polls", [False, True], ids=["pushed", "polled"])
def test_node_recovers_from_every_kind_of_outage(polls: bool, monkeypatch: pytest.MonkeyPatch):
    """Discovery is silent, resets connections, stops within a line, and recovers; timeouts are a fortieth."""
    for name in ("SILENCE_TIMEOUT_S", "CONNECT_TIMEOUT_S", "FIRST_LINE_TIMEOUT_S"):
        monkeypatch.setattr(watch_client, name, getattr(watch_client, name) / 40.0)
    for name in ("BASE_INTERVAL_MS", "MAX_INTERVAL_MS", "MIN_WAIT_MS"):
        monkeypatch.setattr(discovery_polling, name, getattr(discovery_polling, name) / 40.0)

    async def main() -> None:
        async with restartable_discovery() as discovery:
            arguments = {"discovery" if polls else "pushed": discovery}
            async with node([entry("old", 9)], **arguments) as proxy:  # type: ignore[arg-type]
                for behaviour in ("mute", "dies", "half", "mute"):
                    await discovery.start(behaviour)
                    await until(lambda: discovery.watch_count >= 3)
                    assert proxy.node.is_listed_or_cordoned("old")
                    discovery.stop()
                    await until(lambda: not proxy.discovery.is_open)
                await discovery.start("served")
                await until(lambda: proxy.node.is_listed_or_cordoned("new"))
                assert not proxy.node.is_listed_or_cordoned("old")

    run(main())
