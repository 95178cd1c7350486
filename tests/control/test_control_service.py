"""Control machines and nodes on loopback: changes, acknowledgements, cuts, lost machines, promotion."""

from __future__ import annotations

import asyncio
import socket
from pathlib import Path
from typing import Any

import pytest

from rosewheel.control import machine_selection, replica, store
from rosewheel.control.durable_log import LOG_FILE_NAME
from rosewheel.control.revisions import INITIAL_REVISION, Document, Epoch, Revision
from rosewheel.control.subscriber import encode_cached_document
from tests.support.control_machines import Bed, machines
from tests.support.sockets import run, until

LIMITS = {"limits": {"max_open": 500}}


def all_hold(bed: Bed, version: int) -> bool:
    return all(service.store.replica.committed.number >= version for service in bed.services.values())


def test_a_change_is_in_force_everywhere_and_status_at_any_machine_says_so(tmp_path: Path):
    async def main() -> None:
        async with machines(tmp_path) as bed:
            for at in range(8):
                await bed.node(f"n{at}", "fotos" if at % 2 else "puntos")
            await until(
                lambda: all(link.alive for one in bed.services.values() for link in one.heartbeats.values())
            )
            patch = LIMITS | {"services": {"fotos": {"cordons": ["entrada-3"]}}}
            code, row = await bed.put("c1", patch, by="ana")
            assert (code, row["version"]) == (200, 1)
            await until(lambda: all(node.applied.number == 1 for node in bed.followers.values()))
            for caller in (caller for one in bed.services.values() for caller in one.watches.watches):
                assert caller.transport is not None
                sock = caller.transport.get_extra_info("socket")
                wait_ms = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
                assert wait_ms == 10000, (
                    "a node whose machine is gone does not look connected for a quarter of an hour"
                )
            assert bed.documents["n0"] == LIMITS
            assert bed.documents["n1"] == LIMITS | {"cordons": ["entrada-3"]}
            for name in bed.names:
                row = await bed.status(name)
                while row["in_force"] != 8:
                    row = await bed.status(name)
                assert (row["nodes"], row["behind"], row["refused"], row["version"]) == (8, 0, 0, 1)
                assert {node["machine"] for node in row["all"]} <= set(bed.names)
            assert await bed.put("c1", {"services": {"otro": {"limits": {"max_open": 9}}}}) == (
                200,
                {"version": 2, "epoch": 1, "writer": "c1", "changed": True},
            )
            await until(lambda: all(node.applied.number == 2 for node in bed.followers.values()))
            assert all(len(told) == 1 for told in bed.applied.values()), "a change for others costs no apply"

    run(main())


async def ready(bed: Bed) -> None:
    """All have heard of one another, and whoever does not write follows."""
    await until(
        lambda: all(
            link.last_revision is not None
            for one in bed.services.values()
            for link in one.heartbeats.values()
        )
    )


async def four(tmp_path: Path, bed: Bed, nodes: int = 0) -> None:
    await ready(bed)
    for at in range(nodes):
        await bed.node(f"n{at}")
    await until(lambda: sum(len(one.watches.watch_by_node) for one in bed.services.values()) == nodes)


def versions(bed: Bed) -> set[int]:
    return {node.applied.number for node in bed.followers.values()}


@pytest.mark.parametrize(
    ("patch", "says"),
    [
        ({"limits": {"max_open": "many"}}, "limits.max_open: Expected `int`, got `str`"),
        ({"limits": {"memory_mb": 64}}, "limits.memory_mb: is each node's own"),
        ({"limits": {"max_opne": 1}}, "limits.max_opne: unknown key"),
        (
            {"services": {"fotos": {"routing": {"siblings": 0}}}},
            "services.fotos.routing.siblings: Expected `int` >= 1",
        ),
        ({"services": {"fotos": {"node": {"name": "x"}}}}, "services.fotos.node: is each node's own"),
        ({"services": []}, "services: not a table"),
        (
            {"class": [{"name": "a", "aim_ms": 9, "give_up_ms": 5}]},
            "class[0].aim_ms: an answer is wanted after",
        ),
        ({"class": [{"name": "a", "give_up_ms": 5}]}, "class[0].aim_ms: missing"),
        ({"services": {"fotos": 1}}, "services.fotos: not a table"),
        ({"cordons": [None]}, "cordons: not a list of equipos' names"),
        ("no object", "a patch is an object"),
    ],
)
def test_a_bad_change_names_its_key_and_nothing_is_written(tmp_path: Path, patch: Any, says: str):
    async def main() -> None:
        async with machines(tmp_path, 2) as bed:
            await ready(bed)
            assert (await bed.put("c1", LIMITS))[0] == 200
            before = bed.services["c1"].store.log.size
            code, row = await bed.put("c1", patch)
            assert code == 400
            assert row["error"].startswith(says)
            assert "\n" not in row["error"]
            assert bed.services["c1"].store.log.size == before
            assert (await bed.status("c1"))["written"] == 1

    run(main())


def test_of_two_changes_for_one_version_one_is_a_conflict_and_another_machine_names_the_writer(
    tmp_path: Path,
):
    async def main() -> None:
        async with machines(tmp_path, 2) as bed:
            await ready(bed)
            told = await asyncio.gather(*(bed.put("c1", {"limits": {"max_open": at}}, 0) for at in (5, 6)))
            assert sorted(code for code, _ in told) == [200, 409]
            assert next(row["error"] for code, row in told if code == 409) == "version is 1, not 0"
            code, row = await bed.put("c2", LIMITS, 1)
            assert (code, row["error"], row["writer"]) == (409, "c1 writes, not c2", "c1")
            assert row["address"] == "{}:{}".format(*bed.ways["c2", "c1"].address)

    run(main())


def test_a_rollback_is_a_new_version_of_the_old_content_and_the_history_tells_of_it(tmp_path: Path):
    async def main() -> None:
        async with machines(tmp_path, 2) as bed:
            await ready(bed)
            await bed.node("n1")
            for patch in (LIMITS, {"limits": None, "cordons": ["entrada-1"]}):
                assert (await bed.put("c1", patch, by="ana", note="why"))[0] == 200
            code, row = await bed.call("c1", "POST", "/control/rollback", {"to": 1, "version": 2})
            assert (code, row["version"]) == (200, 3)
            await until(lambda: versions(bed) == {3})
            assert bed.documents["n1"] == LIMITS
            _, told = await bed.call("c2", "GET", "/control/history?most=2")
            rows = [(row["version"], row["note"], row["by"]) for row in told["versions"]]
            assert rows == [(3, "back to version 1", ""), (2, "why", "ana")]
            code, row = await bed.call("c1", "POST", "/control/rollback", {"to": 9, "version": 3})
            assert (code, row["error"]) == (404, "version 9 is not kept; 0 to 3 are")

    run(main())


def test_a_node_that_cannot_apply_keeps_the_old_whole_and_status_says_why(tmp_path: Path):
    def refuse(document: Document) -> str:
        return "limits.max_open: more than this node has" if document["limits"]["max_open"] > 1000 else ""

    async def main() -> None:
        async with machines(tmp_path, 2) as bed:
            await ready(bed)
            await bed.node("small", refuse=refuse, copy=tmp_path / "copy")
            await bed.node("large")
            assert (await bed.put("c1", LIMITS))[0] == 200
            await until(lambda: versions(bed) == {1})
            assert (await bed.put("c1", {"limits": {"max_open": 2000}}))[0] == 200
            await until(lambda: bed.followers["large"].applied.number == 2)
            row = await bed.status("c2")
            while not row["refused"]:
                row = await bed.status("c2")
            assert bed.documents["small"] == LIMITS
            node = row["refused_nodes"][0]
            assert (node["node"], node["version"], node["refused"]) == ("small", 1, 2)
            assert node["why"] == "limits.max_open: more than this node has"
            # What follows is merged into what was told, not into what is in force.
            assert (await bed.put("c1", {"limits": {"max_open": 700}, "cordons": ["entrada-1"]}))[0] == 200
            await until(lambda: versions(bed) == {3})
            assert bed.documents["small"] == {"limits": {"max_open": 700}, "cordons": ["entrada-1"]}
            row = await bed.status("c1")
            while row["refused"] or row["in_force"] != 2:
                row = await bed.status("c1")

    run(main())


def test_a_node_begins_with_its_copy_while_no_machine_can_be_reached_and_ignores_a_torn_one(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
):
    async def main() -> None:
        copy = tmp_path / "copy"
        async with machines(tmp_path, 2) as bed:
            await ready(bed)
            node = await bed.node("n1", copy=copy)
            assert (await bed.put("c1", LIMITS))[0] == 200
            await until(lambda: copy.exists())
            node.close()
            bed.cut({"n1"}, {"c1", "c2"})
            again = await bed.node("n1", copy=copy)
            assert again.applied.number == 1, "it is in force when start returns"
            assert bed.documents["n1"] == LIMITS
            again.close()
            for torn in (copy.read_bytes()[:-3], b"", b"\0" * 40, copy.read_bytes().replace(b"500", b"501")):
                copy.write_bytes(torn)
                caplog.clear()
                fresh = await bed.node("n1", copy=copy)
                assert fresh.applied == INITIAL_REVISION
                lines = [record.message for record in caplog.records if "copy" in record.message]
                assert len(lines) == 1
                assert lines[0].startswith("the copy of the configuration is not used: ")
                fresh.close()
            bed.cut({"n1"}, {"c1", "c2"}, off=False)
            fresh = await bed.node("n1", copy=copy)
            await until(lambda: fresh.applied.number == 1)

    run(main())


def test_what_a_cut_region_missed_is_in_force_after_its_return(tmp_path: Path):
    async def main() -> None:
        async with machines(tmp_path) as bed:
            await four(tmp_path, bed, 8)
            near, far = {"c1", "c2"}, {"c3", "c4"}
            here = {name for name, node in bed.followers.items() if node.machine in near}
            there = set(bed.followers) - here
            assert here
            assert there
            bed.cut(near | here, far | there)
            assert (await bed.put("c1", LIMITS))[0] == 200, "c2 holds it too"
            await until(lambda: {bed.followers[name].applied.number for name in here} == {1})
            assert (await bed.put("c1", {"cordons": ["entrada-1"]}))[0] == 200
            code, row = await bed.call("c3", "POST", "/control/promote", {})
            assert code == 409, "what the writer has acknowledged meanwhile is not known there"
            assert "held is not known" in row["error"]
            assert {bed.followers[name].applied.number for name in there} == {0}
            bed.cut(near | here, far | there, off=False)
            await until(lambda: versions(bed) == {2} and all_hold(bed, 2))
            assert all(document == LIMITS | {"cordons": ["entrada-1"]} for document in bed.documents.values())
            row = await bed.status("c4")
            while row["in_force"] != 8:
                row = await bed.status("c4")
            assert row["machine"] == "c1"

    run(main())


def test_nodes_of_a_lost_machine_move_to_the_next_in_their_own_order_and_return(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
):
    monkeypatch.setattr(machine_selection, "RETURN_INTERVAL_S", (0.2, 0.4))

    async def main() -> None:
        async with machines(tmp_path) as bed:
            await four(tmp_path, bed, 24)
            before = {name: node.machine for name, node in bed.followers.items()}
            assert before == {name: machine_selection.rendezvous_order(name, bed.names)[0] for name in before}
            await bed.stop("c3")
            moved = {name for name, machine in before.items() if machine == "c3"}
            assert moved
            left = [name for name in bed.names if name != "c3"]

            def spread() -> bool:
                return all(
                    name
                    in bed.services[machine_selection.rendezvous_order(name, left)[0]].watches.watch_by_node
                    for name in bed.followers
                )

            await until(spread)
            assert (await bed.put("c1", LIMITS))[0] == 200
            await until(lambda: versions(bed) == {1})
            await bed.start("c3")
            await until(lambda: moved == set(bed.services["c3"].watches.watch_by_node))
            assert {name: node.machine for name, node in bed.followers.items()} == before

    run(main())


def test_another_writer_is_promoted_and_the_old_one_comes_back_as_a_follower(tmp_path: Path):
    async def main() -> None:
        async with machines(tmp_path) as bed:
            await four(tmp_path, bed, 4)
            assert (await bed.put("c1", LIMITS))[0] == 200
            await until(lambda: all_hold(bed, 1) and versions(bed) == {1})
            for name in bed.names[1:]:
                bed.cut({"c1"}, {name})
            # Cut off it writes, but nobody else has it: not acknowledged, shown to no node.
            code, row = await bed.put("c1", {"limits": {"max_open": 1}})
            assert code == 503
            assert "no other machine has it yet" in row["error"]
            code, row = await bed.call("c2", "POST", "/control/promote", {"by": "ana"})
            assert (code, row["epoch"], row["version"], row["lost"]) == (200, 2, 2, [])
            assert (await bed.put("c2", {"limits": {"max_open": 600}}))[0] == 200
            for name in bed.names[1:]:
                bed.cut({"c1"}, {name}, off=False)
            await until(lambda: all_hold(bed, 3) and versions(bed) == {3})
            assert {one.store.replica.highest_epoch_seen for one in bed.services.values()} == {Epoch(2, "c2")}
            assert all(document == {"limits": {"max_open": 600}} for document in bed.documents.values())
            told = [
                document["limits"]["max_open"] for applied in bed.applied.values() for document in applied
            ]
            assert 1 not in told, "what was not held was in force nowhere"
            code, row = await bed.put("c1", LIMITS)
            assert (code, row["error"]) == (409, "c2 writes, not c1")
            # What it knows is on its disk.
            await bed.stop("c1")
            await bed.start("c1")
            assert bed.services["c1"].store.replica.highest_epoch_seen == Epoch(2, "c2")
            assert bed.services["c1"].store.replica.committed_document == {"limits": {"max_open": 600}}

    run(main())


def test_one_that_is_behind_is_promoted_only_by_force_and_says_what_is_lost(tmp_path: Path):
    async def main() -> None:
        async with machines(tmp_path, 3) as bed:
            await four(tmp_path, bed, 2)
            assert (await bed.put("c1", LIMITS))[0] == 200
            await until(lambda: all_hold(bed, 1))
            bed.cut({"c1"}, {"c3"})
            bed.cut({"c2"}, {"c3"})
            assert (await bed.put("c1", {"limits": {"max_open": 600}}))[0] == 200
            await bed.stop("c1")
            bed.cut({"c2"}, {"c3"}, off=False)
            bed.services["c3"].replication.close()  # it has no time to catch up
            code, row = await bed.call("c3", "POST", "/control/promote", {})
            assert code == 409
            assert (
                "c3 holds version 1 of epoch 1 (c1), but c2 holds version 2 of epoch 1 (c1)" in row["error"]
            )
            code, row = await bed.call("c3", "POST", "/control/promote", {"force": True})
            assert (code, row["version"], row["epoch"]) == (200, 2, 2)
            assert row["lost"] == ["c2 held version 2 of epoch 1 (c1)"]
            await until(lambda: {node.applied for node in bed.followers.values()} == {Revision(2, "c3", 2)})
            assert all(document == LIMITS for document in bed.documents.values())

    run(main())


def test_a_node_that_has_seen_a_later_epoch_takes_nothing_of_an_earlier_one_and_tells_the_old_writer(
    tmp_path: Path,
):
    async def main() -> None:
        async with machines(tmp_path / "one", 1) as bed:
            node = await bed.node("n1")
            assert (await bed.put("c1", LIMITS))[0] == 200
            await until(lambda: node.applied.number == 1)
            later = Revision(3, "c2", 1)
            node.applied = node._received = later
            bed.services["c1"].watches.close()
            service = bed.services["c1"]
            await until(lambda: service.store.replica.highest_epoch_seen == Epoch(3, "c2"))
            code, row = await bed.put("c1", {"cordons": ["x"]})
            assert (code, row["error"]) == (409, "c2 writes, not c1")
            line = {"seq": 9, "epoch": 2, "writer": "c9", "whole": True, "config": {}}
            with pytest.raises(ValueError, match="is from before version 1 of epoch 3"):
                node._read(line)
            assert node.applied == later

    run(main())


def test_the_log_is_compacted_and_a_machine_that_was_away_for_longer_gets_the_whole(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
):
    monkeypatch.setattr(store, "RETAINED_REVISIONS", 5)
    monkeypatch.setattr(replica.Replica, "trim", lambda self: self.history.trim(5))
    # What is synced is test_control_log's matter. Here some hundred syncs on a busy disk took 40 s, which is the bound.
    monkeypatch.setattr("rosewheel.control.durable_log.os.fsync", lambda file: None)

    async def main() -> None:
        async with machines(tmp_path, 3) as bed:
            await four(tmp_path, bed, 2)
            assert (await bed.put("c1", LIMITS))[0] == 200
            await until(lambda: all_hold(bed, 1) and versions(bed) == {1})
            await bed.stop("c3")
            away = bed.followers["n0"]
            away.close()
            for at in range(30):
                assert (await bed.put("c1", {"limits": {"max_open": 100 + at}}))[0] == 200
            assert bed.services["c1"].store.log.record_count <= 12
            await bed.start("c3")
            await until(lambda: all_hold(bed, 31))
            assert bed.services["c3"].store.replica.committed_document == {"limits": {"max_open": 129}}
            bed.services["c1"].store.replica.trim()
            away._stopped = False
            away._open()
            await until(lambda: versions(bed) == {31})
            assert bed.documents["n0"] == {"limits": {"max_open": 129}}
            await bed.stop("c1")
            await bed.start("c1")
            assert bed.services["c1"].store.replica.history.document == {"limits": {"max_open": 129}}

    run(main())


def test_machines_that_were_there_before_the_writer_turn_to_it_before_a_change_is_given_up(tmp_path: Path):
    async def main() -> None:
        async with machines(tmp_path, 3) as bed:
            await ready(bed)
            for turn in range(2):  # they follow one another meanwhile
                await bed.stop("c1")
                await until(
                    lambda: {bed.services[name].replication.source for name in ("c2", "c3")} == {"c2", "c3"}
                )
                await bed.start("c1")
                holds = bed.services["c1"].store.replica.peer_revisions
                await until(lambda holds=holds: set(holds) == {"c2", "c3"})
                code, row = await bed.put("c1", {"limits": {"max_open": 5 + turn}})
                assert code == 200, row

    run(main())


def test_a_new_machine_in_the_place_of_a_lost_one_gets_all_and_a_writer_without_its_disk_writes_nothing(
    tmp_path: Path,
):
    async def main() -> None:
        async with machines(tmp_path, 3) as bed:
            await ready(bed)
            for at in (5, 6):
                assert (await bed.put("c1", {"limits": {"max_open": at}}))[0] == 200
            await until(lambda: all_hold(bed, 2))
            for name in ("c3", "c1"):
                await bed.stop(name)
                (tmp_path / name / LOG_FILE_NAME).unlink()
                await bed.start(name)
                if name == "c3":
                    await until(lambda: all_hold(bed, 2))
                    await until(lambda: bed.services["c1"].store.replica.peer_revisions["c3"].number == 2)
            await until(lambda: set(bed.services["c1"].store.replica.peer_revisions) == {"c2", "c3"})
            code, row = await bed.put("c1", LIMITS, 0)
            assert code == 503
            assert row["error"] == "c2, c3 hold versions, and c1 none: promote one of those that do"
            assert (await bed.call("c2", "POST", "/control/promote", {}))[0] == 200
            await until(lambda: all_hold(bed, 3))
            assert bed.services["c1"].store.replica.committed_document == {"limits": {"max_open": 6}}

    run(main())


def test_machines_that_begin_anew_are_told_the_epoch_by_nodes_and_lead_them_on_once_one_is_promoted(
    tmp_path: Path,
):
    async def main() -> None:
        async with machines(tmp_path, 2) as bed:
            await ready(bed)
            copy = tmp_path / "copy"
            copy.write_bytes(encode_cached_document("fotos", Revision(3, "c2", 900), LIMITS))
            node = await bed.node("n1", copy=copy)
            assert node.applied == Revision(3, "c2", 900)
            await until(
                lambda: all(one.store.replica.highest_epoch_seen.number == 3 for one in bed.services.values())
            )
            assert (await bed.put("c1", {"cordons": ["x"]}))[0] == 409
            assert (await bed.put("c2", {"cordons": ["x"]}))[0] == 409
            assert (await bed.call("c1", "POST", "/control/promote", {}))[0] == 409
            code, row = await bed.call("c1", "POST", "/control/promote", {"force": True})
            assert (code, row["epoch"], row["version"]) == (200, 4, 1)
            assert (await bed.put("c1", {"cordons": ["x"]}))[0] == 200
            await until(lambda: node.applied == Revision(4, "c1", 2))
            assert bed.documents["n1"] == {"cordons": ["x"]}

    run(main())
