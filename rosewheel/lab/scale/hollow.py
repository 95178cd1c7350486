"""Hollow nodes: all that a node does for control, by the product's own code, without requests. Many share a process.

Each one comes from its own machine's address, so that the network between can tell it apart.
"""

from __future__ import annotations

import asyncio
import contextvars
import logging
import random
import sys
from array import array
from pathlib import Path
from typing import Any

import numpy as np
import uvloop

from rosewheel.control.subscriber import ConfigurationSubscriber
from rosewheel.discovery.backoff import Waits
from rosewheel.discovery.catalog import Discovery
from rosewheel.lab.scale import children
from rosewheel.lab.wire import Address, now_ms
from rosewheel.policy.events import EndpointListForm

NOTED = ("lists", "config", "acked")  # lists heard, versions in force, versions acknowledged
GRACE_S = 0.4  # the time that a drain allows, by default, and with it the waits between watches
ADDRESS: contextvars.ContextVar[str | None] = contextvars.ContextVar("ADDRESS", default=None)


class Loop(uvloop.Loop):
    """A loop whose connections come from the machine in whose context they are opened."""

    async def create_connection(self, *arguments: Any, **more: Any) -> Any:
        address = ADDRESS.get()
        if address is not None:
            more["local_addr"] = (address, 0)
        return await super().create_connection(*arguments, **more)


class Heard:
    """What came into force where and when: node, version, moment. Kept in memory, written at the end."""

    def __init__(self) -> None:
        self.nodes, self.versions, self.at = array("i"), array("i"), array("d")

    def add(self, node: int, version: int) -> None:
        self.nodes.append(node)
        self.versions.append(version)
        self.at.append(now_ms())

    def save(self, path: Path) -> None:
        np.savez(
            path,
            nodes=np.frombuffer(self.nodes, dtype=np.int32) if self.nodes else np.zeros(0, np.int32),
            versions=np.frombuffer(self.versions, dtype=np.int32) if self.versions else np.zeros(0, np.int32),
            at=np.frombuffer(self.at, dtype=np.float64) if self.at else np.zeros(0),
        )


class Noted(ConfigurationSubscriber):
    """The product's follower, which notes when a version came into force and when that was acknowledged."""

    def __init__(self, number: int, config: Heard, acked: Heard, *arguments: Any) -> None:
        super().__init__(*arguments)
        self.number, self.config, self.acked = number, config, acked

    def _take(self, whole: bool, line: Any) -> None:
        super()._take(whole, line)
        self.config.add(self.number, self.applied.number)

    async def _send_acknowledgement(self) -> None:
        await super()._send_acknowledgement()
        if self._acknowledged:  # what was told last is what is in force
            self.acked.add(self.number, self.applied.number)


class HollowNode:
    """One node without requests. A process that ends and begins anew knows nothing of before, as on a new machine.
    Without `machines` there is no configuration to follow."""

    def __init__(
        self,
        number: int,
        service: str,
        address: str,
        discovery: Address,
        machines: dict[str, Address],
        seed: int,
        heard: tuple[Heard, Heard, Heard],
    ) -> None:
        self.number, self.service, self.machines = number, service, machines
        self.heard, self.config, self.acked = heard
        self.loop = asyncio.get_running_loop()
        self.address, self.where, self.seed = address, discovery, seed
        self.starts = 0
        self.watch: Discovery | None = None
        self.follower: Noted | None = None
        self.applied = 0
        self._context = contextvars.copy_context()
        self._context.run(ADDRESS.set, address)

    @property
    def version(self) -> int:
        return 0 if self.watch is None else self.watch.since

    @property
    def config_version(self) -> int:
        return 0 if self.follower is None else self.follower.applied.number

    @property
    def entries(self) -> int:
        return 0 if self.watch is None else len(self.watch.lists.rows)

    def start(self) -> None:
        if self.watch is None:
            self._context.run(self._start)

    def _start(self) -> None:
        self.starts += 1
        rng = random.Random(f"{self.seed}/{self.number}/{self.starts}")
        self.waits = Waits(rng)
        self.watch = watch = Discovery(
            self.where, 0, lambda form, entries: self._told(watch, form), spoke=self.waits.heard
        )
        watch.watch()
        if self.machines:
            told = (f"n{self.number}", self.service, self.machines, rng.getrandbits(62), None, self._apply)
            self.follower = Noted(self.number, self.config, self.acked, *told)
            self.follower.start()

    def _apply(self, document: dict[str, Any]) -> None:
        self.applied += 1

    def stop(self) -> None:
        follower, self.follower = self.follower, None
        if follower is not None:
            follower.close()
        watch, self.watch = self.watch, None
        if watch is not None:
            watch.close()
            watch.lists.close()

    def _told(self, watch: Discovery, form: EndpointListForm) -> None:
        if watch is not self.watch:
            return
        if form is EndpointListForm.FAILED:
            wait = self.waits.ended(self.loop.time() - watch.opened_s, GRACE_S)
            self.loop.call_later(wait, self._again, watch, context=self._context)
            return
        self.waits.heard()
        self.heard.add(self.number, watch.since)

    def _again(self, watch: Discovery) -> None:
        if watch is self.watch and not watch.open:
            watch.watch()


# -------------------------------------------------------------------- process


async def main(given: dict[str, Any]) -> None:
    """Hollow nodes as a process. `given`: `nodes` (number, service, address, where discovery is, and the
    control machines), `seed`, and `folder` and `name` for what they noted."""
    logging.basicConfig(stream=sys.stderr, level=logging.WARNING)
    heard = (Heard(), Heard(), Heard())
    nodes: dict[int, HollowNode] = {}
    for number, service, address, discovery, machines in given["nodes"]:
        where = {name: (str(host), int(port)) for name, (host, port) in machines.items()}
        nodes[number] = HollowNode(
            number, service, address, (str(discovery[0]), int(discovery[1])), where, given["seed"], heard
        )

    async def begin() -> dict[str, Any]:
        for node in nodes.values():
            node.start()
        return {"nodes": len(nodes)}

    def handle(row: dict[str, Any]) -> dict[str, Any] | None:
        for number in row.get("numbers", ()):
            node = nodes.get(number)
            if node is not None and row["do"] in ("stop", "restart"):
                node.stop()
            if node is not None and row["do"] in ("start", "restart"):
                node.start()
        match row["do"]:
            case "figures":
                return {
                    "versions": [
                        [node.number, node.version, node.config_version]
                        for node in nodes.values()
                        if node.watch
                    ],
                    "applied": sum(node.applied for node in nodes.values()),
                    "entries": sum(node.entries for node in nodes.values()),
                }
            case "save":
                for kind, one in zip(NOTED, heard, strict=True):
                    one.save(Path(given["folder"]) / f"{given['name']}-{kind}.npz")
                return {"saved": [len(one.at) for one in heard]}
        return None

    await children.serve(handle, begin)
    for node in nodes.values():
        node.stop()


if __name__ == "__main__":
    children.run(main, Loop)
