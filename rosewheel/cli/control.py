"""`rosewheel control`: the machines that hold the fleet's configuration, and what an operator asks of them."""

from __future__ import annotations

import asyncio
import getpass
import http.client
import json
import signal
import sys
import time
import tomllib
from pathlib import Path
from typing import Any, NoReturn

import click
import msgspec
import uvloop

from rosewheel import logs
from rosewheel.config.checked import KeyedError, ProblemsError, read
from rosewheel.config.operator import LogTable, Table, Text
from rosewheel.config.platform import Address, parse_address
from rosewheel.control.durable_log import DurableLog, LogDamagedError
from rosewheel.control.machine import ControlMachine, MachineSettings

ANSWER_S = 10.0  # a promotion asks each peer twice


@click.group()
def control() -> None:
    """The fleet's configuration: machines that hold it, changes, who has what in force, another writer.

    Exit codes: 0 done, 1 it was not done, 2 bad input (one plain line).
    """


# -------------------------------------------------------------------------- serve


class ControlTable(Table, frozen=True, kw_only=True):
    """The file of one control machine, in place of the flags."""

    name: Text
    listen: Text
    dir: Text
    writer: str = ""
    peers: dict[str, str] = msgspec.field(default_factory=dict)
    log: LogTable = LogTable()

    def __post_init__(self) -> None:
        self._addresses("listen")
        for peer, address in self.peers.items():
            try:
                parse_address(address)
            except ValueError as error:
                raise KeyedError(f"peers.{peer}", str(error)) from error


@control.command()
@click.option("--config", "path", type=click.Path(), help="A TOML file with what the flags say otherwise.")
@click.option("--name", help="This machine's name.")
@click.option("--listen", help="ADDRESS:PORT for nodes, machines and operators.")
@click.option(
    "--peer", "peers", multiple=True, metavar="NAME=ADDRESS:PORT", help="Another machine; once each."
)
@click.option("--writer", default="", help="Who writes at first; counts only where the folder is empty.")
@click.option("--dir", "folder", type=click.Path(), help="The folder of the log.")
@click.option("--json", "json_lines", is_flag=True, help="Log JSON lines.")
def serve(
    path: str | None,
    name: str | None,
    listen: str | None,
    peers: tuple[str, ...],
    writer: str,
    folder: str | None,
    json_lines: bool,
) -> None:
    """Run one control machine until SIGTERM."""
    form, level = "json" if json_lines else "plain", "info"
    if path is not None:
        try:
            told = read(path, ControlTable)
        except ProblemsError as error:
            for line in error.lines():
                click.echo(f"rosewheel: {line}", err=True)
            sys.exit(2)
        name, listen, folder = name or told.name, listen or told.listen, folder or told.dir
        writer, form, level = writer or told.writer, "json" if json_lines else told.log.form, told.log.level
        peers = peers or tuple(f"{peer}={address}" for peer, address in told.peers.items())
    for key, value in (("--name", name), ("--listen", listen), ("--dir", folder)):
        if not value:
            _bad(f"{key} is missing")
    assert name is not None
    assert listen is not None
    assert folder is not None
    others = dict(_machine(peer, "--peer") for peer in peers)
    others.pop(name, None)  # the same list may be given to all
    if writer and writer != name and writer not in others:
        _bad(f"--writer: no machine {writer!r}")
    setup = MachineSettings(name, _address(listen, "--listen"), Path(folder), others, writer)
    logs.start(form == "json", level)
    try:
        disk = DurableLog(setup.data_dir)
    except LogDamagedError as error:
        _bad(str(error))
    except OSError as error:
        _bad(f"--dir: {error}")
    try:
        uvloop.run(_serve(setup, disk))
    except OSError as error:
        _bad(str(error))


async def _serve(setup: MachineSettings, disk: DurableLog) -> None:
    stop = asyncio.Event()
    for name in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(name, stop.set)
    service = ControlMachine(setup, disk)
    try:
        await service.start()
        click.echo(f"{setup.name} listens at {setup.listen[0]}:{service.port}")
        await stop.wait()
    finally:
        await service.close()


# ---------------------------------------------------------------------- operators

AT = click.option(
    "--at", "at", required=True, envvar="ROSEWHEEL_CONTROL", metavar="ADDRESS:PORT", help="A control machine."
)
BY = click.option("--by", default=None, help="Who does it; else the user of this shell.")
ALONE = click.option(
    "--alone",
    is_flag=True,
    help="Acknowledge it though no other machine holds it: it may be lost with this one.",
)
EXPECT = click.option(
    "--version", "expected", type=int, help="The version it was made for; else the present one."
)
JSON = click.option("--json", "as_json", is_flag=True, help="The answer as it came.")


@control.command()
@click.argument("path", type=click.Path(), metavar="FILE")
@AT
@EXPECT
@BY
@click.option("--note", default="", help="Why.")
@ALONE
def put(path: str, at: str, expected: int | None, by: str | None, note: str, alone: bool) -> None:
    """Make a change: FILE holds a merge patch, as TOML, or as JSON where a key is to be taken away (null)."""
    try:
        text = Path(path).read_text(encoding="utf-8")
        patch = json.loads(text) if path.endswith(".json") else tomllib.loads(text)
    except (OSError, ValueError) as error:
        _bad(f"{path}: {error}")
    row = {
        "patch": patch,
        "version": _expected(at, expected),
        "by": by or _user(),
        "note": note,
        "alone": alone,
    }
    _done(_call(at, "POST", "/control/put", row))


@control.command()
@click.argument("version", type=int)
@AT
@EXPECT
@BY
@ALONE
def rollback(version: int, at: str, expected: int | None, by: str | None, alone: bool) -> None:
    """Make a new version of what VERSION held."""
    row = {"to": version, "version": _expected(at, expected), "by": by or _user(), "alone": alone}
    _done(_call(at, "POST", "/control/rollback", row))


@control.command()
@AT
@click.option("--most", default=20, show_default=True, help="How many.")
@JSON
def history(at: str, most: int, as_json: bool) -> None:
    """The versions, newest first."""
    row = _call(at, "GET", f"/control/history?most={most}")
    if as_json:
        click.echo(json.dumps(row))
        return
    for told in row["versions"]:
        when = time.strftime("%Y-%m-%d %H:%M:%S", time.localtime(told["at_s"]))
        patch = json.dumps(told["patch"], ensure_ascii=False)
        note = f"  ({told['note']})" if told["note"] else ""
        click.echo(
            f"{told['version']:>6}  {when}  {told['writer']}  {told['by'] or '-'}  {patch[:200]}{note}"
        )


@control.command()
@AT
@click.option("--all", "everything", is_flag=True, help="Each node.")
@JSON
def status(at: str, everything: bool, as_json: bool) -> None:
    """Which version is shown, which machines hold it, which nodes have it in force. Ends with 1 where a node is behind
    or has refused, or the writer can't be asked."""
    row = _call(at, "GET", "/control/status" + ("?all=1" if everything else ""))
    if as_json:
        click.echo(json.dumps(row))
    else:
        _show(row, everything)
    sys.exit(1 if row["behind"] or row["refused"] or row["problem"] else 0)


def _show(row: dict[str, Any], everything: bool) -> None:
    click.echo(f"version {row['version']} of epoch {row['epoch']}, told by {row['machine']}")
    if row["problem"]:
        click.echo(f"! {row['problem']}")
    if row["written"] > row["version"]:
        click.echo(f"! version {row['written']} is written, and held by no other machine yet")
    for told in row["machines"]:
        held = "nothing heard" if told["at"] is None else f"version {told['at'][2]} of epoch {told['at'][0]}"
        heard = "" if not told["heard_s"] else f", heard {told['heard_s']:g} s ago"
        click.echo(f"  {told['machine']}: {held}{heard}{', writes' if told['writes'] else ''}")
    click.echo(
        f"nodes: {row['nodes']}, in force at {row['in_force']}, behind {row['behind']} (the longest"
        f" {row['longest_behind_s']:g} s), refused by {row['refused']}, away {row['away']}"
    )
    kinds = ("all",) if everything else ("behind_nodes", "refused_nodes", "away_nodes")
    for kind in kinds:
        for node in row[kind]:
            words = [f"version {node['version']} for {node['for_s']:g} s"]
            if node["behind_s"]:
                words.append(f"behind for {node['behind_s']:g} s")
            if "refused" in node:
                words.append(f"refused {node['refused']}: {node['why']}")
            if not node["connected"]:
                words.append("away")
            click.echo(f"  {node['node']} ({node['service']}, at {node['machine']}): {', '.join(words)}")


@control.command()
@AT
@click.option(
    "--force", is_flag=True, help="Also where others hold more, or too few answer: that may lose versions."
)
@BY
def promote(at: str, force: bool, by: str | None) -> None:
    """Make the machine at this address the one that writes."""
    row = _call(at, "POST", "/control/promote", {"force": force, "by": by or _user()}, hop=False)
    for lost in row.get("lost", ()):
        click.echo(f"lost: {lost}", err=True)
    word = "writes from" if row["changed"] else "writes already, at"
    click.echo(f"{row['writer']} {word} version {row['version']} of epoch {row['epoch']}")


# -------------------------------------------------------------------------- calls


def _call(at: str, method: str, target: str, row: Any = None, hop: bool = True) -> Any:
    """The answer; ends with 1 and one plain line where it is none, with 2 where the call was bad. What only the writer
    does is asked of the writer, where the machine that was asked names it."""
    status, told = _exchange(_address(at, "--at"), method, target, row)
    if hop and status == 409 and isinstance(told, dict) and told.get("address"):
        status, told = _exchange(parse_address(told["address"]), method, target, row)
    if status == 200:
        return told
    text = told.get("error", "") if isinstance(told, dict) else ""
    click.echo(f"rosewheel: {text or f'answered {status}'}", err=True)
    sys.exit(2 if status in (400, 404) else 1)


def _exchange(address: Address, method: str, target: str, row: Any) -> tuple[int, Any]:
    connection = http.client.HTTPConnection(*address, timeout=ANSWER_S)
    try:
        body = None if row is None else json.dumps(row).encode()
        connection.request(method, target, body)
        answer = connection.getresponse()
        return answer.status, json.loads(answer.read())
    except (OSError, http.client.HTTPException, ValueError) as error:
        click.echo(f"rosewheel: {address[0]}:{address[1]}: {error or type(error).__name__}", err=True)
        sys.exit(1)
    finally:
        connection.close()


def _expected(at: str, expected: int | None) -> int:
    if expected is not None:
        return expected
    row = _call(at, "GET", "/control/status")
    return int(row["written"])


def _done(row: dict[str, Any]) -> None:
    if row["changed"]:
        click.echo(f"version {row['version']}")
    else:
        click.echo(f"nothing changes: version {row['version']} stays")


def _machine(text: str, key: str) -> tuple[str, Address]:
    name, equals, address = text.partition("=")
    if not equals or not name:
        _bad(f"{key}: {text!r} is not NAME=ADDRESS:PORT")
    return name, _address(address, key)


def _address(text: str, key: str) -> Address:
    try:
        return parse_address(text)
    except ValueError as error:
        _bad(f"{key}: {error}")


def _user() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return ""


def _bad(text: str) -> NoReturn:
    click.echo(f"rosewheel: {' '.join(text.split())}", err=True)
    sys.exit(2)
