"""Jobs of a server, and the actions that its model returns."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from rosewheel.lab.server_model.dedup import DedupEntry


class JobStage(Enum):
    """Where a job stands."""

    QUEUED = "queued"
    RUNNING = "running"
    AWAITING_CALL = "awaiting call"  # its slot is held while the next tier works
    DUPLICATE = "duplicate"  # it repeats a key in progress and gets the response to the first job
    FINISHED = "finished"


class JobResult(Enum):
    """How a server answers a request. Values are those of records."""

    SERVED = "served"
    ERROR = "error"
    REJECTED = "turned away"  # it was not executed


@dataclass(slots=True, eq=False)
class Job:
    """A request at a server: segments of the server's own work, with a call to the next tier between each two.

    Attributes:
        key: deduplication key, if any.
        dedup_window_ms: how long the cell remembers the key.
        sender_informed: whether discovery had notified the sender of this start of the server.
        segment: index of the current segment.
        started: whether its work has begun, so that it may have had its effect.
        dedup_entry: the entry of its key, for the first job with the key.
    """

    id: int
    segments_ms: tuple[float, ...]
    key: str | None = None
    dedup_window_ms: float = 0.0
    sender_informed: bool = True
    stage: JobStage = JobStage.QUEUED
    segment: int = 0
    will_fail: bool = False
    started: bool = False
    dedup_entry: DedupEntry | None = None


@dataclass(slots=True, frozen=True)
class Reply:
    """Send the response of a job."""

    job_id: int
    result: JobResult


@dataclass(slots=True, frozen=True)
class CallNextTier:
    """Call the next tier for a job; the outcome is passed to `EmulatedServer.call_finished`.

    Attributes:
        call_number: number of the call among those of the job, from 0.
    """

    job_id: int
    call_number: int


@dataclass(slots=True, frozen=True)
class JobStarted:
    """The work of a job has begun; from now on it may have its effect."""

    job_id: int


@dataclass(slots=True, frozen=True)
class ServerCollapsed:
    """A warming server has failed under more load than it bears.

    Attributes:
        informed_share: share of that load from senders that had been notified of the server's start.
    """

    informed_share: float


Action = Reply | CallNextTier | JobStarted | ServerCollapsed
