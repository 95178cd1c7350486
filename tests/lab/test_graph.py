"""Call graphs, zones and regions: scenario files and simulation."""

from __future__ import annotations

import itertools
from collections import Counter
from pathlib import Path
from typing import Any

import msgspec
import pytest
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st

from rosewheel.cli.main import main
from rosewheel.config.errors import InvalidFileError
from rosewheel.config.toml_file import parse_text
from rosewheel.lab import experiment, plan, records, scenario, service_graph
from rosewheel.lab.scenario import Scenario
from rosewheel.lab.service_graph import CallCycleError
from rosewheel.lab.simulation.host import SimulatedServerHost
from rosewheel.lab.simulation.simulate import Simulation, simulate
from rosewheel.lab.simulation.topology import ONE_WAY_MS, Topology

SHORT = settings(max_examples=25, deadline=None, derandomize=True)

GOOD = """
name = "small"
seconds = 20
[[class]]
name = "post"
share = 1
work_ms = 100
[clients]
rate_per_s = 30
[[region]]
name = "sur"
zones = ["sur-a", "sur-b"]
[[region]]
name = "norte"
zones = ["norte-a"]
[network]
between_zones_ms = 1
between_regions_ms = 8
[[service]]
name = "entrada"
work = 0.4
kind = [{ name = "a", count = 6 }]
[[service.call]]
to = "albumes"
times = [1, 1.5]
[[service.call]]
to = "perfiles"
times = 0.3
[[service]]
name = "albumes"
work = 0.2
kind = [{ name = "a", count = 3 }]
[[service.call]]
to = "archivo"
[[service]]
name = "perfiles"
work = 0.2
kind = [{ name = "a", count = 3 }]
[[service.call]]
to = "archivo"
times = 2
[[service]]
name = "archivo"
work = 0.2
zones = ["sur-a", "norte-a"]
kind = [{ name = "a", count = 4 }]
[[trouble]]
kind = "loss"
at_s = 5
for_s = 6
region = "norte"
[[trouble]]
kind = "errors"
at_s = 5
for_s = 6
size = 0.9
service = "archivo"
zone = "sur-a"
"""

# ------------------------------------------------------------- scenario files


def problems(text: str) -> list[str]:
    with pytest.raises(InvalidFileError) as caught:
        parse_text(text, Scenario, "s")
    return caught.value.messages()


@pytest.mark.parametrize(
    ("old", "new", "expected"),
    [
        ('to = "perfiles"', 'to = "nadie"', "service[0].call[1].to: unknown service 'nadie'"),
        ('to = "perfiles"', 'to = "albumes"', "service[0].call[1].to: albumes is already listed"),
        ("times = 0.3", "times = 0", "service[0].call[1].times: a call that is never made"),
        ("times = 0.3", "times = -1", "service[0].call[1].times: must be a number that is not negative"),
        ("times = 0.3", "often = 1", "service[0].call[1].often: unknown key"),
        (
            'zones = ["sur-a", "norte-a"]\nkind = [{ name = "a", count = 4 }]',
            'kind = [{ name = "a", count = 4 }]\n[[service.call]]\nto = "albumes"',
            "service[1].call[0].to: circular calls: albumes -> archivo -> albumes",
        ),
        (
            '[[service.call]]\nto = "albumes"\ntimes = [1, 1.5]\n',
            "",
            "service[1].name: a service that is never called: albumes",
        ),
        ('name = "perfiles"\n', 'name = "albumes"\n', "service: duplicate name"),
        ("work = 0.4", "work = 0.4\ncalls = 2", "service[0].calls: not allowed in a service"),
        ("work = 0.4", "work = 0.5", "service: the work of all services must add up to 1, not 1.1"),
        ('zones = ["norte-a"]', 'zones = ["sur-a"]', "region[0].zones: duplicate name"),
        ('zones = ["norte-a"]', "zones = []", "region[1].zones: a region without zones"),
        ('name = "norte"', 'name = "sur"', "region[0].name: duplicate name"),
        ('"sur-a", "norte-a"]', '"sur-a", "este"]', "service[3].zones: unknown zone 'este'"),
        ('region = "norte"', 'region = "este"', "trouble[0].region: unknown region 'este'"),
        ('region = "norte"', "", "trouble[0].zone: a fault of kind loss needs a zone or a region"),
        (
            'region = "norte"',
            'region = "norte"\npart = 0.5',
            "trouble[0].part: a fault of kind loss affects",
        ),
        (
            'region = "norte"',
            'region = "norte"\nservice = "albumes"',
            "trouble[0].service: a fault of kind",
        ),
        ('zone = "sur-a"', 'zone = "sur-c"', "trouble[1].zone: unknown zone 'sur-c'"),
        (
            'zone = "sur-a"',
            'zone = "sur-a"\nregion = "sur"',
            "trouble[1].region: must not be given together with zone",
        ),
        ('service = "archivo"', 'service = "x"', "trouble[1].service: unknown service 'x'"),
        (
            'service = "archivo"',
            'service = "archivo"\ntier = "archivo"',
            "trouble[1].service: must not be given together with tier",
        ),
        (
            'kind = "errors"',
            'kind = "deploy"',
            "trouble[1].zone: a fault of kind deploy cannot be restricted to a zone",
        ),
        ("between_zones_ms = 1", "between_zones_ms = 9", "network.between_zones_ms: must be between"),
        ("between_zones_ms = 1", "between_zones_ms = -1", "network.between_zones_ms: Expected"),
        (
            "work_ms = 100",
            'work_ms = 100\neffect = "keyed"\ngroup = "zone"',
            "class[0].group: group zone is not supported with several zones",
        ),
    ],
)
def test_an_invalid_graph_is_reported_in_one_line_with_its_key(old: str, new: str, expected: str) -> None:
    assert GOOD.count(old) >= 1
    lines = problems(GOOD.replace(old, new, 1))
    assert len(lines) == 1
    assert expected in lines[0]


def test_a_graph_and_a_list_of_tiers_exclude_each_other() -> None:
    tier = '[[tier]]\nname = "x"\nwork = 1\nkind = [{ name = "a", count = 1 }]\n'
    assert problems(GOOD + tier) == ["s: line 19: service: must not be given together with tier"]


def test_a_graph_replaces_the_tiers_of_its_base(tmp_path: Path) -> None:
    path = tmp_path / "graph.toml"
    path.write_text('base = "three-tiers"\n' + GOOD[: GOOD.index("[[trouble]]")].replace("\n\n", "\n"))
    assert [row.name for row in scenario.load(str(path)).tiers] == [
        "entrada",
        "albumes",
        "perfiles",
        "archivo",
    ]


def test_twenty_levels_are_valid_and_one_more_is_not() -> None:
    assert max(service_graph.depths(chain(20).callees)) == 20
    with pytest.raises(msgspec.ValidationError, match="call depth 21, at most 20"):
        chain(21)


@pytest.mark.parametrize("name", ["graph-chain", "graph-diamond", "graph-zone", "graph-region"])
def test_the_emulator_rejects_a_graph_in_one_line_with_its_key(name: str) -> None:
    for command in ("experiment", "emulate"):
        result = CliRunner().invoke(main, [command, name])
        assert result.exit_code == 2
        assert result.output.count("\n") == 1
        assert f"{name}: " in result.output
        assert "are supported only by `simulate`" in result.output


def test_the_emulator_rejects_the_loss_of_the_only_zone() -> None:
    loss = {"kind": "loss", "zone": "sala", "at_s": 1.0, "for_s": 1.0}
    quiet = scenario.load("quiet", {"trouble": [loss]})
    with pytest.raises(InvalidFileError, match=r"trouble\[0\].kind: services, regions"):
        experiment.check_emulation_supported(quiet)


# ------------------------------------------------------------ graphs and plans


@given(st.lists(st.sets(st.integers(0, 9)), min_size=10, max_size=10))
def test_topological_order_has_callers_first_or_reports_a_cycle(callee_sets: list[set[int]]) -> None:
    callees = [sorted(callee_set) for callee_set in callee_sets]
    try:
        order = service_graph.topological_order(callees)
    except CallCycleError as error:
        cycle = error.cycle
        assert cycle[0] == cycle[-1]
        assert all(callee in callees[caller] for caller, callee in itertools.pairwise(cycle))
        return
    position = {service: number for number, service in enumerate(order)}
    assert sorted(order) == list(range(10))
    assert all(position[caller] < position[callee] for caller, row in enumerate(callees) for callee in row)


def test_mean_visits_are_summed_over_all_paths() -> None:
    edges = (((1, 1.0), (2, 0.5)), ((3, 2.0),), ((3, 1.0),), ())
    assert service_graph.mean_visits(edges) == (1.0, 1.0, 0.5, 2.5)
    assert service_graph.depths([[1, 2], [3], [3], []]) == (1, 2, 2, 3)


def test_servers_alternate_between_zones_and_cells_lie_within_one_zone() -> None:
    graph_plan = plan.make(parse_text(GOOD.replace("count = 6", "count = 40"), Scenario, "s"))
    specs = [spec for spec in graph_plan.servers if spec.tier == 0]
    assert Counter(spec.zone for spec in specs) == {"sur-a": 14, "sur-b": 13, "norte-a": 13}
    assert len({(spec.cell, spec.zone) for spec in specs}) == len({spec.cell for spec in specs}) == 6
    assert {spec.zone for spec in graph_plan.servers if spec.tier == 3} == {"sur-a", "norte-a"}


def test_a_fault_of_a_zone_is_restricted_to_it() -> None:
    graph_plan = plan.make(parse_text(GOOD, Scenario, "s"))
    lost, failing = (next(step for step in graph_plan.steps if step.fault == fault) for fault in (0, 1))
    assert sorted(lost.targets) == sorted(spec.name for spec in graph_plan.servers if spec.zone == "norte-a")
    assert sorted(failing.targets) == ["archivo-0", "archivo-2"]


def test_one_way_delays_and_partitions_follow_the_network_table() -> None:
    topology = Topology(parse_text(GOOD, Scenario, "s"))
    assert topology.one_way_ms("sur-a", "sur-a") == ONE_WAY_MS
    assert topology.one_way_ms("sur-a", "sur-b") == ONE_WAY_MS + 1.0
    assert topology.one_way_ms("sur-a", "norte-a") == ONE_WAY_MS + 8.0
    topology.isolate(0, frozenset(["sur-a", "sur-b"]))
    assert topology.separated("sur-b", "norte-a")
    assert not topology.separated("sur-a", "sur-b")
    topology.heal(0)
    assert not topology.separated("sur-b", "norte-a")


# ----------------------------------------------------------------------- runs


def chain(depth: int, **changes: Any) -> Scenario:
    """Return a scenario in which each service calls the next one and has three servers."""
    rows: dict[str, Any] = {
        "name": "chain",
        "seconds": 6,
        "class": [{"name": "ver", "share": 1, "work_ms": 3.0 * depth, "effect": "safe"}],
        "clients": {"rate_per_s": 15},
        "nodes": {"count": 2, "spread_s": 0.4},
        "service": [
            {
                "name": f"s{level}",
                "work": 1.0 / depth,
                "kind": [{"name": "a", "count": 3}],
                "call": [{"to": f"s{level + 1}"}] if level + 1 < depth else [],
            }
            for level in range(depth)
        ],
    }
    return msgspec.convert(rows | changes, Scenario)


def job_records(run_plan: plan.Plan, folder: Path) -> list[dict[str, Any]]:
    assert simulate(run_plan, folder)["ok"]
    return [row for row in records.read_records(folder / "equipos.jsonl") if row["e"] == "job"]


def test_a_request_twenty_levels_deep_is_executed_once_at_each_level(tmp_path: Path) -> None:
    chain_plan = plan.make(chain(20))
    jobs_by_operation: dict[str, Counter[int]] = {}
    for row in job_records(chain_plan, tmp_path):
        assert row["verdict"] == "served"
        jobs_by_operation.setdefault(row["op"].split("/")[0], Counter())[row["tier"]] += 1
    assert set(jobs_by_operation) == {arrival.operation_id for arrival in chain_plan.arrivals}
    assert all(jobs == dict.fromkeys(range(20), 1) for jobs in jobs_by_operation.values())
    operations = [row for row in records.read_records(tmp_path / "load.jsonl") if row["e"] == "op"]
    assert all(row["in_time"] and len(row["tries"]) == 1 for row in operations)


def test_a_list_of_tiers_equals_the_chain_of_the_same_services() -> None:
    rows = msgspec.to_builtins(scenario.load("fleet-zone", {"seconds": 8}))
    tiers = rows["tier"]
    services = [{key: value for key, value in tier.items() if key != "calls"} for tier in tiers]
    for service, below in zip(services, tiers[1:], strict=False):
        service["call"] = [{"to": below["name"], "times": below["calls"]}]
    as_graph = msgspec.convert(rows | {"tier": [], "service": services}, Scenario)
    for seed in (1, 5):
        of_tiers, of_graph = (
            simulate(plan.make(variant, seed)) for variant in (msgspec.convert(rows, Scenario), as_graph)
        )
        assert of_tiers["digest"] == of_graph["digest"]
        assert of_tiers["events"] == of_graph["events"]


def test_a_service_on_several_paths_is_called_on_each(tmp_path: Path) -> None:
    graph_plan = plan.make(parse_text(GOOD[: GOOD.index("[[trouble]]")], Scenario, "s"))
    job_counts: Counter[int] = Counter(row["tier"] for row in job_records(graph_plan, tmp_path))
    means = service_graph.mean_visits(graph_plan.edges)
    arrivals = len(graph_plan.arrivals)
    assert job_counts[0] == arrivals
    # With some 600 requests, chance deviations are far smaller than the tolerance.
    assert all(abs(job_counts[tier] / arrivals - mean) < 0.15 for tier, mean in enumerate(means))
    assert means[3] == pytest.approx(means[1] + 0.6)
    callers = {
        row["node"].split("-")[1]
        for row in records.read_records(tmp_path / "equipos.jsonl")
        if row.get("tier") == 3
    }
    assert callers == {"albumes", "perfiles"}


def test_delays_between_regions_count_in_latency() -> None:
    near = chain(2, clients={"rate_per_s": 20})
    rows = msgspec.to_builtins(near)
    rows["region"] = [{"name": "sur", "zones": ["sur-a"]}, {"name": "norte", "zones": ["norte-a"]}]
    rows["service"][0]["zones"], rows["service"][1]["zones"] = ["sur-a"], ["norte-a"]
    rows["network"] = {"between_regions_ms": 100.0}
    far = simulate(plan.make(msgspec.convert(rows, Scenario)))["classes"]["ver"]
    rows["network"] = {}
    assert (
        far["p50_ms"]
        >= simulate(plan.make(msgspec.convert(rows, Scenario)))["classes"]["ver"]["p50_ms"] + 195.0
    )


def regions(faults: list[dict[str, Any]], rate: float = 30.0) -> Scenario:
    """Return a diamond of four services over two regions and three zones, with a class of each idempotency."""
    common = {"share": 1, "work_ms": 40, "cv": 0.8, "attempt_noise": 0.3, "aim_ms": 700, "give_up_ms": 2000}
    kind = {"name": "a", "count": 6, "cold_s": 4, "pause_ms": [0, 50], "error_rate": [0, 0.02]}
    calls = {"top": ["left", "right"], "left": ["bottom"], "right": ["bottom"], "bottom": []}
    rows = {
        "name": "regions",
        "seconds": 9,
        "class": [
            {"name": "subir-foto", "effect": "unsafe", "worth": 8, **common},
            {"name": "comentario", "effect": "keyed", "group": "cell", "worth": 3, **common},
            {"name": "ver", "effect": "safe", **common},
        ],
        "clients": {"rate_per_s": rate},
        "nodes": {"count": 6, "spread_s": 0.4},
        "region": [{"name": "sur", "zones": ["sur-a", "sur-b"]}, {"name": "norte", "zones": ["norte-a"]}],
        "network": {"between_zones_ms": 0.5, "between_regions_ms": 6.0},
        "service": [
            {
                "name": name,
                "work": 0.25,
                "cell_size": 2,
                "kind": [kind],
                "call": [{"to": callee, "times": 0.7} for callee in callees],
            }
            for name, callees in calls.items()
        ],
        "trouble": faults,
    }
    return msgspec.convert(rows, Scenario)


LOSS = {"kind": "loss", "region": "sur", "at_s": 2.0, "for_s": 3.0}


def test_a_seed_reproduces_the_records_of_a_graph_with_a_zone_loss() -> None:
    first, second = (simulate(plan.make(regions([LOSS]), 3)) for _ in range(2))
    assert first["digest"] == second["digest"]
    assert simulate(plan.make(regions([LOSS]), 4))["digest"] != first["digest"]


@pytest.mark.parametrize(("kind", "warms_up"), [("loss", True), ("cut-off", False)])
def test_a_region_receives_requests_again_after_its_outage(kind: str, warms_up: bool, tmp_path: Path) -> None:
    run = Simulation(plan.make(regions([LOSS | {"kind": kind}])), tmp_path)
    summary = run.run()
    assert summary["ok"], summary["rules"]
    rows = [row for row in records.read_records(tmp_path / "equipos.jsonl") if row["e"] == "job"]
    zone = {spec.name: spec.zone for spec in run.plan.servers}
    inside = [row for row in rows if zone[row["equipo"]] != "norte-a" and row["ran"]]
    before = [row for row in inside if row["came"] < 2000.0]
    during = [row for row in inside if 2000.0 <= row["came"] < 5000.0]
    assert before
    assert any(row["came"] > 5500.0 for row in inside)  # the outage ends at 5000
    if kind == "loss":
        assert not during
    else:  # servers there continue to serve the clients of their own zones
        assert during
        nodes = {**run.fleet.nodes, **{node.name: node for node in run.fleet.local_nodes.values()}}
        assert all(nodes[row["node"]].zone != "norte-a" for row in during if row["came"] > 2010.0)
    hosts = [host for host in run.fleet.hosts.values() if host.spec.zone != "norte-a"]
    assert all(host.listening and not host.isolated for host in hosts)
    assert all((host.model.started_ms > 5000.0) is warms_up for host in hosts)
    listed = {name for registry in run.fleet.registries for name in registry.endpoints}
    assert listed == set(run.fleet.hosts)
    for agent in (agent for registry in run.fleet.registries for agent in registry.agents.values()):
        assert not agent.isolated


def test_a_lost_machine_stops_working_and_an_isolated_one_does_not(monkeypatch: pytest.MonkeyPatch) -> None:
    """The second run has an isolation in place of the loss."""
    work_done_ms = []
    for _ in range(2):
        run = Simulation(plan.make(regions([LOSS], 60.0)))
        while not run.clients or run.queue.now < 2000.5:
            run.queue.run(run.queue.now + 0.5)
        lost = [host for host in run.fleet.hosts.values() if host.spec.zone != "norte-a"]
        work_before_ms = sum(host.model.work_done_ms for host in lost)
        run.queue.run(3000.0)
        work_done_ms.append(sum(host.model.work_done_ms for host in lost) - work_before_ms)
        monkeypatch.setattr(SimulatedServerHost, "lose_machine", SimulatedServerHost.isolate)
    assert work_done_ms[0] == 0.0
    assert work_done_ms[1] > 0.0


ZONE_FAULTS = st.fixed_dictionaries(
    {
        "kind": st.sampled_from(["loss", "cut-off"]),
        "at_s": st.floats(0.5, 5.0),
        "for_s": st.floats(0.2, 4.0),
    }
)
PLACES = st.sampled_from([{"region": "sur"}, {"region": "norte"}, {"zone": "sur-a"}, {"zone": "norte-a"}])
OTHER_FAULTS = st.fixed_dictionaries(
    {
        "kind": st.sampled_from(["slow", "errors", "crash", "vanish", "discovery-stall", "node-loss"]),
        "at_s": st.floats(0.5, 5.0),
        "for_s": st.floats(0.2, 4.0),
        "size": st.sampled_from([0.4, 0.9]),
        "part": st.sampled_from([0.3, 1.0]),
        "service": st.sampled_from(["top", "left", "bottom"]),
    }
)


@SHORT
@given(
    st.lists(st.builds(lambda fault, place: fault | place, ZONE_FAULTS, PLACES) | OTHER_FAULTS, max_size=4),
    st.sampled_from([10.0, 80.0]),
    st.integers(0, 1 << 30),
)
def test_the_rules_hold_in_a_graph_under_any_troubles(
    faults: list[dict[str, Any]], rate: float, seed: int
) -> None:
    run = Simulation(plan.make(regions(faults, rate), seed))
    summary = run.run()
    assert summary["ok"], summary["rules"]
    assert sum(one["asked"] for one in summary["classes"].values()) == len(run.plan.arrivals)
    run.queue.run(run.queue.now + 30_000.0)
    for node in [*run.fleet.nodes.values(), *run.fleet.local_nodes.values()]:
        assert node.node.active_requests == 0
        assert not node.requests
        assert not node.attempts
    for host in run.fleet.hosts.values():
        assert host.model.connection_count == len(host.connections)


@pytest.mark.parametrize("name", ["graph-chain", "graph-diamond", "graph-zone", "graph-region"])
def test_bundled_graphs_keep_the_rules(name: str) -> None:
    """Runs are shortened; each fault lasts two seconds."""
    changes: dict[str, object] = {"seconds": 9, "clients.rate_per_s": 20}
    for index in range(len(scenario.load(name).faults)):
        changes |= {f"trouble.{index}.at_s": 2.0 + 3.0 * index, f"trouble.{index}.for_s": 2.0}
    summary = simulate(plan.make(scenario.load(name, changes)))
    assert summary["ok"], summary["rules"]
