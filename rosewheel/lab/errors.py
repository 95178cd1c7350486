"""Errors of the lab."""

from __future__ import annotations


class RunError(Exception):
    """A run that could not be carried out; the text is one plain line."""
