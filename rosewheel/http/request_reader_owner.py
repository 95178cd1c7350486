"""The server of a client's connection, as the connection's parser uses it."""

from __future__ import annotations

import asyncio
from typing import Protocol

from rosewheel.http.request import DownstreamRequest
from rosewheel.http.request_ids import RequestIds
from rosewheel.http.turns import Turns
from rosewheel.node.memory_account import MemoryAccount


class RequestReaderOwner(Protocol):
    """The server of a connection, as `RequestReader` uses it."""

    @property
    def loop(self) -> asyncio.AbstractEventLoop:
        """The event loop of the connections."""

    @property
    def memory(self) -> MemoryAccount:
        """The memory of the process, shared by all connections."""

    @property
    def request_ids(self) -> RequestIds:
        """The Request-Ids that are in use, for all connections."""

    @property
    def turns(self) -> Turns:
        """Shares the event loop between expensive input and other connections."""

    def request_completed(self, request: DownstreamRequest, /) -> None:
        """Handle the last byte of a request that was dispatched before it was complete."""
