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
from rosewheel.control.http_client import HttpCallError, JsonHttpClient
from rosewheel.control.machine_selection import (
    CONNECT_TIMEOUT_S,
    FIRST_LINE_TIMEOUT_S,
    WATCH_IDLE_TIMEOUT_S,
    MachineSelection,
)
from rosewheel.control.revisions import INITIAL_REVISION, Document, Revision, apply_patch, describe
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

ApplyDocument = Callable[[Document], None]


class ConfigurationSubscriber:
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
        apply: ApplyDocument,
    ) -> None:
        self.name, self.service, self.machines = name, service, dict(machines)
        self.copy, self.apply = copy, apply
        self.selection = MachineSelection(name, self.machines, seed)
        self.applied = INITIAL_REVISION  # in force
        self.rejected: Revision | None = None  # a newer one, that could not be put in force
        self.reason = ""
        self._received = INITIAL_REVISION  # as last heard, in force or not
        self._document: Document = {}
        self._stamp = 0
        self._acknowledged = False  # whether the machine knows what is in force here
        self._good: Document = {}  # what is in force
        self._kept: Revision | None = None  # in the copy
        self._looks = 0  # for the preferred machine, since it was lost
        self._stopped = False
        self._client: JsonHttpClient | None = None
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
        return self.selection.current

    # ------------------------------------------------------------------ the machine

    def _open(self) -> None:
        if self._stopped:
            return
        address = self.machines[self.selection.current]
        if self._client is None or self._client.address != address:
            if self._client is not None:
                self._client.close()
            self._client = JsonHttpClient(address)
        if self._watcher is None:
            self._watcher = Watcher(
                address,
                0,
                path=lambda _: self._path(),
                read=self._read,
                take=self._take,
                failed=self._failed,
                log=log,
                silence_s=WATCH_IDLE_TIMEOUT_S,
                connect_s=CONNECT_TIMEOUT_S,
                first_s=FIRST_LINE_TIMEOUT_S,
            )
        self._watcher.move(address)
        self._watcher.since = 0  # what follows what is for this class to say: a count is one of an epoch
        self._watcher.watch()
        if self.rejected is not None or self._received != self.applied:
            self._acknowledge()
        if not self.selection.is_preferred and "return" not in self._timers:
            self._after(
                "return",
                self.selection.draw_return_wait_s() * min(RETURN_MOST, 2.0**self._looks),
                self._return,
            )

    def _path(self) -> str:
        told = self._received
        at = f"since={told.number}&epoch={told.epoch_number}&writer={quote(told.leader)}"
        held = "&held=1" if self.applied == told and self.rejected is None else ""
        who = f"node={quote(self.name, safe='')}&service={quote(self.service, safe='')}&stamp={self._next_stamp()}"
        return f"/control/config?follow=1&{at}&{who}{held}"

    def _failed(self) -> None:
        """The watch ended: the next machine in this node's order, a moment later."""
        if not self._stopped:
            self._after("open", self.selection.fail_over(), self._open)

    def _return(self) -> None:
        """Look whether the preferred machine is back. If it is not, the watch fails and goes on to the next."""
        self._looks += 1
        if not self.selection.is_preferred:
            self.selection.return_to_preferred()
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
        position = Revision(row["epoch"], row["writer"], row["seq"])
        if not isinstance(config, dict) or not all(map(isinstance, position, (int, str, int))):
            raise TypeError("not a configuration")
        if position < self._received:  # of a lower epoch, or of an earlier version of this one
            raise ValueError(f"{describe(position)} is from before {describe(self._received)}")
        return _Line(position, config)

    def _take(self, whole: bool, line: _Line) -> None:
        self._document = line.config if whole else apply_patch(self._document, line.config)
        before, self._received = self._received, line.position
        if self.selection.is_preferred:
            self._looks = 0
        if whole or line.config or self.applied == INITIAL_REVISION:
            self._put_in_force()
        elif self.rejected is None:
            self.applied = line.position  # it concerns others: only the version is another
            if before.epoch != line.position.epoch:
                self._save()  # so that nothing older is taken after a restart either
        self._acknowledge()

    def _put_in_force(self) -> None:
        try:
            self.apply(self._document)
        except ValueError as error:
            self.rejected, self.reason = self._received, " ".join(str(error).split())
            log.error(
                "%s is not in force here, %s stays: %s",
                describe(self._received),
                describe(self.applied),
                self.reason,
            )
            return
        self.applied, self._good, self.rejected, self.reason = self._received, self._document, None, ""
        log.info("%s is in force", describe(self.applied))
        self._save()

    # -------------------------------------------------------------- acknowledgement

    def _next_stamp(self) -> int:
        """Grows with each word of this node, also over its restarts, as far as its clock is not set back."""
        self._stamp = max(self._stamp + 1, int(time.time() * 1000.0))
        return self._stamp

    def _acknowledge(self) -> None:
        self._acknowledged = False
        if "ack" not in self._timers and (self._ack_task is None or self._ack_task.done()):
            self._after("ack", self.selection.random.uniform(0.0, ACK_S), self._ack)

    def _ack(self) -> None:
        if not self._stopped:
            self._ack_task = asyncio.get_running_loop().create_task(self._send_acknowledgement())

    async def _send_acknowledgement(self) -> None:
        while not self._acknowledged and self._client is not None:
            self._acknowledged = True
            row = [self.name, self.service, self._next_stamp(), self.applied, self.rejected, self.reason]
            client = self._client
            try:
                status, _ = await client.call("POST", "/control/ack", {"nodes": [row]})
            except HttpCallError:
                status = 0
            client.close()  # a descriptor here, and on the machine one for each node, are not worth a connect saved
            if status != 200:
                self._acknowledged = False
                self._after("ack", self.selection.random.uniform(*ACK_AGAIN_S), self._ack)
                return

    # --------------------------------------------------------------------- the copy

    def _recall(self) -> None:
        if self.copy is None:
            return
        try:
            with self.copy.open("rb") as file:
                position, document = decode_cached_document(file.read(COPY_BYTES + 1), self.service)
            self.apply(document)
        except FileNotFoundError:
            return
        except (OSError, ValueError, KeyError, TypeError) as error:
            log.warning("the copy of the configuration is not used: %s", " ".join(str(error).split()))
            return
        self.applied = self._received = self._kept = position
        self._document = self._good = document
        log.info("%s is in force, by the copy", describe(position))

    def _save(self) -> None:
        if self.copy is not None and (self._save_task is None or self._save_task.done()):
            self._save_task = asyncio.get_running_loop().create_task(self._saved())

    async def _saved(self) -> None:
        """In a thread: a disk takes its time, and requests must not wait for it."""
        assert self.copy is not None
        while self.applied != self._kept:
            position, document = self.applied, self._good
            try:
                await asyncio.to_thread(
                    write, self.copy, encode_cached_document(self.service, position, document)
                )
            except OSError as error:
                log.error("the configuration is not kept: %s", error)
                return
            self._kept = position


class _Line(NamedTuple):
    position: Revision
    config: Document


def encode_cached_document(service: str, position: Revision, document: Document) -> bytes:
    body = orjson.dumps({"service": service, "at": position, "document": document}, default=tuple)
    return b"%b %d %08x %d\n" % (MAGIC, FORMAT, zlib.crc32(body), len(body)) + body


def decode_cached_document(data: bytes, service: str) -> tuple[Revision, Document]:
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
    return Revision(number, writer, version), row["document"]


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
