"""The client side of a watch at a control machine."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import TypeVar

from rosewheel.config.address import Address
from rosewheel.control.codec.values import JsonObject
from rosewheel.control.messages import ConfigurationUpdate
from rosewheel.control.revisions import LogSuffix
from rosewheel.control.timing import CONNECT_TIMEOUT_S, FIRST_LINE_TIMEOUT_S, WATCH_IDLE_TIMEOUT_S
from rosewheel.discovery.watch_client import WatchClient

log = logging.getLogger("rosewheel.control")

Update = TypeVar("Update", ConfigurationUpdate, LogSuffix)


def make_watch_client(
    address: Address,
    target: Callable[[], str],
    decode: Callable[[JsonObject], Update],
    on_update: Callable[[Update], None],
    on_failure: Callable[[], None],
) -> WatchClient[Update]:
    """Return a watch client with the timeouts of the control plane. The watch is not opened yet.

    Args:
        address: Address of the control machine.
        target: Returns the path and query each time the watch is opened.
        decode: Decodes the JSON object of a line; a ValueError from it ends the watch.
        on_update: Called with each update.
        on_failure: Called once when the watch has ended, unless it was closed.
    """
    return WatchClient(
        address,
        0,
        path_for=lambda _: target(),
        parse=decode,
        on_update=lambda _, update: on_update(update),
        on_failure=on_failure,
        log=log,
        silence_timeout_s=WATCH_IDLE_TIMEOUT_S,
        connect_timeout_s=CONNECT_TIMEOUT_S,
        first_line_timeout_s=FIRST_LINE_TIMEOUT_S,
    )
