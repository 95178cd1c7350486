"""How an attempt of a client, or a call of a server, ended for its sender."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class AttemptFailure(StrEnum):
    """Why an attempt has no response. Values are those of records."""

    NONE = ""
    UNREACHABLE = "unreachable"  # no connection: nothing was received
    BROKEN = "broken"  # the connection ended
    NO_ANSWER = "no answer"  # the client's timeout passed
    TIMED_OUT = "timed out"  # the timeout of a call passed
    NO_TIME_LEFT = "no time left"  # a call was not sent, since its deadline had passed


@dataclass(slots=True, frozen=True)
class AttemptOutcome:
    """How an attempt ended.

    Attributes:
        status: status of the response; 0 without one.
        retry_after_s: the wait that the response demands.
    """

    status: int = 0
    failure: AttemptFailure = AttemptFailure.NONE
    retry_after_s: float | None = None
