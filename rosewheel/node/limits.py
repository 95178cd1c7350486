"""What a node enforces by itself, beside the decision module."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Limits:
    """What the node enforces by itself, beside the module."""

    idle_timeout_ms: float = 10000.0
    connect_timeout_ms: float = 250.0
    health_check_timeout_ms: float = 250.0
    drain_notice_ms: float = 400.0  # how soon a drain has to be heard of
    max_open_requests: int = 20000
    hedging_allowed: bool = True
    health_checks_allowed: bool = False
    max_sockets: int = 1024
    memory_limit_mb: float = 128.0
