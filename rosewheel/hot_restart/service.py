"""Where two processes of one node find one another, and what they agree on."""

from __future__ import annotations

import asyncio
import logging
import os
import socket
from typing import Any

from rosewheel.config.address import Address
from rosewheel.hot_restart import wire
from rosewheel.hot_restart.channel import Channel, close_descriptors, connect, is_same_user, listen
from rosewheel.hot_restart.migration import MigratedConnection, Migration
from rosewheel.hot_restart.receiver import Receiver
from rosewheel.hot_restart.sender import Sender

log = logging.getLogger("rosewheel.hot_restart")

BESIDE_S = 0.05  # how often each tells the other what it has in flight
MOST_TOLD = 500  # equipos, those with the most in flight; a packet has an end
FOLLOW_S = 0.02
LEND_S = 1.0  # how long a new process waits for the listening socket of the one before it


class HotRestart:
    """Of one process: the link to the one before it, the link to the one after it. Without a folder there is
    neither."""

    def __init__(self, folder: str | None, name: str, moves: Migration) -> None:
        self.folder = folder or None
        self.name, self.moves = name, moves
        self.predecessor: Channel | None = None
        self.successor: Channel | None = None
        self.sender: Sender | None = None
        self.receiver: Receiver | None = None
        self.successor_ready = False  # the process after this one serves
        self.serving = self.left = False
        self.loop = asyncio.get_running_loop()
        self._listener: socket.socket | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._lent: asyncio.Future[list[int]] | None = None
        self._versions: dict[Channel, int] = {}

    # ----------------------------------------------------------------- start

    def connect_to_predecessor(self) -> bool:
        """Speak to the process before this one, if there is one that listens."""
        sock = connect(self.folder) if self.folder is not None else None
        if sock is None:
            return False
        self.predecessor = Channel(sock, self._heard, self._lost)
        self.predecessor.send(self._hello())
        self._beside()
        return True

    async def borrow_listeners(self, *wanted: Address | None) -> list[socket.socket | None]:
        """The listening sockets of the process before this one, that of its door included, if it lends them: for each
        address that is wanted the one that is bound there, or None."""
        found: list[socket.socket | None] = [None] * len(wanted)
        for sock in [socket.socket(fileno=fd) for fd in await self._borrow()]:
            at = wanted.index(address) if (address := sock.getsockname()[:2]) in wanted else -1
            if at < 0:
                sock.close()
            else:
                found[at] = sock
        return found

    async def _borrow(self) -> list[int]:
        if self.predecessor is None:
            return []
        self._lent = self.loop.create_future()
        self.predecessor.send({"t": "lend"})
        try:
            async with asyncio.timeout(LEND_S):
                return await self._lent
        except TimeoutError:
            log.warning("the process before does not answer")
            return []
        finally:
            self._lent = None

    def serve(self) -> None:
        """This process serves: the one before it may give, and the next one finds this one."""
        self.serving = True
        if self.predecessor is not None and self.predecessor in self._versions:
            self.predecessor.send({"t": "ready"})
        if self.folder is None:
            return
        try:
            self._listener = listen(self.folder)
        except OSError as error:
            log.error("nothing will be handed over at an upgrade: %s", error)
            return
        self.loop.add_reader(self._listener, self._accept)

    def _hello(self) -> dict[str, Any]:
        return {"t": "hello", "versions": list(wire.VERSIONS), "node": self.name, "pid": os.getpid()}

    def _accept(self) -> None:
        assert self._listener is not None
        try:
            sock, _ = self._listener.accept()
        except OSError:
            return
        if not is_same_user(sock) or self.left:
            sock.close()
            return
        # The latest: one that came before it hung, or died, or has been overtaken.
        if self.successor is not None:
            self.successor.close()
        self.successor = Channel(sock, self._heard, self._lost)
        self.successor_ready = False
        there, here = os.pipe2(os.O_CLOEXEC | os.O_NONBLOCK)
        self.sender = Sender(self.successor, self.moves, here)
        self.moves.relay.predecessor_descriptors = (
            None  # what an earlier process held says nothing of this one
        )
        self.successor.send(self._hello(), fds=(there,))
        close_descriptors([there])  # the first packet of a link never waits
        self._beside()

    # ------------------------------------------------------------------ words

    def _heard(self, link: Channel, message: wire.Message, blob: bytes, fds: list[int]) -> None:
        kind = message["t"]
        if kind == "hello":
            self._greeted(link, message, fds)
        elif link not in self._versions:
            close_descriptors(fds)  # Guards against who speaks before the versions are agreed
        elif kind == "ready":
            self.successor_ready = link is self.successor
            log.info("the next process serves")
        elif kind in ("took", "no") and self.sender is not None and link is self.successor:
            if kind == "took":
                self.sender.took(message.get("n"))
            else:
                self.sender.refused(message.get("n"), message.get("why"))
        elif kind == "give" and self.receiver is not None and link is self.predecessor:
            self.moves.relay.predecessor_holds(message.get("held"))
            item = MigratedConnection(str(message.get("kind")), message.get("state") or {}, fds, blob)
            self.receiver.given(int(message["n"]), item)
        elif kind == "leaving" and link is self.predecessor:
            self.moves.relay.predecessor_leaves(message.get("held"))
        elif kind == "beside":
            self.moves.relay.sibling_loads(message.get("loads"))
        elif kind == "lend":
            self._lend(link)
        elif kind == "lent" and self._lent is not None and not self._lent.done():
            self._lent.set_result(fds)
        else:
            close_descriptors(fds)  # of a later version

    def _greeted(self, link: Channel, message: wire.Message, fds: list[int]) -> None:
        version = wire.newest_common_version(message.get("versions"))
        if version is None or message.get("node") != self.name:
            log.warning(
                "nothing is handed over: the other process speaks versions %s for node %r",
                message.get("versions"),
                message.get("node"),
            )
            close_descriptors(fds)
            link.close()
            return
        self._versions[link] = version
        self.moves.relay.shared_state.follow_now()
        log.info("in touch with process %s of this node, version %d", message.get("pid"), version)
        if link is self.predecessor and fds:
            self.receiver = Receiver(link, self.moves, fds[0])
            close_descriptors(fds[1:])
            if self.serving:  # it was slow to answer
                link.send({"t": "ready"})
        else:
            close_descriptors(fds)

    def _lend(self, link: Channel) -> None:
        relay = self.moves.relay
        door = relay.admin
        socks = (relay.server.listening_socket, door.listening_socket if door is not None else None)
        link.send({"t": "lent"}, fds=tuple(sock.fileno() for sock in socks if sock is not None))

    def _beside(self) -> None:
        """Tell the other process what this one has in flight, for as long as there is one."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        links = [link for link in (self.predecessor, self.successor) if link is not None and link.open]
        if not links:
            self.moves.relay.sibling_loads({})
            return
        loads = self.moves.relay.node.server_loads
        if len(loads) > MOST_TOLD:
            loads = dict(sorted(loads.items(), key=lambda row: -row[1])[:MOST_TOLD])
        for link in links:
            if link in self._versions:
                link.send({"t": "beside", "loads": loads})
        self._timer = self.loop.call_later(BESIDE_S, self._beside)

    def _lost(self, link: Channel) -> None:
        self._versions.pop(link, None)
        if link is self.predecessor:
            if self.receiver is not None:
                log.info("the process before has gone; taken from it: %s", _counts(self.receiver.received))
                self.receiver.close()
            self.predecessor = self.receiver = None
            self.moves.relay.sibling_loads({})
        elif link is self.successor:
            self.successor_ready = False
            if self.sender is not None:
                self.sender.lost()
            self.successor = None

    # -------------------------------------------------------------------- end

    def begin_shutdown(self) -> bool:
        """This process has been told to stop: whether another one takes over."""
        self.left = True
        self._stop_listening()
        if not self.successor_ready or self.sender is None or self.successor is None:
            return False
        self.successor.send({"t": "leaving", "held": self.moves.relay.descriptors})
        return True

    def migrate_next(self) -> bool:
        """What can be given by now is; False once nothing more will be."""
        giver = self.sender
        if giver is None or not giver.offer_next():
            return giver is not None and giver.busy
        return True

    @property
    def migration_finished(self) -> bool:
        """Nothing is under way to the next process, and nothing is left that could go there."""
        return self.sender is None or self.sender.over or not self.sender.busy

    def _stop_listening(self) -> None:
        # Its name in the folder stays: the next process has put its own there, or will.
        if self._listener is not None:
            self.loop.remove_reader(self._listener)
            self._listener.close()
            self._listener = None

    def close(self) -> None:
        self._stop_listening()
        if self._timer is not None:
            self._timer.cancel()
        if self.sender is not None:
            log.info(
                "handed over: %s; stayed: %d",
                _counts(self.sender.migrated),
                self.sender.transfers.returned_count,
            )
        for link in (self.predecessor, self.successor):
            if link is not None:
                link.close()


def _counts(moved: dict[str, int]) -> str:
    return ", ".join(f"{count} {kind}" for kind, count in sorted(moved.items())) or "nothing"
