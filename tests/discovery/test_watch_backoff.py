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
from rosewheel.proxy import proxy as relay_module
from rosewheel.proxy.proxy import Proxy
from tests.support.balancers import Bed, settings
from tests.support.scripted_discovery import restartable_discovery
from tests.support.sockets import config, entry, node, run, until
from tests.support.virtual_discovery import Net, VirtualLoop

HEARD_S = 5.5  # from when discovery has a change and can be reached; it counts as told 0.5 s later

KINDS = st.sampled_from(["up", "refuse", "hang", "mute", "head", "half"])
# Also phases of just the length of a time-out or a wait: the return right behind the beginning of a try.
LENGTHS = st.floats(0.01, 9.0) | st.sampled_from([2.0, 2.2, 2.21, 2.8, 4.0])
PHASES = st.lists(st.tuples(LENGTHS, KINDS), max_size=7)


def _clock(loop: VirtualLoop) -> Callable[[], float]:
    return lambda: loop.now * 1000.0


def play(
    asks: bool, seed: int, until_s: float, grace_ms: float = 400.0, **script: object
) -> tuple[Net, Proxy]:
    """A node by its discovery up to this time; what it sends and takes is none of this."""

    async def main() -> Proxy:
        told = dataclasses.replace(config([]), seed=seed, settings=settings(poll_discovery=asks))
        relay = Proxy(dataclasses.replace(told, limits=Limits(drain_notice_ms=grace_ms)))
        relay._endpoint_list_updated(EndpointListForm.CACHED, [])
        if not asks:
            relay.discovery.start()
        await asyncio.sleep(until_s)
        relay.stopped = True
        relay.discovery.close()
        relay.upstream.close()
        return relay

    loop = VirtualLoop()
    net = loop.net = Net(loop, **script)  # type: ignore[arg-type]
    net.begin()
    with mock.patch.object(relay_module, "now_ms", new=_clock(loop)):
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
    back=st.sampled_from(["served", "silent", "reset"]),
    eager=st.booleans(),
    late=st.floats(0.0, 0.15),
    recount=st.booleans(),
    grace=st.sampled_from([50.0, 400.0, 3000.0, 30000.0]),
    seed=st.integers(0, 1 << 30),
)
@hypothesis_settings(max_examples=60, deadline=None)
def test_a_change_is_heard_in_time_from_whenever_discovery_has_it_and_can_be_reached(
    asks: bool,
    phases: list[tuple[float, str]],
    change: float,
    after: float,
    cut: float | None,
    back: str,
    eager: bool,
    late: float,
    recount: bool,
    grace: float,
    seed: int,
):
    up_s = sum(length for length, _ in phases)
    change_s = change * up_s + after
    cut_s = None if cut is None else up_s + cut
    heard_by = max(change_s, up_s) + HEARD_S
    script = {"phases": phases, "change_s": change_s, "back": back, "eager": eager, "late_s": late}
    net, relay = play(asks, seed, heard_by, grace, **script, cut_s=cut_s, recount=recount)
    assert relay.node.is_known_server("new"), f"tried at {net.calls}"


@pytest.mark.parametrize("asks", [False, True], ids=["pushed", "asked"])
@pytest.mark.parametrize("kind", ["mute", "hang", "refuse", "head", "half"])
@pytest.mark.parametrize("seed", range(4))
def test_a_silent_watch_whose_first_try_fails_as_well_is_still_replaced_in_time(
    asks: bool, kind: str, seed: int
):
    """Seen from when it fell silent: noticed, a call that comes to nothing, and one that is answered."""
    net, _ = play(asks, seed, 40.0, phases=[(20.5, "up"), (19.5, "mute")], change_s=90.0, eager=False)
    (first, second, *_) = [at for at in net.calls if at > 20.5]
    fell_s = 20.0  # its last line
    phases = [(20.5, "up"), (first - 20.5 - 0.1, "mute"), (0.2, kind)]
    net, relay = play(asks, seed, fell_s + HEARD_S, phases=phases, change_s=21.0, eager=False)
    assert relay.node.is_known_server("new"), f"tried at {net.calls}"
    assert second <= fell_s + HEARD_S


@pytest.mark.parametrize("asks", [False, True], ids=["pushed", "asked"])
@pytest.mark.parametrize("eager", [False, True])
def test_while_discovery_works_it_is_asked_once(asks: bool, eager: bool):
    """Lines that are late by a good part of a second, by a busy machine or network, cost no call."""
    net, _ = play(asks, 3, 600.0, phases=[], change_s=300.0, eager=eager, late_s=0.15, lag_s=0.7)
    assert len(net.calls) == 1


@pytest.mark.parametrize("kind", ["refuse", "hang", "mute"])
def test_the_one_service_is_asked_seldom_while_it_is_down(kind: str):
    """Where lists are asked for: nodes by the hundred must not keep it down, nor come all at one moment."""
    at: list[float] = []
    for seed in range(20):
        net, _ = play(True, seed, 600.0, phases=[(600.0, kind)], change_s=900.0)
        assert 600.0 / 4.0 <= len(net.calls) <= 600.0 / 2.0
        at.append(net.calls[-1])
    assert len({round(one, 2) for one in at}) > 15


def test_a_service_that_cuts_quiet_watches_off_is_not_taken_for_one_that_is_down():
    """Found: only a list reset the count of failures, so that after some quiet watches the next wait was of 4 s."""
    phases = [part for _ in range(8) for part in ((9.0, "up"), (0.01, "refuse"))]
    net, _ = play(True, 5, 100.0, phases=phases, change_s=99.0, eager=False, back="reset")
    ends = [sum(length for length, _ in phases[: 2 * turn + 2]) for turn in range(8)]
    for end in ends:
        assert min(at for at in net.calls if at > end - 0.005) - end < 1.1


def test_an_outage_of_hours_ends_in_no_fault():
    """Found: the wait was 2.0 to the power of the failures in a row, which is no number after 1024 of them."""
    bed = Bed(count=0, poll_discovery=True)
    for _ in range(3000):
        (wake,) = bed.give(EndpointListUpdate(EndpointListForm.FAILED), after=2000.0)
        assert isinstance(wake, StartTimer)
        assert bed.give(TimerFired("watch"), after=wake.delay_ms) == [WatchEndpoints()]


@given(st.lists(st.floats(0.0, 60.0), min_size=1, max_size=20), st.integers(0, 1 << 30))
def test_from_one_call_to_the_next_no_more_than_the_longest_wait_passes(lasted: list[float], seed: int):
    """By the module itself: a call that took long is followed soon, one refused at once after growing waits."""
    bed = Bed(count=0, seed=seed, poll_discovery=True)
    bed.give(EndpointListUpdate(EndpointListForm.CACHED))
    for took_s in lasted:
        (wake,) = bed.give(EndpointListUpdate(EndpointListForm.FAILED), after=took_s * 1000.0)
        assert isinstance(wake, StartTimer)
        assert 0.0 < wake.delay_ms <= max(4000.0 - took_s * 1000.0, 200.0)
        bed.give(TimerFired("watch"), after=wake.delay_ms)


def test_the_sum_of_the_longest_times_is_what_the_page_of_constants_says():
    rewatch_s, apart_s = (
        discovery_polling.SHORTEST_WAIT_MS / 1000.0,
        discovery_polling.LONGEST_INTERVAL_MS / 1000.0,
    )
    for wait_s, longest_s in ((rewatch_s, apart_s), (0.0, backoff.MAX_DELAY_S)):
        assert (
            backoff.MAX_DELAY_S <= watch_client.FIRST_LINE_TIMEOUT_S
        )  # so that no wait follows a try that was silent
        assert (
            max(
                watch_client.SILENCE_TIMEOUT_S + wait_s, watch_client.FIRST_LINE_TIMEOUT_S + wait_s, longest_s
            )
            + watch_client.SILENCE_RECHECK_S
            < HEARD_S
        )
        assert (
            watch_client.SILENCE_TIMEOUT_S
            + watch_client.FIRST_LINE_TIMEOUT_S
            + 2.0 * (wait_s + watch_client.SILENCE_RECHECK_S)
            < HEARD_S
        )
    assert watch_client.CONNECT_TIMEOUT_S < watch_client.FIRST_LINE_TIMEOUT_S


# ---------------------------------------------------------------- on loopback


@pytest.mark.parametrize("asks", [False, True], ids=["pushed", "asked"])
def test_a_node_outlives_every_manner_of_outage_and_hears_what_came_of_it(
    asks: bool, monkeypatch: pytest.MonkeyPatch
):
    """On sockets, with all times a fortieth: silent, dead, dying within a line, silent within one, and back."""
    for name in ("SILENCE_TIMEOUT_S", "CONNECT_TIMEOUT_S", "FIRST_LINE_TIMEOUT_S"):
        monkeypatch.setattr(watch_client, name, getattr(watch_client, name) / 40.0)
    for name in ("FIRST_INTERVAL_MS", "LONGEST_INTERVAL_MS", "SHORTEST_WAIT_MS"):
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
