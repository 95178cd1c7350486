"""Parsing state of a client's connection."""

from __future__ import annotations

from enum import Enum, auto


class RequestPhase(Enum):
    """Parsing state of a client's connection."""

    IDLE = auto()  # between two requests
    HEAD = auto()  # within a request head
    BODY = auto()  # within a request body
    REJECTED = auto()  # invalid bytes were received; all further input is ignored
