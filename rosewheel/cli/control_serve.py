"""`rosewheel control serve`: runs one control machine."""

from __future__ import annotations

import asyncio
import signal
import sys
from dataclasses import dataclass
from pathlib import Path

import click
import msgspec
import uvloop

from rosewheel import logs
from rosewheel.cli.control_calls import EXIT_BAD_INPUT, exit_bad_input, parse_machine_address
from rosewheel.config.address import Address, parse_address
from rosewheel.config.errors import InvalidFileError, InvalidValueError
from rosewheel.config.operator_tables import ConfigTable, LogTable, NonEmptyText
from rosewheel.config.toml_file import read_file
from rosewheel.control.durable_log import DurableLog
from rosewheel.control.errors import LogUnusableError
from rosewheel.control.machine import ControlMachine
from rosewheel.control.machine_settings import MachineSettings


class MachineConfig(ConfigTable, frozen=True, kw_only=True):
    """The TOML file of a control machine. Options of the command line override it.

    Attributes:
        name: Name of the machine.
        listen: Address to listen on, as ADDRESS:PORT, for nodes, machines and operators.
        dir: Directory of the log.
        writer: Leader of the first epoch; ignored unless the log is empty.
        peers: Addresses of the other machines, as ADDRESS:PORT, by name.
        log: Format and level of the machine's log lines.
    """

    name: NonEmptyText
    listen: NonEmptyText
    dir: NonEmptyText
    writer: str = ""
    peers: dict[str, str] = msgspec.field(default_factory=dict)
    log: LogTable = LogTable()

    def __post_init__(self) -> None:
        """Check the addresses."""
        self.check_addresses("listen")
        for peer, address in self.peers.items():
            try:
                parse_address(address)
            except ValueError as error:
                raise InvalidValueError(f"peers.{peer}", str(error)) from error


@dataclass(slots=True, frozen=True)
class _ServeOptions:
    """The options of the command, from the command line or a file."""

    name: str | None
    listen: str | None
    peers: tuple[str, ...]
    leader: str
    data_dir: str | None
    json_lines: bool
    log_level: str = "info"

    def with_file(self, path: str) -> _ServeOptions:
        """Return the options, with a file's values where the command line has none. Exits if the file is invalid."""
        try:
            table = read_file(path, MachineConfig)
        except InvalidFileError as error:
            for line in error.messages():
                click.echo(f"rosewheel: {line}", err=True)
            sys.exit(EXIT_BAD_INPUT)
        return _ServeOptions(
            name=self.name or table.name,
            listen=self.listen or table.listen,
            peers=self.peers or tuple(f"{peer}={address}" for peer, address in table.peers.items()),
            leader=self.leader or table.writer,
            data_dir=self.data_dir or table.dir,
            json_lines=self.json_lines or table.log.form == "json",
            log_level=table.log.level,
        )

    def machine_settings(self) -> MachineSettings:
        """Return the settings of the machine. Exits if an option is missing or invalid."""
        name = _required(self.name, "--name")
        listen = _required(self.listen, "--listen")
        data_dir = _required(self.data_dir, "--dir")
        peers = dict(_parse_peer(peer) for peer in self.peers)
        peers.pop(name, None)  # so that one list of peers serves for all machines
        if self.leader and self.leader != name and self.leader not in peers:
            exit_bad_input(f"--writer: no machine {self.leader!r}")
        address = parse_machine_address(listen, "--listen")
        return MachineSettings(name, address, Path(data_dir), peers, self.leader)


@click.command()
@click.option(
    "--config",
    "path",
    type=click.Path(),
    help="TOML file with options; those of the command line override it.",
)
@click.option("--name", help="Name of this machine.")
@click.option("--listen", help="Address to listen on, as ADDRESS:PORT.")
@click.option(
    "--peer",
    "peers",
    multiple=True,
    metavar="NAME=ADDRESS:PORT",
    help="Another machine; repeat for each one.",
)
@click.option(
    "--writer",
    "leader",
    default="",
    help="Initial leader; ignored unless --dir is empty.",
)
@click.option("--dir", "data_dir", type=click.Path(), help="Directory of the log.")
@click.option("--json", "json_lines", is_flag=True, help="Log JSON lines.")
def serve(
    path: str | None,
    name: str | None,
    listen: str | None,
    peers: tuple[str, ...],
    leader: str,
    data_dir: str | None,
    json_lines: bool,
) -> None:
    """Run one control machine until SIGTERM."""
    options = _ServeOptions(name, listen, peers, leader, data_dir, json_lines)
    if path is not None:
        options = options.with_file(path)
    settings = options.machine_settings()
    logs.start(options.json_lines, options.log_level)
    durable_log = _open_log(settings.data_dir)
    try:
        uvloop.run(_run_machine(settings, durable_log))
    except OSError as error:
        exit_bad_input(str(error))


def _open_log(directory: Path) -> DurableLog:
    try:
        return DurableLog(directory)
    except LogUnusableError as error:
        exit_bad_input(str(error))
    except OSError as error:
        exit_bad_input(f"--dir: {error}")


async def _run_machine(settings: MachineSettings, durable_log: DurableLog) -> None:
    stop = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(signal_number, stop.set)
    machine = ControlMachine(settings, durable_log)
    try:
        await machine.start()
        click.echo(f"{settings.name} listens at {settings.listen[0]}:{machine.port}")
        await stop.wait()
    finally:
        await machine.close()


def _required(value: str | None, option: str) -> str:
    if not value:
        exit_bad_input(f"{option} is missing")
    return value


def _parse_peer(text: str) -> tuple[str, Address]:
    name, equals, address = text.partition("=")
    if not equals or not name:
        exit_bad_input(f"--peer: {text!r} is not NAME=ADDRESS:PORT")
    return name, parse_machine_address(address, "--peer")
