"""Control machines and nodes on loopback: changes, acknowledgements, partitions, lost machines, promotion."""

from __future__ import annotations

import asyncio
import shutil
import socket
from pathlib import Path
from typing import Any

import pytest

from rosewheel.control import machine_selection, replica, store
from rosewheel.control.codec.cached_document import encode_cached_document
from rosewheel.control.documents import Document
from rosewheel.control.durable_log import LOG_FILE_NAME
from rosewheel.control.errors import StaleUpdateError
from rosewheel.control.revisions import INITIAL_REVISION, Epoch, Revision
from tests.support.control_machines import ControlCluster, control_cluster
from tests.support.sockets import run, until

LIMITS = {"limits": {"max_open": 500}}


def all_committed(cluster: ControlCluster, number: int) -> bool:
    return all(machine.store.replica.committed.number >= number for machine in cluster.machines.values())


def applied_numbers(cluster: ControlCluster) -> set[int]:
    return {node.applied.number for node in cluster.nodes.values()}


async def until_contacted(cluster: ControlCluster) -> None:
    """Wait until all machines have been in contact with one another."""
    await until(
        lambda: all(
            heartbeat.last_revision is not None
            for machine in cluster.machines.values()
            for heartbeat in machine.heartbeats.values()
        )
    )


async def until_watching(cluster: ControlCluster, nodes: int) -> None:
    """Wait for contact between all machines, start nodes, and wait until each node has a watch."""
    await until_contacted(cluster)
    for index in range(nodes):
        await cluster.start_node(f"n{index}")
    await until(
        lambda: sum(len(machine.watches.connection_by_node) for machine in cluster.machines.values()) == nodes
    )


async def until_status(cluster: ControlCluster, name: str, **expected: int) -> Any:
    """Poll a machine's status until its counts are as expected, and return it."""
    status = await cluster.status(name)
    while any(status[key] != count for key, count in expected.items()):
        status = await cluster.status(name)
    return status


def test_a_change_is_applied_everywhere_and_each_machines_status_reports_it(tmp_path: Path):
    async def main() -> None:
        async with control_cluster(tmp_path) as cluster:
            for index in range(8):
                await cluster.start_node(f"n{index}", "fotos" if index % 2 else "puntos")
            await until(
                lambda: all(
                    heartbeat.alive
                    for machine in cluster.machines.values()
                    for heartbeat in machine.heartbeats.values()
                )
            )
            patch = LIMITS | {"services": {"fotos": {"cordons": ["entrada-3"]}}}
            code, body = await cluster.put("c1", patch, by="ana")
            assert (code, body["version"]) == (200, 1)
            await until(lambda: applied_numbers(cluster) == {1})
            for connection in (
                connection for machine in cluster.machines.values() for connection in machine.watches.watches
            ):
                assert connection.transport is not None
                sock = connection.transport.get_extra_info("socket")
                timeout_ms = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
                assert timeout_ms == 10000, (
                    "a lost node must not stay connected for the system's default of about 15 minutes"
                )
            assert cluster.documents["n0"] == LIMITS
            assert cluster.documents["n1"] == LIMITS | {"cordons": ["entrada-3"]}
            for name in cluster.names:
                status = await until_status(cluster, name, in_force=8)
                counts = (status["nodes"], status["behind"], status["refused"], status["version"])
                assert counts == (8, 0, 0, 1)
                assert {node["machine"] for node in status["all"]} <= set(cluster.names)
            assert await cluster.put("c1", {"services": {"otro": {"limits": {"max_open": 9}}}}) == (
                200,
                {"version": 2, "epoch": 1, "writer": "c1", "changed": True},
            )
            await until(lambda: applied_numbers(cluster) == {2})
            assert all(len(documents) == 1 for documents in cluster.applied.values()), (
                "a change of another service must not be applied"
            )

    run(main())


@pytest.mark.parametrize(
    ("patch", "text"),
    [
        ({"limits": {"max_open": "many"}}, "limits.max_open: Expected `int`, got `str`"),
        ({"limits": {"memory_mb": 64}}, "limits.memory_mb: can be set only in the node's own file"),
        ({"limits": {"max_opne": 1}}, "limits.max_opne: unknown key"),
        (
            {"services": {"fotos": {"routing": {"siblings": 0}}}},
            "services.fotos.routing.siblings: Expected `int` >= 1",
        ),
        (
            {"services": {"fotos": {"node": {"name": "x"}}}},
            "services.fotos.node: can be set only in the node's own file",
        ),
        ({"services": []}, "services: not a table"),
        (
            {"class": [{"name": "a", "aim_ms": 9, "give_up_ms": 5}]},
            "class[0].aim_ms: longer than give_up_ms",
        ),
        ({"class": [{"name": "a", "give_up_ms": 5}]}, "class[0].aim_ms: missing"),
        ({"services": {"fotos": 1}}, "services.fotos: not a table"),
        ({"cordons": [None]}, "cordons: not a list of server names"),
        ("no object", "patch: not an object"),
    ],
)
def test_an_invalid_change_names_its_key_and_is_not_written(tmp_path: Path, patch: Any, text: str):
    async def main() -> None:
        async with control_cluster(tmp_path, 2) as cluster:
            await until_contacted(cluster)
            assert (await cluster.put("c1", LIMITS))[0] == 200
            before = cluster.machines["c1"].store.log.size
            code, body = await cluster.put("c1", patch)
            assert code == 400
            assert body["error"].startswith(text)
            assert "\n" not in body["error"]
            assert cluster.machines["c1"].store.log.size == before
            assert (await cluster.status("c1"))["written"] == 1

    run(main())


def test_concurrent_changes_conflict_and_a_follower_names_the_leader(tmp_path: Path):
    async def main() -> None:
        async with control_cluster(tmp_path, 2) as cluster:
            await until_contacted(cluster)
            responses = await asyncio.gather(
                *(cluster.put("c1", {"limits": {"max_open": value}}, 0) for value in (5, 6))
            )
            assert sorted(code for code, _ in responses) == [200, 409]
            assert next(body["error"] for code, body in responses if code == 409) == (
                "version conflict: the current version is 1, not 0"
            )
            code, body = await cluster.put("c2", LIMITS, 1)
            assert (code, body["writer"]) == (409, "c1")
            assert body["error"] == "c2 is not the leader; the leader is c1"
            assert body["address"] == "{}:{}".format(*cluster.routes["c2", "c1"].address)

    run(main())


def test_a_rollback_is_a_new_revision_with_the_old_document(tmp_path: Path):
    async def main() -> None:
        async with control_cluster(tmp_path, 2) as cluster:
            await until_contacted(cluster)
            await cluster.start_node("n1")
            for patch in (LIMITS, {"limits": None, "cordons": ["entrada-1"]}):
                assert (await cluster.put("c1", patch, by="ana", note="why"))[0] == 200
            code, body = await cluster.call("c1", "POST", "/control/rollback", {"to": 1, "version": 2})
            assert (code, body["version"]) == (200, 3)
            await until(lambda: applied_numbers(cluster) == {3})
            assert cluster.documents["n1"] == LIMITS
            _, history = await cluster.call("c2", "GET", "/control/history?most=2")
            changes = [(change["version"], change["note"], change["by"]) for change in history["versions"]]
            assert changes == [(3, "back to version 1", ""), (2, "why", "ana")]
            code, body = await cluster.call("c1", "POST", "/control/rollback", {"to": 9, "version": 3})
            assert (code, body["error"]) == (404, "version 9 is not retained; retained versions are 0 to 3")

    run(main())


def test_a_node_that_rejects_a_revision_keeps_the_one_before_and_status_has_the_reason(tmp_path: Path):
    def reject(document: Document) -> str:
        return "limits.max_open: more than this node has" if document["limits"]["max_open"] > 1000 else ""

    async def main() -> None:
        async with control_cluster(tmp_path, 2) as cluster:
            await until_contacted(cluster)
            await cluster.start_node("small", reject=reject, cache_path=tmp_path / "cache")
            await cluster.start_node("large")
            assert (await cluster.put("c1", LIMITS))[0] == 200
            await until(lambda: applied_numbers(cluster) == {1})
            assert (await cluster.put("c1", {"limits": {"max_open": 2000}}))[0] == 200
            await until(lambda: cluster.nodes["large"].applied.number == 2)
            status = await until_status(cluster, "c2", refused=1)
            assert cluster.documents["small"] == LIMITS
            node = status["refused_nodes"][0]
            assert (node["node"], node["version"], node["refused"]) == ("small", 1, 2)
            assert node["why"] == "limits.max_open: more than this node has"
            # The next patch is merged into the received document, not into the applied one.
            assert (await cluster.put("c1", {"limits": {"max_open": 700}, "cordons": ["entrada-1"]}))[
                0
            ] == 200
            await until(lambda: applied_numbers(cluster) == {3})
            assert cluster.documents["small"] == {"limits": {"max_open": 700}, "cordons": ["entrada-1"]}
            await until_status(cluster, "c1", refused=0, in_force=2)

    run(main())


def test_a_node_without_a_machine_starts_with_its_cached_document_unless_that_is_damaged(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
):
    async def main() -> None:
        cache = tmp_path / "cache"
        async with control_cluster(tmp_path, 2) as cluster:
            await until_contacted(cluster)
            node = await cluster.start_node("n1", cache_path=cache)
            assert (await cluster.put("c1", LIMITS))[0] == 200
            await until(lambda: cache.exists())
            node.close()
            cluster.partition({"n1"}, {"c1", "c2"})
            restarted = await cluster.start_node("n1", cache_path=cache)
            assert restarted.applied.number == 1, "the cached document must be applied when start returns"
            assert cluster.documents["n1"] == LIMITS
            restarted.close()
            content = cache.read_bytes()
            for damaged in (content[:-3], b"", b"\0" * 40, content.replace(b"500", b"501")):
                cache.write_bytes(damaged)
                caplog.clear()
                fresh = await cluster.start_node("n1", cache_path=cache)
                assert fresh.applied == INITIAL_REVISION
                lines = [record.message for record in caplog.records if "cached" in record.message]
                assert len(lines) == 1
                assert lines[0].startswith("cached configuration ignored: ")
                fresh.close()
            cluster.heal({"n1"}, {"c1", "c2"})
            fresh = await cluster.start_node("n1", cache_path=cache)
            await until(lambda: fresh.applied.number == 1)

    run(main())


def test_a_partitioned_region_catches_up_after_the_partition(tmp_path: Path):
    async def main() -> None:
        async with control_cluster(tmp_path) as cluster:
            await until_watching(cluster, 8)
            near, far = {"c1", "c2"}, {"c3", "c4"}
            near_nodes = {name for name, node in cluster.nodes.items() if node.machine in near}
            far_nodes = set(cluster.nodes) - near_nodes
            assert near_nodes
            assert far_nodes
            cluster.partition(near | near_nodes, far | far_nodes)
            assert (await cluster.put("c1", LIMITS))[0] == 200, "c2 must replicate the change"
            await until(lambda: {cluster.nodes[name].applied.number for name in near_nodes} == {1})
            assert (await cluster.put("c1", {"cordons": ["entrada-1"]}))[0] == 200
            code, body = await cluster.call("c3", "POST", "/control/promote", {})
            assert code == 409, "c3 can't know which changes the leader has committed in the meantime"
            assert "promotion quorum not reached" in body["error"]
            assert {cluster.nodes[name].applied.number for name in far_nodes} == {0}
            cluster.heal(near | near_nodes, far | far_nodes)
            await until(lambda: applied_numbers(cluster) == {2} and all_committed(cluster, 2))
            expected = LIMITS | {"cordons": ["entrada-1"]}
            assert all(document == expected for document in cluster.documents.values())
            status = await until_status(cluster, "c4", in_force=8)
            assert status["machine"] == "c1"

    run(main())


def test_nodes_of_a_lost_machine_move_to_the_next_in_their_order_and_return(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
):
    monkeypatch.setattr(machine_selection, "RETURN_INTERVAL_S", (0.2, 0.4))

    async def main() -> None:
        async with control_cluster(tmp_path) as cluster:
            await until_watching(cluster, 24)
            before = {name: node.machine for name, node in cluster.nodes.items()}
            assert before == {
                name: machine_selection.rendezvous_order(name, cluster.names)[0] for name in before
            }
            await cluster.stop("c3")
            moved = {name for name, machine in before.items() if machine == "c3"}
            assert moved
            remaining = [name for name in cluster.names if name != "c3"]

            def all_moved() -> bool:
                return all(
                    name
                    in cluster.machines[
                        machine_selection.rendezvous_order(name, remaining)[0]
                    ].watches.connection_by_node
                    for name in cluster.nodes
                )

            await until(all_moved)
            assert (await cluster.put("c1", LIMITS))[0] == 200
            await until(lambda: applied_numbers(cluster) == {1})
            await cluster.start("c3")
            await until(lambda: moved == set(cluster.machines["c3"].watches.connection_by_node))
            assert {name: node.machine for name, node in cluster.nodes.items()} == before

    run(main())


def test_a_replaced_leader_comes_back_as_a_follower(tmp_path: Path):
    async def main() -> None:
        async with control_cluster(tmp_path) as cluster:
            await until_watching(cluster, 4)
            assert (await cluster.put("c1", LIMITS))[0] == 200
            await until(lambda: all_committed(cluster, 1) and applied_numbers(cluster) == {1})
            others = set(cluster.names[1:])
            cluster.partition({"c1"}, others)
            # The partitioned leader writes the change, but can't replicate it, so no node receives it.
            code, body = await cluster.put("c1", {"limits": {"max_open": 1}})
            assert code == 503
            assert "not replicated to another machine yet" in body["error"]
            code, body = await cluster.call("c2", "POST", "/control/promote", {"by": "ana"})
            assert (code, body["epoch"], body["version"], body["lost"]) == (200, 2, 2, [])
            assert (await cluster.put("c2", {"limits": {"max_open": 600}}))[0] == 200
            cluster.heal({"c1"}, others)
            await until(lambda: all_committed(cluster, 3) and applied_numbers(cluster) == {3})
            epochs = {machine.store.replica.highest_epoch_seen for machine in cluster.machines.values()}
            assert epochs == {Epoch(2, "c2")}
            expected = {"limits": {"max_open": 600}}
            assert all(document == expected for document in cluster.documents.values())
            values = [
                document["limits"]["max_open"]
                for documents in cluster.applied.values()
                for document in documents
            ]
            assert 1 not in values, "an uncommitted change must not be applied"
            code, body = await cluster.put("c1", LIMITS)
            assert (code, body["error"]) == (409, "c1 is not the leader; the leader is c2")
            # The epoch and the document survive a restart of c1.
            await cluster.stop("c1")
            await cluster.start("c1")
            assert cluster.machines["c1"].store.replica.highest_epoch_seen == Epoch(2, "c2")
            assert cluster.machines["c1"].store.replica.committed_document == expected

    run(main())


def test_a_machine_that_is_behind_is_promoted_only_by_force_and_reports_what_is_lost(tmp_path: Path):
    async def main() -> None:
        async with control_cluster(tmp_path, 3) as cluster:
            await until_watching(cluster, 2)
            assert (await cluster.put("c1", LIMITS))[0] == 200
            await until(lambda: all_committed(cluster, 1))
            cluster.partition({"c1", "c2"}, {"c3"})
            assert (await cluster.put("c1", {"limits": {"max_open": 600}}))[0] == 200
            await cluster.stop("c1")
            cluster.heal({"c2"}, {"c3"})
            replication = cluster.machines["c3"].replication
            assert replication is not None
            replication.close()  # keeps c3 behind c2
            code, body = await cluster.call("c3", "POST", "/control/promote", {})
            assert code == 409
            assert "c3 has version 1 of epoch 1 (c1), but c2 has version 2 of epoch 1 (c1)" in body["error"]
            code, body = await cluster.call("c3", "POST", "/control/promote", {"force": True})
            assert (code, body["version"], body["epoch"]) == (200, 2, 2)
            assert body["lost"] == ["c2 had version 2 of epoch 1 (c1)"]
            await until(lambda: {node.applied for node in cluster.nodes.values()} == {Revision(2, "c3", 2)})
            assert all(document == LIMITS for document in cluster.documents.values())

    run(main())


def test_a_node_rejects_updates_of_a_lower_epoch_and_reports_its_epoch_to_the_machine(tmp_path: Path):
    async def main() -> None:
        async with control_cluster(tmp_path / "one", 1) as cluster:
            node = await cluster.start_node("n1")
            assert (await cluster.put("c1", LIMITS))[0] == 200
            await until(lambda: node.applied.number == 1)
            later = Revision(3, "c2", 1)
            node.state.applied = node.state.received = later
            machine = cluster.machines["c1"]
            machine.watches.close()
            await until(lambda: machine.store.replica.highest_epoch_seen == Epoch(3, "c2"))
            code, body = await cluster.put("c1", {"cordons": ["x"]})
            assert (code, body["error"]) == (409, "c1 is not the leader; the leader is c2")
            line = {"seq": 9, "epoch": 2, "writer": "c9", "whole": True, "config": {}}
            with pytest.raises(StaleUpdateError, match="is older than version 1 of epoch 3"):
                node._decode(line)
            assert node.applied == later

    run(main())


def test_the_log_is_compacted_and_a_machine_that_missed_the_changes_gets_a_snapshot(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
):
    monkeypatch.setattr(store, "RETAINED_REVISIONS", 5)
    monkeypatch.setattr(replica.Replica, "trim", lambda self: self.history.trim(5))
    # Hundreds of syncs on a busy disk can exceed the test's time limit; test_durable_log covers syncs.
    monkeypatch.setattr("rosewheel.control.durable_log.os.fsync", lambda file: None)

    async def main() -> None:
        async with control_cluster(tmp_path, 3) as cluster:
            await until_watching(cluster, 2)
            assert (await cluster.put("c1", LIMITS))[0] == 200
            await until(lambda: all_committed(cluster, 1) and applied_numbers(cluster) == {1})
            await cluster.stop("c3")
            disconnected = cluster.nodes["n0"]
            disconnected.close()
            for index in range(30):
                assert (await cluster.put("c1", {"limits": {"max_open": 100 + index}}))[0] == 200
            assert cluster.machines["c1"].store.log.record_count <= 12
            await cluster.start("c3")
            await until(lambda: all_committed(cluster, 31))
            expected = {"limits": {"max_open": 129}}
            assert cluster.machines["c3"].store.replica.committed_document == expected
            cluster.machines["c1"].store.replica.trim()
            disconnected._closed = False
            disconnected._open()
            await until(lambda: applied_numbers(cluster) == {31})
            assert cluster.documents["n0"] == expected
            await cluster.stop("c1")
            await cluster.start("c1")
            assert cluster.machines["c1"].store.replica.history.last_document == expected

    run(main())


def test_a_leader_that_returns_with_an_old_copy_of_its_folder_loses_no_accepted_change(tmp_path: Path):
    """Guards against two contents of one version on two machines each (review case 8)."""

    async def main() -> None:
        async with control_cluster(tmp_path) as cluster:
            await until_contacted(cluster)
            accepted = [{"limits": {"max_open": value}} for value in (5, 6, 7, 8)]
            for patch in accepted[:2]:
                assert (await cluster.put("c1", patch))[0] == 200
            await until(lambda: all_committed(cluster, 2))
            await cluster.stop("c4")
            shutil.copytree(tmp_path / "c1", tmp_path / "copy")
            assert (await cluster.put("c1", accepted[2]))[0] == 200
            await until(lambda: all_committed(cluster, 3))
            await cluster.stop("c1")
            shutil.rmtree(tmp_path / "c1")
            shutil.move(tmp_path / "copy", tmp_path / "c1")
            await cluster.start("c1")
            code, body = await cluster.put("c1", accepted[3])
            assert code in (409, 503), body  # not before c4 has reported
            await cluster.start("c4")
            await until(lambda: cluster.machines["c1"].store.replica.is_leader)
            code, body = await cluster.put("c1", accepted[3])
            assert code == 200, body
            await until(lambda: all_committed(cluster, 5))
            for machine in cluster.machines.values():
                patches = [change.patch for change in machine.store.replica.history.changes]
                assert [patch for patch in patches if patch] == accepted

    run(main())


def test_followers_return_to_a_restarted_leader_before_a_change_times_out(tmp_path: Path):
    def sources(cluster: ControlCluster) -> set[str]:
        replications = [cluster.machines[name].replication for name in ("c2", "c3")]
        return {replication.source for replication in replications if replication is not None}

    async def main() -> None:
        async with control_cluster(tmp_path, 3) as cluster:
            await until_contacted(cluster)
            for index in range(2):
                await cluster.stop("c1")
                await until(lambda: sources(cluster) == {"c2", "c3"})  # they watch each other in the meantime
                await cluster.start("c1")
                peer_revisions = cluster.machines["c1"].store.replica.peer_revisions
                await until(lambda reported=peer_revisions: set(reported) == {"c2", "c3"})
                code, body = await cluster.put("c1", {"limits": {"max_open": 5 + index}})
                assert code == 200, body

    run(main())


def test_a_replacement_machine_gets_the_log_and_a_leader_that_lost_its_disk_accepts_no_change(tmp_path: Path):
    async def main() -> None:
        async with control_cluster(tmp_path, 3) as cluster:
            await until_contacted(cluster)
            for value in (5, 6):
                assert (await cluster.put("c1", {"limits": {"max_open": value}}))[0] == 200
            await until(lambda: all_committed(cluster, 2))
            for name in ("c3", "c1"):
                await cluster.stop(name)
                (tmp_path / name / LOG_FILE_NAME).unlink()
                await cluster.start(name)
                if name == "c3":
                    await until(lambda: all_committed(cluster, 2))
                    peer_revisions = cluster.machines["c1"].store.replica.peer_revisions
                    await until(lambda reported=peer_revisions: reported["c3"].number == 2)
            await until(lambda: set(cluster.machines["c1"].store.replica.peer_revisions) == {"c2", "c3"})
            code, body = await cluster.put("c1", LIMITS, 0)
            assert code == 503
            assert body["error"] == (
                "c1 has an empty log, but peers have versions; promote one of them: c2, c3"
            )
            assert (await cluster.call("c2", "POST", "/control/promote", {}))[0] == 200
            await until(lambda: all_committed(cluster, 3))
            expected = {"limits": {"max_open": 6}}
            assert cluster.machines["c1"].store.replica.committed_document == expected

    run(main())


def test_nodes_report_their_epoch_to_empty_machines_and_follow_the_one_that_is_promoted(tmp_path: Path):
    async def main() -> None:
        async with control_cluster(tmp_path, 2) as cluster:
            await until_contacted(cluster)
            cache = tmp_path / "cache"
            cache.write_bytes(encode_cached_document("fotos", Revision(3, "c2", 900), LIMITS))
            node = await cluster.start_node("n1", cache_path=cache)
            assert node.applied == Revision(3, "c2", 900)
            await until(
                lambda: all(
                    machine.store.replica.highest_epoch_seen.number == 3
                    for machine in cluster.machines.values()
                )
            )
            assert (await cluster.put("c1", {"cordons": ["x"]}))[0] == 409
            assert (await cluster.put("c2", {"cordons": ["x"]}))[0] == 409
            assert (await cluster.call("c1", "POST", "/control/promote", {}))[0] == 409
            code, body = await cluster.call("c1", "POST", "/control/promote", {"force": True})
            assert (code, body["epoch"], body["version"]) == (200, 4, 1)
            assert (await cluster.put("c1", {"cordons": ["x"]}))[0] == 200
            await until(lambda: node.applied == Revision(4, "c1", 2))
            assert cluster.documents["n1"] == {"cordons": ["x"]}

    run(main())
