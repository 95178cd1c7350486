"""Closed connections are freed without the garbage collector."""

from __future__ import annotations

import dataclasses
import gc
import weakref

from rosewheel.config.node_config import NodeConfig
from rosewheel.proxy.proxy import Proxy
from tests.support.sockets import (
    Client,
    FakeDiscovery,
    FakeServer,
    entry,
    node,
    run,
    status,
    until,
)


def with_discovery(proxy: Proxy, discovery: FakeDiscovery) -> NodeConfig:
    """Return the node's configuration with the address of another discovery."""
    return dataclasses.replace(proxy.config, discovery_address=("127.0.0.1", discovery.port))


def test_closed_connections_leave_no_reference_cycles():
    """Guards against memory growth: connections are opened all the time, and the collector runs rarely."""

    async def main() -> None:
        async with FakeDiscovery().up() as discovery, FakeServer().up() as server:
            async with node([entry("s", server.port)], discovery) as proxy:
                await until(lambda: bool(discovery.writers))
                async with Client(proxy) as client:
                    assert status(await client.request()) == 200
                    async with Client(proxy) as invalid:
                        invalid.writer.write(b"noise\r\n\r\n")
                        assert status(await invalid.read_response()) == 400
                    connection = next(iter(proxy.server.connections))
                    references = [
                        weakref.ref(target)
                        for target in (connection, proxy.upstream.endpoints["s"].idle_connections[0])
                    ]
                    references.append(weakref.ref(proxy.discovery._connection))
                    del connection
                gc.collect()
                gc.disable()
                try:
                    proxy.upstream.close_longest_idle()
                    proxy.reload(with_discovery(proxy, discovery))
                    discovery.writers[0].transport.abort()
                    proxy.discovery.close()
                    await until(lambda: not proxy.server.connections and proxy.upstream.open_count == 0)
                    await until(lambda: not any(ref() for ref in references))
                finally:
                    gc.enable()

    run(main())
