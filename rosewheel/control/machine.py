"""A control machine: the watches of nodes and machines, and the calls of operators, on one address."""

from __future__ import annotations

import asyncio
import logging
import os
import socket
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs

import orjson

from rosewheel.admin.calls import Call, Caller, Limits, Reply
from rosewheel.config.platform import Address
from rosewheel.control.durable_log import DurableLog
from rosewheel.control.heartbeats import PeerHeartbeat, ReplicationWatch
from rosewheel.control.http_client import HttpCallError
from rosewheel.control.node_registry import NodeRegistry, decode_node_status
from rosewheel.control.replica import (
    NotLeaderError,
    NotPromotableError,
    UncommittedChangeError,
    decode_epoch,
    decode_revision,
)
from rosewheel.control.revisions import (
    Change,
    Epoch,
    Revision,
    RevisionConflictError,
    UnknownRevisionError,
    describe,
    document_for_service,
)
from rosewheel.control.store import ReplicationTimeoutError, Store
from rosewheel.control.validation import MAX_DOCUMENT_BYTES, validate_patch
from rosewheel.control.watches import Watch, WatchPublisher

log = logging.getLogger("rosewheel.control")

HELD_S = (
    4.0  # how long a change may take to be held by another machine: one that turns to the writer needs 2 s
)
ASK_S = 1.5  # and a peer to answer when a machine is promoted
FORGET_EVERY_S = 60.0
BACKLOG = 1024
HISTORY = 20
# A call brings a change or a batch of what nodes say: all of 540 nodes are 120 kB.
LIMITS = Limits(call_bytes=4 * MAX_DOCUMENT_BYTES, call_s=5.0, take_s=5.0, idle_s=30.0)


@dataclass(slots=True, frozen=True)
class MachineSettings:
    """What one machine is told at its start. `peers` are the others, `writer` counts only where nothing is on disk."""

    name: str
    listen: Address
    data_dir: Path
    peers: dict[str, Address]
    initial_leader: str = ""


class ControlMachine:
    def __init__(self, setup: MachineSettings, disk: DurableLog) -> None:
        """OSError where the folder can't be written."""
        self.settings, self.name = setup, setup.name
        self.loop = asyncio.get_running_loop()
        self.boot = os.urandom(8).hex()
        self.store = Store.recover(disk, setup.name, list(setup.peers), setup.initial_leader, self._changed)
        self.nodes = NodeRegistry()
        self.watches = WatchPublisher(self.store.replica, self.nodes, self.loop)
        self.callers: dict[Caller, None] = {}
        self.heartbeats: dict[str, PeerHeartbeat] = {}
        self.replication: ReplicationWatch | None = None
        self._listener: asyncio.Server | None = None
        self._timer: asyncio.TimerHandle | None = None

    async def start(self, sock: socket.socket | None = None) -> None:
        """OSError where the address can't be had."""
        host, port = self.settings.listen
        where: dict[str, Any] = {"sock": sock} if sock is not None else {"host": host, "port": port}
        self._listener = await self.loop.create_server(
            lambda: Caller(self, LIMITS, self.loop), backlog=BACKLOG, **where
        )
        self.heartbeats = {
            peer: PeerHeartbeat(self, peer, address) for peer, address in self.settings.peers.items()
        }
        self.replication = ReplicationWatch(self, self.heartbeats)
        self._now_and_then()

    @property
    def port(self) -> int:
        assert self._listener is not None
        return int(self._listener.sockets[0].getsockname()[1])

    async def close(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        if self._listener is not None:
            self._listener.close()
        if self.replication is not None:
            self.replication.close()
        for link in self.heartbeats.values():
            link.close()
        self.watches.close()
        for caller in list(self.callers):
            caller.abort()
        await self.store.close()

    def _now_and_then(self) -> None:
        self._timer = self.loop.call_later(1.0, self._now_and_then)
        now = self.loop.time()
        if now // FORGET_EVERY_S != (now - 1.0) // FORGET_EVERY_S:
            self.nodes.expire(now)
        if self.replication is not None:
            self.replication.reconcile()

    def _changed(self) -> None:
        """A step of the store: whoever lacks something is told, and the writer that it is here."""
        self.watches.publish()
        if self.replication is not None:
            self.replication.reconcile()
        writer = self.heartbeats.get(self.store.replica.highest_epoch_seen.leader)
        if writer is not None:
            writer.notify()

    # ------------------------------------------------------------ what links ask of it

    def batch(self, peer: str, whole: bool) -> list[Any]:
        changed = self.nodes.take_changes()
        return self.nodes.statuses_of_machine(self.name) if whole else changed

    def machine_lost(self, peer: str) -> None:
        log.warning("%s is lost", peer)
        self.nodes.machine_lost(peer, self.loop.time())

    # ---------------------------------------------------------------------- callers

    def joined(self, caller: Caller) -> None:
        self.callers[caller] = None

    def left(self, caller: Caller) -> None:
        self.callers.pop(caller, None)
        stream = self.watches.left(caller)
        if stream is not None and stream.node:
            self.nodes.disconnected(stream.node, self.name, self.loop.time())

    async def answer(self, call: Call, caller: Caller) -> Reply | None:
        path, _, query = call.target.partition("?")
        told = {key: values[-1] for key, values in parse_qs(query, keep_blank_values=True).items()}
        route = ROUTES.get(path)
        if route is None:
            return Reply(404, {"error": "no such call; there are " + ", ".join(ROUTES)})
        method, answer = route
        if call.method != method:
            return Reply(405, {"error": f"{path} takes {method}"}, allow=method)
        try:
            if path == "/control/config" and told.get("follow") == "1":
                return await self._follow(told, caller)
            row: Any = told if method == "GET" else orjson.loads(call.body or b"{}")
            if not isinstance(row, dict):
                raise ValueError("not an object")
            return await answer(self, row)
        except UnknownRevisionError as error:
            return Reply(404, {"error": str(error)})
        except NotLeaderError as error:
            return self._not_here(str(error))
        except (RevisionConflictError, NotPromotableError) as error:
            return Reply(409, {"error": str(error), "version": self.store.replica.last.number})
        except (UncommittedChangeError, ReplicationTimeoutError) as error:
            return Reply(503, {"error": str(error), "version": self.store.replica.last.number})
        except (KeyError, TypeError, ValueError, OverflowError) as error:
            missing = "missing: " if isinstance(error, KeyError) else ""
            return Reply(400, {"error": f"{missing}{error}"})
        except OSError as error:
            log.error("%s: %s", path, error)
            return Reply(500, {"error": f"{self.name} can't keep it: {error}"})

    def _not_here(self, text: str) -> Reply:
        writer = self.store.replica.highest_epoch_seen.leader
        row: dict[str, Any] = {"error": text, "writer": writer}
        if writer in self.settings.peers:
            row["address"] = "{}:{}".format(*self.settings.peers[writer])
        return Reply(409, row)

    async def _follow(self, told: dict[str, str], caller: Caller) -> Reply | None:
        epoch = Epoch(int(told.get("epoch", 0)), told.get("writer", ""))
        position = Revision(*epoch, int(told.get("since", 0)))
        stamp = int(told.get("stamp", 0))
        peer, node = told.get("peer", ""), told.get("node", "")
        if peer not in self.settings.peers and not node:
            return Reply(400, {"error": "who follows? node=NAME"})
        # Where it saw a later writer than this machine has, there is one.
        await self.store.observe_epoch(epoch)
        if caller.transport is None:
            return None  # it left meanwhile
        stream = Watch(caller, position, told.get("service", ""), "" if peer else node, peer)
        if not peer:
            now = self.loop.time()
            if told.get("held") == "1":  # what it asks from is what it has in force
                row = [node, stream.service, self.name, stamp, position, None, "", True]
                self.nodes.record(decode_node_status(row), now)
            else:
                self.nodes.connected(node, stream.service, self.name, stamp, now)
        self.watches.open(stream)
        return None

    # ----------------------------------------------------------------------- routes

    async def _config(self, row: dict[str, Any]) -> Reply:
        replica = self.store.replica
        document = replica.committed_document
        if service := row.get("service"):
            document = document_for_service(document, service)
        return Reply(200, _position_row(replica.committed) | {"config": document})

    async def _ack(self, row: dict[str, Any]) -> Reply:
        """What nodes say of themselves: [node, service, stamp, held, refused, why] each."""
        now = self.loop.time()
        for node, service, stamp, held, refused, why in row["nodes"]:
            told = [node, service, self.name, stamp, held, refused, why, node in self.watches.watch_by_node]
            self.nodes.record(decode_node_status(told), now)
        return Reply(200, {})

    async def _beat(self, row: dict[str, Any]) -> Reply:
        link = self.heartbeats.get(row["machine"])
        if link is None:
            return Reply(400, {"error": f"machine: {row['machine']!r} is no peer of {self.name}"})
        await link.peer_reported(decode_epoch(row["seen"]), decode_revision(row["at"]))
        now = self.loop.time()
        for told in row.get("nodes", ()):
            self.nodes.record(decode_node_status(told), now)
        return Reply(200, self._own())

    def _own(self) -> dict[str, Any]:
        replica = self.store.replica
        return {
            "machine": self.name,
            "boot": self.boot,
            "seen": replica.highest_epoch_seen,
            "at": replica.last,
        }

    async def _fence(self, row: dict[str, Any]) -> Reply:
        epoch = decode_epoch(row["epoch"])
        await self.store.observe_epoch(epoch)
        return Reply(200, self._own() | {"fenced": self.store.replica.highest_epoch_seen == epoch})

    async def _put(self, row: dict[str, Any]) -> Reply:
        patch = row["patch"]
        validate_patch(patch)
        by, note, alone = str(row.get("by", "")), str(row.get("note", "")), row.get("alone") is True
        return await self._written(await self.store.put(patch, _whole(row, "version"), by, note, alone))

    async def _rollback(self, row: dict[str, Any]) -> Reply:
        by, alone = str(row.get("by", "")), row.get("alone") is True
        return await self._written(
            await self.store.rollback(_whole(row, "to"), _whole(row, "version"), by, alone)
        )

    async def _written(self, change: Change | None) -> Reply:
        if change is None:
            return Reply(200, _position_row(self.store.replica.last) | {"changed": False})
        await self.store.wait_committed(change.revision, HELD_S)
        return Reply(200, _position_row(change.revision) | {"changed": True})

    async def _history(self, row: dict[str, Any]) -> Reply:
        versions = self.store.replica.history
        most = max(1, int(row.get("most", HISTORY)))
        rows = [
            _position_row(change.revision)
            | {"at_s": change.created_at_s, "by": change.author, "note": change.note, "patch": change.patch}
            for change in reversed(versions.changes[-most:])
        ]
        return Reply(
            200, {"machine": self.name, "oldest": versions.snapshot.revision.number, "versions": rows}
        )

    async def _status(self, row: dict[str, Any]) -> Reply:
        replica = self.store.replica
        writer = self.heartbeats.get(replica.highest_epoch_seen.leader)
        problem = ""
        if writer is not None and row.get("here") != "1":
            target = "/control/status?here=1" + ("&all=1" if row.get("all") == "1" else "")
            try:
                status, told = await writer.client.call("GET", target, timeout_s=ASK_S)
                if status == 200:
                    return Reply(200, told | {"asked": self.name})
            except HttpCallError as error:
                problem = (
                    f"the writer {writer.peer} does not answer, so this is what {self.name} knows: {error}"
                )
        elif writer is None and not replica.is_leader:
            problem = f"no machine writes: this is what {self.name} knows"
        return Reply(200, self._own_status(row.get("all") == "1", problem))

    def _own_status(self, whole: bool, problem: str) -> dict[str, Any]:
        replica, now = self.store.replica, self.loop.time()
        clock = time.time()
        machines = [{"machine": self.name, "at": replica.last, "heard_s": 0.0, "writes": replica.is_leader}]
        for peer, link in self.heartbeats.items():
            heard_s = round(now - link.last_contact_s, 1) if link.last_revision is not None else None
            writes = peer == replica.highest_epoch_seen.leader
            machines.append({"machine": peer, "at": link.last_revision, "heard_s": heard_s, "writes": writes})
        row: dict[str, Any] = {
            "asked": self.name,
            "machine": self.name,
            "problem": problem or self.store.log.failure,
        }
        row |= _position_row(replica.committed)
        row |= {"written": replica.last.number, "seen": replica.highest_epoch_seen, "machines": machines}
        return row | self.nodes.report(
            replica.committed,
            now,
            lambda version: max(0.0, clock - replica.history.created_at_s(version)),
            whole,
        )

    # -------------------------------------------------------------------- promotion

    async def _promote(self, row: dict[str, Any]) -> Reply:
        force, by = row.get("force") is True, str(row.get("by", ""))
        replica = self.store.replica
        if replica.is_leader:
            return Reply(200, _position_row(replica.last) | {"changed": False})
        # First only asked, so that nothing has changed where this machine may not be promoted.
        asked = await self._ask(
            "/control/beat", {"machine": self.name, "seen": replica.highest_epoch_seen, "at": replica.last}
        )
        if not force:
            replica.check_promotable(_holds(asked))
        epoch = replica.next_epoch(decode_epoch(told["seen"]) for told in asked.values())
        await self.store.observe_epoch(epoch)
        fenced = await self._ask("/control/fence", {"epoch": epoch})
        later = {peer: told for peer, told in fenced.items() if not told["fenced"]}
        if later:
            peer, told = next(iter(later.items()))
            seen = decode_epoch(told["seen"])
            await self.store.observe_epoch(seen)
            raise NotPromotableError(f"{peer} has seen epoch {seen.number} ({seen.leader}): try again")
        # From here on these take nothing older, so what they hold now is all that can have been acknowledged.
        holds = _holds(fenced)
        change = await self.store.begin_epoch(epoch, holds, force, by)
        lost = [
            f"{peer} held {describe(at)}"
            for peer, at in sorted(holds.items())
            if replica.history.document_at(at) is None
        ]
        if holds:
            await self.store.wait_committed(change.revision, HELD_S)
        return Reply(200, _position_row(change.revision) | {"changed": True, "lost": lost})

    async def _ask(self, target: str, row: dict[str, Any]) -> dict[str, dict[str, Any]]:
        """What each peer that can be reached says."""

        async def one(link: PeerHeartbeat) -> dict[str, Any] | None:
            try:
                status, told = await link.client.call("POST", target, row, ASK_S)
            except HttpCallError:
                return None
            return told if status == 200 else None

        links = list(self.heartbeats.values())
        told = await asyncio.gather(*(one(link) for link in links))
        return {link.peer: answer for link, answer in zip(links, told, strict=True) if answer is not None}


def _holds(told: dict[str, dict[str, Any]]) -> dict[str, Revision]:
    return {peer: decode_revision(row["at"]) for peer, row in told.items()}


def _position_row(position: Revision) -> dict[str, Any]:
    return {"version": position.number, "epoch": position.epoch_number, "writer": position.leader}


def _whole(row: dict[str, Any], key: str) -> int:
    value = row[key]
    if isinstance(value, bool) or not isinstance(value, int):
        raise ValueError(f"{key}: {value!r} is not a version")
    return value


Answer = Callable[[ControlMachine, dict[str, Any]], Awaitable[Reply]]

ROUTES: dict[str, tuple[str, Answer]] = {
    "/control/config": ("GET", ControlMachine._config),
    "/control/ack": ("POST", ControlMachine._ack),
    "/control/beat": ("POST", ControlMachine._beat),
    "/control/fence": ("POST", ControlMachine._fence),
    "/control/put": ("POST", ControlMachine._put),
    "/control/history": ("GET", ControlMachine._history),
    "/control/rollback": ("POST", ControlMachine._rollback),
    "/control/status": ("GET", ControlMachine._status),
    "/control/promote": ("POST", ControlMachine._promote),
}
