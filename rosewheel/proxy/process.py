"""One node from its start to its end: signals, the loop, and the exit code."""

from __future__ import annotations

import asyncio
import gc
import logging
import signal
import sys
import time
from collections.abc import Callable
from typing import TYPE_CHECKING

import uvloop

from rosewheel.config.errors import ConfigError
from rosewheel.config.node_config import NodeConfig
from rosewheel.proxy.proxy import Proxy

if TYPE_CHECKING:
    from rosewheel.proxy.reconfiguration import FleetConfiguration

log = logging.getLogger("rosewheel")

Load = Callable[[bool], NodeConfig]  # True: it is read again, while the node runs


def _joined(relay: Proxy, config: NodeConfig) -> FleetConfiguration | None:
    """What joins the node to the fleet's configuration, where its file says so. Imported only then: it needs more than
    the platform's `run` has."""
    if config.control is None:
        return None
    from rosewheel.proxy.reconfiguration import FleetConfiguration

    return FleetConfiguration(relay, config, config.control)


def _reload(relay: Proxy, load: Load, joined: FleetConfiguration | None) -> None:
    """Read the configuration again; with a bad one the node goes on as it is."""
    try:
        config = load(True)
        relay.reload(config if joined is None else joined.over(config))
        if joined is not None:
            joined.took(config)
    except ConfigError as error:
        log.error("the configuration stays as it was: %s", error)


async def _serve(config: NodeConfig, load: Load) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for name in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(name, stop.set)
    relay = Proxy(config)
    joined = _joined(relay, config)
    loop.add_signal_handler(signal.SIGHUP, _reload, relay, load, joined)
    if joined is not None:
        joined.start()
    await relay.start()
    # Guards the tail of the latencies: what lives as long as the node is not looked through again.
    gc.collect()
    gc.freeze()
    gc.set_threshold(20000, 20, 50)
    gc.enable()
    log.info("%s serves, %.0f ms of CPU", config.name, time.process_time() * 1e3)
    await stop.wait()
    if joined is not None:
        joined.close()
    await relay.drain()


def run(load: Load) -> int:
    """Serve until SIGTERM or SIGINT: 0, or 2 with one plain line where the configuration is bad."""
    # Guards a node that is still starting: the file is read after this, so an early SIGHUP asks for nothing.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    try:
        uvloop.run(_serve(load(False), load))
    except ConfigError as error:
        print(f"rosewheel: {error}", file=sys.stderr)
        return 2
    return 0
