"""Runs one process of a node: event loop, signal handlers and exit code."""

from __future__ import annotations

import asyncio
import functools
import gc
import logging
import signal
import sys
import time
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Protocol

import uvloop

from rosewheel.config.errors import ConfigError
from rosewheel.config.node_config import NodeConfig
from rosewheel.node.rule_monitor import RuleMonitor
from rosewheel.proxy.memory_watch import MemoryWatch
from rosewheel.proxy.proxy import Proxy

if TYPE_CHECKING:
    from rosewheel.proxy.reconfiguration import FleetConfiguration

log = logging.getLogger("rosewheel")

EXIT_OK = 0
EXIT_BAD_CONFIGURATION = 2
# Garbage collector thresholds of a running node: high, because each collection delays responses.
GC_THRESHOLDS = (20000, 20, 50)

LoadConfig = Callable[[bool], NodeConfig]
"""Reads the configuration. The argument is true for a reload, while the node runs."""


class Reloadable(Protocol):
    """An object that applies a reloaded configuration."""

    def reload(self, config: NodeConfig) -> None:
        """Applies a configuration.

        Raises:
            ConfigError: It can't be applied. The old configuration stays in force.
        """


def run(load: LoadConfig) -> int:
    """Runs a node until SIGTERM or SIGINT.

    Args:
        load: Reads the configuration, at the start and at each SIGHUP.

    Returns:
        The exit code: 0 after a shutdown, or 2 if the configuration is invalid, with one line on standard error.
    """
    # The default action of SIGHUP would end a process that is still starting. Ignoring it loses no reload, because
    # the configuration is read afterwards.
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
    loop.set_exception_handler(functools.partial(_callback_failed, proxy.node.rules.monitor))
    fleet = _fleet_configuration(proxy, config)
    loop.add_signal_handler(signal.SIGHUP, _reload, fleet or proxy, load)
    if fleet is not None:
        fleet.start()
    await proxy.start()
    _tune_garbage_collector()
    memory_watch = MemoryWatch(proxy)
    memory_watch.start()
    proxy.resources.divide(proxy.config.limits.max_sockets)
    log.info("node started: name=%s, cpu_ms=%.0f", config.name, time.process_time() * 1e3)
    await stop.wait()
    if fleet is not None:
        fleet.close()
    await proxy.drain()
    memory_watch.close()


def _callback_failed(monitor: RuleMonitor, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
    """Counts an unexpected error that has left a callback of the event loop; errors of the system are logged only."""
    error = context.get("exception")
    if error is None or isinstance(error, OSError):
        loop.default_exception_handler(context)
    else:
        monitor.record_error("event loop", error)


def _fleet_configuration(proxy: Proxy, config: NodeConfig) -> FleetConfiguration | None:
    """Returns the node's subscription to the fleet's configuration, or None if its file has no table `control`.

    The module is imported lazily, because it needs libraries that the platform does not have.
    """
    if config.control is None:
        return None
    from rosewheel.proxy.reconfiguration import FleetConfiguration

    return FleetConfiguration(proxy, config, config.control)


def _reload(target: Reloadable, load: LoadConfig) -> None:
    """Reads and applies the configuration again. On an error the old configuration stays in force."""
    try:
        target.reload(load(True))
    except ConfigError as error:
        log.error("configuration not reloaded: error=%s", error)


def _tune_garbage_collector() -> None:
    """Enables the garbage collector, and exempts the existing objects from it to shorten its pauses."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    gc.enable()
