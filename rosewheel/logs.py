"""Logging: plain lines, or JSON lines on request; in both, no more than so many a second.

`run` uses the standard library alone. JSON lines are made by structlog, imported only where they are asked for.
"""

from __future__ import annotations

import logging

LINES_PER_S = 50
PLAIN = "%(asctime)s %(levelname)s %(name)s %(message)s"


class Bounded(logging.Filter):
    """Guards the node against a fault that logs without end."""

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
    """Log to standard error from now on. JSON lines hold `timestamp`, `level`, `logger`, `event`."""
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
