"""Model of one server, without I/O and without a clock: events with their times in, actions out.

Work is measured in milliseconds of a reference core. All times are milliseconds of one monotonic clock.
"""

from rosewheel.lab.server_model.dedup import DedupTable
from rosewheel.lab.server_model.jobs import (
    Action,
    CallNextTier,
    Job,
    JobResult,
    JobStage,
    JobStarted,
    Reply,
    ServerCollapsed,
)
from rosewheel.lab.server_model.server import EmulatedServer, LifecycleState
from rosewheel.lab.server_model.spec import OverloadSlowdown, ServerSpec

__all__ = [
    "Action",
    "CallNextTier",
    "DedupTable",
    "EmulatedServer",
    "Job",
    "JobResult",
    "JobStage",
    "JobStarted",
    "LifecycleState",
    "OverloadSlowdown",
    "Reply",
    "ServerCollapsed",
    "ServerSpec",
]
