"""Logging to standard error as plain or JSON lines, limited to `LINES_PER_S` lines per second.

structlog is imported only for JSON lines. Plain lines, which the platform uses, need only the standard library.
"""

from __future__ import annotations

import logging

LINES_PER_S = 50
PLAIN_FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"


class RateLimitFilter(logging.Filter):
    """Drops records beyond `LINES_PER_S` in each second, so that a repeated error can't flood the log."""

    def __init__(self) -> None:
        super().__init__()
        self.second, self.lines = 0.0, 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether the record is among the first `LINES_PER_S` of its second."""
        second = record.created // 1.0
        if second != self.second:
            self.second, self.lines = second, 0
        self.lines += 1
        return self.lines <= LINES_PER_S


def start(json: bool = False, level: str = "info") -> None:
    """Configure logging to standard error.

    Args:
        json: Whether to write JSON lines with `timestamp`, `level`, `logger`, `event` and the record's extra fields.
        level: The lowest level that is written.
    """
    handler = logging.StreamHandler()
    handler.addFilter(RateLimitFilter())
    handler.setFormatter(_json_formatter() if json else logging.Formatter(PLAIN_FORMAT))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())


def _json_formatter() -> logging.Formatter:
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
