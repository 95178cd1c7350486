"""Load generator, invariant checker, and complete experiments."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

import msgspec
import pytest
from click.testing import CliRunner

from rosewheel.cli.main import main
from rosewheel.lab import experiment as experiments
from rosewheel.lab import invariant_checker
from rosewheel.lab import plan as plans
from rosewheel.lab import scenario as scenarios
from rosewheel.lab.load import LoadGenerator
from rosewheel.lab.plan_codec import plan_digest
from rosewheel.lab.records import RecordWriter, read_records
from rosewheel.lab.report import FaultEvent, FaultSpan, fault_spans
from rosewheel.lab.wire import now_ms
from tests.support.sockets import FakeServer, Message, encode_response, run

QUICK: dict[str, object] = {
    "seconds": 1.0,
    "clients.rate_per_s": 20.0,
    "clients.backoff_ms": 1.0,
    "clients.honour": 0.0,
    "nodes.count": 1,
    # No operation times out or misses its objective, even on a slow machine.
    "class.0.give_up_ms": 60_000.0,
    "class.1.give_up_ms": 60_000.0,
    "class.0.aim_ms": 60_000.0,
    "class.1.aim_ms": 60_000.0,
}


def run_clients(
    tmp_path: Path, handler: Any, changes: dict[str, object] | None = None, at_once: bool = True
) -> tuple[list[dict[str, Any]], FakeServer, LoadGenerator]:
    """Run the clients of a small plan against a node with this handler.

    Returns the records of operations, the server, and the load generator.
    """
    plan = plans.make(scenarios.load("quiet", QUICK | (changes or {})))
    started: list[Any] = []

    async def main() -> None:
        async def respond_or_report_health(message: Message, writer: asyncio.StreamWriter) -> None:
            if message.start_line.startswith("GET /_health"):
                writer.write(encode_response())
            else:
                await handler(message, writer)

        async with FakeServer(respond_or_report_health).up() as server:
            records = RecordWriter(tmp_path / "load.jsonl")
            load = LoadGenerator(plan, {"n0": ("127.0.0.1", server.port)}, records)
            started.extend([server, load])
            # All arrivals are due at once if the start of the plan is in the past.
            await load.run(now_ms() - (plan.scenario.seconds * 1000.0 if at_once else 0.0))
            records.close()

    run(main())
    ops = [row for row in read_records(tmp_path / "load.jsonl") if row["e"] == "op"]
    assert len(ops) == len(plan.arrivals)
    return ops, started[0], started[1]


def response_body(message: Message) -> bytes:
    return message.headers["request-id"].encode() + b"\n."


async def respond(message: Message, writer: asyncio.StreamWriter) -> None:
    writer.write(encode_response(body=response_body(message)))


def requests(server: FakeServer) -> list[Message]:
    return [message for message in server.requests if not message.start_line.startswith("GET /_health")]


def test_clients_send_on_time_while_earlier_requests_are_unanswered(tmp_path: Path):
    """Guards against a closed loop: responses are withheld until the last request has been received."""
    count = len(plans.make(scenarios.load("quiet", QUICK)).arrivals)
    received: list[tuple[Message, asyncio.StreamWriter]] = []

    async def hold(message: Message, writer: asyncio.StreamWriter) -> None:
        received.append((message, writer))
        if len(received) == count:
            for earlier, earlier_writer in received:
                earlier_writer.write(encode_response(body=response_body(earlier)))

    ops, _, load = run_clients(tmp_path, hold)
    assert all(op["tries"][-1]["status"] == 200 for op in ops)
    # The planned start, from which latency is measured, is up to 1 s in the past.
    assert all(op["took"] >= 1000.0 - op["at"] - 1.0 for op in ops)
    assert load.service() <= 1.0


def test_a_rejected_request_is_retried_and_a_non_idempotent_failure_is_not(tmp_path: Path):
    seen: set[str] = set()

    async def fail_first_attempt(message: Message, writer: asyncio.StreamWriter) -> None:
        operation_id = message.headers["lab-op"]
        if operation_id in seen:
            await respond(message, writer)
            return
        seen.add(operation_id)
        writer.write(encode_response(503 if int(operation_id.rpartition("-")[2]) % 2 else 502, b""))

    ops, server, _ = run_clients(tmp_path, fail_first_attempt)
    for op in ops:
        rejected = int(op["op"].rpartition("-")[2]) % 2 == 1
        assert [item["status"] for item in op["tries"]] == ([503, 200] if rejected else [502])
    request_ids = [message.headers["request-id"] for message in requests(server)]
    assert len(request_ids) == len(set(request_ids)), "request ID used by two attempts"


def test_a_response_to_another_request_is_detected(tmp_path: Path):
    async def respond_with_foreign_body(message: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(encode_response(body=b"foreign body"))

    run_clients(tmp_path, respond_with_foreign_body)
    violations = invariant_checker.check_records(scenarios.load("quiet"), tmp_path)
    assert violations.foreign
    assert not violations.unanswered


def test_a_missing_response_is_detected_and_not_retried(tmp_path: Path):
    async def disconnect(message: Message, writer: asyncio.StreamWriter) -> None:
        writer.close()

    ops, _, _ = run_clients(tmp_path, disconnect, {"clients.new_connection": 1.0})
    assert all(len(op["tries"]) == 1 for op in ops)
    violations = invariant_checker.check_records(scenarios.load("quiet"), tmp_path)
    assert len(violations.unanswered) == len(ops)


def test_a_surplus_response_is_detected(tmp_path: Path):
    async def respond_twice(message: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(encode_response(body=response_body(message)) * 2)

    run_clients(tmp_path, respond_twice)
    assert invariant_checker.check_records(scenarios.load("quiet"), tmp_path).surplus_responses > 0


def test_service_of_an_interval_counts_operations_by_planned_time(tmp_path: Path):
    async def fail_later_operations(message: Message, writer: asyncio.StreamWriter) -> None:
        fails = float(message.headers["lab-op"].rpartition("-")[2]) >= 10
        writer.write(encode_response(502, b"") if fails else encode_response(body=response_body(message)))

    ops, _, load = run_clients(tmp_path, fail_later_operations)
    first_failed_ms = sorted(op["at"] for op in ops)[10]
    assert load.service(0.0, first_failed_ms) == 1.0
    assert load.service(first_failed_ms) == 0.0
    assert 0.0 < load.service() < 1.0


def write_records(folder: Path, name: str, *rows: dict[str, Any]) -> None:
    (folder / name).write_bytes(b"".join(msgspec.json.encode(row) + b"\n" for row in rows))


def job(
    operation_id: str, request_id: str, class_name: str = "subir-foto", ran: bool = True, cell: int = 0
) -> dict[str, Any]:
    return {
        "e": "job",
        "t": 10.0,
        "tier": 0,
        "equipo": "e",
        "cell": cell,
        "node": "n0",
        "class": class_name,
        "op": operation_id,
        "rid": request_id,
        "came": 1.0,
        "verdict": "served",
        "work": 20.0,
        "told": True,
        "ran": ran,
        "wanted": True,
        "over": False,
    }


LATE = {"e": "late", "t": 9.0, "node": "n0", "equipo": "e", "health": "leaving", "over_ms": 3.0, "op": "a"}


def op(operation_id: str, *statuses: int, **attempt_fields: Any) -> dict[str, Any]:
    tries = [
        {
            "rid": f"{operation_id}.{number}",
            "node": "n0",
            "sent": 0.0,
            "ended": 5.0,
            "patience": 100.0,
            "status": status,
            **attempt_fields,
        }
        for number, status in enumerate(statuses)
    ]
    return {
        "e": "op",
        "op": operation_id,
        "class": "subir-foto",
        "at": 0.0,
        "work": 20.0,
        "in_time": True,
        "took": 5.0,
        "tries": tries,
    }


@pytest.mark.parametrize(
    ("ops", "jobs", "found"),
    [
        ([op("a", 200)], [job("a", "a.0"), job("a", "a.0")], {"twice": ["a"]}),
        # Rejected although executed, so that the retry of the client executes it twice.
        ([op("a", 503, 200)], [job("a", "a.0"), job("a", "a.1")], {"twice": ["a"]}),
        ([op("a", 503, 200)], [job("a", "a.0", ran=False), job("a", "a.1")], {}),
        # Resent by the client after its connection closed.
        ([op("a", 200, resent=True)], [job("a", "a.0"), job("a", "a.0")], {}),
        ([], [job("a/1.0", "x"), job("a/1.0", "x")], {"twice": ["a/1.0"]}),
        ([], [job("k", "r", "comentario", cell=0), job("k", "r", "comentario", cell=1)], {"strayed": ["r"]}),
        ([], [job("k", "r", "comentario", cell=1), job("k", "r", "comentario", cell=1)], {}),
        (
            [op("k", 200, resent=True)],
            [job("k", "k.0", "comentario", cell=0), job("k", "k.0", "comentario", cell=1)],
            {},
        ),
        ([], [LATE], {"late": [LATE]}),
        ([], [{"e": "fell", "t": 1.0, "equipo": "e", "told_share": 0.9}], {"tipped": ["e"]}),
        ([], [{"e": "fell", "t": 1.0, "equipo": "e", "told_share": 0.5}], {}),
        ([op("a", 0, why="no answer")], [], {"unanswered": ["a.0"]}),
        ([op("a", 0, why="unreachable")], [], {}),
        ([op("a", 0, why="broken", node="n1")], [], {}),  # the node was killed
        ([op("a", 200, ended=500.0)], [], {"unanswered": ["a.0"]}),
    ],
)
def test_each_violation_is_found_and_nothing_else(
    tmp_path: Path, ops: list[dict[str, Any]], jobs: list[dict[str, Any]], found: dict[str, Any]
):
    write_records(tmp_path, "load.jsonl", *ops)
    write_records(tmp_path, "equipos.jsonl", *jobs)
    write_records(tmp_path, "run.jsonl", {"e": "killed", "t": 2.0, "node": "n1"})
    violations = invariant_checker.check_records(scenarios.load("quiet"), tmp_path)
    assert {key: value for key, value in violations.as_record().items() if value} == found
    assert (violations.count() == 0) is (not found)


def test_an_experiment_keeps_the_rules_and_writes_records_table_and_report(tmp_path: Path):
    """Runs node processes and emulated servers through a deploy and node upgrades."""
    text = (scenarios.BUNDLED_FOLDER / "upgrade.toml").read_text().replace("at_s = 14", "at_s = 1.5")
    text = text.replace("at_s = 6", "at_s = 1")
    text += '\n[[trouble]]\nkind = "deploy"\nat_s = 1\nfor_s = 1\nsize = 0.5\npart = 0.5\ndrain_s = 1\nboot_s = 0\n'
    text += "\n[discovery]\nadd_ms = 100\nnotice_ms = 100\nspread_ms = 10\n"
    path = tmp_path / "small.toml"
    path.write_text(text)
    out = tmp_path / "out"
    arguments = [
        "experiment",
        str(path),
        "--seconds",
        "4",
        "--vary",
        "clients.rate_per_s=15,25",
        "--out",
        str(out),
    ]
    result = CliRunner().invoke(main, arguments)
    assert result.exit_code == 0, result.output
    row = msgspec.json.decode(result.output.strip().rpartition("\n")[2])
    assert row["ok"]
    assert len(row["services"]) == 2
    page = (out / "report.html").read_text()
    assert page.count("<img") == 8
    for folder in ("v0-s1", "v1-s1"):
        summary = msgspec.json.decode((out / folder / "summary.json").read_bytes())
        assert summary["ok"]
        assert summary["plan"] == plan_digest(plans.make(_variant(path, folder)))
        assert 0.0 < summary["after_restarts"] <= 1.0
        logs = [path.read_text() for path in (out / folder / "nodes").glob("n[01]/log")]
        assert all("learned state restored: age_s=" in text for text in logs), (
            "learned state lost in an upgrade"
        )
        assert {row["e"] for row in read_records(out / folder / "equipos.jsonl")} >= {
            "job",
            "sample",
            "step",
            "told",
        }
        assert (
            len([row for row in read_records(out / folder / "run.jsonl") if row["e"] == "node-upgrade"]) == 2
        )


def _variant(path: Path, folder: str) -> scenarios.Scenario:
    rate = {"v0-s1": 15.0, "v1-s1": 25.0}[folder]
    return scenarios.load(str(path), {"seconds": 4.0, "clients.rate_per_s": rate})


def test_void_runs_are_excluded_and_means_have_a_confidence_interval():
    valid = {"variant": "a", "void": False, "ok": True, "service": 0.9, "classes": {"c": {"p99_ms": 10.0}}}
    rows = experiments.summarize([valid, valid | {"service": 0.8}, valid | {"service": 0.1, "void": True}])
    assert (rows[0].runs, rows[0].void_runs) == (3, 1)
    assert rows[0].service == pytest.approx(0.85)
    assert rows[0].half_width == pytest.approx(12.706 * 0.05, rel=1e-3)  # t-distribution, 1 degree of freedom
    assert experiments.summarize([valid])[0].half_width is None


def test_fault_steps_become_spans():
    events = [
        FaultEvent("slow", "begin", 1000.0),
        FaultEvent("slow", "end", 4000.0),
        FaultEvent("faults", "begin", 2000.0),
    ]
    assert fault_spans(events, 9.0) == [FaultSpan("slow", 1.0, 4.0), FaultSpan("faults", 2.0, 9.0)]
