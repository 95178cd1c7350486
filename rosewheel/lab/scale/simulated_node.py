"""Simulated nodes: connections to discovery and control by the code of real nodes, without a data plane.

Many simulated nodes share a process. Each connects from its own source address, by which the network and discovery
identify it.
"""

from __future__ import annotations

import asyncio
import contextvars
import random
from typing import Any

import uvloop

from rosewheel.control.documents import Document
from rosewheel.control.subscriber import ConfigurationSubscriber
from rosewheel.discovery.backoff import WatchBackoff
from rosewheel.discovery.endpoint_list import DiscoveryWatch
from rosewheel.lab.scale.messages import SimulatedNodeSetup
from rosewheel.lab.scale.plan import node_name
from rosewheel.lab.scale.version_log import NodeRecords
from rosewheel.policy.events import EndpointListForm

DRAIN_NOTICE_S = 0.4  # default of a node; limits the backoff between watches
SOURCE_ADDRESS: contextvars.ContextVar[str | None] = contextvars.ContextVar("SOURCE_ADDRESS", default=None)


class SourceAddressLoop(uvloop.Loop):
    """Event loop that opens connections from the `SOURCE_ADDRESS` of the current context."""

    async def create_connection(self, *arguments: Any, **keywords: Any) -> Any:
        """Open a connection as the base class does, from the source address of the context."""
        address = SOURCE_ADDRESS.get()
        if address is not None:
            keywords["local_addr"] = (address, 0)
        return await super().create_connection(*arguments, **keywords)


class SimulatedNode:
    """A node without a data plane. It loses all state when it is restarted, as if on a new machine."""

    def __init__(self, setup: SimulatedNodeSetup, seed: int, records: NodeRecords) -> None:
        self.setup, self.seed, self.records = setup, seed, records
        self.number = setup.number
        self.loop = asyncio.get_running_loop()
        self.watch: DiscoveryWatch | None = None
        self.subscriber: ConfigurationSubscriber | None = None
        self.configs_applied = 0  # over all restarts
        self._starts = 0
        self._context = contextvars.copy_context()
        self._context.run(SOURCE_ADDRESS.set, setup.address)

    @property
    def running(self) -> bool:
        """Whether the node is running."""
        return self.watch is not None

    @property
    def list_version(self) -> int:
        """Version of the endpoint list; 0 if there is none."""
        return 0 if self.watch is None else self.watch.revision

    @property
    def config_version(self) -> int:
        """Version of the applied configuration; 0 if there is none."""
        return 0 if self.subscriber is None else self.subscriber.applied.number

    @property
    def endpoints(self) -> int:
        """Number of endpoints in the endpoint list."""
        return 0 if self.watch is None else len(self.watch.endpoint_list.rows)

    def start(self) -> None:
        """Open the watches, unless the node is running."""
        if self.watch is None:
            self._context.run(self._start)

    def _start(self) -> None:
        self._starts += 1
        rng = random.Random(f"{self.seed}/{self.number}/{self._starts}")
        self.backoff = WatchBackoff(rng)
        self.watch = watch = DiscoveryWatch(
            self.setup.discovery,
            0,
            lambda form, endpoints: self._list_received(watch, form),
            on_first_line=self.backoff.reset,
        )
        watch.start()
        if self.setup.control_machines:
            self.subscriber = self._create_subscriber(rng.getrandbits(62))
            self.subscriber.start()

    def _create_subscriber(self, seed: int) -> ConfigurationSubscriber:
        """Return a subscriber that records when a configuration was applied and when it was acknowledged."""
        number, records = self.number, self.records
        return ConfigurationSubscriber(
            node_name(number),
            self.setup.service,
            self.setup.control_machines,
            seed,
            None,
            self._apply,
            on_update=lambda applied: records.config.add(number, applied.number),
            on_acknowledged=lambda applied: records.acked.add(number, applied.number),
        )

    def _apply(self, document: Document) -> None:
        self.configs_applied += 1

    def stop(self) -> None:
        """Close the watches."""
        subscriber, self.subscriber = self.subscriber, None
        if subscriber is not None:
            subscriber.close()
        watch, self.watch = self.watch, None
        if watch is not None:
            watch.close()
            watch.endpoint_list.close()

    def _list_received(self, watch: DiscoveryWatch, form: EndpointListForm) -> None:
        if watch is not self.watch:
            return
        if form is EndpointListForm.FAILED:
            delay_s = self.backoff.next_delay_s(self.loop.time() - watch.started_s, DRAIN_NOTICE_S)
            self.loop.call_later(delay_s, self._reopen, watch, context=self._context)
            return
        self.backoff.reset()
        self.records.lists.add(self.number, watch.revision)

    def _reopen(self, watch: DiscoveryWatch) -> None:
        if watch is self.watch and not watch.is_open:
            watch.start()
