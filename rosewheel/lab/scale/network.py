"""The network between nodes and control machines: TCP relays that can go silent, and lose machines and regions.

A connection is known by the machine it comes from: its address within 127/8, or the door it came to. What is cut says
nothing in either direction and stays open, as it is where packets vanish; a connection that is made meanwhile comes up
(the system of this one machine answers it) and says nothing. A cut between regions that heals lets what waited go on. A
machine that comes back resets what it had open, since its system knows nothing of it any more.
"""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
from collections import deque
from dataclasses import dataclass
from typing import Any, cast

from rosewheel.lab.scale import children
from rosewheel.lab.wire import Address, reset

FAR_S = 0.015  # one way between regions
BACKLOG = 2048
Tallies = dict[str, dict[str, list[int]]]  # by kind of traffic and who it is from, or to
FIGURES = ("connections", "up_bytes", "down_bytes", "up_pieces", "down_pieces")


@dataclass(slots=True, frozen=True)
class Place:
    """Where one end of a connection stands."""

    name: str
    region: int


@dataclass(slots=True, frozen=True)
class Door:
    """A listening port. `targets` are the control machines that it may lead to, by name; `kind` tells whose traffic
    it is in the figures. Whoever comes without a machine's address of its own is taken for `caller`."""

    kind: str
    targets: dict[str, Address]
    caller: str = ""


class Cuts:
    """What can reach what. No I/O."""

    def __init__(self, places: dict[str, Place]) -> None:
        self.places = places
        self.away: set[str] = set()
        self.split = False

    def open(self, one: str, other: str) -> bool:
        if one in self.away or other in self.away:
            return False
        return not self.split or not self.far(one, other)

    def far(self, one: str, other: str) -> bool:
        return self.places[one].region != self.places[other].region

    def choose(self, caller: str, targets: dict[str, Address]) -> str:
        """The target that this caller is led to: of those it can reach, the first in an order of its own."""
        order = sorted(targets, key=lambda name: hashlib.blake2b(f"{caller}/{name}".encode()).digest())
        return next((name for name in order if self.open(caller, name)), order[0])


class _Side(asyncio.Protocol):
    """One of a connection's two ends."""

    def __init__(self, link: Link, up: bool) -> None:
        self.link, self.up = link, up
        self.transport: asyncio.Transport | None = None
        self.paused = False  # the other end takes no more for now
        self.gone = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.link.made(self)

    def data_received(self, data: bytes) -> None:
        self.link.came(self, data)

    def pause_writing(self) -> None:
        self.link.other(self).pause(True)

    def resume_writing(self) -> None:
        self.link.other(self).pause(False)

    def pause(self, paused: bool) -> None:
        self.paused = paused
        self.listen()

    def listen(self) -> None:
        """Read, or leave what comes in the system's buffer, as things stand."""
        if self.transport is None or self.transport.is_closing():
            return
        if self.paused or self.link.held:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport, self.gone = None, True
        self.link.lost()


class Link:
    """A connection from a door to a control machine."""

    def __init__(self, network: Network, door: Door) -> None:
        self.network, self.door = network, door
        self.near, self.far = _Side(self, True), _Side(self, False)
        self.caller, self.target = door.caller, ""
        self.held = False
        self.away = False  # an end of it vanished: it is reset when that comes back
        self.ended = False
        self.delay_s = 0.0
        self._waiting: deque[tuple[_Side, bytes]] = deque()  # on the long way, or for the upstream end
        self._connecting: asyncio.Task[None] | None = None

    def other(self, side: _Side) -> _Side:
        return self.far if side is self.near else self.near

    def made(self, side: _Side) -> None:
        if side is self.near:
            assert side.transport is not None
            host = side.transport.get_extra_info("peername")[0]
            self.caller = self.door.caller or self.network.machines.get(host, "")
            if not self.caller:
                side.transport.abort()
                return
            cuts = self.network.cuts
            self.target = cuts.choose(self.caller, self.door.targets)
            self.delay_s = self.network.far_s if cuts.far(self.caller, self.target) else 0.0
            self.network.links.add(self)
            self._count(0, 1)
            self.review()
            self._connect()
        elif self.ended:
            assert side.transport is not None
            side.transport.abort()
        else:
            self.far.listen()
            self._flush()

    def _count(self, figure: int, by: int) -> None:
        for tallies, name in ((self.network.callers, self.caller), (self.network.targets, self.target)):
            tallies.setdefault(self.door.kind, {}).setdefault(name, [0] * len(FIGURES))[figure] += by

    def _connect(self) -> None:
        if not self.held and self._connecting is None:
            self._connecting = asyncio.get_running_loop().create_task(self._come_up())

    async def _come_up(self) -> None:
        host = self.network.addresses.get(self.caller)
        try:
            await asyncio.get_running_loop().create_connection(
                lambda: self.far, *self.door.targets[self.target], local_addr=(host, 0) if host else None
            )
        except OSError:
            self.reset()

    def review(self) -> None:
        """Be silent, or no longer, or end, as the cuts have it now."""
        cuts = self.network.cuts
        held = not cuts.open(self.caller, self.target)
        self.away = self.away or self.caller in cuts.away or self.target in cuts.away
        if held == self.held:
            return
        self.held = held
        if not held and self.away:
            self.reset()
            return
        for side in (self.near, self.far):
            side.listen()
        if held:
            return
        self._flush()
        if self.near.gone or self.far.gone:
            self._finish()
        else:
            self._connect()

    def _flush(self) -> None:
        """Write what has waited, as far as the way is open."""
        while self._arrive():
            pass

    def came(self, side: _Side, data: bytes) -> None:
        self._count(1 if side.up else 2, len(data))
        self._count(3 if side.up else 4, 1)
        towards = self.other(side)
        if towards.transport is None:
            self._waiting.append((towards, data))
        elif self.delay_s:
            self._waiting.append((towards, data))
            asyncio.get_running_loop().call_later(self.delay_s, self._arrive)
        else:
            self._write(towards, data)

    def _arrive(self) -> bool:
        """Write the first of what waits; whether there was something, and somebody to write it to."""
        if not self._waiting or self.held:
            return False
        towards, data = self._waiting[0]
        if towards.transport is None and not towards.gone:  # not connected yet
            return False
        self._waiting.popleft()
        self._write(towards, data)
        return True

    def _write(self, towards: _Side, data: bytes) -> None:
        if towards.transport is not None and not towards.transport.is_closing():
            towards.transport.write(data)

    def lost(self) -> None:
        """One end is closed; the other hears of it behind what is on the way to it."""
        if self.delay_s and not self.ended:
            asyncio.get_running_loop().call_later(self.delay_s, self._finish)
        else:
            self._finish()

    def _finish(self) -> None:
        if self.ended or self.held:  # of what is held, only once it no longer is
            return
        self.ended = True
        self.network.links.discard(self)
        for one in (self.near, self.far):
            if one.transport is not None:
                one.transport.close()
        if self._connecting is not None and self.far.transport is None:
            self._connecting.cancel()

    def reset(self) -> None:
        self.ended = True
        self.network.links.discard(self)
        for one in (self.near, self.far):
            if one.transport is not None:
                reset(one.transport)


class Network:
    """`machines` are the names by address; every name, control machines' too, has its place."""

    def __init__(self, places: dict[str, Place], machines: dict[str, str], far_s: float = FAR_S) -> None:
        self.cuts = Cuts(places)
        self.machines = machines
        self.addresses = {name: address for address, name in machines.items()}
        self.far_s = far_s
        self.links: set[Link] = set()
        self.callers: Tallies = {}  # what `FIGURES` names, since the beginning
        self.targets: Tallies = {}
        self._servers: list[asyncio.Server] = []

    async def listen(self, door: Door) -> Address:
        server = await asyncio.get_running_loop().create_server(
            lambda: Link(self, door).near, "127.0.0.1", 0, backlog=BACKLOG
        )
        self._servers.append(server)
        address: Address = server.sockets[0].getsockname()[:2]
        return address

    def lose(self, names: list[str]) -> None:
        self.cuts.away.update(names)
        self._review()

    def back(self, names: list[str]) -> None:
        self.cuts.away.difference_update(names)
        self._review()

    def split(self, on: bool) -> None:
        self.cuts.split = on
        self._review()

    def _review(self) -> None:
        for link in list(self.links):
            link.review()

    def close(self) -> None:
        for server in self._servers:
            server.close()
        for link in list(self.links):
            link.reset()


# -------------------------------------------------------------------- process


async def main(given: dict[str, Any]) -> None:
    """The network as a process. `given`: `places` (name -> region), `machines` (address -> name) and `doors`."""
    places = {name: Place(name, region) for name, region in given["places"].items()}
    network = Network(places, given["machines"], given["far_s"])

    async def begin() -> dict[str, Any]:
        listening = []
        for row in given["doors"]:
            targets = {name: (str(host), int(port)) for name, (host, port) in row["targets"].items()}
            listening.append(await network.listen(Door(row["kind"], targets, row.get("caller", ""))))
        return {"doors": listening}

    def handle(row: dict[str, Any]) -> dict[str, Any] | None:
        match row["do"]:
            case "lose":
                network.lose(row["names"])
            case "back":
                network.back(row["names"])
            case "split":
                network.split(row["on"])
            case "figures":
                return {"callers": network.callers, "targets": network.targets}
        return None

    with contextlib.suppress(asyncio.CancelledError):
        await children.serve(handle, begin)
    network.close()


if __name__ == "__main__":
    children.run(main)
