"""Passes the endpoint list from discovery to the node, and keeps the watch on discovery open."""

from __future__ import annotations

import asyncio
import contextlib
import random

from rosewheel.discovery.backoff import WatchBackoff
from rosewheel.discovery.endpoint_list import Endpoint, parse_endpoints
from rosewheel.discovery.start_times import ServerStartTimes
from rosewheel.policy.events import EndpointListForm
from rosewheel.proxy import clock
from rosewheel.proxy.parts import ProxyParts

# How long a process that takes over from another waits for discovery before it accepts clients with the known list.
TAKEOVER_LIST_WAIT_S = 1.5
# The same of any process where lists are pushed: what the agent has counts as known to it from its first moment.
# An agent may say nothing for many seconds.
PUSHED_LIST_WAIT_S = 0.5


class EndpointUpdates:
    """The endpoint list of one node.

    Attributes:
        backoff: The delays between two watches.
        list_received: Set once discovery has sent a list.
        start_times: The starts of the servers in all lists of this process.
    """

    def __init__(self, parts: ProxyParts, rng: random.Random) -> None:
        self.backoff = WatchBackoff(rng)
        self.list_received = asyncio.Event()
        self.start_times = ServerStartTimes()
        self._parts = parts

    def apply_known_list(self) -> None:
        """Applies the list that the configuration names as known."""
        known = parse_endpoints(self._parts.config.initial_endpoints.entries, self.start_times)
        self.list_updated(EndpointListForm.CACHED, known)
        if known:
            self.start_times.list_applied()

    async def wait_for_list(self, shares_listener: bool) -> None:
        """Waits for discovery's first list, for a limited time.

        Args:
            shares_listener: Whether another process accepts clients from the same socket meanwhile.
        """
        wait_s = self.list_wait_s(shares_listener)
        if wait_s > 0.0:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    await self.list_received.wait()

    def list_wait_s(self, shares_listener: bool) -> float:
        """Returns how long clients wait for discovery's first list, in seconds."""
        if shares_listener:
            return TAKEOVER_LIST_WAIT_S
        return 0.0 if self._parts.config.settings.poll_discovery else PUSHED_LIST_WAIT_S

    def list_updated(self, form: EndpointListForm, endpoints: list[Endpoint]) -> None:
        """The endpoint list has changed, or the watch on it has failed."""
        if form is EndpointListForm.FAILED:
            self._watch_failed()
            return
        if form is not EndpointListForm.CACHED:
            self.list_received.set()
            self.backoff.reset()
        parts = self._parts
        parts.upstream.update(endpoints, is_snapshot=form is not EndpointListForm.DELTA)
        servers = tuple(server for server, _ in endpoints)
        parts.apply(parts.node.update_endpoints(clock.now_ms(), form, servers))

    def watch_opened(self) -> None:
        """A watch has been answered, though its first line may hold no change."""
        self.backoff.reset()
        parts = self._parts
        if parts.config.settings.poll_discovery:
            parts.apply(parts.node.update_endpoints(clock.now_ms(), EndpointListForm.DELTA))

    def reopen_watch(self) -> None:
        """Opens the next watch where lists are pushed."""
        parts = self._parts
        if (
            parts.config.settings.poll_discovery
        ):  # set since the last watch ended: now the policy decides when
            return
        if not parts.discovery.is_open and not parts.stopped:  # a change of the address may have opened it
            parts.discovery.start()

    def _watch_failed(self) -> None:
        parts = self._parts
        if parts.config.settings.poll_discovery:
            parts.apply(parts.node.update_endpoints(clock.now_ms(), EndpointListForm.FAILED))
            return
        duration_s = parts.loop.time() - parts.discovery.started_s
        drain_notice_s = parts.config.limits.drain_notice_ms / 1000.0
        delay_s = self.backoff.next_delay_s(duration_s, drain_notice_s)
        parts.loop.call_later(delay_s, self.reopen_watch)
