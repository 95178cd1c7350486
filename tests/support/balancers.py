"""Settings, servers and balancers that tests of several packages build."""

from __future__ import annotations

from typing import Any

from rosewheel.policy.actions import Action, ForwardRequest
from rosewheel.policy.balancer import Balancer
from rosewheel.policy.events import (
    AttemptFinished,
    AttemptResult,
    EndpointListForm,
    EndpointListUpdate,
    Event,
    RequestReceived,
    Server,
    TimerFired,
)
from rosewheel.policy.parts import Parts
from rosewheel.policy.server_stats import ServerStats
from rosewheel.policy.settings import DedupScope, Idempotency, ServiceClass, Settings

IDEMPOTENT = ServiceClass(
    "read",
    latency_objective_ms=1000,
    deadline_ms=2500,
    priority_weight=12,
    idempotency=Idempotency.IDEMPOTENT,
)
NON_IDEMPOTENT = ServiceClass(
    "post",
    latency_objective_ms=1000,
    deadline_ms=2500,
    priority_weight=1,
    idempotency=Idempotency.NON_IDEMPOTENT,
)
IDEMPOTENT_WITH_KEY = ServiceClass(
    "points",
    latency_objective_ms=2000,
    deadline_ms=5000,
    priority_weight=1,
    idempotency=Idempotency.IDEMPOTENT_WITH_KEY,
    dedup_scope=DedupScope.ZONE,
    dedup_window_ms=900,
)


def settings(**changes: Any) -> Settings:
    """Return settings with three service classes, with `changes` in place of the defaults below."""
    defaults: dict[str, Any] = {
        "classes": (IDEMPOTENT, NON_IDEMPOTENT, IDEMPOTENT_WITH_KEY),
        "zone": "a",
        "balancer_count": 2,
        "may_cancel": True,
        "max_attempts": 3,
        "warm_up_initial_share": 0.2,
        "warm_up_ms": 10000.0,
        "overload_window_ms": 1500.0,
    }
    return Settings(**{**defaults, **changes})


def servers(count: int, **changes: Any) -> tuple[Server, ...]:
    """Return servers `s0`, `s1`, ..., alternately in zones `a` and `b`."""
    return tuple(Server(address=f"s{index}", zone="ab"[index % 2], **changes) for index in range(count))


class BalancerHarness:
    """A balancer with a virtual clock and a list of `count` servers. Times are in ms."""

    def __init__(self, count: int = 4, seed: int = 7, **changes: Any) -> None:
        self.now = 1000.0
        self.balancer = Balancer(settings(**changes), seed=seed, now_ms=self.now)
        self.request_count = 0
        self.handle(EndpointListUpdate(EndpointListForm.CACHED, servers(count)))

    @property
    def parts(self) -> Parts:
        """The components of the balancer."""
        return self.balancer.parts

    @property
    def servers(self) -> dict[str, ServerStats]:
        """The statistics of each listed server, by address."""
        return self.parts.shared.pool.servers

    def handle(self, event: Event, after: float = 0.0) -> list[Action]:
        """Advance the clock by `after`, pass an event to the balancer, and return its actions."""
        self.now += after
        return self.balancer.handle(self.now, event)

    def receive_request(
        self, service: str = "read", timeout_ms: float = 2000.0, **more: Any
    ) -> tuple[str, list[Action]]:
        """Receive a request with this time until its deadline; return its ID and the balancer's actions."""
        self.request_count += 1
        name = f"r{self.request_count}"
        return name, self.handle(RequestReceived(name, service, self.now + timeout_ms, **more))

    def finish_attempt(
        self,
        name: str,
        server: str,
        result: AttemptResult,
        latency: float = 100.0,
        attempt: int = 0,
        **more: Any,
    ) -> list[Action]:
        """Report the end of an attempt; by default a successful one also ends its request."""
        done = more.pop("done", result is AttemptResult.OK)
        return self.handle(AttemptFinished(name, attempt, server, result, latency, done, **more))

    def serve_request(self, service: str = "read", latency: float = 100.0, **more: Any) -> str:
        """Receive a request, end its attempt after `latency`, and return the server that was chosen."""
        name, actions = self.receive_request(service)
        server = forwarded(actions)[0].server
        self.now += latency
        self.finish_attempt(name, server, AttemptResult.OK, latency, **more)
        return server

    def end_period(self, after: float | None = None) -> list[Action]:
        """Fire the period timer, by default after one full period."""
        return self.handle(TimerFired("period"), self.balancer.period_ms if after is None else after)


def forwarded(actions: list[Action]) -> list[ForwardRequest]:
    """Return the attempts among the actions."""
    return [action for action in actions if isinstance(action, ForwardRequest)]


def action_types(actions: list[Action]) -> list[type]:
    """Return the type of each action, in order."""
    return [type(action) for action in actions]
