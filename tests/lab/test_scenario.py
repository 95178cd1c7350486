"""Errors of scenarios and of the operator's file are reported with line and key, and a seed gives one plan."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import pytest
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st

from rosewheel.cli.main import main
from rosewheel.config.errors import ConfigError, InvalidFileError
from rosewheel.config.operator_file import load_operator_config
from rosewheel.config.toml_file import parse_text
from rosewheel.lab import plan as plans
from rosewheel.lab import scenario as scenarios
from rosewheel.lab.plan_codec import plan_lines
from rosewheel.lab.scenario import Scenario
from rosewheel.policy.settings import DedupScope, Idempotency
from tests.support.configurations import OPERATOR_TOML
from tests.support.processes import ROOT

GOOD = """
name = "small"
seconds = 20
[[class]]
name = "post"
share = 1
work_ms = [100, 300]
[clients]
rate_per_s = 30
[[tier]]
name = "entrada"
work = 0.5
[[tier.kind]]
name = "a"
count = 4
speed = [0.5, 2.0]
[[tier]]
name = "archivo"
work = 0.5
calls = [1, 1.5]
[[tier.kind]]
name = "b"
count = 3
[[trouble]]
kind = "deploy"
at_s = 5
for_s = 6
size = 0.3
"""


def problems(text: str) -> list[str]:
    with pytest.raises(InvalidFileError) as caught:
        parse_text(text, Scenario, "s")
    return caught.value.messages()


@pytest.mark.parametrize(
    ("old", "new", "expected"),
    [
        ("seconds = 20", "seconds = 0", "s: line 3: seconds: Expected `float` > 0.0"),
        ("seconds = 20", "second = 20", "s: line 3: second: unknown key"),
        ("share = 1", "share = 0", "s: line 6: class[0].share: Expected `float` > 0.0"),
        ("count = 3", "count = 0", "s: line 21: tier[1].kind: a tier without servers"),
        ("calls = [1, 1.5]", "calls = 0", "s: line 20: tier[1].calls: a tier that is never called: archivo"),
        (
            "calls = [1, 1.5]",
            "calls = [2, 1]",
            "s: line 20: tier[1].calls: must be a number that is not negative",
        ),
        ("at_s = 5", "at_s = 25", "s: line 26: trouble[0].at_s: after the end of the run (20 s)"),
        ("size = 0.3", 'size = 0.3\ntier = "x"', "s: line 29: trouble[0].tier: unknown tier 'x'"),
        ("size = 0.3", "", "s: line 24: trouble[0].size: must be above zero for kind deploy"),
        (
            "rate_per_s = 30",
            "rate_per_s = 30\nshape = [[0, 0], [1, 0]]",
            "s: line 10: clients.shape: no point",
        ),
        ("work = 0.5", "work = 0.6", "s: line 10: tier: the work of all tiers must add up to 1, not 1.1"),
        (
            "size = 0.3",
            "size = 0.3\ncold = true",
            "s: line 29: trouble[0].cold: only allowed for kind vanish, not deploy",
        ),
        ('kind = "deploy"', 'kind = "flood"', "s: line 25: trouble[0].kind: Invalid enum value 'flood'"),
        ("[clients]", "[clients", "s: line 8: not TOML"),
    ],
)
def test_an_invalid_scenario_is_reported_with_line_and_key(old: str, new: str, expected: str):
    lines = problems(GOOD.replace(old, new, 1))
    assert any(line.startswith(expected) for line in lines), lines


def test_all_errors_of_a_file_are_reported_together():
    lines = problems(GOOD.replace("seconds = 20", "seconds = -1").replace("count = 4", 'count = "x"'))
    assert len(lines) == 2


def test_every_bundled_scenario_is_valid_and_has_a_plan():
    assert {"quiet", "demo"} <= set(scenarios.bundled_names())
    for name in scenarios.bundled_names():
        changes: dict[str, object] = {"clients.rate_per_s": 5.0}  # keeps the plans of large scenarios small
        if name == "demo":
            changes["seconds"] = 60.0
        plan = plans.make(scenarios.load(name, changes))
        assert plan.arrivals
        assert plan.scenario.about


@given(st.integers(0, 2**40))
@settings(max_examples=10, deadline=None)
def test_a_seed_gives_one_plan(seed: int):
    loaded = parse_text(GOOD, Scenario, "s")
    lines = b"\n".join(plan_lines(plans.make(loaded, seed)))
    assert lines == b"\n".join(plan_lines(plans.make(loaded, seed)))
    assert lines != b"\n".join(plan_lines(plans.make(loaded, seed + 1)))


def test_the_plan_of_a_seed_is_the_same_in_every_process(tmp_path: Path):
    """A plan must not depend on hash seeds, object ids, the order of sets or the clock of a process."""
    path = tmp_path / "small.toml"
    path.write_text(GOOD)
    command = [sys.executable, "-m", "rosewheel.cli", "emulate", str(path), "--plan"]
    outputs = [
        subprocess.run(
            command,
            cwd=ROOT,
            env={**os.environ, "PYTHONHASHSEED": salt},
            capture_output=True,
            check=True,
            timeout=60,
        ).stdout
        for salt in ("1", "2")
    ]
    assert (
        outputs[0]
        == outputs[1]
        == b"\n".join(plan_lines(plans.make(parse_text(GOOD, Scenario, "s")))) + b"\n"
    )


def test_more_servers_of_a_tier_do_not_change_other_draws():
    plan = plans.make(parse_text(GOOD, Scenario, "s"))
    more = plans.make(parse_text(GOOD.replace("count = 3", "count = 5"), Scenario, "s"))
    assert [spec.speed for spec in plan.servers if spec.tier == 0] == [
        spec.speed for spec in more.servers if spec.tier == 0
    ]
    assert plan.arrivals == more.arrivals


def test_a_surge_raises_the_arrival_rate_between_its_steps():
    text = GOOD[: GOOD.index("[[trouble]]")]
    text += '[[trouble]]\nkind = "surge"\nat_s = 5\nfor_s = [2, 9]\nsize = [8, 12]\n'
    plan = plans.make(parse_text(text, Scenario, "s"))
    begin, end = (step.at_ms for step in plan.steps)
    rate = sum(begin <= item.at_ms < end for item in plan.arrivals) / (end - begin) * 1000.0
    after = sum(end + 200.0 <= item.at_ms for item in plan.arrivals) / (20_000.0 - end - 200.0) * 1000.0
    assert rate > 4.0 * 30.0
    assert after < 2.0 * 30.0


def test_a_fault_of_deployed_servers_affects_only_servers_that_a_deploy_has_started():
    plan = plans.make(scenarios.load("fleet-join"))
    last_fault = len(plan.scenario.faults) - 1
    targets = {name for step in plan.steps if step.fault == last_fault for name in step.targets}
    assert targets
    assert targets <= {spec.name for spec in plan.deployed_servers}


def test_a_deploy_drains_stops_and_replaces_each_server_once():
    plan = plans.make(parse_text(GOOD, Scenario, "s"))
    targets: dict[str, list[str]] = {}
    for step in plan.steps:
        targets.setdefault(step.phase, []).extend(step.targets)
    names = [spec.name for spec in plan.servers if spec.tier == 0]
    assert sorted(targets["drain"]) == sorted(targets["stop"]) == sorted(names)
    assert sorted(targets["start"]) == sorted(f"{name}-r1" for name in names)


def test_the_check_command_reports_each_error_and_exits_with_2(tmp_path: Path):
    bad = tmp_path / "bad.toml"
    bad.write_text(GOOD.replace("seconds = 20", "second = 20"))
    result = CliRunner().invoke(main, ["check", "quiet", str(ROOT / "deploy" / "rosewheel.toml"), str(bad)])
    assert result.exit_code == 2
    assert "quiet: ok" in result.output
    assert "rosewheel.toml: ok" in result.output
    assert "line 3: second: unknown key" in result.output
    assert "seconds: missing" in result.output
    assert "Traceback" not in result.output


@pytest.mark.parametrize("arguments", [["emulate", "nowhere"], ["load", "quiet", "--target", "x"]])
def test_invalid_input_of_a_command_is_one_line_and_exit_status_2(arguments: list[str]):
    result = CliRunner().invoke(main, arguments)
    assert result.exit_code == 2
    assert result.output.startswith("rosewheel: ")
    assert result.output.count("\n") == 1


def test_vary_changes_nested_keys_of_a_scenario():
    loaded = scenarios.load("quiet", {"clients.rate_per_s": 7, "tier.0.kind.1.count": 1})
    assert loaded.clients.rate_per_s == 7.0
    assert loaded.tiers[0].kinds[1].count == 1
    with pytest.raises(InvalidFileError, match="no such key"):
        scenarios.load("quiet", {"tier.9.calls": 1})


def test_the_operators_file_gives_the_settings_of_the_policy(tmp_path: Path):
    path = tmp_path / "node.toml"
    path.write_text(OPERATOR_TOML)
    config = load_operator_config(str(path), {"LB_LISTEN": "127.0.0.1:8001", "TMPDIR": "/x"})
    assert config.listen_address == ("127.0.0.1", 8001)
    assert (config.seed, config.state_folder, config.admin_address) == (0x8C1F, "/x", None)
    row = config.settings.classes[0]
    assert (row.idempotency, row.dedup_scope, row.dedup_window_ms) == (
        Idempotency.IDEMPOTENT_WITH_KEY,
        DedupScope.CELL,
        10000.0,
    )


def test_the_commented_example_is_valid():
    config = load_operator_config(str(ROOT / "deploy" / "rosewheel.toml"), {})
    assert config.settings.classes


@pytest.mark.parametrize(
    ("old", "new", "expected"),
    [
        ("cold_from = 0.2", "cold_from = 0", "line 8: routing.cold_from: Expected"),
        ("7999", "port", "line 3: node.listen: '127.0.0.1:port' is not address:port"),
        ("memory_ms = 10000", "", "line 9: class[0].memory_ms: a keyed class needs"),
        ('seed = "8c1f"', 'seed = "xyz"', "line 4: node.seed: Expected"),
        ("aim_ms = 2500", "aim_ms = 9000", "line 11: class[0].aim_ms: longer than give_up_ms"),
        ("[routing]", "[rooting]", "line 7: rooting: unknown key"),
    ],
)
def test_an_invalid_operators_file_is_one_line_and_exit_status_2(
    tmp_path: Path, old: str, new: str, expected: str
):
    path = tmp_path / "node.toml"
    path.write_text(OPERATOR_TOML.replace(old, new, 1))
    with pytest.raises(ConfigError) as caught:
        load_operator_config(str(path), {})
    assert expected in str(caught.value)
    command = [sys.executable, "-m", "rosewheel.cli", "node", "--config", str(path)]
    completed = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=False, timeout=60)
    assert completed.returncode == 2
    assert expected in completed.stderr
    assert completed.stderr.count("\n") == 1


def test_run_imports_neither_command_line_nor_lab():
    text = "import sys, rosewheel.__main__; print(*sys.modules)"
    completed = subprocess.run(
        [sys.executable, "-c", text], cwd=ROOT, capture_output=True, text=True, check=True
    )
    names = {name.split(".")[0] for name in completed.stdout.split()}
    assert not names & {"click", "msgspec", "structlog", "numpy", "matplotlib", "jinja2", "hdrh"}
    assert not [
        name for name in completed.stdout.split() if name.startswith(("rosewheel.cli", "rosewheel.lab"))
    ]
