"""The plan and the rule checker of a soak. `make check` runs the soak itself, after the other tests."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

import pytest
from click.testing import CliRunner

from rosewheel.cli.main import main
from rosewheel.config.errors import InvalidFileError
from rosewheel.lab.soak import plan
from rosewheel.lab.soak.plan import SEPARATE_KINDS, SoakPlan, draw_plan, encode_plan, read_plan, select_faults
from rosewheel.lab.soak.planted_node import PLANTS
from rosewheel.lab.soak.records import (
    ClientRecord,
    ExecutionOutcome,
    NodeExit,
    RequestKind,
    ServerRecord,
    SoakRecords,
)
from rosewheel.lab.soak.rule_checker import RuleChecker

MIN_PLANTS = 6


def concurrent_faults(plan: SoakPlan, at_s: float) -> int:
    return sum(fault.at_s <= at_s < fault.at_s + fault.for_s for fault in plan.faults)


def test_a_plan_depends_only_on_its_seed_and_can_be_read_back(tmp_path: Path):
    plan = draw_plan(7, 60.0, 24)
    assert plan == draw_plan(7, 60.0, 24) != draw_plan(8, 60.0, 24)
    (tmp_path / "plan.json").write_bytes(encode_plan(plan))
    assert read_plan(str(tmp_path / "plan.json")) == plan
    assert select_faults(plan, {0, 3}).faults == (plan.faults[0], plan.faults[3])


def test_kinds_that_are_drawn_apart_leave_the_other_faults_of_a_seed_alone(monkeypatch: pytest.MonkeyPatch):
    with_all = draw_plan(11, 60.0, 8).faults
    monkeypatch.setattr(plan, "_draw_separate_faults", lambda *_: [])
    assert [fault for fault in with_all if fault.kind not in SEPARATE_KINDS] == list(
        draw_plan(11, 60.0, 8).faults
    )
    assert {fault.kind for fault in with_all} >= set(SEPARATE_KINDS)


def test_faults_overlap():
    plan = draw_plan(7, 60.0, 24)
    counts = [concurrent_faults(plan, at_s / 10.0) for at_s in range(30, 550)]
    assert sum(count >= 2 for count in counts) > len(counts) / 2


def test_an_invalid_plan_file_is_named_in_the_error(tmp_path: Path):
    (tmp_path / "plan.json").write_text("{}")
    with pytest.raises(InvalidFileError, match=r"plan\.json"):
        read_plan(str(tmp_path / "plan.json"))


def test_command_lists_plants_and_prints_plans():
    listed = CliRunner().invoke(main, ["soak", "node", "--list-plants"])
    assert listed.output.split() == list(PLANTS)
    assert len(PLANTS) >= MIN_PLANTS
    printed = CliRunner().invoke(main, ["soak", "node", "--seed", "7", "--plan"])
    assert printed.output.strip().encode() == encode_plan(draw_plan(7, 60.0, 24))
    assert CliRunner().invoke(main, ["soak", "node", "--only", "x"]).exit_code == 2


def valid_records(kind: RequestKind = RequestKind.POST) -> SoakRecords:
    """Return records of one request that was executed once and answered in time."""
    result = SoakRecords()
    request = ClientRecord("r", kind, "n0.1", 1000, is_reused=False, sent_s=10.0)
    request.responses.append((10.1, 200, b"body"))
    result.requests["r"] = request
    result.attempts.append(attempt())
    return result


def attempt(at_s: float = 10.01, outcome: ExecutionOutcome = ExecutionOutcome.RESPONDED) -> ServerRecord:
    timeout_ms = max(1, int(1000.0 - (at_s - 10.0) * 1000.0))
    return ServerRecord("r", "n0.1", "s0", at_s, at_s, timeout_ms, outcome, b"body")


def violated_rules(records: SoakRecords) -> list[str]:
    return [violation.rule for violation in RuleChecker(records).violations()]


def _lose_response(records: SoakRecords) -> ClientRecord:
    request = records.requests["r"]
    request.responses.clear()
    request.closed_s = 10.2
    return request


def _add_second_response(records: SoakRecords) -> None:
    records.requests["r"].responses.append((10.2, 200, b"body"))


def _delay_response(records: SoakRecords) -> None:
    records.requests["r"].responses[0] = (11.6, 200, b"body")


def _replace_response(records: SoakRecords) -> None:
    records.requests["r"].responses[0] = (10.1, 200, b"other")


def _reject_after_execution(records: SoakRecords) -> None:
    records.requests["r"].responses[0] = (10.1, 503, b"")


def _execute_twice(records: SoakRecords) -> None:
    records.attempts.append(attempt(10.05))


def _disconnect_before_the_attempt(records: SoakRecords) -> None:
    records.requests["r"].disconnected_s = 9.8


def _drain_before_the_attempt(records: SoakRecords) -> None:
    records.notified_drains["n0.1", "s0"] = 9.5


def _extend_timeout(records: SoakRecords) -> None:
    records.attempts[0].timeout_ms = 1250


def _change_request_id(records: SoakRecords) -> None:
    records.attempts[0].id = "x"
    records.requests["r"].responses[0] = (10.1, 502, b"")


def _count_violation(records: SoakRecords) -> None:
    records.statistics["n0.1"] = {"violations": {"one_response": 1}, "active": 0}


@pytest.mark.parametrize(
    ("rule", "change"),
    [
        ("one-answer", _add_second_response),
        ("lost", _delay_response),
        ("lost", _lose_response),
        ("foreign", _replace_response),
        ("refused-ran", _reject_after_execution),
        ("executed-twice", _execute_twice),
        ("client-left", _disconnect_before_the_attempt),
        ("drain", _drain_before_the_attempt),
        ("told-deadline", _extend_timeout),
        ("unknown-id", _change_request_id),
        ("violation-counter", _count_violation),
    ],
)
def test_the_checker_finds_each_violation(rule: str, change: Callable[[SoakRecords], object]):
    records = valid_records()
    assert violated_rules(records) == []
    change(records)
    assert violated_rules(records) == [rule]


def test_a_request_with_a_key_may_be_repeated_only_within_the_window():
    records = valid_records(RequestKind.POINTS)
    records.attempts.append(attempt(10.5))
    assert violated_rules(records) == []
    records.attempts[1] = attempt(11.1)
    assert "window" in violated_rules(records)


def test_an_id_that_comes_again_may_be_forwarded_once_after_its_client_left():
    """Covers a first request that the node has never read: its client left at once."""
    records = valid_records()
    request = records.requests["r"]
    request.disconnected_s, request.returned_s = 9.5, 10.0
    assert violated_rules(records) == []
    request.returned_s = 10.1
    assert violated_rules(records) == ["client-left"]


def test_resident_memory_above_the_limit_is_a_violation():
    records = valid_records()
    records.memory_limit_mb, records.peak_memory_mb["n0.1"] = 32.0, 31.9
    assert violated_rules(records) == []
    records.peak_memory_mb["n0.1"] = 32.1
    assert violated_rules(records) == ["memory"]


def test_a_response_must_not_be_cut_off_while_its_server_pauses():
    records = valid_records()
    records.attempts[0].pauses = True
    records.requests["r"].responses[0] = (10.9, 502, b"")
    assert violated_rules(records) == ["cut-off"]
    records.attempts[0].last_byte_s = 10.5  # too late to be sure that its pause began before the deadline
    assert violated_rules(records) == []


@pytest.mark.parametrize("term_s", [None, 9.0])
def test_a_request_may_stay_unanswered_if_its_node_process_exits(term_s: float | None):
    records = valid_records()
    _lose_response(records)
    records.attempts.clear()
    records.node_exits.append(NodeExit("n0.1", term_s, 10.3 if term_s is None else 9.9, 0))
    assert violated_rules(records) == []


def test_a_reused_connection_may_be_closed_only_if_nothing_was_forwarded():
    records = valid_records()
    _lose_response(records).is_reused = True
    assert violated_rules(records) == ["lost"]
    records.attempts.clear()
    assert violated_rules(records) == []
