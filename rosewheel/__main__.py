"""Runs a node: `python -m rosewheel`. The exit code is 0 after SIGTERM and 2 for an invalid configuration."""

from __future__ import annotations

import gc
import sys


def main() -> int:
    """Run a node with the configuration of the platform; return the exit code."""
    # Garbage collections during the imports would only cost time, because imported objects live as long as the
    # process. The imports are in this function so that the collector is disabled before them.
    gc.disable()
    from rosewheel import logs
    from rosewheel.config.platform import load_platform_config
    from rosewheel.proxy import process

    logs.start()
    return process.run(lambda reload: load_platform_config(reload=reload))


if __name__ == "__main__":
    sys.exit(main())
