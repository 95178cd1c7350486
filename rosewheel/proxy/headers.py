"""Figures in the headers of a request."""

from __future__ import annotations

import re

from rosewheel.http.errors import BadRequestError

WHOLE = re.compile("[0-9]{1,7}")  # in ms: some hours, far past every class's patience
DECIMAL = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")


def figure(text: str | None, name: str, form: re.Pattern[str]) -> float | None:
    """A header's figure; BadRequestError where it is none. Not all that `float` takes is one: `1_0`, `nan`, `1e9` or
    other scripts' digits."""
    if text is None:
        return None
    if not form.fullmatch(text):
        raise BadRequestError(400, f"{name} is not a number in range")
    return float(text)
