"""What a node reads from its environment and from the system, for both sources of configuration."""

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
    """File descriptors that this process may hold: as many as requested, or the system's soft limit if it is less."""
    return min(requested, resource.getrlimit(resource.RLIMIT_NOFILE)[0])


def inherited_descriptor(environ: Mapping[str, str]) -> int | None:
    """The descriptor in LB_INHERITED_FD; None where the variable is absent or empty.

    Raises:
        ConfigError: the variable holds no number.
    """
    text = environ.get("LB_INHERITED_FD")
    if not text:
        return None
    if not text.isascii() or not text.isdigit():
        raise ConfigError(f"LB_INHERITED_FD: {text!r} is not a descriptor's number", "LB_INHERITED_FD")
    return int(text)


def random_seed() -> int:
    """A seed from the system's random source."""
    return int.from_bytes(os.urandom(SEED_BYTES), "big")
