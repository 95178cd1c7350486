"""The network of the scale run: silence and return, machines, regions; and hollow nodes behind it."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from rosewheel.lab.catalog import Entry
from rosewheel.lab.scale.hollow import Heard, HollowNode, Loop
from rosewheel.lab.scale.membership import Membership, Service
from rosewheel.lab.scale.network import Cuts, Door, Network, Place
from rosewheel.lab.wire import Address

PLACES = {name: Place(name, region) for name, region in (("n0", 0), ("n1", 1), ("c1", 0), ("c2", 1))}
MACHINES = {"127.10.1.1": "n0", "127.14.1.1": "n1"}
LONG_S = 30.0  # far more than anything here takes: past it, it hangs


def played(main: Callable[[], Awaitable[None]]) -> None:
    async def bounded() -> None:
        async with asyncio.timeout(LONG_S):
            await main()

    with asyncio.Runner(loop_factory=Loop) as runner:
        runner.run(bounded())


class Echo:
    """A control machine that says back what it is told, and knows who told it."""

    def __init__(self) -> None:
        self.heard = b""
        self.callers: list[str] = []
        self.server: asyncio.Server | None = None

    async def start(self) -> Address:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        address: Address = self.server.sockets[0].getsockname()[:2]
        return address

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.callers.append(writer.get_extra_info("peername")[0])
        try:
            while data := await reader.read(1 << 16):
                self.heard += data
                writer.write(data)
        except ConnectionResetError:
            pass
        writer.close()


class Caller:
    """A node's end of a connection."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    @classmethod
    async def open(cls, door: Address, machine: str) -> Caller:
        address = next(address for address, name in MACHINES.items() if name == machine)
        return cls(*await asyncio.open_connection(*door, local_addr=(address, 0)))

    async def echoed(self, text: bytes) -> bytes:
        self.writer.write(text)
        return await self.reader.readexactly(len(text))


async def standing() -> tuple[Network, Echo, Echo, Address]:
    near, far = Echo(), Echo()
    network = Network(PLACES, MACHINES, far_s=0.001)
    targets = {"c1": await near.start(), "c2": await far.start()}
    return network, near, far, await network.listen(Door("control", targets))


def test_a_caller_is_known_by_its_address_and_its_traffic_is_counted() -> None:
    async def main() -> None:
        network, near, far, door = await standing()
        caller = await Caller.open(door, "n1")
        assert await caller.echoed(b"hello") == b"hello"
        assert near.callers + far.callers == ["127.14.1.1"]
        assert network.callers["control"]["n1"] == [1, 5, 5, 1, 1]
        assert sum(one[1] for one in network.targets["control"].values()) == 5
        network.close()

    played(main)


def test_nothing_passes_a_lost_machine_and_its_return_resets_what_was_open() -> None:
    async def main() -> None:
        network, near, far, door = await standing()
        caller = await Caller.open(door, "n0")
        other = await Caller.open(door, "n1")
        await caller.echoed(b"before")
        told = near.heard + far.heard
        network.lose(["n0"])
        caller.writer.write(b"lost")
        late = await Caller.open(door, "n0")  # comes up, and says nothing
        late.writer.write(b"late")
        assert await other.echoed(b"well") == b"well"  # nobody else is touched
        assert sorted(near.heard + far.heard) == sorted(told + b"well")
        network.back(["n0"])
        for one in (caller, late):
            with pytest.raises(ConnectionResetError):
                assert await one.reader.read(1) == b"never"
        fresh = await Caller.open(door, "n0")
        assert await fresh.echoed(b"again") == b"again"
        network.close()

    played(main)


def test_regions_that_lose_each_other_go_on_where_they_were() -> None:
    async def main() -> None:
        far = Echo()
        network = Network(PLACES, MACHINES, far_s=0.001)
        door = await network.listen(Door("control", {"c2": await far.start()}))
        caller = await Caller.open(door, "n0")
        assert await caller.echoed(b"before") == b"before"
        network.split(True)
        caller.writer.write(b" during")
        given_up = await Caller.open(door, "n0")
        given_up.writer.write(b"forgotten")
        given_up.writer.close()
        own = await Caller.open(door, "n1")  # within its region
        assert await own.echoed(b"#") == b"#"
        assert far.heard == b"before#"
        network.split(False)
        assert await caller.reader.readexactly(7) == b" during"
        assert await caller.echoed(b" after") == b" after"
        while network.links != {link for link in network.links if not link.near.gone}:
            await asyncio.sleep(0)
        network.close()

    played(main)


def test_an_end_that_closes_is_heard_of_behind_what_it_said() -> None:
    async def main() -> None:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readexactly(1)
            writer.write(b"x" * 300_000)
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        network = Network(PLACES, MACHINES, far_s=0.001)
        door = await network.listen(Door("control", {"c2": server.sockets[0].getsockname()[:2]}))
        caller = await Caller.open(door, "n0")
        caller.writer.write(b"?")
        assert await caller.reader.read() == b"x" * 300_000
        network.close()

    played(main)


def test_whoever_is_no_machine_of_the_run_is_turned_away() -> None:
    async def main() -> None:
        network, near, far, door = await standing()
        reader, _ = await asyncio.open_connection(*door)
        assert await reader.read() == b""
        assert not near.callers + far.callers
        network.close()

    played(main)


def test_who_cannot_reach_its_machine_is_led_to_another() -> None:
    cuts = Cuts(PLACES)
    targets = {"c1": ("127.0.0.1", 1), "c2": ("127.0.0.1", 2)}
    first = cuts.choose("n0", targets)
    cuts.away.add(first)
    assert cuts.choose("n0", targets) == next(name for name in targets if name != first)
    cuts.away.clear()
    cuts.split = True
    assert (cuts.choose("n0", targets), cuts.choose("n1", targets)) == ("c1", "c2")


# ---------------------------------------------------------------- hollow nodes


async def until(what: Callable[[], bool]) -> None:
    """Wait for this; the play's own limit ends what never comes."""
    while not what():
        await asyncio.sleep(0.005)


def test_a_hollow_node_hears_its_own_list_and_comes_back_after_its_machine() -> None:
    async def main() -> None:
        services = [Service([Entry(f"s{at}", "127.0.0.1:9", "z0", 0)]) for at in range(2)]
        membership = Membership(services, {address: int(name[1]) for address, name in MACHINES.items()})
        network = Network(PLACES, MACHINES, far_s=0.001)
        address = await membership.start()
        door = await network.listen(Door("discovery", {"c1": address, "c2": address}))
        heard = (Heard(), Heard(), Heard())
        nodes = [
            HollowNode(number, "s", address, door, {}, 1, heard)
            for number, address in enumerate(("127.10.1.1", "127.14.1.1"))
        ]
        for node in nodes:
            node.start()
        await until(lambda: all(node.version == 1 for node in nodes))
        assert [list(node.watch.lists.rows) for node in nodes if node.watch] == [["s0"], ["s1"]]
        membership.change(0, Entry("more", "127.0.0.1:9", "z0", 0))
        await until(lambda: nodes[0].version == 2)
        assert [node.entries for node in nodes] == [2, 1]
        # Its machine is lost, and comes back with a process that knows nothing of before.
        network.lose(["n0"])
        nodes[0].stop()
        membership.change(0, Entry("s0", "127.0.0.1:9", "z0", 0, "left"))
        network.back(["n0"])
        nodes[0].start()
        await until(lambda: nodes[0].version == 3)
        assert nodes[0].watch is not None
        assert list(nodes[0].watch.lists.rows) == ["more"]
        assert list(heard[0].versions) == [1, 1, 2, 3]
        # A watch that ended is followed by another, from where it was.
        for one in list(membership.open):
            one.reset()
        membership.change(1, Entry("third", "127.0.0.1:9", "z0", 0))
        await until(lambda: nodes[1].version == 2)
        for node in nodes:
            node.stop()
        membership.close()
        network.close()

    played(main)
