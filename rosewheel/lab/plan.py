"""The plan of a run: everything that a seed draws for a scenario, such as servers, arrivals and fault steps.

The same scenario and seed give the same plan, byte for byte, on every machine.
"""

from __future__ import annotations

from dataclasses import dataclass

from rosewheel.lab.plan_arrivals import Arrival, ClassParameters, draw_arrivals, draw_classes
from rosewheel.lab.plan_faults import FaultPhase, FaultStep, schedule_faults
from rosewheel.lab.plan_servers import draw_servers
from rosewheel.lab.random_streams import draw_range
from rosewheel.lab.scenario import Scenario
from rosewheel.lab.server_model import ServerSpec
from rosewheel.lab.service_graph import CallEdges
from rosewheel.lab.tables import ServiceTable


@dataclass(slots=True, frozen=True)
class Plan:
    """Everything that is drawn before a run.

    Attributes:
        servers: servers that run from the start.
        deployed_servers: servers that are started by deploys.
        edges: for each tier, the tiers that it calls and the mean number of calls per request.
        steps: steps of all faults in order of time.
        attempt_timeout_share: share of the class's deadline after which a client abandons an attempt.
        backoff_ms: delay of a client before its first retry.
        retry_after_share: share of the clients that comply with Retry-After.
        node_notice_ms: time until clients notice that a node is down or ready again.
    """

    scenario: Scenario
    seed: int
    servers: tuple[ServerSpec, ...]
    deployed_servers: tuple[ServerSpec, ...]
    edges: CallEdges
    classes: tuple[ClassParameters, ...]
    arrivals: tuple[Arrival, ...]
    steps: tuple[FaultStep, ...]
    attempt_timeout_share: float
    backoff_ms: float
    retry_after_share: float
    node_notice_ms: float

    def server_spec(self, name: str) -> ServerSpec:
        """Return the parameters of the server with this name."""
        return next(spec for spec in (*self.servers, *self.deployed_servers) if spec.name == name)

    def fault_duration_ms(self, step: FaultStep) -> float:
        """Return the time from this step to the end of its fault; 0 if the fault has no end."""
        ends = [
            other.at_ms for other in self.steps if other.fault == step.fault and other.phase is FaultPhase.END
        ]
        return ends[0] - step.at_ms if ends else 0.0


def make(scenario: Scenario, seed: int | None = None) -> Plan:
    """Return the plan of a scenario for this seed; for None, for the seed of the scenario."""
    seed = scenario.seed if seed is None else seed
    servers = tuple(draw_servers(scenario, seed))
    steps, deployed_servers = schedule_faults(scenario, seed, servers)
    classes = draw_classes(scenario, seed)
    clients = scenario.clients
    return Plan(
        scenario=scenario,
        seed=seed,
        servers=servers,
        deployed_servers=deployed_servers,
        edges=_draw_edges(scenario, seed),
        classes=classes,
        arrivals=tuple(draw_arrivals(scenario, seed, classes)),
        steps=steps,
        attempt_timeout_share=draw_range(clients.attempt_timeout_share, seed, "try_share"),
        backoff_ms=draw_range(clients.backoff_ms, seed, "backoff"),
        retry_after_share=draw_range(clients.retry_after_share, seed, "honour"),
        node_notice_ms=draw_range(scenario.nodes.notice_ms, seed, "notice"),
    )


def _draw_edges(scenario: Scenario, seed: int) -> CallEdges:
    edges: list[tuple[tuple[int, float], ...]] = []
    drawn: set[str] = set()
    for caller_index, callees in enumerate(scenario.callees):
        caller = scenario.tiers[caller_index]
        calls = []
        for number, callee_index in enumerate(callees):
            callee = scenario.tiers[callee_index]
            if isinstance(caller, ServiceTable):
                mean = caller.outgoing_calls[number].calls_per_request
            else:
                mean = callee.calls_per_request
            # The first caller of a tier draws without its own name, as in a list of tiers, so that a list of tiers
            # and the equivalent call graph give the same plan.
            names = (callee.name, caller.name) if callee.name in drawn else (callee.name,)
            calls.append((callee_index, draw_range(mean, seed, "calls", *names)))
            drawn.add(callee.name)
        edges.append(tuple(calls))
    return tuple(edges)
