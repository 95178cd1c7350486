"""The watches open at a control machine: those of nodes, and those of machines that replicate its log."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from rosewheel.admin.json_http import JsonConnection, encode_chunk
from rosewheel.control.codec.log_records import encode_log_suffix
from rosewheel.control.codec.watch import encode_update
from rosewheel.control.connection_pacer import ConnectionPacer
from rosewheel.control.documents import Document, document_for_service, make_patch
from rosewheel.control.messages import ConfigurationUpdate
from rosewheel.control.replica import Replica
from rosewheel.control.revisions import Revision
from rosewheel.control.timing import KEEPALIVE_INTERVAL_S

KEEPALIVE_CHUNK = encode_chunk(b"\n")
TCP_USER_TIMEOUT_S = 10.0  # a connection with unacknowledged data for this long is closed
MAX_UNSENT_BYTES = 4 << 20  # a watch with more unsent data is closed


@dataclass(slots=True, eq=False)
class Watch:
    """One open watch.

    Attributes:
        connection: The HTTP connection of the watch.
        sent: The last revision sent.
        service: The service of the node.
        node: Name of the node; empty for a machine.
        peer: Name of the machine that follows; empty for a node.
        is_queued: Whether the watch is delayed by the pacer; nothing is sent to it until it starts.
    """

    connection: JsonConnection
    sent: Revision
    service: str = ""
    node: str = ""
    peer: str = ""
    is_queued: bool = True


class UpdateEncoder:
    """Encodes updates for nodes, once for all nodes of the same service and revision."""

    def __init__(self, replica: Replica) -> None:
        self._replica = replica
        self._committed: Revision | None = None  # committed revision of the cached lines and documents
        self._lines: dict[tuple[str, Revision], bytes] = {}
        self._documents: dict[str, Document] = {}

    def line(self, service: str, sent: Revision) -> bytes:
        """Return the encoded chunk that updates a node of a service from revision `sent` to the committed one."""
        committed = self._replica.committed
        if committed != self._committed:
            self._committed = committed
            self._lines.clear()
            self._documents.clear()
        key = service, sent
        if key not in self._lines:
            update = self._update(service, sent, committed)
            self._lines[key] = encode_chunk(encode_update(update) + b"\n")
        return self._lines[key]

    def _update(self, service: str, sent: Revision, committed: Revision) -> ConfigurationUpdate:
        new = self._documents.get(service)
        if new is None:
            new = self._documents[service] = document_for_service(self._replica.committed_document, service)
        old = self._replica.history.document_at(sent)
        if old is None:
            return ConfigurationUpdate(committed, is_snapshot=True, content=new)
        patch = make_patch(document_for_service(old, service), new)
        return ConfigurationUpdate(committed, is_snapshot=False, content=patch)


class WatchPublisher:
    """Sends new revisions to all open watches.

    Attributes:
        watches: All open watches, by connection.
        connection_by_node: Connection of each node's newest watch.
    """

    def __init__(self, replica: Replica, loop: asyncio.AbstractEventLoop) -> None:
        self.watches: dict[JsonConnection, Watch] = {}
        self.connection_by_node: dict[str, JsonConnection] = {}
        self._replica, self._loop = replica, loop
        self._pacer = ConnectionPacer()
        self._encoder = UpdateEncoder(replica)
        self._timer = loop.call_later(KEEPALIVE_INTERVAL_S, self._send_keepalives)

    def open(self, watch: Watch) -> None:
        """Start the response at once, and send the first update when the pacer permits."""
        connection = watch.connection
        self.watches[connection] = watch
        if watch.node:
            self.connection_by_node[watch.node] = connection
        connection.start_stream()
        connection.set_acknowledgement_timeout(TCP_USER_TIMEOUT_S)
        connection.write(KEEPALIVE_CHUNK)
        wait_s = 0.0 if watch.peer else self._pacer.reserve(self._loop.time())
        if wait_s > 0.0:
            self._loop.call_later(wait_s, self._start, watch)
        else:
            self._start(watch)

    def _start(self, watch: Watch) -> None:
        watch.is_queued = False
        self._send(watch)

    def closed(self, connection: JsonConnection) -> str:
        """Remove the watch of an ended connection.

        Returns:
            Name of the node whose newest watch it was; empty otherwise.
        """
        watch = self.watches.pop(connection, None)
        if watch is None or self.connection_by_node.get(watch.node) is not connection:
            return ""
        del self.connection_by_node[watch.node]
        return watch.node

    def close(self) -> None:
        """Close all watches."""
        self._timer.cancel()
        for connection in list(self.watches):
            connection.abort()

    def publish(self) -> None:
        """Send new revisions to all watches that have started."""
        for watch in list(self.watches.values()):
            if not watch.is_queued:
                self._send(watch)

    def _send(self, watch: Watch) -> None:
        if watch.peer:
            self._send_suffix(watch)
            return
        committed = self._replica.committed
        if watch.sent < committed:
            watch.connection.write(self._encoder.line(watch.service, watch.sent))
            watch.sent = committed

    def _send_suffix(self, watch: Watch) -> None:
        suffix = self._replica.log_suffix(watch.sent, watch.peer)
        if suffix is not None:
            watch.connection.write(encode_chunk(encode_log_suffix(suffix) + b"\n"))
            watch.sent = suffix.last

    def _send_keepalives(self) -> None:
        self._timer = self._loop.call_later(KEEPALIVE_INTERVAL_S, self._send_keepalives)
        for connection in list(self.watches):
            if connection.unsent_bytes > MAX_UNSENT_BYTES:
                connection.abort()
            else:
                connection.write(KEEPALIVE_CHUNK)
