"""Publishes the changes of a scale run: endpoint lists through discovery, configurations through the leader."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

from rosewheel.lab.scale.control_operator import change_patch
from rosewheel.lab.scale.fleet import Fleet
from rosewheel.lab.scale.measurements import Measurements
from rosewheel.lab.scale.messages import ChangeLists, EndpointChange, ListsChanged
from rosewheel.lab.scale.plan import Change, ChangeKind, node_name


class ChangePublisher:
    """Publishes changes and records the time of each.

    Configurations are published one at a time, each after the previous one was acknowledged; until then, changes that
    are due wait in a queue.
    """

    def __init__(self, fleet: Fleet, measurements: Measurements) -> None:
        self.fleet, self.measurements = fleet, measurements
        self._due: asyncio.Queue[Change] = asyncio.Queue()
        self._published = 0  # number of configurations
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start to publish configurations from the queue."""
        self._task = asyncio.get_running_loop().create_task(self._publish_configs())

    async def publish(self, change: Change) -> None:
        """Publish a change of an endpoint list, or queue a change of a configuration."""
        if change.kind == ChangeKind.LIST:
            await self.publish_health([change.node], change.health)
        else:
            self._due.put_nowait(change)

    async def publish_health(self, nodes: Iterable[int], health: str, returning: bool = False) -> None:
        """Publish the health of endpoints.

        Args:
            nodes: Numbers of the endpoints' nodes.
            health: The new health.
            returning: Whether the machines of the endpoints were lost and have returned.
        """
        machines = self.fleet.plan.machines
        changes = [EndpointChange(machines[node].service, node_name(node), health) for node in nodes]
        if changes:
            reply = await self.fleet.discovery.request(ChangeLists(changes, returning), ListsChanged)
            self.measurements.lists += reply.published

    async def _publish_configs(self) -> None:
        while True:
            change = await self._due.get()
            self._published += 1
            patch = change_patch(self._published, change.service)
            self.measurements.configs.append(await self.fleet.operator.publish(patch))
            self._due.task_done()

    async def wait_until_published(self) -> None:
        """Wait until all queued configurations are published.

        Raises:
            ProcessError: A configuration could not be published.
        """
        if self._task is None:
            return
        joined = asyncio.get_running_loop().create_task(self._due.join())
        try:
            await asyncio.wait({joined, self._task}, return_when=asyncio.FIRST_COMPLETED)
            if self._task.done():
                self._task.result()  # the task ends only with an exception, raised here
        finally:
            joined.cancel()

    def close(self) -> None:
        """Stop publishing configurations."""
        if self._task is not None:
            self._task.cancel()
