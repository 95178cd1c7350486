"""Logging to standard error: plain lines, or JSON lines on request, at most `LINES_PER_S` of either.

The platform's `run` uses the standard library alone; structlog is imported only for JSON lines.
"""

from __future__ import annotations

import logging

LINES_PER_S = 50
PLAIN = "%(asctime)s %(levelname)s %(name)s %(message)s"


class Bounded(logging.Filter):
    """Drops the records of a second beyond `LINES_PER_S`, so that a fault can't fill the log."""

    def __init__(self) -> None:
        super().__init__()
        self.second, self.lines = 0.0, 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Whether the record is among the first `LINES_PER_S` of its second."""
        second = record.created // 1.0
        if second != self.second:
            self.second, self.lines = second, 0
        self.lines += 1
        return self.lines <= LINES_PER_S


def start(json: bool = False, level: str = "info") -> None:
    """Start to log to standard error.

    Args:
        json: write JSON lines with `timestamp`, `level`, `logger`, `event` and the record's own fields.
        level: the lowest level that is written.
    """
    handler = logging.StreamHandler()
    handler.addFilter(Bounded())
    handler.setFormatter(_json() if json else logging.Formatter(PLAIN))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())


def _json() -> logging.Formatter:
    import structlog

    shared: list[structlog.typing.Processor] = [
        structlog.stdlib.add_log_level,
        structlog.stdlib.add_logger_name,
        structlog.processors.TimeStamper(fmt="iso"),
        structlog.stdlib.ExtraAdder(),
        structlog.processors.format_exc_info,
    ]
    return structlog.stdlib.ProcessorFormatter(
        foreign_pre_chain=shared,
        processors=[
            structlog.stdlib.ProcessorFormatter.remove_processors_meta,
            structlog.processors.JSONRenderer(sort_keys=True),
        ],
    )
