"""Errors of the lab."""

from __future__ import annotations


class RunError(Exception):
    """A run could not be completed; the message is a single line."""
