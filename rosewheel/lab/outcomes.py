"""Outcomes of attempts of clients and of calls between servers, as their senders see them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class AttemptFailure(StrEnum):
    """Reason for a missing response. The values are written to records."""

    NONE = ""
    UNREACHABLE = "unreachable"  # no connection was established, so nothing was received
    CONNECTION_CLOSED = "broken"  # the connection was closed early, or its response was malformed
    CLIENT_TIMEOUT = "no answer"  # the client's timeout expired
    CALL_TIMEOUT = "timed out"  # the timeout of a call between servers expired
    NO_TIME_LEFT = "no time left"  # a call between servers was not sent, since too little time was left


@dataclass(slots=True, frozen=True)
class AttemptOutcome:
    """Outcome of an attempt.

    Attributes:
        status: status of the response; 0 without a response.
        failure: reason for the missing response.
        retry_after_s: value of the Retry-After header of the response, if any.
    """

    status: int = 0
    failure: AttemptFailure = AttemptFailure.NONE
    retry_after_s: float | None = None
