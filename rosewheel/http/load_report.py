"""Load reports of servers, received in a response header or as the body of a health check's response."""

from __future__ import annotations

import re

from rosewheel.policy.settings_codec import REPORT_FIELDS

LOAD_VALUE = re.compile(r"[0-9]{1,6}(\.[0-9]{1,9})?")

LoadReport = dict[str, float]


def parse_load_report(text: str) -> LoadReport | None:
    """Parse a report such as `inflight=7, queue=2`.

    Returns:
        The valid values by the policy's field names, or None if there are none.
    """
    report: LoadReport = {}
    for part in text.replace(",", " ").split():
        name, equals, value = part.partition("=")
        if equals and LOAD_VALUE.fullmatch(value):
            report[REPORT_FIELDS.get(name, name)] = float(value)
    return report or None
