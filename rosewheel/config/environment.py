"""Values from environment variables and the system, used with the operator's file and the platform's JSON."""

from __future__ import annotations

import os
import resource
from collections.abc import Mapping

from rosewheel.config.errors import ConfigError

# Environment variables that override a key of the configuration file.
ENVIRONMENT_KEYS = (
    ("LB_NAME", "name"),
    ("LB_LISTEN", "listen"),
    ("LB_DISCOVERY", "discovery"),
    ("LB_OPS", "ops"),
)

SEED_BYTES = 8


def available_descriptors(requested: int) -> int:
    """Return the number of requested file descriptors, or the process's soft limit if that is lower."""
    return min(requested, resource.getrlimit(resource.RLIMIT_NOFILE)[0])


def inherited_descriptor(environ: Mapping[str, str]) -> int | None:
    """Return the file descriptor in LB_INHERITED_FD, or None if the variable is unset or empty.

    Raises:
        ConfigError: the value is not a number.
    """
    text = environ.get("LB_INHERITED_FD")
    if not text:
        return None
    if not text.isascii() or not text.isdigit():
        raise ConfigError(f"LB_INHERITED_FD: {text!r} is not a file descriptor number", "LB_INHERITED_FD")
    return int(text)


def random_seed() -> int:
    """Return a seed from the system's random source."""
    return int.from_bytes(os.urandom(SEED_BYTES), "big")
