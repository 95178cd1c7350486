"""Passes the endpoint list from discovery to the node, and reopens the watch on discovery after a failure."""

from __future__ import annotations

import asyncio
import contextlib
import random

from rosewheel.discovery.address_owners import AddressOwners
from rosewheel.discovery.backoff import WatchBackoff
from rosewheel.discovery.endpoint_list import Endpoint, parse_endpoints
from rosewheel.discovery.start_times import ServerStartTimes
from rosewheel.policy.events import EndpointListForm
from rosewheel.proxy import clock
from rosewheel.proxy.context import ProxyContext

# How long a successor waits for discovery's first list before it accepts clients with the list of its configuration.
TAKEOVER_LIST_WAIT_S = 1.5
# How long a process without a predecessor waits for that list if lists are pushed, so that it sends no requests to
# servers that have started to drain. Short, because discovery may send nothing for many seconds.
PUSHED_LIST_WAIT_S = 0.5


class EndpointUpdates:
    """Applies the updates of one node's endpoint list.

    Attributes:
        backoff: The delays before a watch is reopened.
        list_received: Set once discovery has sent a list.
        start_times: The start times of the servers in all lists that this process has received.
    """

    def __init__(self, context: ProxyContext, rng: random.Random) -> None:
        self.backoff = WatchBackoff(rng)
        self.list_received = asyncio.Event()
        self.start_times = ServerStartTimes()
        self._address_owners = AddressOwners()
        self._context = context

    def apply_initial_list(self) -> None:
        """Applies the endpoint list that the configuration contains."""
        initial = parse_endpoints(self._context.config.initial_endpoints.entries, self.start_times)
        self.list_updated(EndpointListForm.CACHED, initial)
        if initial:
            self.start_times.list_applied()

    async def wait_for_list(self, shares_listener: bool) -> None:
        """Waits for discovery's first list, at most `list_wait_s`.

        Args:
            shares_listener: Whether another process accepts clients from the same socket.
        """
        wait_s = self.list_wait_s(shares_listener)
        if wait_s > 0.0:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    await self.list_received.wait()

    def list_wait_s(self, shares_listener: bool) -> float:
        """Returns how long to wait for discovery's first list before accepting clients, in seconds."""
        if shares_listener:
            return TAKEOVER_LIST_WAIT_S
        return 0.0 if self._context.config.settings.poll_discovery else PUSHED_LIST_WAIT_S

    def list_updated(self, form: EndpointListForm, endpoints: list[Endpoint]) -> None:
        """Handles a change of the endpoint list, or the failure of the watch on it."""
        if form is EndpointListForm.FAILED:
            self._watch_failed()
            return
        if form is not EndpointListForm.CACHED:
            self.list_received.set()
            self.backoff.reset()
        context = self._context
        endpoints = self._address_owners.resolve(form, endpoints)
        context.upstream.update(endpoints, is_snapshot=form is not EndpointListForm.DELTA)
        servers = tuple(server for server, _ in endpoints)
        context.apply(context.node.update_endpoints(clock.now_ms(), form, servers))

    def watch_opened(self) -> None:
        """Handles the first line of a watch's response, which may contain no change."""
        self.backoff.reset()
        context = self._context
        if context.config.settings.poll_discovery:
            context.apply(context.node.update_endpoints(clock.now_ms(), EndpointListForm.DELTA))

    def reopen_watch(self) -> None:
        """Reopens the watch after the backoff delay, if lists are still pushed."""
        context = self._context
        if context.config.settings.poll_discovery:  # changed during the delay: the policy opens watches now
            return
        # A change of the discovery address may already have opened it.
        if not context.discovery.is_open and not context.stopped:
            context.discovery.start()

    def _watch_failed(self) -> None:
        context = self._context
        if context.config.settings.poll_discovery:
            context.apply(context.node.update_endpoints(clock.now_ms(), EndpointListForm.FAILED))
            return
        duration_s = context.loop.time() - context.discovery.started_s
        drain_notice_s = context.config.limits.drain_notice_ms / 1000.0
        delay_s = self.backoff.next_delay_s(duration_s, drain_notice_s)
        context.loop.call_later(delay_s, self.reopen_watch)
