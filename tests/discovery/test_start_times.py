"""Starts of servers, told by wall clocks that may be stepped, on the monotonic clock of a node."""

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
    """The wall clock of this machine, and that of the servers' machine."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self._true_time = time.time
        self.node_step_s = self.server_step_s = 0.0
        monkeypatch.setattr(time, "time", lambda: self._true_time() + self.node_step_s)

    def step(self, machine: str, step_s: float) -> None:
        """Step a clock: of the node, of the server, or of both."""
        if machine in ("node", "both"):
            self.node_step_s += step_s
        if machine in ("server", "both"):
            self.server_step_s += step_s

    def born_ms(self, ago_s: float = 0.0) -> float:
        """What discovery tells of a server that started so long ago."""
        return (self._true_time() + self.server_step_s - ago_s) * 1000.0


class Listener:
    """Receives updates of an endpoint list."""

    def __init__(self) -> None:
        self.launched_ms: dict[str, float | None] = {}
        self.endpoint_list = EndpointList(self._updated)

    def _updated(self, form: EndpointListForm, endpoints: list[Endpoint]) -> None:
        self.launched_ms |= {server.address: server.launched_ms for server, _ in endpoints}

    def tell(self, *rows: dict[str, Any], whole: bool = False) -> tuple[float, float]:
        """Apply an update; the monotonic clock before and after."""
        before_ms = time.monotonic() * 1000.0
        self.endpoint_list.apply(whole, list(rows))
        return before_ms, time.monotonic() * 1000.0


@pytest.mark.parametrize("machine", ["node", "server", "both"])
@pytest.mark.parametrize("step_s", STEPS_S)
def test_a_start_that_was_notified_counts_from_then_whatever_the_clocks_say(
    machine: str, step_s: float, monkeypatch: pytest.MonkeyPatch
):
    clocks, listener = Clocks(monkeypatch), Listener()
    listener.tell(entry("a", 1), entry("b", 1, born_ms=clocks.born_ms(ago_s=30.0)), whole=True)
    clocks.step(machine, step_s)
    for host in ("a", "b", "new"):
        row = entry(host, 1, born_ms=clocks.born_ms())
        before_ms, after_ms = listener.tell(row)
        launched_ms = listener.launched_ms[host]
        assert launched_ms is not None
        # A start that is told as a few seconds ahead may be one; it is not believed to be further ahead.
        ahead_ms = 5000.0 if step_s == {"node": -5.0, "server": 5.0}.get(machine) else 0.0
        assert before_ms <= launched_ms <= after_ms + ahead_ms


@pytest.mark.parametrize("machine", ["node", "server", "both"])
@pytest.mark.parametrize("step_s", STEPS_S)
@pytest.mark.parametrize("whole", [True, False])
@pytest.mark.parametrize("is_removed_between", [True, False])
def test_a_list_that_is_sent_again_after_a_step_is_no_restart(
    machine: str, step_s: float, whole: bool, is_removed_between: bool, monkeypatch: pytest.MonkeyPatch
):
    clocks, listener = Clocks(monkeypatch), Listener()
    rows = [entry("a", 1, born_ms=clocks.born_ms(ago_s=2.0)), entry("b", 1, born_ms=clocks.born_ms())]
    listener.tell(rows[0], whole=True)
    listener.tell(rows[1])
    launched_ms = dict(listener.launched_ms)
    clocks.step(machine, step_s)
    if is_removed_between:
        listener.tell(entry("c", 1), whole=True)
    listener.tell(*rows, whole=whole)
    assert {host: listener.launched_ms[host] for host in launched_ms} == launched_ms


@pytest.mark.parametrize("step_s", STEPS_S)
def test_the_first_list_is_read_by_the_clock_as_it_is_then(step_s: float, monkeypatch: pytest.MonkeyPatch):
    """Its process was started after a step that all machines share; nothing else is known of these starts."""
    clocks, listener = Clocks(monkeypatch), Listener()
    clocks.step("both", step_s)
    before_ms, after_ms = listener.tell(entry("a", 1, born_ms=clocks.born_ms(ago_s=2.0)), whole=True)
    launched_ms = listener.launched_ms["a"]
    assert launched_ms is not None
    assert before_ms - 3000.0 < launched_ms < after_ms - 1000.0


def test_a_first_list_from_the_future_counts_from_now(monkeypatch: pytest.MonkeyPatch):
    """The clock of this machine was stepped back before the process started."""
    clocks, listener = Clocks(monkeypatch), Listener()
    clocks.step("node", -HOUR_S)
    before_ms, after_ms = listener.tell(entry("a", 1, born_ms=clocks.born_ms(ago_s=2.0)), whole=True)
    launched_ms = listener.launched_ms["a"]
    assert launched_ms is not None
    assert before_ms <= launched_ms <= after_ms


def test_a_start_that_is_still_to_come_is_waited_for(monkeypatch: pytest.MonkeyPatch):
    clocks, listener = Clocks(monkeypatch), Listener()
    listener.tell(entry("a", 1), whole=True)
    before_ms, after_ms = listener.tell(entry("a", 1, born_ms=clocks.born_ms(ago_s=-4.0)))
    launched_ms = listener.launched_ms["a"]
    assert launched_ms is not None
    assert before_ms + 3000.0 < launched_ms < after_ms + 5000.0
