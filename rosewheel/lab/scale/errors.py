"""Errors of the scale run."""

from __future__ import annotations


class ScaleRunError(Exception):
    """Base of all errors of the scale run; the text is one plain line."""


class InvalidOptionsError(ScaleRunError, ValueError):
    """The options cannot be run; the text begins with the name of the option."""


class ProcessError(ScaleRunError):
    """A process of the run did not start, did not answer, or answered with an error."""
