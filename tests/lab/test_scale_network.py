"""The simulated network of a scale run: lost machines, partitioned regions, and simulated nodes that use it."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from rosewheel.lab.discovery import DiscoveryEntry
from rosewheel.lab.scale.discovery_server import DiscoveryServer, ServiceList
from rosewheel.lab.scale.messages import ListenerSetup, SimulatedNodeSetup, TrafficCounters, TrafficKind
from rosewheel.lab.scale.network import Network
from rosewheel.lab.scale.reachability import Reachability
from rosewheel.lab.scale.simulated_node import SimulatedNode, SourceAddressLoop
from rosewheel.lab.scale.version_log import NodeRecords
from rosewheel.lab.wire import Address

REGIONS = {"n0": 0, "n1": 1, "c1": 0, "c2": 1}
MACHINES = {"127.10.1.1": "n0", "127.14.1.1": "n1"}
TEST_TIMEOUT_S = 30.0  # fails a test that hangs


def run_async(main: Callable[[], Awaitable[None]]) -> None:
    async def bounded() -> None:
        async with asyncio.timeout(TEST_TIMEOUT_S):
            await main()

    with asyncio.Runner(loop_factory=SourceAddressLoop) as runner:
        runner.run(bounded())


class EchoServer:
    """A control machine that echoes received data and records the addresses of its callers."""

    def __init__(self) -> None:
        self.received = b""
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
                self.received += data
                writer.write(data)
        except ConnectionResetError:
            pass
        writer.close()


class Caller:
    """A connection that a node opens to a listener."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    @classmethod
    async def open(cls, listener: Address, machine: str) -> Caller:
        address = next(address for address, name in MACHINES.items() if name == machine)
        return cls(*await asyncio.open_connection(*listener, local_addr=(address, 0)))

    async def echo(self, text: bytes) -> bytes:
        self.writer.write(text)
        return await self.reader.readexactly(len(text))


async def start_network() -> tuple[Network, EchoServer, EchoServer, Address]:
    first, second = EchoServer(), EchoServer()
    network = Network(REGIONS, MACHINES, region_delay_s=0.001)
    targets = {"c1": await first.start(), "c2": await second.start()}
    return network, first, second, await network.listen(ListenerSetup(TrafficKind.CONTROL, targets))


def test_caller_is_identified_by_its_address_and_its_traffic_is_counted() -> None:
    async def main() -> None:
        network, first, second, listener = await start_network()
        caller = await Caller.open(listener, "n1")
        assert await caller.echo(b"hello") == b"hello"
        assert first.callers + second.callers == ["127.14.1.1"]
        assert network.statistics().callers[TrafficKind.CONTROL]["n1"] == TrafficCounters(1, 5, 5, 1, 1)
        assert (
            sum(
                counters.upstream_bytes
                for counters in network.statistics().targets[TrafficKind.CONTROL].values()
            )
            == 5
        )
        network.close()

    run_async(main)


def test_lost_machine_is_silent_and_its_connections_are_reset_on_return() -> None:
    async def main() -> None:
        network, first, second, listener = await start_network()
        caller = await Caller.open(listener, "n0")
        other = await Caller.open(listener, "n1")
        await caller.echo(b"before")
        received = first.received + second.received
        network.lose_machines(["n0"])
        caller.writer.write(b"lost")
        late = await Caller.open(listener, "n0")  # accepted, but never answered
        late.writer.write(b"late")
        assert await other.echo(b"well") == b"well"  # other machines are not affected
        assert sorted(first.received + second.received) == sorted(received + b"well")
        network.restore_machines(["n0"])
        for lost in (caller, late):
            with pytest.raises(ConnectionResetError):
                assert await lost.reader.read(1) == b"never"
        new = await Caller.open(listener, "n0")
        assert await new.echo(b"again") == b"again"
        network.close()

    run_async(main)


def test_partitioned_regions_resume_their_connections() -> None:
    async def main() -> None:
        server = EchoServer()
        network = Network(REGIONS, MACHINES, region_delay_s=0.001)
        listener = await network.listen(ListenerSetup(TrafficKind.CONTROL, {"c2": await server.start()}))
        caller = await Caller.open(listener, "n0")
        assert await caller.echo(b"before") == b"before"
        network.set_partition(True)
        caller.writer.write(b" during")
        abandoned = await Caller.open(listener, "n0")
        abandoned.writer.write(b"forgotten")
        abandoned.writer.close()
        same_region = await Caller.open(listener, "n1")  # in the region of the target
        assert await same_region.echo(b"#") == b"#"
        assert server.received == b"before#"
        network.set_partition(False)
        assert await caller.reader.readexactly(7) == b" during"
        assert await caller.echo(b" after") == b" after"
        while network.connections != {
            connection for connection in network.connections if not connection.downstream.closed
        }:
            await asyncio.sleep(0)
        network.close()

    run_async(main)


def test_close_is_delivered_after_the_data_before_it() -> None:
    async def main() -> None:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readexactly(1)
            writer.write(b"x" * 300_000)
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        network = Network(REGIONS, MACHINES, region_delay_s=0.001)
        listener = await network.listen(
            ListenerSetup(TrafficKind.CONTROL, {"c2": server.sockets[0].getsockname()[:2]})
        )
        caller = await Caller.open(listener, "n0")
        caller.writer.write(b"?")
        assert await caller.reader.read() == b"x" * 300_000
        network.close()

    run_async(main)


def test_caller_from_an_unknown_address_is_rejected() -> None:
    async def main() -> None:
        network, first, second, listener = await start_network()
        reader, _ = await asyncio.open_connection(*listener)
        assert await reader.read() == b""
        assert not first.callers + second.callers
        network.close()

    run_async(main)


def test_caller_is_connected_to_a_target_that_it_can_reach() -> None:
    reachability = Reachability(REGIONS)
    targets = {"c1": ("127.0.0.1", 1), "c2": ("127.0.0.1", 2)}
    first = reachability.choose_target("n0", targets)
    reachability.lost.add(first)
    assert reachability.choose_target("n0", targets) == next(name for name in targets if name != first)
    reachability.lost.clear()
    reachability.partitioned = True
    assert (reachability.choose_target("n0", targets), reachability.choose_target("n1", targets)) == (
        "c1",
        "c2",
    )


# ------------------------------------------------------------- simulated nodes


async def wait_until(condition: Callable[[], bool]) -> None:
    """Wait until the condition holds; `run_async` limits the wait."""
    while not condition():
        await asyncio.sleep(0.005)


def test_simulated_node_receives_its_own_list_and_returns_with_its_machine() -> None:
    async def main() -> None:
        services = [
            ServiceList([DiscoveryEntry(f"s{number}", "127.0.0.1:9", "z0", 0)]) for number in range(2)
        ]
        discovery = DiscoveryServer(services, {address: int(name[1]) for address, name in MACHINES.items()})
        network = Network(REGIONS, MACHINES, region_delay_s=0.001)
        address = await discovery.start()
        listener = await network.listen(ListenerSetup(TrafficKind.DISCOVERY, {"c1": address, "c2": address}))
        records = NodeRecords()
        nodes = [
            SimulatedNode(SimulatedNodeSetup(number, "s", address, listener, {}), 1, records)
            for number, address in enumerate(("127.10.1.1", "127.14.1.1"))
        ]
        for node in nodes:
            node.start()
        await wait_until(lambda: all(node.list_version == 1 for node in nodes))
        assert [list(node.watch.endpoint_list.rows) for node in nodes if node.watch] == [["s0"], ["s1"]]
        discovery.publish(0, DiscoveryEntry("more", "127.0.0.1:9", "z0", 0))
        await wait_until(lambda: nodes[0].list_version == 2)
        assert [node.endpoints for node in nodes] == [2, 1]
        # The machine of node 0 is lost and returns with a new process, which has no state.
        network.lose_machines(["n0"])
        nodes[0].stop()
        discovery.publish(0, DiscoveryEntry("s0", "127.0.0.1:9", "z0", 0, "left"))
        network.restore_machines(["n0"])
        nodes[0].start()
        await wait_until(lambda: nodes[0].list_version == 3)
        assert nodes[0].watch is not None
        assert list(nodes[0].watch.endpoint_list.rows) == ["more"]
        assert list(records.lists.versions) == [1, 1, 2, 3]
        # A watch that has ended is opened again, from the version that the node has.
        for connection in list(discovery.connections):
            connection.reset()
        discovery.publish(1, DiscoveryEntry("third", "127.0.0.1:9", "z0", 0))
        await wait_until(lambda: nodes[1].list_version == 2)
        for node in nodes:
            node.stop()
        discovery.close()
        network.close()

    run_async(main)
