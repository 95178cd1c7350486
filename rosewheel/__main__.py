"""Starts one real node: `python -m rosewheel`. Ends with 0 after SIGTERM, with 2 on bad configuration."""

from __future__ import annotations

import gc
import sys


def main() -> int:
    """Run a node by the platform's configuration; returns its exit code."""
    # Objects that imports create live as long as the process, so collections during the start would find nothing. The
    # imports are in this function because the collector has to be off before them.
    gc.disable()
    from rosewheel import logs
    from rosewheel.config.platform import load_platform_config
    from rosewheel.proxy import process

    logs.start()
    return process.run(lambda reload: load_platform_config(reload=reload))


if __name__ == "__main__":
    sys.exit(main())
