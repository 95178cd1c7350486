"""A request that is open at a node, and its attempts. Times are milliseconds of the node's clock."""

from __future__ import annotations

from dataclasses import dataclass, field

from rosewheel.policy.events import AttemptResult


@dataclass(slots=True)
class Attempt:
    server: str
    sent_ms: float
    timeout_ms: float = 0.0
    began_ms: float | None = None  # when its answer began to be passed on
    result: AttemptResult | None = None  # None: still out


@dataclass(slots=True)
class Open:
    service: str
    give_up_ms: float
    most: int = 0  # attempts that it may have, and whether several at a time: by what held when it was taken
    copies: bool = False
    attempts: list[Attempt] = field(default_factory=list)
    over: bool = False  # answered, or the client has gone
    whole: bool = True  # its last byte has come, and its deadline is known
    spent: bool = False  # a part of it is no longer here, so it can't be sent again
    begun: int | None = None  # the attempt whose answer is being passed on

    def out(self) -> bool:
        return any(item.result is None for item in self.attempts)
