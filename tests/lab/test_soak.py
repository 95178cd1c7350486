"""The soak's plan and judge; the soak itself is played by `make check`, beside nothing else."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

import pytest
from click.testing import CliRunner

from rosewheel.cli.main import main
from rosewheel.config.errors import InvalidFileError
from rosewheel.lab.soak.judge import Judge
from rosewheel.lab.soak.plan import SoakPlan, draw_plan, encode_plan, keep_only, read_plan
from rosewheel.lab.soak.planted_node import PLANTS
from rosewheel.lab.soak.records import (
    ClientRecord,
    ExecutionEnd,
    NodeEnd,
    RequestKind,
    ServerRecord,
    SoakRecords,
)

LEAST_PLANTS = 6


def concurrent_faults(plan: SoakPlan, at_s: float) -> int:
    return sum(fault.at_s <= at_s < fault.at_s + fault.for_s for fault in plan.faults)


def test_a_plan_depends_on_its_seed_alone_and_replays(tmp_path: Path):
    plan = draw_plan(7, 60.0, 24)
    assert plan == draw_plan(7, 60.0, 24) != draw_plan(8, 60.0, 24)
    (tmp_path / "plan.json").write_bytes(encode_plan(plan))
    assert read_plan(str(tmp_path / "plan.json")) == plan
    assert keep_only(plan, {0, 3}).faults == (plan.faults[0], plan.faults[3])


def test_faults_overlap():
    plan = draw_plan(7, 60.0, 24)
    counts = [concurrent_faults(plan, at_s / 10.0) for at_s in range(30, 550)]
    assert sum(count >= 2 for count in counts) > len(counts) / 2


def test_a_file_that_is_no_plan_is_named(tmp_path: Path):
    (tmp_path / "plan.json").write_text("{}")
    with pytest.raises(InvalidFileError, match=r"plan\.json"):
        read_plan(str(tmp_path / "plan.json"))


def test_command_lists_plants_and_prints_plans():
    listed = CliRunner().invoke(main, ["soak", "node", "--list-plants"])
    assert listed.output.split() == list(PLANTS)
    assert len(PLANTS) >= LEAST_PLANTS
    printed = CliRunner().invoke(main, ["soak", "node", "--seed", "7", "--plan"])
    assert printed.output.strip().encode() == encode_plan(draw_plan(7, 60.0, 24))
    assert CliRunner().invoke(main, ["soak", "node", "--only", "x"]).exit_code == 2


# ------------------------------------------------------------------------------------------------------- judge


def records(kind: RequestKind = RequestKind.POST) -> SoakRecords:
    """One request, executed once and answered in time."""
    result = SoakRecords()
    request = ClientRecord("r", kind, "n0.1", 1000, is_reused=False, sent_s=10.0)
    request.answers.append((10.1, 200, b"body"))
    result.requests["r"] = request
    result.attempts.append(attempt())
    return result


def attempt(at_s: float = 10.01, end: ExecutionEnd = ExecutionEnd.ANSWERED) -> ServerRecord:
    told_ms = max(1, int(1000.0 - (at_s - 10.0) * 1000.0))
    return ServerRecord("r", "n0.1", "s0", at_s, at_s, told_ms, end, b"body")


def rules(told: SoakRecords) -> list[str]:
    return [breach.rule for breach in Judge(told).breaches()]


def unanswered(told: SoakRecords) -> ClientRecord:
    request = told.requests["r"]
    request.answers.clear()
    request.closed_s = 10.2
    return request


def _second_answer(told: SoakRecords) -> None:
    told.requests["r"].answers.append((10.2, 200, b"body"))


def _late_answer(told: SoakRecords) -> None:
    told.requests["r"].answers[0] = (11.6, 200, b"body")


def _foreign_answer(told: SoakRecords) -> None:
    told.requests["r"].answers[0] = (10.1, 200, b"other")


def _refused_after_execution(told: SoakRecords) -> None:
    told.requests["r"].answers[0] = (10.1, 503, b"")


def _executed_twice(told: SoakRecords) -> None:
    told.attempts.append(attempt(10.05))


def _after_the_client(told: SoakRecords) -> None:
    told.requests["r"].left_s = 9.8


def _to_a_draining_server(told: SoakRecords) -> None:
    told.notified_drains["n0.1", "s0"] = 9.5


def _told_too_much(told: SoakRecords) -> None:
    told.attempts[0].told_ms = 1250


def _unknown_id(told: SoakRecords) -> None:
    told.attempts[0].id = "x"
    told.requests["r"].answers[0] = (10.1, 502, b"")


def _violation_counter(told: SoakRecords) -> None:
    told.statistics["n0.1"] = {"violations": {"one_response": 1}, "active": 0}


@pytest.mark.parametrize(
    ("rule", "change"),
    [
        ("one-answer", _second_answer),
        ("lost", _late_answer),
        ("lost", unanswered),
        ("foreign", _foreign_answer),
        ("refused-ran", _refused_after_execution),
        ("executed-twice", _executed_twice),
        ("client-left", _after_the_client),
        ("drain", _to_a_draining_server),
        ("told-deadline", _told_too_much),
        ("unknown-id", _unknown_id),
        ("violation-counter", _violation_counter),
    ],
)
def test_the_judge_sees_each_breach(rule: str, change: Callable[[SoakRecords], object]):
    told = records()
    assert rules(told) == []
    change(told)
    assert rules(told) == [rule]


def test_a_repeat_with_a_key_is_allowed_within_the_window_only():
    told = records(RequestKind.POINTS)
    told.attempts.append(attempt(10.5))
    assert rules(told) == []
    told.attempts[1] = attempt(11.1)
    assert "window" in rules(told)


@pytest.mark.parametrize("term_s", [None, 9.0])
def test_a_request_that_met_the_end_of_its_process_is_excused(term_s: float | None):
    told = records()
    unanswered(told)
    told.attempts.clear()
    told.node_ends.append(NodeEnd("n0.1", term_s, 10.3 if term_s is None else 9.9, 0))
    assert rules(told) == []


def test_a_close_may_cross_a_request_only_where_nothing_was_forwarded():
    told = records()
    unanswered(told).is_reused = True
    assert rules(told) == ["lost"]
    told.attempts.clear()
    assert rules(told) == []
