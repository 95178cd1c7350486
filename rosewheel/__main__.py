"""Starts one real node: `python -m rosewheel`. Ends with 0 after SIGTERM, with 2 on bad configuration."""

from __future__ import annotations

import gc
import sys


def main() -> int:
    # What the imports make stays as long as the node: nothing is looked through until it serves. Hence in here.
    gc.disable()
    from rosewheel import logs
    from rosewheel.config.platform import load_platform_config
    from rosewheel.proxy import process

    logs.start()
    return process.run(lambda again: load_platform_config(reload=again))


if __name__ == "__main__":
    sys.exit(main())
