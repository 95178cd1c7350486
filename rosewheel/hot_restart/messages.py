"""What two processes of one node say to each other during a hot restart.

The predecessor is the process that serves already, the successor the one that replaces it. Messages go both ways over
one connection; `messages_codec` maps them to the wire. Descriptors are sockets or pipes that come with a message.
"""

from __future__ import annotations

import enum
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

PROTOCOL_VERSIONS = (1,)

WireState = dict[str, Any]
"""The state of one connection, as `http` gives it out and takes it back; its keys are those of the wire."""


class ConnectionKind(enum.Enum):
    """What a migrated connection is; the values are the words of the wire."""

    CLIENT = "caller"
    UPSTREAM = "equipo"
    RESPONSE = "passage"  # a response in progress: the connection that it comes from and the client's

    @property
    def descriptor_count(self) -> int:
        """How many descriptors such a connection consists of."""
        return 2 if self is ConnectionKind.RESPONSE else 1

    @property
    def label(self) -> str:
        """The name in log lines."""
        return self.name.lower()


@dataclass(slots=True, frozen=True)
class Hello:
    """Both processes, first. The predecessor's comes with the reading end of the pipe of its `Sender`.

    Attributes:
        versions: The versions of the protocol that the process speaks.
        node: The name of its node.
        pid: Its process id, for the log.
    """

    versions: tuple[int, ...]
    node: str
    pid: int | None


@dataclass(slots=True, frozen=True)
class Serving:
    """The successor: it accepts clients from now on."""


@dataclass(slots=True, frozen=True)
class ShuttingDown:
    """The predecessor: it accepts no clients from now on, and holds this many descriptors."""

    descriptors_held: int | None


@dataclass(slots=True, frozen=True)
class Offer:
    """The predecessor: a connection for the successor. Its descriptors come with the message.

    Attributes:
        number: Identifies the offer in its receipt.
        kind: What the connection is; None where this version does not know the kind.
        state: Where the connection stands.
        descriptors_held: How many descriptors the predecessor still holds.
    """

    number: int
    kind: ConnectionKind | None
    state: WireState
    descriptors_held: int | None


@dataclass(slots=True, frozen=True)
class Accepted:
    """The successor's receipt: from now on the connection of this offer is its own."""

    number: int


@dataclass(slots=True, frozen=True)
class Rejected:
    """The successor can't use the connection of this offer."""

    number: int
    reason: str


@dataclass(slots=True, frozen=True)
class InFlight:
    """Both processes, at intervals: the weight of the requests in flight at each server."""

    loads: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class BorrowListeners:
    """The successor asks for the listening sockets of the predecessor."""


@dataclass(slots=True, frozen=True)
class LentListeners:
    """The predecessor's answer; the sockets come with the message."""


@dataclass(slots=True, frozen=True)
class UnknownMessage:
    """A message of a later version, or one without the fields that it needs; it is ignored."""

    kind: str


Message = (
    Hello
    | Serving
    | ShuttingDown
    | Offer
    | Accepted
    | Rejected
    | InFlight
    | BorrowListeners
    | LentListeners
    | UnknownMessage
)


def newest_common_version(theirs: Iterable[int], ours: tuple[int, ...] = PROTOCOL_VERSIONS) -> int | None:
    """Returns the newest version that both processes speak, or None."""
    return max(set(theirs) & set(ours), default=None)
