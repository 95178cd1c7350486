"""What a node enforces by itself, beside its policy."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Limits:
    """Limits of one node.

    Attributes:
        idle_timeout_ms: How long servers keep an idle connection open.
        connect_timeout_ms: How long opening a connection may take.
        health_check_timeout_ms: How long a health check may take.
        drain_notice_ms: How soon the node has to learn that a server drains.
        max_open_requests: Requests without a final response; any further one is rejected.
        hedging_allowed: Whether a request may have several attempts in flight at once.
        health_checks_allowed: Whether health checks may be sent.
        max_sockets: Descriptors of connections, of all processes of the node together.
        memory_limit_mb: Memory of the node, of all its processes together.
    """

    idle_timeout_ms: float = 10000.0
    connect_timeout_ms: float = 250.0
    health_check_timeout_ms: float = 250.0
    drain_notice_ms: float = 400.0
    max_open_requests: int = 20000
    hedging_allowed: bool = True
    health_checks_allowed: bool = False
    max_sockets: int = 1024
    memory_limit_mb: float = 128.0
