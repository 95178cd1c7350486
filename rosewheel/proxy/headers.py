"""Parses numbers in the headers of a request."""

from __future__ import annotations

import re

from rosewheel.http.errors import BadRequestError

DECIMAL_NUMBER = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")


def parse_number(text: str | None, name: str, pattern: re.Pattern[str]) -> float | None:
    """Returns the number in a header, or None if the header is missing.

    Args:
        text: The value of the header.
        name: The name of the header, for the error.
        pattern: The pattern of the value. `float` alone would accept `1_0`, `nan`, `1e9` and non-ASCII digits.

    Raises:
        BadRequestError: The value does not match the pattern.
    """
    if text is None:
        return None
    if not pattern.fullmatch(text):
        raise BadRequestError(400, f"{name} is not a number in range")
    return float(text)
