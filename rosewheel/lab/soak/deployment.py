"""The deployment of a soak: what operators set, drawn by the seed."""

from __future__ import annotations

import random
from typing import Any

import msgspec

MAX_KILL_DEADLINE_S = 3.0  # the longest deadline counts as at most this for SIGKILL
KILL_AFTER_DEADLINE_S = 0.7  # time from then to SIGKILL

DEADLINES_MS = (500, 900, 1500, 2500)
MEMORY_MB = (32, 48, 96, 192)
SOCKETS = (512, 1024)
KEY_SCOPES = ("all", "zone")
OBJECTIVE_SHARE = 0.4


class Deployment(msgspec.Struct, frozen=True):
    """Settings and limits of the nodes of a run.

    Attributes:
        deadline_ms: Deadline of all classes.
        memory_mb: Memory limit of a node.
        sockets: Descriptor limit of a node.
        key_scope: Which servers share a memory of idempotency keys.
    """

    deadline_ms: int = 1500
    memory_mb: int = 192
    sockets: int = 512
    key_scope: str = "all"

    @property
    def kill_after_s(self) -> float:
        """Time from SIGTERM to SIGKILL, the shortest that the operators' pages allow."""
        return min(MAX_KILL_DEADLINE_S, self.deadline_ms / 1000.0) + KILL_AFTER_DEADLINE_S

    @property
    def timeouts_ms(self) -> tuple[int, ...]:
        """Timeouts that clients send; one of them claims more than any class allows."""
        return (self.deadline_ms // 3, self.deadline_ms * 2 // 3, self.deadline_ms)

    def settings(self, nodes: int) -> dict[str, Any]:
        """Return the settings of a node, in the platform's form."""
        times = {
            "aimMs": self.deadline_ms * OBJECTIVE_SHARE,
            "giveUpMs": float(self.deadline_ms),
            "lateWorth": 0.5,
        }
        keys = {"keyScope": self.key_scope, "memorySpanMs": 900.0}
        return {
            "tier": 0,
            "locality": "a",
            "registryMode": "push",
            "valueBy": "request",
            "siblings": nodes,
            "categories": [
                {"name": "read", "credit": 1.0, "effect": "free", **times},
                {"name": "post", "credit": 4.0, "effect": "single_shot", **times},
                {"name": "points", "credit": 2.0, "effect": "guarded", **keys, **times},
            ],
            "bounds": {
                "cancel": True,
                "maxAttempts": 3,
                "maxRetryAfterMs": 500.0,
                "retryAfter": True,
                "secondCopies": True,
                "connIdleMs": 8000.0,
                "connectTimeoutMs": 1000.0,
                "mayProbe": False,
            },
            "feedback": {"fields": []},
            "invariants": {"coldFrom": 0.2, "coldMs": 4000.0, "tipAfterMs": 1500.0, "overloadFactor": 3.0},
            "prices": {"crossZone": 0.0},
        }


def draw_deployment(seed: int) -> Deployment:
    """Return the deployment of a seed, which is the same on every machine."""
    rng = random.Random(f"soak-deployment-{seed}")
    return Deployment(
        rng.choice(DEADLINES_MS), rng.choice(MEMORY_MB), rng.choice(SOCKETS), rng.choice(KEY_SCOPES)
    )
