"""Errors of the scale run."""

from __future__ import annotations


class ScaleRunError(Exception):
    """Base class of errors of the scale run; the message is one line."""


class InvalidOptionsError(ScaleRunError, ValueError):
    """An option is invalid; the message begins with its name."""


class ProcessError(ScaleRunError):
    """A process of the run did not start, did not reply or reported an error."""
