"""A request that is open at a node, and its attempts. Times are milliseconds of the node's clock."""

from __future__ import annotations

from dataclasses import dataclass, field

from rosewheel.policy.events import AttemptResult


@dataclass(slots=True)
class Attempt:
    server: str
    sent_ms: float
    timeout_ms: float = 0.0
    response_started_ms: float | None = None  # when its answer began to be passed on
    result: AttemptResult | None = None  # None: still out


@dataclass(slots=True)
class InFlightRequest:
    service: str
    deadline_ms: float
    max_attempts: int = (
        0  # attempts that it may have, and whether several at a time: by what held when it was taken
    )
    hedging_allowed: bool = False
    attempts: list[Attempt] = field(default_factory=list)
    finished: bool = False  # answered, or the client has gone
    complete: bool = True  # its last byte has come, and its deadline is known
    body_discarded: bool = False  # a part of it is no longer here, so it can't be sent again
    streaming_attempt: int | None = None  # the attempt whose answer is being passed on

    def has_attempt_in_flight(self) -> bool:
        return any(item.result is None for item in self.attempts)
