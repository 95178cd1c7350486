"""Hot restart of one process: its channels to the previous process of the node and to the next one."""

from __future__ import annotations

import asyncio
import logging
import os
import socket
from collections.abc import Mapping

from rosewheel.config.address import Address
from rosewheel.hot_restart.channel import Channel, ReceivedMessage
from rosewheel.hot_restart.host import SiblingHost
from rosewheel.hot_restart.messages import (
    PROTOCOL_VERSIONS,
    Accepted,
    ConnectionKind,
    EndedRequests,
    Hello,
    InFlight,
    ListenersRequest,
    ListenersResponse,
    Offer,
    Rejected,
    Serving,
    ShuttingDown,
    newest_common_version,
)
from rosewheel.hot_restart.migration import MigratedConnection, Migration
from rosewheel.hot_restart.receiver import Receiver
from rosewheel.hot_restart.sender import Sender
from rosewheel.hot_restart.unix_socket import close_descriptors, connect, is_same_user, listen

log = logging.getLogger("rosewheel.hot_restart")

IN_FLIGHT_INTERVAL_S = 0.05  # interval of the reports of requests in flight
MAX_REPORTED_SERVERS = 500  # limit of servers in a report, so that it fits into one packet
MAX_IDS_PER_MESSAGE = 100  # an id has at most 256 characters, a packet 64 KiB
MAX_ID_MESSAGES_PER_REPORT = 20
MAX_ID_MESSAGES_AT_END = 1000
PREDECESSOR_TIMEOUT_S = 1.0  # how long a successor waits for the first message of its predecessor
LISTENERS_TIMEOUT_S = 1.0  # how long a successor waits for the listening sockets of its predecessor


class HotRestart:
    """Connects this process to its predecessor and its successor, the previous and the next process of the node.

    Args:
        folder: The state folder, where the processes of the node find each other. None disables hot restarts.
        node: The name of the node.
        host: Called with the events of the sibling processes.
        migration: Detaches and resumes the connections of this process.

    Attributes:
        predecessor: The channel to the previous process, or None.
        successor: The channel to the next process, or None.
        sender: Offers connections to the successor.
        receiver: Takes over connections from the predecessor.
        successor_ready: Whether the successor accepts clients.
    """

    def __init__(self, folder: str | None, node: str, host: SiblingHost, migration: Migration) -> None:
        self.predecessor: Channel | None = None
        self.successor: Channel | None = None
        self.sender: Sender | None = None
        self.receiver: Receiver | None = None
        self.successor_ready = False
        self._folder = folder or None
        self._node = node
        self._host = host
        self._migration = migration
        self._is_serving = False
        self._is_shutting_down = False
        self._loop = asyncio.get_running_loop()
        self._listener: socket.socket | None = None
        self._report_timer: asyncio.TimerHandle | None = None
        self._listeners_received: asyncio.Future[list[int]] | None = None
        self._negotiated: set[Channel] = set()  # channels whose protocol version is agreed
        self._predecessor_answered = asyncio.Event()  # or its channel is closed

    def connect_to_predecessor(self) -> bool:
        """Connects to the running process of this node; returns whether there is one."""
        sock = connect(self._folder) if self._folder is not None else None
        if sock is None:
            return False
        self.predecessor = Channel(sock, self._message_received, self._channel_closed)
        self.predecessor.send(self._hello())
        self._report_in_flight()
        return True

    @property
    def has_sibling(self) -> bool:
        """Whether a channel to another process of the node is open."""
        return self.predecessor is not None or self.successor is not None

    async def wait_for_predecessor(self) -> None:
        """Waits until the predecessor, if there is one, has answered: from then on it knows of this process."""
        if self.predecessor is None:
            return
        try:
            async with asyncio.timeout(PREDECESSOR_TIMEOUT_S):
                await self._predecessor_answered.wait()
        except TimeoutError:
            log.warning("predecessor did not answer: timeout_s=%.1f", PREDECESSOR_TIMEOUT_S)

    async def request_listeners(self, *addresses: Address | None) -> list[socket.socket | None]:
        """Requests the listening sockets of the predecessor.

        Returns:
            The socket bound to each address, or None.
        """
        found: list[socket.socket | None] = [None] * len(addresses)
        for descriptor in await self._request_descriptors():
            sock = socket.socket(fileno=descriptor)
            bound = sock.getsockname()[:2]
            if bound in addresses:
                found[addresses.index(bound)] = sock
            else:
                sock.close()
        return found

    async def _request_descriptors(self) -> list[int]:
        if self.predecessor is None:
            return []
        self._listeners_received = self._loop.create_future()
        self.predecessor.send(ListenersRequest())
        try:
            async with asyncio.timeout(LISTENERS_TIMEOUT_S):
                return await self._listeners_received
        except TimeoutError:
            log.warning("listening sockets not received: reason=the predecessor did not answer")
            return []
        finally:
            self._listeners_received = None

    def start_serving(self) -> None:
        """Announces to the predecessor that this process accepts clients, and listens for a successor."""
        self._is_serving = True
        if self.predecessor is not None and self.predecessor in self._negotiated:
            self.predecessor.send(Serving())
        if self._folder is None:
            return
        try:
            self._listener = listen(self._folder)
        except OSError as error:
            log.error("hot restart unavailable: error=%s", error)
            return
        self._loop.add_reader(self._listener, self._accept, self._listener)

    def _hello(self) -> Hello:
        return Hello(PROTOCOL_VERSIONS, self._node, os.getpid())

    def _accept(self, listener: socket.socket) -> None:
        try:
            sock, _ = listener.accept()
        except OSError:
            return
        if not is_same_user(sock) or self._is_shutting_down:
            sock.close()
            return
        # A new successor replaces an earlier one, which hangs, has died, or is being replaced itself.
        if self.successor is not None:
            self.successor.close()
        self.successor = Channel(sock, self._message_received, self._channel_closed)
        self.successor_ready = False
        read_end, write_end = os.pipe2(os.O_CLOEXEC | os.O_NONBLOCK)
        self.sender = Sender(self.successor, self._migration, write_end, lambda: self._host.descriptor_count)
        self._host.successor_connected()
        self.successor.send(self._hello(), descriptors=(read_end,))
        close_descriptors([read_end])  # already sent: the first packet of a channel is never queued
        self._report_in_flight()

    def _message_received(self, channel: Channel, received: ReceivedMessage) -> None:
        if isinstance(received.message, Hello):
            self._hello_received(channel, received.message, received.descriptors)
        elif channel not in self._negotiated:
            close_descriptors(received.descriptors)  # ignored before a version is agreed
        elif not self._handle_message(channel, received):
            close_descriptors(received.descriptors)  # unknown or unexpected

    def _handle_message(self, channel: Channel, received: ReceivedMessage) -> bool:
        """Handles a message according to its sender; returns whether the message was expected."""
        if channel is self.predecessor and self._handle_predecessor_message(received):
            return True
        if channel is self.successor and self._handle_successor_message(received):
            return True
        return self._handle_sibling_message(channel, received)

    def _handle_predecessor_message(self, received: ReceivedMessage) -> bool:
        """Handles a message that only a predecessor sends; returns whether the message is one."""
        match received.message:
            case Offer() as offer if self.receiver is not None:
                self._host.predecessor_descriptors_reported(offer.descriptors_held)
                self._offer_received(self.receiver, offer, received)
            case ShuttingDown(descriptors_held):
                self._host.predecessor_shutting_down(descriptors_held)
            case _:
                return False
        return True

    def _offer_received(self, receiver: Receiver, offer: Offer, received: ReceivedMessage) -> None:
        if offer.kind is None:
            receiver.reject(offer.number, received.descriptors, "unknown kind of connection")
            return
        connection = MigratedConnection(offer.kind, offer.state, received.descriptors, received.attachment)
        receiver.offered(offer.number, connection)

    def _handle_successor_message(self, received: ReceivedMessage) -> bool:
        """Handles a message that only a successor sends; returns whether the message is one."""
        match received.message:
            case Serving():
                self.successor_ready = True
                log.info("successor is serving")
            case Accepted(number) if self.sender is not None:
                self.sender.accepted(number)
            case Rejected(number, reason) if self.sender is not None:
                self.sender.rejected(number, reason)
            case _:
                return False
        return True

    def _handle_sibling_message(self, channel: Channel, received: ReceivedMessage) -> bool:
        """Handles a message that either process sends; returns whether the message is one."""
        match received.message:
            case InFlight(loads):
                self._host.sibling_loads_changed(loads)
            case EndedRequests(ids):
                self._host.sibling_requests_ended(ids)
            case ListenersRequest():
                sockets = self._host.listening_sockets
                channel.send(ListenersResponse(), descriptors=tuple(sock.fileno() for sock in sockets))
            case ListenersResponse() if (
                self._listeners_received is not None and not self._listeners_received.done()
            ):
                self._listeners_received.set_result(received.descriptors)
            case _:
                return False
        return True

    def _hello_received(self, channel: Channel, hello: Hello, descriptors: list[int]) -> None:
        version = newest_common_version(hello.versions)
        if version is None or hello.node != self._node:
            log.warning(
                "sibling process rejected: reason=no common protocol version or another node, versions=%s, node=%r",
                list(hello.versions),
                hello.node,
            )
            close_descriptors(descriptors)
            channel.close()
            return
        self._negotiated.add(channel)
        self._host.sibling_connected()
        log.info("sibling process connected: pid=%s, protocol=%d", hello.pid, version)
        if channel is self.predecessor:
            self._predecessor_answered.set()
        if channel is not self.predecessor or not descriptors:
            close_descriptors(descriptors)
            return
        revocation_pipe, *others = descriptors
        close_descriptors(others)
        self.receiver = Receiver(channel, self._migration, revocation_pipe)
        if self._is_serving:  # the predecessor answered only after this process had started to serve
            channel.send(Serving())

    def _report_in_flight(self) -> None:
        """Periodically reports the requests in flight of this process to its siblings, while there are any."""
        if self._report_timer is not None:
            self._report_timer.cancel()
            self._report_timer = None
        channels = [
            channel
            for channel in (self.predecessor, self.successor)
            if channel is not None and channel.is_open
        ]
        if not channels:
            self._host.sibling_loads_changed({})
            return
        self._report_timer = self._loop.call_later(IN_FLIGHT_INTERVAL_S, self._report_in_flight)
        report = InFlight(_highest_loads(self._host.loads_in_flight, MAX_REPORTED_SERVERS))
        negotiated = [channel for channel in channels if channel in self._negotiated]
        for channel in negotiated:
            channel.send(report)
        self._report_ended(negotiated, MAX_ID_MESSAGES_PER_REPORT)

    def _report_ended(self, channels: list[Channel], max_messages: int) -> None:
        """Send the ids of requests that have ended; an id sent to one process only is known to both then."""
        for _ in range(max_messages if channels else 0):
            ids = self._host.take_ended_ids(MAX_IDS_PER_MESSAGE)
            if not ids:
                return
            for channel in channels:
                channel.send(EndedRequests(tuple(ids)))

    def _channel_closed(self, channel: Channel) -> None:
        self._negotiated.discard(channel)
        if channel is self.predecessor:
            self._predecessor_answered.set()
            if self.receiver is not None:
                log.info("predecessor ended: received %s", _format_counts(self.receiver.received))
                self.receiver.close()
            self.predecessor = self.receiver = None
            self._host.sibling_loads_changed({})
        elif channel is self.successor:
            self.successor_ready = False
            if self.sender is not None:
                self.sender.channel_closed()
            self.successor = None

    def begin_shutdown(self) -> bool:
        """Stops listening for successors; returns whether one takes over the connections."""
        self._is_shutting_down = True
        self._stop_listening()
        if not self.successor_ready or self.sender is None or self.successor is None:
            return False
        self.successor.send(ShuttingDown(self._host.descriptor_count))
        return True

    def migrate_next(self) -> bool:
        """Migrates the connections that can be migrated now; returns whether the migration goes on."""
        sender = self.sender
        return sender is not None and (sender.offer_next() or sender.is_busy)

    @property
    def migration_finished(self) -> bool:
        """Whether no connection is being detached or offered."""
        return self.sender is None or self.sender.ended or not self.sender.is_busy

    def _stop_listening(self) -> None:
        # The socket file is not deleted, since the successor replaces it with its own.
        if self._listener is not None:
            self._loop.remove_reader(self._listener)
            self._listener.close()
            self._listener = None

    def close(self) -> None:
        """Closes both channels. Connections that the successor has not accepted return to this process."""
        self._stop_listening()
        if self.successor is not None and self.successor in self._negotiated:
            self._report_ended([self.successor], MAX_ID_MESSAGES_AT_END)
        if self._report_timer is not None:
            self._report_timer.cancel()
        if self.sender is not None:
            migrated, returned = _format_counts(self.sender.migrated), self.sender.transfers.returned_count
            log.info("connections migrated: %s, returned=%d", migrated, returned)
        for channel in (self.predecessor, self.successor):
            if channel is not None:
                channel.close()


def _highest_loads(loads: Mapping[str, float], count: int) -> dict[str, float]:
    """Returns the entries with the highest load."""
    if len(loads) <= count:
        return dict(loads)
    return dict(sorted(loads.items(), key=lambda item: -item[1])[:count])


def _format_counts(counts: Mapping[ConnectionKind, int]) -> str:
    """Formats counts by kind for a log line."""
    return ", ".join(f"{kind.label}={counts.get(kind, 0)}" for kind in ConnectionKind)
