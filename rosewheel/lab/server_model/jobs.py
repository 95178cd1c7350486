"""Jobs of a server, and the actions that the model of the server returns."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from rosewheel.lab.server_model.dedup import DedupEntry


class JobStage(Enum):
    """Stage of a job on its server."""

    QUEUED = "queued"
    RUNNING = "running"
    AWAITING_CALL = "awaiting call"  # waits for the next tier and keeps its slot
    DUPLICATE = "duplicate"  # has the key of a job in progress and gets the response to that one
    FINISHED = "finished"


class JobResult(Enum):
    """Result of a request at a server. The values are written to records."""

    SERVED = "served"
    ERROR = "error"
    REJECTED = "turned away"  # not executed


@dataclass(slots=True, eq=False)
class Job:
    """A request at a server.

    Its work there consists of segments, with a call to the next tier after each but the last.

    Attributes:
        segments_ms: work of each segment.
        key: deduplication key, if any.
        dedup_window_ms: how long the key is kept.
        sender_informed: whether discovery had notified the sender of this start of the server.
        segment: index of the current segment.
        will_fail: whether the job ends with an error, drawn when it is admitted.
        started: whether its work has begun, so that it may have had side effects.
        dedup_entry: the entry of its key, if it is the first job with the key.
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
    """Send the response to the request of a job."""

    job_id: int
    result: JobResult


@dataclass(slots=True, frozen=True)
class CallNextTier:
    """Call the next tier for a job. The outcome is passed to `EmulatedServer.call_finished`.

    Attributes:
        call_number: index of the call among the calls of the job.
    """

    job_id: int
    call_number: int


@dataclass(slots=True, frozen=True)
class JobStarted:
    """The work of a job has begun, so it may have side effects from now on."""

    job_id: int


@dataclass(slots=True, frozen=True)
class ServerCollapsed:
    """A warming server has failed because of overload.

    Attributes:
        informed_share: share of the offered work that came from senders notified of this start of the server.
    """

    informed_share: float


Action = Reply | CallNextTier | JobStarted | ServerCollapsed
