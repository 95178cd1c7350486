"""Runs one node from its start to its end: the event loop, signals, and the exit code."""

from __future__ import annotations

import asyncio
import gc
import logging
import signal
import sys
import time
from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

import uvloop

from rosewheel.config.errors import ConfigError
from rosewheel.config.node_config import NodeConfig
from rosewheel.proxy.proxy import Proxy

if TYPE_CHECKING:
    from rosewheel.proxy.reconfiguration import FleetConfiguration

log = logging.getLogger("rosewheel")

EXIT_OK = 0
EXIT_BAD_CONFIGURATION = 2
# Of the garbage collector, while the node serves: collections are seldom, since each one delays responses.
GC_THRESHOLDS = (20000, 20, 50)

LoadConfig = Callable[[bool], NodeConfig]
"""Reads the configuration; the argument says whether it is read again, while the node runs."""


class Reloadable(Protocol):
    """What takes over a configuration that was read again."""

    def reload(self, config: NodeConfig) -> None:
        """Raises ConfigError, and changes nothing, where the configuration can't be applied."""


def run(load: LoadConfig) -> int:
    """Serves until SIGTERM or SIGINT.

    Args:
        load: Reads the configuration, at the start and at each SIGHUP.

    Returns:
        The exit code: 0, or 2 after one line on standard error where the configuration is bad.
    """
    # An early SIGHUP must not end a node that is still starting. It asks for nothing: the file is read after this.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    try:
        uvloop.run(_serve(load(False), load))
    except ConfigError as error:
        print(f"rosewheel: {error}", file=sys.stderr)
        return EXIT_BAD_CONFIGURATION
    return EXIT_OK


async def _serve(config: NodeConfig, load: LoadConfig) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for name in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(name, stop.set)
    proxy = Proxy(config)
    fleet = _fleet_configuration(proxy, config)
    loop.add_signal_handler(signal.SIGHUP, _reload, fleet or proxy, load)
    if fleet is not None:
        fleet.start()
    await proxy.start()
    _tune_garbage_collector()
    log.info("%s serves, %.0f ms of CPU", config.name, time.process_time() * 1e3)
    await stop.wait()
    if fleet is not None:
        fleet.close()
    await proxy.drain()


def _fleet_configuration(proxy: Proxy, config: NodeConfig) -> FleetConfiguration | None:
    """Connects the node to the fleet's configuration where its file says so.

    Imported only then: it needs more libraries than `run` on the platform has.
    """
    if config.control is None:
        return None
    from rosewheel.proxy.reconfiguration import FleetConfiguration

    return FleetConfiguration(proxy, config, config.control)


def _reload(target: Reloadable, load: LoadConfig) -> None:
    """Reads and applies the configuration again; the node goes on as it is where that fails."""
    try:
        target.reload(load(True))
    except ConfigError as error:
        log.error("configuration not reloaded: error=%s", error)


def _tune_garbage_collector() -> None:
    """Starts to collect, and exempts what lives as long as the node: that keeps pauses short."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    gc.enable()
