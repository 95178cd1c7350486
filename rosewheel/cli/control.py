"""`rosewheel control`: runs control machines, and shows or changes the fleet's configuration."""

from __future__ import annotations

import getpass
import json
import sys
import time
import tomllib
from pathlib import Path

import click

from rosewheel.cli.control_calls import EXIT_FAILED, call_machine, exit_bad_input
from rosewheel.cli.control_serve import serve
from rosewheel.control.codec.calls import (
    decode_change_response,
    decode_history,
    encode_promote,
    encode_put,
    encode_rollback,
    history_target,
)
from rosewheel.control.codec.paths import PROMOTE_PATH, PUT_PATH, ROLLBACK_PATH
from rosewheel.control.codec.status import decode_status, status_target
from rosewheel.control.codec.values import JsonObject
from rosewheel.control.documents import Document
from rosewheel.control.messages import (
    FleetReport,
    MachineReport,
    NodeReport,
    PromoteRequest,
    PutRequest,
    RollbackRequest,
    StatusReport,
)
from rosewheel.control.revisions import Change

SHOWN_PATCH_LENGTH = 200  # limit of the patch in a line of `history`, in characters


@click.group()
def control() -> None:
    """Run control machines, and show or change the fleet's configuration.

    Exit codes: 0 success, 1 failure, 2 invalid input (one line).
    """


control.add_command(serve)

machine_option = click.option(
    "--at",
    "machine",
    required=True,
    envvar="ROSEWHEEL_CONTROL",
    metavar="ADDRESS:PORT",
    help="Address of a control machine.",
)
author_option = click.option(
    "--by", "author", default=None, help="Author of the change (default: the current user)."
)
unreplicated_option = click.option(
    "--alone",
    "unreplicated",
    is_flag=True,
    help="Accept the change without replication; it may be lost with the leader.",
)
expected_option = click.option(
    "--version", "expected", type=int, help="Version that the change is based on (default: the current one)."
)
json_option = click.option("--json", "as_json", is_flag=True, help="Print the response as JSON.")


# Commands that change the configuration.


@control.command()
@click.argument("path", type=click.Path(), metavar="FILE")
@machine_option
@expected_option
@author_option
@click.option("--note", default="", help="Reason for the change.")
@unreplicated_option
def put(
    path: str, machine: str, expected: int | None, author: str | None, note: str, unreplicated: bool
) -> None:
    """Apply the merge patch in FILE: TOML, or JSON (*.json), in which null removes a key."""
    patch = _read_patch(path)
    number = _current_number(machine) if expected is None else expected
    request = PutRequest(patch, number, author or _user(), note, unreplicated)
    _print_change(call_machine(machine, "POST", PUT_PATH, encode_put(request)))


@control.command()
@click.argument("version", type=int)
@machine_option
@expected_option
@author_option
@unreplicated_option
def rollback(
    version: int, machine: str, expected: int | None, author: str | None, unreplicated: bool
) -> None:
    """Write a new version with the content of VERSION."""
    number = _current_number(machine) if expected is None else expected
    request = RollbackRequest(version, number, author or _user(), unreplicated)
    _print_change(call_machine(machine, "POST", ROLLBACK_PATH, encode_rollback(request)))


@control.command()
@machine_option
@click.option(
    "--force",
    is_flag=True,
    help="Promote even if others have newer versions or too few respond; versions may be lost.",
)
@author_option
def promote(machine: str, force: bool, author: str | None) -> None:
    """Make the machine at this address the leader."""
    request = PromoteRequest(force, author or _user())
    row = call_machine(machine, "POST", PROMOTE_PATH, encode_promote(request), follow_leader=False)
    response = decode_change_response(row)
    for lost in response.lost or ():
        click.echo(f"lost: {lost}", err=True)
    verb = "leads from" if response.changed else "already leads, at"
    revision = response.revision
    click.echo(f"{revision.leader} {verb} version {revision.number} of epoch {revision.epoch_number}")


def _read_patch(path: str) -> Document:
    try:
        text = Path(path).read_text(encoding="utf-8")
        patch: Document = json.loads(text) if path.endswith(".json") else tomllib.loads(text)
    except (OSError, ValueError) as error:
        exit_bad_input(f"{path}: {error}")
    return patch


def _current_number(machine: str) -> int:
    """Return the number of the last revision in the leader's log."""
    return decode_status(call_machine(machine, "GET", status_target())).last_number


def _print_change(row: JsonObject) -> None:
    response = decode_change_response(row)
    if response.changed:
        click.echo(f"version {response.revision.number}")
    else:
        click.echo(f"no change: version {response.revision.number} is still current")


def _user() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return ""


# Commands that report.


@control.command()
@machine_option
@click.option("--most", "limit", default=20, show_default=True, help="Number of versions to list.")
@json_option
def history(machine: str, limit: int, as_json: bool) -> None:
    """List the versions, newest first."""
    row = call_machine(machine, "GET", history_target(limit))
    if as_json:
        click.echo(json.dumps(row))
        return
    for change in decode_history(row).changes:
        click.echo(_history_line(change))


def _history_line(change: Change) -> str:
    when = time.strftime("%Y-%m-%d %H:%M:%S", time.localtime(change.created_at_s))
    patch = json.dumps(change.patch, ensure_ascii=False)[:SHOWN_PATCH_LENGTH]
    note = f"  ({change.note})" if change.note else ""
    revision = change.revision
    return f"{revision.number:>6}  {when}  {revision.leader}  {change.author or '-'}  {patch}{note}"


@control.command()
@machine_option
@click.option("--all", "all_nodes", is_flag=True, help="List each node.")
@json_option
def status(machine: str, all_nodes: bool, as_json: bool) -> None:
    """Show the current version, the last version of each machine, and the versions that nodes have applied.

    Exit code 1 if a node is behind or has rejected a version, or if the machine reports a problem.
    """
    row = call_machine(machine, "GET", status_target(all_nodes=all_nodes))
    report = decode_status(row)
    if as_json:
        click.echo(json.dumps(row))
    else:
        _print_status(report)
    is_converged = not (report.fleet.behind_count or report.fleet.rejected_count or report.problem)
    sys.exit(0 if is_converged else EXIT_FAILED)


def _print_status(report: StatusReport) -> None:
    committed = report.committed
    click.echo(f"version {committed.number} of epoch {committed.epoch_number}, reported by {report.machine}")
    if report.problem:
        click.echo(f"! {report.problem}")
    if report.last_number > committed.number:
        click.echo(f"! version {report.last_number} is not replicated to another machine yet")
    for machine in report.machines:
        click.echo(_machine_line(machine))
    _print_fleet(report.fleet)


def _machine_line(report: MachineReport) -> str:
    if report.last is None:
        last = "no contact yet"
    else:
        last = f"version {report.last.number} of epoch {report.last.epoch_number}"
    contact = f", last contact {report.last_contact_s:g} s ago" if report.last_contact_s else ""
    return f"  {report.machine}: {last}{contact}{', leader' if report.is_leader else ''}"


def _print_fleet(report: FleetReport) -> None:
    click.echo(
        f"nodes: {report.nodes}, up to date {report.up_to_date}, behind {report.behind_count}"
        f" (longest {report.longest_behind_s:g} s), rejected by {report.rejected_count},"
        f" disconnected {report.disconnected_count}"
    )
    exceptions = report.behind + report.rejected + report.disconnected
    for node in exceptions if report.all_nodes is None else report.all_nodes:
        click.echo(_node_line(node))


def _node_line(report: NodeReport) -> str:
    node = report.status
    parts = [f"version {node.applied.number} for {report.unchanged_for_s:g} s"]
    if report.behind_for_s:
        parts.append(f"behind for {report.behind_for_s:g} s")
    if node.rejected is not None:
        parts.append(f"rejected {node.rejected.number}: {node.reason}")
    if not node.connected:
        parts.append("disconnected")
    return f"  {node.node} ({node.service}, at {node.machine}): {', '.join(parts)}"
