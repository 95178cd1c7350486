"""The figures: each ended request once, under its class, by how it ended."""

from __future__ import annotations

from rosewheel.node.core import Node
from rosewheel.node.limits import Limits
from rosewheel.node.statistics import RequestOutcome, Statistics
from rosewheel.policy.events import AttemptResult, EndpointListForm, RequestReceived, Server
from tests.support.balancers import settings
from tests.support.sockets import Client, FakeServer, entry, gated_handler, node, run, status, until


def counts(figures: Statistics) -> dict[str, tuple[int, int, int]]:
    return {name: (one.ok, one.shed, one.errors) for name, one in figures.classes.items()}


def test_only_classes_of_the_settings_are_counted():
    """Guards memory: a client that makes classes up must not make counters."""
    figures = Statistics(["read"])
    figures.count_request("made-up", RequestOutcome.OK)
    figures.count_request(None, RequestOutcome.SHED)
    figures.count_request("read", RequestOutcome.SHED)
    assert counts(figures) == {"read": (0, 1, 0)}


def test_a_request_is_counted_once_however_often_its_end_is_told():
    box = Node(settings(), Limits(), seed=1, now=0.0)
    box.update_endpoints(0.0, EndpointListForm.SNAPSHOT, (Server("s", zone="a"),))
    box.receive_request(1.0, RequestReceived("r", "post", 2000.0))
    assert box.active_requests == 1
    for _ in range(2):
        box.attempt_finished(5.0, "r", 0, AttemptResult.RESET)
    box.tick(5000.0)
    assert counts(box.statistics)["post"] == (0, 0, 1)
    assert box.active_requests == 0


def test_who_has_left_is_not_counted():
    box = Node(settings(), Limits(), seed=1, now=0.0)
    box.update_endpoints(0.0, EndpointListForm.SNAPSHOT, (Server("s", zone="a"),))
    box.receive_request(1.0, RequestReceived("r", "post", 2000.0))
    box.client_disconnected(2.0, "r")
    box.attempt_finished(5.0, "r", 0, AttemptResult.OK)
    assert counts(box.statistics)["post"] == (0, 0, 0)
    assert box.active_requests == 0


def test_the_figures_follow_what_happens_on_the_sockets():
    """Guards operators against figures that drift from what clients saw and servers got."""

    async def main() -> None:
        free, slow = gated_handler()
        async with FakeServer(slow).up() as server, node([entry("s", server.port)]) as relay:
            async with Client(relay) as one, Client(relay) as two:
                one.send("post")
                await until(lambda: len(server.got) == 1)
                now = relay.statistics()
                assert (now["active"], now["pool_size"], now["pool_ejected"]) == (1, 1, 0)
                free.set()
                assert status(await one.answer()) == 200
                assert status(await two.ask("read")) == 200
                relay.upstream.set_cordoned("s", True)  # so that nothing can be sent, whatever is decided
                assert status(await two.ask("post")) == 503
            now = relay.statistics()
            assert now["responses"]["post"] == {"ok": 1, "shed": 1, "errors": 0}
            assert now["responses"]["read"] == {"ok": 1, "shed": 0, "errors": 0}
            assert now["responses"]["points"] == {"ok": 0, "shed": 0, "errors": 0}
            assert (now["tries"], now["active"]) == (2, 0)

    run(main())
