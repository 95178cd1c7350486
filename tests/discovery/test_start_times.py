"""Tests of start times: converted correctly although the wall clock of any machine may be stepped."""

from __future__ import annotations

import time
from typing import Any

import pytest

from rosewheel.discovery.endpoint_list import Endpoint, EndpointList
from rosewheel.policy.events import EndpointListForm
from tests.support.sockets import entry

HOUR_S = 3600.0
STEPS_S = (0.0, 5.0, -5.0, HOUR_S, -HOUR_S)


class Clocks:
    """Wall clocks of the node's machine and of the servers' machine."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self._true_time = time.time
        self.node_step_s = self.server_step_s = 0.0
        monkeypatch.setattr(time, "time", lambda: self._true_time() + self.node_step_s)

    def step(self, machine: str, step_s: float) -> None:
        """Step the clock of a machine: `node`, `server` or `both`."""
        if machine in ("node", "both"):
            self.node_step_s += step_s
        if machine in ("server", "both"):
            self.server_step_s += step_s

    def born_ms(self, ago_s: float = 0.0) -> float:
        """Return the `born_ms` that discovery sends for a server that started `ago_s` seconds ago."""
        return (self._true_time() + self.server_step_s - ago_s) * 1000.0


class EndpointListHarness:
    """An endpoint list that records the start times it passes on."""

    def __init__(self) -> None:
        self.launched_ms: dict[str, float | None] = {}
        self.endpoint_list = EndpointList(self._record)

    def _record(self, form: EndpointListForm, endpoints: list[Endpoint]) -> None:
        self.launched_ms |= {server.address: server.launched_ms for server, _ in endpoints}

    def apply(self, *rows: dict[str, Any], is_snapshot: bool = False) -> tuple[float, float]:
        """Apply an update; return the time on the monotonic clock before and after, in milliseconds."""
        before_ms = time.monotonic() * 1000.0
        self.endpoint_list.apply(is_snapshot, list(rows))
        return before_ms, time.monotonic() * 1000.0


@pytest.mark.parametrize("machine", ["node", "server", "both"])
@pytest.mark.parametrize("step_s", STEPS_S)
def test_a_new_start_counts_from_its_notification_despite_stepped_clocks(
    machine: str, step_s: float, monkeypatch: pytest.MonkeyPatch
):
    clocks, harness = Clocks(monkeypatch), EndpointListHarness()
    harness.apply(entry("a", 1), entry("b", 1, born_ms=clocks.born_ms(ago_s=30.0)), is_snapshot=True)
    clocks.step(machine, step_s)
    for host in ("a", "b", "new"):
        row = entry(host, 1, born_ms=clocks.born_ms())
        before_ms, after_ms = harness.apply(row)
        launched_ms = harness.launched_ms[host]
        assert launched_ms is not None
        # A start time a few seconds in the future is accepted.
        ahead_ms = 5000.0 if step_s == {"node": -5.0, "server": 5.0}.get(machine) else 0.0
        assert before_ms <= launched_ms <= after_ms + ahead_ms


@pytest.mark.parametrize("machine", ["node", "server", "both"])
@pytest.mark.parametrize("step_s", STEPS_S)
@pytest.mark.parametrize("is_snapshot", [True, False])
@pytest.mark.parametrize("is_removed_between", [True, False])
def test_a_list_sent_again_after_a_step_does_not_look_like_a_restart(
    machine: str, step_s: float, is_snapshot: bool, is_removed_between: bool, monkeypatch: pytest.MonkeyPatch
):
    clocks, harness = Clocks(monkeypatch), EndpointListHarness()
    rows = [entry("a", 1, born_ms=clocks.born_ms(ago_s=2.0)), entry("b", 1, born_ms=clocks.born_ms())]
    harness.apply(rows[0], is_snapshot=True)
    harness.apply(rows[1])
    launched_ms = dict(harness.launched_ms)
    clocks.step(machine, step_s)
    if is_removed_between:
        harness.apply(entry("c", 1), is_snapshot=True)
    harness.apply(*rows, is_snapshot=is_snapshot)
    assert {host: harness.launched_ms[host] for host in launched_ms} == launched_ms


@pytest.mark.parametrize("step_s", STEPS_S)
def test_start_times_of_the_first_list_are_converted_with_the_current_clock(
    step_s: float, monkeypatch: pytest.MonkeyPatch
):
    """A step of all machines' clocks before this process started must not change the start times."""
    clocks, harness = Clocks(monkeypatch), EndpointListHarness()
    clocks.step("both", step_s)
    before_ms, after_ms = harness.apply(entry("a", 1, born_ms=clocks.born_ms(ago_s=2.0)), is_snapshot=True)
    launched_ms = harness.launched_ms["a"]
    assert launched_ms is not None
    assert before_ms - 3000.0 < launched_ms < after_ms - 1000.0


def test_far_future_start_times_in_the_first_list_count_from_now(monkeypatch: pytest.MonkeyPatch):
    """A step back of this machine's clock before the process started must not delay the warm-up of servers."""
    clocks, harness = Clocks(monkeypatch), EndpointListHarness()
    clocks.step("node", -HOUR_S)
    before_ms, after_ms = harness.apply(entry("a", 1, born_ms=clocks.born_ms(ago_s=2.0)), is_snapshot=True)
    launched_ms = harness.launched_ms["a"]
    assert launched_ms is not None
    assert before_ms <= launched_ms <= after_ms


def test_a_start_time_a_few_seconds_in_the_future_is_kept(monkeypatch: pytest.MonkeyPatch):
    clocks, harness = Clocks(monkeypatch), EndpointListHarness()
    harness.apply(entry("a", 1), is_snapshot=True)
    before_ms, after_ms = harness.apply(entry("a", 1, born_ms=clocks.born_ms(ago_s=-4.0)))
    launched_ms = harness.launched_ms["a"]
    assert launched_ms is not None
    assert before_ms + 3000.0 < launched_ms < after_ms + 5000.0
