"""The messages between two processes of one node during a hot restart.

The predecessor is the process that serves the node, the successor the one that replaces it. Both send messages over
one Unix socket, some with file descriptors (SCM_RIGHTS). `messages_codec` defines the wire format.
"""

from __future__ import annotations

import enum
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

PROTOCOL_VERSIONS = (1,)

WireState = dict[str, Any]
"""The state of one connection, as `rosewheel.http` exports and imports it. Its keys are those on the wire."""


class ConnectionKind(enum.Enum):
    """The kind of a migrated connection. The values are its names on the wire."""

    CLIENT = "caller"
    UPSTREAM = "equipo"
    RESPONSE = "passage"  # a response in progress: the server's connection and the client's

    @property
    def descriptor_count(self) -> int:
        """The number of descriptors of such a connection."""
        return 2 if self is ConnectionKind.RESPONSE else 1

    @property
    def label(self) -> str:
        """The name in log lines."""
        return self.name.lower()


@dataclass(slots=True, frozen=True)
class Hello:
    """The first message of either process.

    The predecessor sends the read end of its `Sender`'s revocation pipe with it.

    Attributes:
        versions: The protocol versions that the process supports.
        node: The name of the process's node.
        pid: The process id, for the log.
    """

    versions: tuple[int, ...]
    node: str
    pid: int | None


@dataclass(slots=True, frozen=True)
class Serving:
    """Sent by the successor: it has started to accept clients."""


@dataclass(slots=True, frozen=True)
class ShuttingDown:
    """Sent by the predecessor: it has stopped accepting clients, and still holds this many descriptors."""

    descriptors_held: int | None


@dataclass(slots=True, frozen=True)
class Offer:
    """Sent by the predecessor: a connection for the successor, with the connection's descriptors.

    Attributes:
        number: Identifies the offer in its acknowledgement or rejection.
        kind: The kind of the connection; None if this version does not know it.
        state: The protocol state of the connection.
        descriptors_held: Number of descriptors that the predecessor still holds.
    """

    number: int
    kind: ConnectionKind | None
    state: WireState
    descriptors_held: int | None


@dataclass(slots=True, frozen=True)
class Accepted:
    """Sent by the successor as the acknowledgement of an offer: it owns the connection from now on."""

    number: int


@dataclass(slots=True, frozen=True)
class Rejected:
    """Sent by the successor: it can't use the connection of this offer."""

    number: int
    reason: str


@dataclass(slots=True, frozen=True)
class InFlight:
    """Sent by both processes periodically: the weighted number of their requests in flight, by server."""

    loads: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class EndedRequests:
    """Sent by both processes periodically: ids of ended requests that must not be executed again."""

    ids: tuple[str, ...] = ()


@dataclass(slots=True, frozen=True)
class ListenersRequest:
    """Sent by the successor: it requests the listening sockets of the predecessor."""


@dataclass(slots=True, frozen=True)
class ListenersResponse:
    """Sent by the predecessor: its listening sockets, which come with the message."""


@dataclass(slots=True, frozen=True)
class UnknownMessage:
    """A message of a later version, or one without its required fields. It is ignored."""

    kind: str


Message = (
    Hello
    | Serving
    | ShuttingDown
    | Offer
    | Accepted
    | Rejected
    | InFlight
    | EndedRequests
    | ListenersRequest
    | ListenersResponse
    | UnknownMessage
)


def newest_common_version(theirs: Iterable[int], ours: tuple[int, ...] = PROTOCOL_VERSIONS) -> int | None:
    """Returns the newest version that both processes support, or None."""
    return max(set(theirs) & set(ours), default=None)
