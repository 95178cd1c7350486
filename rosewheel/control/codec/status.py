"""JSON encoding of the status report, and of the call for it."""

from __future__ import annotations

from typing import Any

from rosewheel.control.codec.paths import STATUS_PATH
from rosewheel.control.codec.values import (
    JsonObject,
    decode_epoch,
    decode_response_revision,
    decode_revision,
    encode_epoch,
    encode_response_revision,
    encode_revision,
    malformed_on_error,
)
from rosewheel.control.messages import (
    FleetReport,
    MachineReport,
    NodeReport,
    NodeStatus,
    RevisionCount,
    StatusReport,
)
from rosewheel.control.revisions import Revision

SECONDS_DIGITS = 1  # decimal places of durations in the report


# The call for the report.


def status_target(local_only: bool = False, all_nodes: bool = False) -> str:
    """Return the path and query of a status call.

    Args:
        local_only: Whether to request the called machine's own report instead of the leader's.
        all_nodes: Whether to list all nodes.
    """
    options = [*(["here=1"] if local_only else []), *(["all=1"] if all_nodes else [])]
    return STATUS_PATH + ("?" + "&".join(options) if options else "")


def decode_local_only(query: JsonObject) -> bool:
    """Decode whether the called machine's own report is requested."""
    return query.get("here") == "1"


def decode_all_nodes(query: JsonObject) -> bool:
    """Decode whether the report is to list all nodes."""
    return query.get("all") == "1"


def relay_status(row: JsonObject, contacted: str) -> JsonObject:
    """Return the leader's encoded report as relayed by the contacted machine."""
    return row | {"asked": contacted}


# Encoding of the report.


def encode_status(report: StatusReport) -> JsonObject:
    """Encode a status report."""
    return {
        "asked": report.contacted,
        "machine": report.machine,
        "problem": report.problem,
        **encode_response_revision(report.committed),
        "written": report.last_number,
        "seen": encode_epoch(report.highest_epoch_seen),
        "machines": [_encode_machine(machine) for machine in report.machines],
        **_encode_fleet(report.fleet),
    }


def _encode_machine(report: MachineReport) -> JsonObject:
    return {
        "machine": report.machine,
        "at": None if report.last is None else encode_revision(report.last),
        "heard_s": None if report.last_contact_s is None else round(report.last_contact_s, SECONDS_DIGITS),
        "writes": report.is_leader,
    }


def _encode_fleet(report: FleetReport) -> JsonObject:
    row: JsonObject = {
        "nodes": report.nodes,
        "in_force": report.up_to_date,
        "behind": report.behind_count,
        "refused": report.rejected_count,
        "away": report.disconnected_count,
        "longest_behind_s": round(report.longest_behind_s, SECONDS_DIGITS),
        "versions": [
            encode_response_revision(count.revision) | {"nodes": count.nodes} for count in report.revisions
        ],
        "behind_nodes": [_encode_node(node) for node in report.behind],
        "refused_nodes": [_encode_node(node) for node in report.rejected],
        "away_nodes": [_encode_node(node) for node in report.disconnected],
    }
    if report.all_nodes is not None:
        row["all"] = [_encode_node(node) for node in report.all_nodes]
    return row


def _encode_node(report: NodeReport) -> JsonObject:
    status = report.status
    row: JsonObject = {
        "node": status.node,
        "service": status.service,
        "machine": status.machine,
        "version": status.applied.number,
        "epoch": status.applied.epoch_number,
        "for_s": round(report.unchanged_for_s, SECONDS_DIGITS),
        "behind_s": round(report.behind_for_s, SECONDS_DIGITS),
        "connected": status.connected,
    }
    if status.rejected is not None:
        row |= {"refused": status.rejected.number, "why": status.reason}
    return row


# Decoding of the report.


def decode_status(row: JsonObject) -> StatusReport:
    """Decode a status report.

    Stamps and the leaders of nodes' revisions are not encoded; they are zero and empty. A rejected revision gets the
    epoch number of the applied one.

    Raises:
        MalformedMessageError: A field is missing or invalid.
    """
    with malformed_on_error():
        return StatusReport(
            contacted=row["asked"],
            machine=row["machine"],
            problem=row["problem"],
            committed=decode_response_revision(row),
            last_number=int(row["written"]),
            highest_epoch_seen=decode_epoch(row["seen"]),
            machines=tuple(_decode_machine(value) for value in row["machines"]),
            fleet=_decode_fleet(row),
        )


def _decode_machine(row: Any) -> MachineReport:
    last = row["at"]
    return MachineReport(
        row["machine"], None if last is None else decode_revision(last), row["heard_s"], row["writes"]
    )


def _decode_fleet(row: JsonObject) -> FleetReport:
    all_nodes = row.get("all")
    return FleetReport(
        nodes=row["nodes"],
        up_to_date=row["in_force"],
        behind_count=row["behind"],
        rejected_count=row["refused"],
        disconnected_count=row["away"],
        longest_behind_s=row["longest_behind_s"],
        revisions=tuple(
            RevisionCount(decode_response_revision(value), value["nodes"]) for value in row["versions"]
        ),
        behind=_decode_nodes(row["behind_nodes"]),
        rejected=_decode_nodes(row["refused_nodes"]),
        disconnected=_decode_nodes(row["away_nodes"]),
        all_nodes=None if all_nodes is None else _decode_nodes(all_nodes),
    )


def _decode_nodes(rows: Any) -> tuple[NodeReport, ...]:
    return tuple(_decode_node(row) for row in rows)


def _decode_node(row: Any) -> NodeReport:
    status = NodeStatus(
        row["node"],
        row["service"],
        row["machine"],
        stamp=0,
        applied=Revision(row["epoch"], "", row["version"]),
        rejected=Revision(row["epoch"], "", row["refused"]) if "refused" in row else None,
        reason=row.get("why", ""),
        connected=row["connected"],
    )
    return NodeReport(status, row["for_s"], row["behind_s"])
