"""Tests of the statistics: each finished request is counted once, by service class and outcome."""

from __future__ import annotations

from rosewheel.admin.codec import encode_statistics
from rosewheel.node.core import Node
from rosewheel.node.limits import Limits
from rosewheel.node.statistics import RequestOutcome, Statistics
from rosewheel.policy.events import AttemptResult, EndpointListForm, RequestReceived, Server
from tests.support.balancers import settings
from tests.support.sockets import Client, FakeServer, entry, gated_handler, node, run, status, until


def counts(statistics: Statistics) -> dict[str, tuple[int, int, int]]:
    return {
        name: (counters.ok, counters.shed, counters.errors) for name, counters in statistics.classes.items()
    }


def test_only_classes_of_the_settings_are_counted():
    """Clients must not cause unbounded memory use by naming unknown classes."""
    statistics = Statistics(["read"])
    statistics.count_request("made-up", RequestOutcome.OK)
    statistics.count_request(None, RequestOutcome.SHED)
    statistics.count_request("read", RequestOutcome.SHED)
    assert counts(statistics) == {"read": (0, 1, 0)}


def test_a_request_is_counted_once_when_its_attempt_is_reported_twice():
    node_under_test = Node(settings(), Limits(), seed=1, now=0.0)
    node_under_test.update_endpoints(0.0, EndpointListForm.SNAPSHOT, (Server("s", zone="a"),))
    node_under_test.receive_request(1.0, RequestReceived("r", "post", 2000.0))
    assert node_under_test.active_requests == 1
    for _ in range(2):
        node_under_test.attempt_finished(5.0, "r", 0, AttemptResult.RESET)
    node_under_test.tick(5000.0)
    assert counts(node_under_test.statistics)["post"] == (0, 0, 1)
    assert node_under_test.active_requests == 0


def test_a_request_of_a_disconnected_client_is_not_counted():
    node_under_test = Node(settings(), Limits(), seed=1, now=0.0)
    node_under_test.update_endpoints(0.0, EndpointListForm.SNAPSHOT, (Server("s", zone="a"),))
    node_under_test.receive_request(1.0, RequestReceived("r", "post", 2000.0))
    node_under_test.client_disconnected(2.0, "r")
    node_under_test.attempt_finished(5.0, "r", 0, AttemptResult.OK)
    assert counts(node_under_test.statistics)["post"] == (0, 0, 0)
    assert node_under_test.active_requests == 0


def test_statistics_match_what_clients_and_servers_saw():
    """Counters must not drift from the responses and requests on the sockets."""

    async def main() -> None:
        gate, gated = gated_handler()
        async with FakeServer(gated).up() as server, node([entry("s", server.port)]) as proxy:
            async with Client(proxy) as first, Client(proxy) as second:
                first.send("post")
                await until(lambda: len(server.requests) == 1)
                encoded = encode_statistics(proxy.statistics())
                assert (encoded["active"], encoded["pool_size"], encoded["pool_ejected"]) == (1, 1, 0)
                gate.set()
                assert status(await first.read_response()) == 200
                assert status(await second.request("read")) == 200
                proxy.upstream.set_cordoned("s", True)  # no server can be used
                assert status(await second.request("post")) == 503
            encoded = encode_statistics(proxy.statistics())
            assert encoded["responses"]["post"] == {"ok": 1, "shed": 1, "errors": 0}
            assert encoded["responses"]["read"] == {"ok": 1, "shed": 0, "errors": 0}
            assert encoded["responses"]["points"] == {"ok": 0, "shed": 0, "errors": 0}
            assert (encoded["tries"], encoded["active"]) == (2, 0)

    run(main())
