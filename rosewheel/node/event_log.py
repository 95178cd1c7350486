"""Log of what a node decides and why: ends of requests and attempts, retries, and closed connections.

Events of one kind and reason are counted, and a line names the last of them, so that the log does not grow with the
number of requests. Texts that clients choose appear as values only, and shortened.
"""

from __future__ import annotations

import logging
from enum import Enum

log = logging.getLogger("rosewheel.events")

MAX_SUBJECT_LENGTH = 80


class EventKind(Enum):
    """What has happened; the value begins the log line."""

    REQUEST_NOT_SERVED = "requests not served"
    ATTEMPT_NOT_OK = "attempts not ok"
    RETRY = "retries"
    CONNECTION_CLOSED = "client connections closed"
    ERROR = "unexpected errors"
    RESPONSE_FORWARDED = "responses forwarded before their length was known"


class EventLog:
    """Events since the last flush, by kind and reason."""

    __slots__ = ("_counts", "_subjects")

    def __init__(self) -> None:
        self._counts: dict[tuple[EventKind, str], int] = {}
        self._subjects: dict[tuple[EventKind, str], str] = {}  # of the last event

    def record(self, kind: EventKind, reason: str, subject: str) -> int:
        """Count an event; return how many of its kind and reason there were since the last flush.

        Args:
            kind: What has happened.
            reason: Why; one of a closed set of names, never a text of a client.
            subject: The request, attempt or connection.
        """
        key = kind, reason
        count = self._counts[key] = self._counts.get(key, 0) + 1
        self._subjects[key] = subject
        return count

    def flush(self) -> None:
        """Write a line for each kind and reason, and start anew."""
        for (kind, reason), count in self._counts.items():
            subject = self._subjects[kind, reason][:MAX_SUBJECT_LENGTH]
            log.info("%s: reason=%s, count=%d, last=%s", kind.value, reason, count, subject)
        self._counts.clear()
        self._subjects.clear()
