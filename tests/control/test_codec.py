"""Encodings on the wire and on disk, which must stay compatible with earlier releases."""

from __future__ import annotations

from urllib.parse import parse_qs

import orjson
import pytest

from rosewheel.control.codec import calls, log_records, watch
from rosewheel.control.codec.cached_document import decode_cached_document, encode_cached_document
from rosewheel.control.codec.status import decode_status, encode_status, status_target
from rosewheel.control.errors import CachedDocumentError, MalformedMessageError
from rosewheel.control.messages import (
    ChangeResponse,
    ConfigurationUpdate,
    ErrorResponse,
    FleetReport,
    Heartbeat,
    HistoryResponse,
    MachineReport,
    MachineState,
    NodeAcknowledgement,
    NodeReport,
    NodeStatus,
    PromoteRequest,
    PutRequest,
    RevisionCount,
    RollbackRequest,
    StatusReport,
    WatchRequest,
)
from rosewheel.control.revisions import Change, Epoch, EpochObserved, LogRecord, LogSuffix, Revision, Snapshot

CHANGE = Change(Revision(1, "c1", 3), {"limits": {"max_open": 5}}, "ana", "why", 12.5, True)
PLAIN_CHANGE = Change(Revision(1, "c1", 4), {}, created_at_s=13.0)
SNAPSHOT = Snapshot(Revision(1, "c1", 2), {"a": 1}, 7.0)
CHANGE_JSON = (
    b'{"kind":"change","at":[1,"c1",3],"patch":{"limits":{"max_open":5}},"at_s":12.5,'
    b'"by":"ana","note":"why","alone":true}'
)
PLAIN_CHANGE_JSON = b'{"kind":"change","at":[1,"c1",4],"patch":{},"at_s":13.0}'
SNAPSHOT_JSON = b'{"kind":"base","at":[1,"c1",2],"document":{"a":1},"at_s":7.0}'
STATUS = NodeStatus(
    "n1", "fotos", "c2", 7, Revision(1, "c1", 3), Revision(1, "c1", 4), "limits: no", connected=False
)
STATUS_JSON = b'["n1","fotos","c2",7,[1,"c1",3],[1,"c1",4],"limits: no",false]'


@pytest.mark.parametrize(
    ("record", "body"),
    [
        (CHANGE, CHANGE_JSON),
        (PLAIN_CHANGE, PLAIN_CHANGE_JSON),
        (SNAPSHOT, SNAPSHOT_JSON),
        (EpochObserved(Epoch(2, "c2")), b'{"kind":"seen","epoch":[2,"c2"]}'),
    ],
)
def test_log_records(record: LogRecord, body: bytes):
    assert log_records.encode_log_record(record) == body
    assert log_records.decode_log_record(body) == record


@pytest.mark.parametrize(
    ("suffix", "line"),
    [
        (
            LogSuffix((CHANGE, PLAIN_CHANGE), SNAPSHOT),
            b'{"seq":4,"whole":true,"changes":[%b,%b],"base":%b}'
            % (CHANGE_JSON, PLAIN_CHANGE_JSON, SNAPSHOT_JSON),
        ),
        (LogSuffix((PLAIN_CHANGE,)), b'{"seq":4,"whole":false,"changes":[%b]}' % PLAIN_CHANGE_JSON),
    ],
)
def test_log_suffixes(suffix: LogSuffix, line: bytes):
    assert log_records.encode_log_suffix(suffix) == line
    assert log_records.decode_log_suffix(orjson.loads(line)) == suffix


def test_the_cached_document():
    revision, document = Revision(3, "c2", 900), {"limits": {"max_open": 5}}
    content = (
        b"rosewheel-control 1 813fd715 74\n"
        b'{"service":"fotos","at":[3,"c2",900],"document":{"limits":{"max_open":5}}}'
    )
    assert encode_cached_document("fotos", revision, document) == content
    assert decode_cached_document(content, "fotos") == (revision, document)
    with pytest.raises(CachedDocumentError, match="document is of another service, 'fotos'"):
        decode_cached_document(content, "puntos")


@pytest.mark.parametrize(
    ("request_", "target"),
    [
        (
            WatchRequest(Revision(1, "c1", 3), node="n 1", service="f/x", stamp=7, received_is_applied=True),
            "/control/config?follow=1&since=3&epoch=1&writer=c1&node=n%201&service=f%2Fx&stamp=7&held=1",
        ),
        (
            WatchRequest(Revision(1, "c1", 3), node="n1", service="fotos", stamp=7),
            "/control/config?follow=1&since=3&epoch=1&writer=c1&node=n1&service=fotos&stamp=7",
        ),
        (
            WatchRequest(Revision(1, "c1", 3), peer="c2"),
            "/control/config?follow=1&peer=c2&since=3&epoch=1&writer=c1",
        ),
    ],
)
def test_watch_targets(request_: WatchRequest, target: str):
    assert watch.encode_watch_target(request_) == target
    query = {key: values[-1] for key, values in parse_qs(target.partition("?")[2]).items()}
    assert watch.is_watch_query(query)
    assert watch.decode_watch_request(query) == request_


@pytest.mark.parametrize("key", ["epoch", "since", "stamp"])
@pytest.mark.parametrize("value", ["x", "", str(2**63), str(-(2**63)), "9" * 5000])
def test_a_watch_request_with_a_malformed_number_is_refused(key: str, value: str):
    with pytest.raises(MalformedMessageError):
        watch.decode_watch_request({"follow": "1", "node": "n1", key: value})


def test_updates_of_a_nodes_watch():
    update = ConfigurationUpdate(Revision(1, "c1", 3), is_snapshot=False, content={"a": None})
    line = b'{"seq":3,"epoch":1,"writer":"c1","whole":false,"config":{"a":null}}'
    assert watch.encode_update(update) == line
    assert watch.decode_update(orjson.loads(line)) == update
    with pytest.raises(MalformedMessageError, match="missing field: 'config'"):
        watch.decode_update({"seq": 3, "epoch": 1, "writer": "c1"})


def test_acknowledgements_and_statuses():
    assert orjson.dumps(watch.encode_node_status(STATUS)) == STATUS_JSON
    assert watch.decode_node_status(orjson.loads(STATUS_JSON)) == STATUS
    acknowledgement = NodeAcknowledgement("n1", "fotos", 7, Revision(1, "c1", 3))
    body = {"nodes": [["n1", "fotos", 7, [1, "c1", 3], None, ""]]}
    assert watch.encode_acknowledgements([acknowledgement]) == body
    assert watch.decode_acknowledgements(body) == [acknowledgement]


def test_calls_between_machines():
    epoch, last = Epoch(2, "c2"), Revision(1, "c1", 3)
    row = {"machine": "c1", "seen": [2, "c2"], "at": [1, "c1", 3]}
    assert calls.encode_heartbeat(Heartbeat("c1", epoch, last)) == row
    full = Heartbeat("c1", epoch, last, (STATUS,), includes_all_nodes=True)
    full_row = row | {"whole": True, "nodes": [orjson.loads(STATUS_JSON)]}
    assert calls.encode_heartbeat(full) == full_row
    assert calls.decode_heartbeat(full_row) == full
    state = MachineState("c1", "ab", epoch, last, is_fenced=True)
    response = row | {"boot": "ab"}
    assert calls.encode_machine_state(state) == response
    assert calls.encode_fence_response(state) == response | {"fenced": True}
    assert calls.decode_machine_state(response | {"fenced": True}) == state
    assert calls.encode_fence(epoch) == {"epoch": [2, "c2"]}
    assert calls.decode_fence({"epoch": [2, "c2"]}) == epoch


def test_calls_of_operators():
    put = PutRequest({"a": 1}, 41, "ana", "why", unreplicated=True)
    put_row = {"patch": {"a": 1}, "version": 41, "by": "ana", "note": "why", "alone": True}
    assert calls.encode_put(put) == put_row
    assert calls.decode_put(put_row) == put
    rollback_row = {"to": 40, "version": 41, "by": "ana", "alone": False}
    assert calls.encode_rollback(RollbackRequest(40, 41, "ana")) == rollback_row
    assert calls.decode_rollback(rollback_row) == RollbackRequest(40, 41, "ana")
    assert calls.encode_promote(PromoteRequest(True, "ana")) == {"force": True, "by": "ana"}
    assert calls.decode_promote({"force": True, "by": "ana"}) == PromoteRequest(True, "ana")
    for version in (True, "41", None, 4.0):
        with pytest.raises(MalformedMessageError, match="is not a version"):
            calls.decode_put(put_row | {"version": version})


def test_responses_to_operators():
    revision = {"version": 3, "epoch": 1, "writer": "c1"}
    response = ChangeResponse(Revision(1, "c1", 3), changed=True, lost=("c2 had version 2",))
    row = revision | {"changed": True, "lost": ["c2 had version 2"]}
    assert calls.encode_change_response(response) == row
    assert calls.decode_change_response(row) == response
    unchanged = ChangeResponse(Revision(1, "c1", 3), changed=False)
    assert calls.encode_change_response(unchanged) == revision | {"changed": False}
    change = Change(Revision(1, "c1", 3), {"a": 1}, "ana", "why", 12.5)
    history = HistoryResponse("c1", 0, (change,))
    history_row = {
        "machine": "c1",
        "oldest": 0,
        "versions": [revision | {"at_s": 12.5, "by": "ana", "note": "why", "patch": {"a": 1}}],
    }
    assert calls.encode_history(history) == history_row
    assert calls.decode_history(history_row) == history
    not_leader = ErrorResponse("c2 is not the leader; the leader is c1", "c1", "10.0.1.5:8600")
    not_leader_row = {
        "error": "c2 is not the leader; the leader is c1",
        "writer": "c1",
        "address": "10.0.1.5:8600",
    }
    assert calls.encode_error(not_leader) == not_leader_row
    assert calls.decode_error(not_leader_row) == not_leader
    assert calls.encode_error(ErrorResponse("no", current=3)) == {"error": "no", "version": 3}


def test_the_status_report():
    node = NodeReport(
        NodeStatus("n1", "fotos", "c2", 0, Revision(1, "", 3), Revision(1, "", 4), "limits: no"), 2.0, 1.5
    )
    report = StatusReport(
        contacted="c2",
        machine="c1",
        problem="",
        committed=Revision(1, "c1", 4),
        last_number=5,
        highest_epoch_seen=Epoch(1, "c1"),
        machines=(
            MachineReport("c1", Revision(1, "c1", 5), 0.0, True),
            MachineReport("c2", None, None, False),
        ),
        fleet=FleetReport(
            nodes=1,
            up_to_date=0,
            behind_count=1,
            rejected_count=1,
            disconnected_count=0,
            longest_behind_s=1.5,
            revisions=(RevisionCount(Revision(1, "c1", 3), 1),),
            behind=(node,),
            rejected=(node,),
            disconnected=(),
            all_nodes=(node,),
        ),
    )
    node_row = {
        **{"node": "n1", "service": "fotos", "machine": "c2", "version": 3, "epoch": 1},
        **{"for_s": 2.0, "behind_s": 1.5, "connected": True, "refused": 4, "why": "limits: no"},
    }
    row = {
        **{"asked": "c2", "machine": "c1", "problem": ""},
        **{"version": 4, "epoch": 1, "writer": "c1", "written": 5, "seen": [1, "c1"]},
        "machines": [
            {"machine": "c1", "at": [1, "c1", 5], "heard_s": 0.0, "writes": True},
            {"machine": "c2", "at": None, "heard_s": None, "writes": False},
        ],
        **{"nodes": 1, "in_force": 0, "behind": 1, "refused": 1, "away": 0, "longest_behind_s": 1.5},
        "versions": [{"version": 3, "epoch": 1, "writer": "c1", "nodes": 1}],
        **{"behind_nodes": [node_row], "refused_nodes": [node_row], "away_nodes": [], "all": [node_row]},
    }
    assert encode_status(report) == row
    assert list(encode_status(report)) == list(row)
    assert decode_status(row) == report
    assert status_target() == "/control/status"
    assert status_target(local_only=True, all_nodes=True) == "/control/status?here=1&all=1"
