"""The simulator's adapter: replies to batches of events, and errors."""

from __future__ import annotations

import io
import subprocess
import sys
from typing import Any

import orjson
import pytest

from rosewheel.adapter import NodeHost, run
from rosewheel.policy.settings_codec import settings_from_json
from rosewheel.simulator_codec import SimulatorWireError
from tests.support.configurations import PLATFORM_SETTINGS
from tests.support.processes import ROOT


def catalog(ref: int = 0, count: int = 3, **more: Any) -> dict[str, Any]:
    rows = [
        {"server": f"10.0.0.{at}:1", "zone": "a", "bay": 0, "stageState": "up", "launchedMs": None, **more}
        for at in range(count)
    ]
    return {"kind": "CATALOG", "ref": ref, "rows": rows}


def start(node: int = 0, config: dict[str, Any] | None = None, ref: int = 0) -> list[dict[str, Any]]:
    return [
        {
            "kind": "POWER_ON",
            "node": node,
            "seed": 5 + node,
            "config": PLATFORM_SETTINGS if config is None else config,
        },
        {"kind": "MEMBERSHIP", "node": node, "form": "cached", "generation": 1, "ref": ref},
    ]


def request(txn: str, node: int = 0, lane: str = "read", give_up: float = 9000.0) -> dict[str, Any]:
    row = {"kind": "NEW_REQUEST", "node": node, "txn": txn, "lane": lane, "giveUpAtMs": give_up}
    return row | {"billing": None, "resource": None, "expectedMs": None, "isRetry": False, "write": False}


def returned(txn: str, server: str, rc: int, done: bool, **more: Any) -> dict[str, Any]:
    row = {"kind": "RETURNED", "node": 0, "txn": txn, "attempt": 0, "latencyMs": 80.0, "server": server}
    return row | {"rc": rc, "doneFlag": done, "telemetry": None} | more


def batch(now: float, seq: int, *events: dict[str, Any]) -> bytes:
    rows = [{"kind": "FRAME", "nowMs": now, "seq": seq}, *events, {"kind": "GO"}]
    return b"".join(orjson.dumps(row) + b"\n" for row in rows)


def replies_to(*batches: bytes) -> list[dict[str, Any]]:
    sink = io.BytesIO()
    run(io.BytesIO(b"".join(batches)), sink)
    return [orjson.loads(line) for line in sink.getvalue().splitlines()]


def rows_of_kind(rows: list[dict[str, Any]], kind: str) -> list[dict[str, Any]]:
    return [row for row in rows if row["kind"] == kind]


def test_an_empty_batch_is_answered():
    assert replies_to(batch(8412.25, 1)) == [{"kind": "READY", "seq": 1}]


def test_a_first_batch_watches_discovery_and_forwards():
    rows = replies_to(batch(1000.0, 1, catalog(), *start(), request("q1")))
    assert rows[-1] == {"kind": "READY", "seq": 1}
    assert len(rows_of_kind(rows, "OBSERVE")) == 1
    assert len(rows_of_kind(rows, "SLEEP")) == 1
    issue = rows_of_kind(rows, "ISSUE")[0]
    assert issue["node"] == 0
    assert issue["txn"] == "q1"
    assert issue["server"].startswith("10.0.0.")
    assert 0 < issue["timeoutMs"] <= 1000.0


@pytest.mark.parametrize(
    ("lane", "rc", "action"),
    [
        ("read", 255, "ISSUE"),
        ("post", 255, "FINISH_ERROR"),
        ("post", 251, "FINISH_ERROR"),
        ("post", 253, "FINISH_ERROR"),
        ("post", 250, "FINISH_ERROR"),
        ("post", 254, "ISSUE"),
        ("post", 252, "ISSUE"),
        ("post", 249, "ISSUE"),
        ("points", 255, "ISSUE"),
    ],
)
def test_the_action_after_each_result_by_idempotency(lane, rc, action):
    host = NodeHost()
    host.now_ms = 1000.0
    rows = [row for event in (catalog(), *start(), request("q", lane=lane)) for row in host.handle(event)]
    server = rows_of_kind(rows, "ISSUE")[0]["server"]
    assert [row["kind"] for row in host.handle(returned("q", server, rc, False))] == [action]


def test_results_and_disconnects_of_ended_requests_have_no_actions():
    host = NodeHost()
    host.now_ms = 1000.0
    rows = [row for event in (catalog(), *start(), request("q")) for row in host.handle(event)]
    server = rows_of_kind(rows, "ISSUE")[0]["server"]
    assert [row["kind"] for row in host.handle({"kind": "LAPSED", "node": 0, "txn": "q"})] == ["RETRACT"]
    assert host.handle({"kind": "LAPSED", "node": 0, "txn": "q"}) == []
    assert host.handle(returned("q", server, 0, True, telemetry=[3, 0.5])) == []


def test_load_reports_are_named_in_the_order_of_the_settings():
    host = NodeHost()
    host.now_ms = 1000.0
    rows = [row for event in (catalog(), *start(), request("q")) for row in host.handle(event)]
    server = rows_of_kind(rows, "ISSUE")[0]["server"]
    host.handle(returned("q", server, 0, True, telemetry=[3, None]))
    reporting_server = host.nodes[0].balancer.parts.shared.pool.servers[server]
    assert reporting_server.reported_queue == 3
    assert reporting_server.utilisation is None


def test_a_reused_catalog_number_refers_to_the_latest_catalog():
    host = NodeHost()
    host.now_ms = 1000.0
    for event in (catalog(0, 2), *start(0), catalog(0, 5), *start(1)):
        host.handle(event)
    assert [len(host.nodes[node].balancer.parts.shared.pool.servers) for node in (0, 1)] == [2, 5]


def test_a_node_restarted_within_a_batch_has_no_earlier_state():
    host = NodeHost()
    host.now_ms = 1000.0
    for event in (catalog(), *start(), request("q"), {"kind": "STOP", "node": 0}, *start()):
        host.handle(event)
    assert host.nodes[0].balancer.parts.shared.requests == {}


def test_each_form_of_the_endpoint_list():
    host = NodeHost()
    host.now_ms = 1000.0
    for event in (catalog(), *start()):
        host.handle(event)
    failed = host.handle({"kind": "MEMBERSHIP", "node": 0, "form": "failed", "generation": 2, "ref": None})
    assert [row["kind"] for row in failed] == ["SLEEP"]
    host.handle(catalog(1, 1, stageState="removed"))
    host.handle({"kind": "MEMBERSHIP", "node": 0, "form": "delta", "generation": 3, "ref": 1})
    assert len(host.nodes[0].balancer.parts.shared.pool.servers) == 2
    host.handle(catalog(2, 1))
    host.handle({"kind": "MEMBERSHIP", "node": 0, "form": "full", "generation": 4, "ref": 2})
    assert list(host.nodes[0].balancer.parts.shared.pool.servers) == ["10.0.0.0:1"]


def test_events_without_actions():
    host = NodeHost()
    host.now_ms = 1000.0
    for event in (catalog(), *start()):
        host.handle(event)
    events_without_actions = [
        {"kind": "PEER", "node": 0, "by": 1, "contents": "aGk="},
        {
            "kind": "HEALTH",
            "node": 0,
            "server": "10.0.0.1:1",
            "rc": 0,
            "latencyMs": 1.0,
            "telemetry": [4, 0.2],
        },
        {
            "kind": "FIRST",
            "node": 0,
            "txn": "unknown",
            "latencyMs": 5.0,
            "server": "10.0.0.1:1",
            "attempt": 0,
        },
        {"kind": "ALARM", "node": 0, "name": "unknown"},
    ]
    assert [host.handle(event) for event in events_without_actions] == [[], [], [], []]
    assert host.nodes[0].balancer.parts.shared.pool.servers["10.0.0.1:1"].reported_queue == 4


def test_absent_settings_take_their_defaults():
    settings = settings_from_json({"categories": PLATFORM_SETTINGS["categories"][:1]})
    assert settings.balancer_count == 1
    assert settings.tenants == ()
    assert settings.max_attempts == 1
    assert not settings.may_cancel


@pytest.mark.parametrize(
    "event",
    [
        {"kind": "POWER_ON", "node": 3, "seed": 1, "config": {"categories": []}},
        {"kind": "NEW_REQUEST", "node": 3, "txn": "q", "lane": "read", "giveUpAtMs": 1.0},
        {"kind": "NONSENSE", "node": 3},
    ],
)
def test_an_error_of_a_node_is_reported_as_a_panic(event, capsys):
    rows = NodeHost().handle(event)
    assert [(row["kind"], row["node"]) for row in rows] == [("PANIC", 3)]
    assert rows[0]["bodyText"]
    assert capsys.readouterr().out == ""


def test_an_unknown_event_of_a_running_node_is_reported_as_a_panic():
    host = NodeHost()
    for event in (catalog(), *start()):
        host.handle(event)
    assert host.handle({"kind": "NONSENSE", "node": 0})[0]["kind"] == "PANIC"


def test_a_request_of_an_unknown_class_is_reported_as_a_panic():
    host = NodeHost()
    for event in (catalog(), *start()):
        host.handle(event)
    assert host.handle(request("q", lane="unknown"))[0]["kind"] == "PANIC"


@pytest.mark.parametrize(
    "lines",
    [
        b"not json\n",
        b"[1]\n",
        b'{"kind":"GO"}\n',
        b'{"kind":"FRAME","nowMs":1,"seq":1}\n{"kind":"ALARM"}\n',
        b'{"kind":"FRAME","nowMs":1,"seq":1}\n{"kind":"CATALOG","ref":0}\n',
        b'{"kind":"FRAME","nowMs":1,"seq":1}\n{"kind":"FRAME","nowMs":1,"seq":1}\n',
        b'{"kind":"FRAME","seq":1}\n',
        b'{"kind":"FRAME","nowMs":1,"seq":1}\n',
    ],
)
def test_invalid_input_is_an_error(lines):
    with pytest.raises(SimulatorWireError):
        run(io.BytesIO(lines), io.BytesIO())


def test_exit_status_and_output_of_the_process():
    command = [sys.executable, "-m", "rosewheel.adapter"]
    good = subprocess.run(command, input=batch(1.0, 1), capture_output=True, cwd=ROOT, check=False)
    assert (good.returncode, good.stdout, good.stderr) == (0, b'{"kind":"READY","seq":1}\n', b"")
    bad = subprocess.run(command, input=b"nonsense\n", capture_output=True, cwd=ROOT, check=False)
    assert bad.returncode == 2
    assert bad.stderr.count(b"\n") == 1
    assert bad.stdout == b""
    assert b"not a line of JSON" in bad.stderr


def test_nodes_in_one_process_act_as_in_separate_processes():
    def events(node: int) -> list[dict[str, Any]]:
        rows = [catalog(), *start(node)]
        rows += [request(f"n{node}-{at}", node, ("read", "post", "points")[at % 3]) for at in range(30)]
        return [*rows, {"kind": "ALARM", "node": node, "name": "period"}]

    def actions_by_node(nodes: list[int]) -> dict[int, list[dict[str, Any]]]:
        host = NodeHost()
        host.now_ms = 1000.0
        interleaved = [row for rows in zip(*(events(node) for node in nodes), strict=True) for row in rows]
        actions = [action for event in interleaved for action in host.handle(event)]
        return {node: [action for action in actions if action["node"] == node] for node in nodes}

    together = actions_by_node([0, 1, 2])
    assert together == {node: actions_by_node([node])[node] for node in range(3)}
