"""The model of one server: no sockets and no clock, (now, event) in, actions out.

Work is measured in milliseconds of a reference core. All times are milliseconds of one clock that only advances.
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
