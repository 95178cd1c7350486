"""Events that the decision module handles.

Times are milliseconds on one clock that only advances. Settings are in `settings.py`, and
actions in `actions.py`.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from rosewheel.policy.settings import Settings


class AttemptResult(Enum):
    """How an attempt ended. Values are those in records and in the admin API."""

    OK = "ok"
    ERROR = "error"
    OVERLOADED = "full"  # the server rejected it
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "moot"  # not sent by the node: its server became unusable, or its request had ended

    @property
    def not_executed(self) -> bool:
        """Whether the result proves that the server has not executed the request."""
        return self in (AttemptResult.OVERLOADED, AttemptResult.CONNECT_FAILED, AttemptResult.NOT_SENT)


class ServerState(Enum):
    """State of a server in an endpoint list. Values are those of the simulator's protocol."""

    UP = "up"
    DRAINING = "draining"
    REMOVED = "removed"


class EndpointListForm(Enum):
    """Contents of an endpoint list update. Values are those of the simulator's protocol."""

    DELTA = "delta"  # changed entries
    SNAPSHOT = "full"  # the whole list
    CACHED = "cached"  # the whole list, from a cache
    FAILED = "failed"  # nothing, as a poll failed


@dataclass(slots=True)
class Server:
    """An entry of the endpoint list.

    Attributes:
        address: Name of the server.
        zone: Its zone.
        cell: Number of its cell within the zone.
        state: Whether it may be sent requests.
        launched_ms: When it started; None if that was long ago.
        location: Where it is reached; empty if that is not known. A name that comes back elsewhere is another process.
    """

    address: str
    zone: str = ""
    cell: int = 0
    state: ServerState = ServerState.UP
    launched_ms: float | None = None
    location: str = ""

    def is_same_process(self, other: Server) -> bool:
        """Return whether both entries describe one process: the same name, start and location."""
        return (self.address, self.launched_ms, self.location) == (
            other.address,
            other.launched_ms,
            other.location,
        )


@dataclass(slots=True)
class EndpointListUpdate:
    """The endpoint list has changed, or a poll of it has failed."""

    form: EndpointListForm
    servers: tuple[Server, ...] = ()


@dataclass(slots=True)
class DiscoveryAddressChanged:
    """The address of discovery has changed; polls of the old address are obsolete."""


@dataclass(slots=True)
class RequestReceived:
    """A client's request has arrived; `complete` is False while its body is still being received.

    An incomplete request may be forwarded. Its deadline counts from RequestCompleted.
    """

    id: str
    class_name: str
    deadline_at_ms: float
    tenant: str | None = None
    cost_hint_ms: float | None = None  # estimated work
    is_retry: bool = False
    complete: bool = True


@dataclass(slots=True)
class RequestCompleted:
    """The last byte of a request's body has been received, from which its deadline counts."""

    id: str
    deadline_at_ms: float


@dataclass(slots=True)
class ResponseStarted:
    """A streamed or long response has begun; other attempts of the request are no longer needed."""

    id: str
    attempt: int


@dataclass(slots=True)
class AttemptFinished:
    """An attempt has ended; `request_ended` if its request has ended too, now or earlier."""

    id: str
    attempt: int
    server: str
    result: AttemptResult
    latency_ms: float
    request_ended: bool
    report: dict[str, float] | None = None


@dataclass(slots=True)
class ClientDisconnected:
    """The client has closed its connection; its request needs no response."""

    id: str


@dataclass(slots=True)
class TimerFired:
    """A timer started by StartTimer has fired."""

    name: str


@dataclass(slots=True)
class HealthCheckFinished:
    """A health check has ended."""

    server: str
    result: AttemptResult
    latency_ms: float
    report: dict[str, float] | None = None


@dataclass(slots=True)
class CordonChanged:
    """An operator has cordoned or uncordoned a server. Cordons are independent of endpoint lists."""

    server: str
    cordoned: bool


@dataclass(slots=True)
class ProcessCountChanged:
    """The number of processes of this node that run a balancer has changed; 2 during a hot restart."""

    processes: int


@dataclass(slots=True)
class SiblingProcessLoad:
    """Weight in flight from the other processes of this node, by server; 0 for servers left out."""

    loads: dict[str, float]


@dataclass(slots=True)
class SettingsChanged:
    """New settings apply from now on; requests in flight keep those in force when they were received.

    The balancer raises ValueError, and changes nothing, for a setting that can't change while it runs.
    """

    settings: Settings


Event = (
    EndpointListUpdate
    | SettingsChanged
    | DiscoveryAddressChanged
    | CordonChanged
    | ProcessCountChanged
    | SiblingProcessLoad
    | RequestReceived
    | RequestCompleted
    | ResponseStarted
    | AttemptFinished
    | ClientDisconnected
    | TimerFired
    | HealthCheckFinished
)
