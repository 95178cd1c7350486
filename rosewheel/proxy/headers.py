"""Numbers in the headers of a request."""

from __future__ import annotations

import re

from rosewheel.http.errors import BadRequestError

WHOLE_NUMBER = re.compile("[0-9]{1,7}")  # in milliseconds: some hours, far past every class's deadline
DECIMAL_NUMBER = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")


def parse_number(text: str | None, name: str, form: re.Pattern[str]) -> float | None:
    """Returns the number in a header, or None where the header is missing.

    Args:
        text: The value of the header.
        name: Its name, for the error.
        form: What the value must match: `float` alone takes `1_0`, `nan`, `1e9` and digits of other scripts too.

    Raises:
        BadRequestError: The value is no number of this form.
    """
    if text is None:
        return None
    if not form.fullmatch(text):
        raise BadRequestError(400, f"{name} is not a number in range")
    return float(text)
