"""The node's side: the configuration that concerns it, followed at one control machine and kept on disk.

It costs a node one open connection, a timer, and a short call for each change. No request ever waits for it: what is in
force stays so until the next version is, also while no control machine can be reached, and a node that starts begins
with the copy of the last good one.
"""

from __future__ import annotations

import asyncio
import logging
import os
import time
import zlib
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any, NamedTuple
from urllib.parse import quote

import orjson

from rosewheel.config.platform import Address
from rosewheel.control.client import CallError, Client
from rosewheel.control.placement import CONNECT_S, FIRST_S, SILENCE_S, Route
from rosewheel.control.versions import START, Document, Position, merged, named
from rosewheel.discovery.watch import Watcher

log = logging.getLogger("rosewheel.control")

MAGIC = b"rosewheel-control"
FORMAT = 1
COPY_BYTES = 16 << 20  # Guards memory: a longer file was not written here
# Nodes acknowledge at a moment of their own in this time, so that those of one machine do not do it at once, and what
# follows quickly on another change is acknowledged together with it.
ACK_S = 0.4
ACK_AGAIN_S = (1.0, 2.0)
RETURN_MOST = (
    16.0  # to so many times the first wait grows the time between two looks for the preferred machine
)

Apply = Callable[[Document], None]


class Follower:
    """`apply` is given what concerns this node, whole, and puts it in force; ValueError where it can't be: what was in
    force stays, and the machines are told why. `copy` is the file for the last good one; without it none is kept. The
    waits are drawn by `seed`."""

    def __init__(
        self,
        name: str,
        service: str,
        machines: Mapping[str, Address],
        seed: int,
        copy: Path | None,
        apply: Apply,
    ) -> None:
        self.name, self.service, self.machines = name, service, dict(machines)
        self.copy, self.apply = copy, apply
        self.route = Route(name, self.machines, seed)
        self.position = START  # in force
        self.refused: Position | None = None  # a newer one, that could not be put in force
        self.why = ""
        self._told = START  # as last heard, in force or not
        self._document: Document = {}
        self._stamp = 0
        self._acked = False  # whether the machine knows what is in force here
        self._good: Document = {}  # what is in force
        self._kept: Position | None = None  # in the copy
        self._looks = 0  # for the preferred machine, since it was lost
        self._stopped = False
        self._client: Client | None = None
        self._ack_task: asyncio.Task[None] | None = None
        self._save_task: asyncio.Task[None] | None = None
        self._timers: dict[str, asyncio.TimerHandle] = {}
        self._watcher: Watcher[_Line] | None = None

    def start(self) -> None:
        """The copy is in force when this returns, if it is good; the rest comes as it comes."""
        self._recall()
        self._open()

    def close(self) -> None:
        self._stopped = True
        for timer in self._timers.values():
            timer.cancel()
        self._timers.clear()
        if self._watcher is not None:
            self._watcher.close()
        if self._client is not None:
            self._client.close()
        if self._ack_task is not None:
            self._ack_task.cancel()

    @property
    def machine(self) -> str:
        return self.route.current

    # ------------------------------------------------------------------ the machine

    def _open(self) -> None:
        if self._stopped:
            return
        address = self.machines[self.route.current]
        if self._client is None or self._client.address != address:
            if self._client is not None:
                self._client.close()
            self._client = Client(address)
        if self._watcher is None:
            self._watcher = Watcher(
                address,
                0,
                path=lambda _: self._path(),
                read=self._read,
                take=self._take,
                failed=self._failed,
                log=log,
                silence_s=SILENCE_S,
                connect_s=CONNECT_S,
                first_s=FIRST_S,
            )
        self._watcher.move(address)
        self._watcher.since = 0  # what follows what is for this class to say: a count is one of an epoch
        self._watcher.watch()
        if self.refused is not None or self._told != self.position:
            self._acknowledge()
        if not self.route.preferred and "return" not in self._timers:
            self._after("return", self.route.return_s() * min(RETURN_MOST, 2.0**self._looks), self._return)

    def _path(self) -> str:
        told = self._told
        at = f"since={told.version}&epoch={told.number}&writer={quote(told.writer)}"
        held = "&held=1" if self.position == told and self.refused is None else ""
        who = f"node={quote(self.name, safe='')}&service={quote(self.service, safe='')}&stamp={self._next_stamp()}"
        return f"/control/config?follow=1&{at}&{who}{held}"

    def _failed(self) -> None:
        """The watch ended: the next machine in this node's order, a moment later."""
        if not self._stopped:
            self._after("open", self.route.lost(), self._open)

    def _return(self) -> None:
        """Look whether the preferred machine is back. If it is not, the watch fails and goes on to the next."""
        self._looks += 1
        if not self.route.preferred:
            self.route.home()
            self._open()

    def _after(self, name: str, wait_s: float, call: Callable[[], None]) -> None:
        if name in self._timers:
            self._timers[name].cancel()

        def due() -> None:
            self._timers.pop(name, None)
            call()

        self._timers[name] = asyncio.get_running_loop().call_later(wait_s, due)

    # ---------------------------------------------------------------- what it says

    def _read(self, row: dict[str, Any]) -> _Line:
        config = row["config"]
        position = Position(row["epoch"], row["writer"], row["seq"])
        if not isinstance(config, dict) or not all(map(isinstance, position, (int, str, int))):
            raise TypeError("not a configuration")
        if position < self._told:  # of a lower epoch, or of an earlier version of this one
            raise ValueError(f"{named(position)} is from before {named(self._told)}")
        return _Line(position, config)

    def _take(self, whole: bool, line: _Line) -> None:
        self._document = line.config if whole else merged(self._document, line.config)
        before, self._told = self._told, line.position
        if self.route.preferred:
            self._looks = 0
        if whole or line.config or self.position == START:
            self._put_in_force()
        elif self.refused is None:
            self.position = line.position  # it concerns others: only the version is another
            if before.epoch != line.position.epoch:
                self._save()  # so that nothing older is taken after a restart either
        self._acknowledge()

    def _put_in_force(self) -> None:
        try:
            self.apply(self._document)
        except ValueError as error:
            self.refused, self.why = self._told, " ".join(str(error).split())
            log.error(
                "%s is not in force here, %s stays: %s", named(self._told), named(self.position), self.why
            )
            return
        self.position, self._good, self.refused, self.why = self._told, self._document, None, ""
        log.info("%s is in force", named(self.position))
        self._save()

    # -------------------------------------------------------------- acknowledgement

    def _next_stamp(self) -> int:
        """Grows with each word of this node, also over its restarts, as far as its clock is not set back."""
        self._stamp = max(self._stamp + 1, int(time.time() * 1000.0))
        return self._stamp

    def _acknowledge(self) -> None:
        self._acked = False
        if "ack" not in self._timers and (self._ack_task is None or self._ack_task.done()):
            self._after("ack", self.route.random.uniform(0.0, ACK_S), self._ack)

    def _ack(self) -> None:
        if not self._stopped:
            self._ack_task = asyncio.get_running_loop().create_task(self._tell())

    async def _tell(self) -> None:
        while not self._acked and self._client is not None:
            self._acked = True
            row = [self.name, self.service, self._next_stamp(), self.position, self.refused, self.why]
            client = self._client
            try:
                status, _ = await client.call("POST", "/control/ack", {"nodes": [row]})
            except CallError:
                status = 0
            client.close()  # a descriptor here, and on the machine one for each node, are not worth a connect saved
            if status != 200:
                self._acked = False
                self._after("ack", self.route.random.uniform(*ACK_AGAIN_S), self._ack)
                return

    # --------------------------------------------------------------------- the copy

    def _recall(self) -> None:
        if self.copy is None:
            return
        try:
            with self.copy.open("rb") as file:
                position, document = decoded(file.read(COPY_BYTES + 1), self.service)
            self.apply(document)
        except FileNotFoundError:
            return
        except (OSError, ValueError, KeyError, TypeError) as error:
            log.warning("the copy of the configuration is not used: %s", " ".join(str(error).split()))
            return
        self.position = self._told = self._kept = position
        self._document = self._good = document
        log.info("%s is in force, by the copy", named(position))

    def _save(self) -> None:
        if self.copy is not None and (self._save_task is None or self._save_task.done()):
            self._save_task = asyncio.get_running_loop().create_task(self._saved())

    async def _saved(self) -> None:
        """In a thread: a disk takes its time, and requests must not wait for it."""
        assert self.copy is not None
        while self.position != self._kept:
            position, document = self.position, self._good
            try:
                await asyncio.to_thread(write, self.copy, encoded(self.service, position, document))
            except OSError as error:
                log.error("the configuration is not kept: %s", error)
                return
            self._kept = position


class _Line(NamedTuple):
    position: Position
    config: Document


def encoded(service: str, position: Position, document: Document) -> bytes:
    body = orjson.dumps({"service": service, "at": position, "document": document}, default=tuple)
    return b"%b %d %08x %d\n" % (MAGIC, FORMAT, zlib.crc32(body), len(body)) + body


def decoded(data: bytes, service: str) -> tuple[Position, Document]:
    """ValueError, KeyError or TypeError with the reason where it is of no use."""
    head, newline, body = data.partition(b"\n")
    parts = head.split(b" ")
    if not newline or len(parts) != 4 or parts[0] != MAGIC or parts[1] != b"%d" % FORMAT:
        raise ValueError("not a copy of this format")
    if parts[3] != b"%d" % len(body):
        raise ValueError("not whole")
    if parts[2] != b"%08x" % zlib.crc32(body):
        raise ValueError("damaged")
    row: Any = orjson.loads(body)
    if row["service"] != service:
        raise ValueError(f"of another service, {row['service']!r}")
    number, writer, version = row["at"]
    return Position(number, writer, version), row["document"]


def write(path: Path, data: bytes) -> None:
    """The old one or the new one, whatever happens meanwhile."""
    part = path.with_name(f"{path.name}.{os.getpid()}.part")
    try:
        with part.open("wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        part.replace(path)
    except OSError:
        part.unlink(missing_ok=True)
        raise
