"""Limits that a node enforces independently of its policy."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Limits:
    """Limits of one node.

    Attributes:
        idle_timeout_ms: How long servers keep an idle connection open.
        connect_timeout_ms: Time that opening a connection may take.
        health_check_timeout_ms: Time that a health check may take.
        drain_notice_ms: Time within which the node has to learn that a server is draining.
        max_open_requests: Limit of requests without a final response; further ones are rejected.
        hedging_allowed: Whether a request may have several attempts in flight at once.
        health_checks_allowed: Whether health checks may be sent.
        max_sockets: Limit of connection descriptors, for all processes of the node together.
        memory_limit_mb: Limit of memory, for all processes of the node together.
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
