"""Keys of a scale run's plan, result, CSV rows, commands and setup files, on which other programs depend."""

from __future__ import annotations

from pathlib import Path

import msgspec
import pytest

from rosewheel.lab.scale.call_statistics import CallLatency, CallStatistics
from rosewheel.lab.scale.change_propagation import ChangePropagation
from rosewheel.lab.scale.measurements import Role
from rosewheel.lab.scale.messages import (
    CallsSetup,
    ChangeLists,
    Command,
    DiscoverySetup,
    EndpointChange,
    EndpointSetup,
    ListenerSetup,
    LoseMachines,
    NetworkSetup,
    RestoreMachines,
    SetPartition,
    SimulatedNodeSetup,
    SimulatedNodesSetup,
    StartLoad,
    TrafficKind,
)
from rosewheel.lab.scale.options import Options
from rosewheel.lab.scale.planning import build_plan
from rosewheel.lab.scale.propagation import Propagation
from rosewheel.lab.scale.report_codec import plan_lines, summary_line, write_rows
from rosewheel.lab.scale.role_statistics import RoleStatistics, RoleTraffic, RoleUsage
from rosewheel.lab.scale.summary import Summary
from rosewheel.lab.scale.targets import Target, TargetCheck

USAGE = RoleUsage(
    processes=1,
    members=22,
    cpu=0.5,
    cpu_per_member=0.02,
    rss_mb=40.0,
    rss_mb_per_member=1.8,
    rss_mb_max=40.0,
    open_files=60,
)
TRAFFIC = RoleTraffic(out_bytes_s=10.0, in_bytes_s=20.0, messages_s=3.0, max_bytes_s=31.0)
SUMMARY = Summary(
    options=Options(nodes=24, real=2, services=4, seconds=20.0, seed=1),
    load_1min=7.5,
    checks=[TargetCheck(Target.STALE_NODES, 0, "nodes", 0, True)],
    statistics=[
        RoleStatistics("rest", 3.0, Role.SIMULATED_NODES, 7.0, USAGE, TRAFFIC, 6.0),
        RoleStatistics("rest", 3.0, Role.NETWORK, 7.0, USAGE, RoleTraffic(), None),
        RoleStatistics("changes", 3.0, Role.LEADER, 7.0, USAGE, TRAFFIC, 9),
    ],
    propagation=ChangePropagation(
        lists={"all": Propagation([10.0, 30.0], [], 0)}, config={}, acked={"rest": Propagation([], [5.0], 1)}
    ),
    publish_times_ms=[20.0],
    calls=CallStatistics(5, 4, CallLatency(2, 1.0, 2.0), CallLatency(2, 0.5, 0.75), 0.5, 1.25),
)


def test_plan_is_printed_under_its_documented_keys() -> None:
    plan = build_plan(Options(nodes=24, real=2, services=4, seconds=20.0, changes=3))
    keys: dict[str, set[str]] = {}
    for line in plan_lines(plan):
        for kind, row in msgspec.json.decode(line).items():
            keys.setdefault(kind, set()).update(row)
    assert keys == {
        "options": {"nodes", "real", "services", "seconds", "seed", "troubles", "changes", "calls"},
        "machine": {"number", "service", "zone", "rack", "address", "real"},
        "control": {"name", "zone"},
        "phase": {"name", "begin_s", "end_s"},
        "step": {"at_s", "what", "nodes", "control"},
        "change": {"at_s", "kind", "service", "node", "health"},
    }


def test_fault_steps_are_printed_by_their_documented_names() -> None:
    lines = (msgspec.json.decode(line) for line in plan_lines(build_plan(Options())))
    steps = {row["step"]["what"] for row in lines if "step" in row}
    assert steps == {"lose", "back", "restart", "split", "join"}


def test_result_has_its_documented_keys() -> None:
    result = msgspec.json.decode(summary_line(SUMMARY))
    usage = {"processes": 1, "of": 22, "cpu": 0.5, "cpu_each": 0.02, "rss_mb": 40.0, "files": 60}
    traffic = {"in_bytes_s": 20.0, "out_bytes_s": 10.0, "messages_s": 3.0}
    assert result == {
        "ok": True,
        "seed": 1,
        "nodes": 24,
        "real": 2,
        "services": 4,
        "seconds": 20.0,
        "load_1min": 7.5,
        "targets": [
            {
                "target": "stale nodes at the end",
                "limit": 0,
                "unit": "nodes",
                "measured": 0,
                "holds": True,
                "note": "",
            }
        ],
        "rest": {"hollow": {**usage, **traffic, "state": 6.0}, "network": usage},
        "lists": {
            "all": {
                "changes": 2,
                "p50_s": 0.02,
                "p99_s": 0.03,
                "most_s": 0.03,
                "returned_most_s": None,
                "missing": 0,
            }
        },
        "config": {},
        "acked": {
            "rest": {
                "changes": 0,
                "p50_s": None,
                "p99_s": None,
                "most_s": None,
                "returned_most_s": 0.005,
                "missing": 1,
            }
        },
        "puts": {"changes": 1, "p50_s": 0.02, "p99_s": 0.02, "p100_s": 0.02},
        "calls": {
            "asked": 5,
            "served": 4,
            "node": {"calls": 2, "p50_ms": 1.0, "p99_ms": 2.0},
            "direct": {"calls": 2, "p50_ms": 0.5, "p99_ms": 0.75},
            "added_p50_ms": 0.5,
            "added_p99_ms": 1.25,
        },
    }


def test_result_without_calls_has_an_empty_object_for_them() -> None:
    without_calls = Summary(SUMMARY.options, 1.0, [], [], ChangePropagation({}, {}, {}), [], None)
    assert msgspec.json.decode(summary_line(without_calls))["calls"] == {}


def test_rows_have_their_documented_columns(tmp_path: Path) -> None:
    write_rows(tmp_path / "rows.csv", SUMMARY)
    header, simulated, network, leader = (tmp_path / "rows.csv").read_text().splitlines()
    assert header == (
        "nodes,real,services,seed,phase,seconds,role,load_1min,processes,of,cpu,cpu_each,rss_mb,rss_mb_each,"
        "rss_mb_most,files,out_bytes_s,in_bytes_s,messages_s,worst_bytes_s,state"
    )
    usage = "1,22,0.5,0.02,40.0,1.8,40.0,60"
    assert simulated == f"24,2,4,1,rest,3.0,hollow,7.0,{usage},10.0,20.0,3.0,31.0,6.0"
    assert network == f"24,2,4,1,rest,3.0,network,7.0,{usage},,,,,"
    assert leader == f"24,2,4,1,changes,3.0,control-writer,7.0,{usage},10.0,20.0,3.0,31.0,9"


@pytest.mark.parametrize(
    ("command", "row"),
    [
        (LoseMachines(["n1"]), {"do": "lose", "names": ["n1"]}),
        (RestoreMachines(["n1"]), {"do": "back", "names": ["n1"]}),
        (SetPartition(True), {"do": "split", "on": True}),
        (
            ChangeLists([EndpointChange(1, "n2", "left")], returning=False),
            {"do": "change", "changes": [[1, "n2", "left"]], "back": False},
        ),
        (StartLoad(5.0), {"do": "go", "t0": 5.0}),
    ],
)
def test_commands_keep_their_keys(command: Command, row: dict[str, object]) -> None:
    assert msgspec.json.decode(msgspec.json.encode(command)) == row


@pytest.mark.parametrize(
    ("setup", "row"),
    [
        (
            NetworkSetup(
                {"n0": 1}, {"127.10.1.1": "n0"}, [ListenerSetup(TrafficKind.CONTROL, {"c1": ("h", 1)})], 0.1
            ),
            {
                "places": {"n0": 1},
                "machines": {"127.10.1.1": "n0"},
                "doors": [{"kind": "control", "targets": {"c1": ["h", 1]}, "caller": ""}],
                "far_s": 0.1,
            },
        ),
        (
            DiscoverySetup([[EndpointSetup("n0", "h:1", "z0", 2)]], {"127.10.1.1": 0}),
            {
                "services": [[{"host": "n0", "dial": "h:1", "site": "z0", "block": 2}]],
                "homes": {"127.10.1.1": 0},
            },
        ),
        (
            SimulatedNodesSetup([SimulatedNodeSetup(3, "s1", "a", ("h", 1), {"c1": ("h", 2)})], 7, "f", "x"),
            {"nodes": [[3, "s1", "a", ["h", 1], {"c1": ["h", 2]}]], "seed": 7, "folder": "f", "name": "x"},
        ),
        (
            CallsSetup({"name": "scale"}, 7, {"n0": ("h", 1)}, "f"),
            {"scenario": {"name": "scale"}, "seed": 7, "targets": {"n0": ["h", 1]}, "folder": "f"},
        ),
    ],
)
def test_setup_files_keep_their_keys(setup: msgspec.Struct, row: dict[str, object]) -> None:
    assert msgspec.json.decode(msgspec.json.encode(setup)) == row
