"""Events that the decision module takes.

Times are milliseconds on one clock that only advances. The module's settings are in `settings.py`, the actions that
it returns in `actions.py`.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from rosewheel.policy.settings import Settings


class AttemptResult(Enum):
    """How an attempt ended. Values are those of records and of the admin API."""

    OK = "ok"
    ERROR = "error"
    OVERLOADED = "full"  # the server rejected it
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "moot"  # the node did not send it: its server may not be used, or its request has ended

    @property
    def not_executed(self) -> bool:
        """Whether this result proves that the server has not executed the request."""
        return self in (AttemptResult.OVERLOADED, AttemptResult.CONNECT_FAILED, AttemptResult.NOT_SENT)


class ServerState(Enum):
    """State of a server in an endpoint list. Values are those of the simulator's wire."""

    UP = "up"
    DRAINING = "draining"
    REMOVED = "removed"


class EndpointListForm(Enum):
    """What an endpoint list update holds. Values are those of the simulator's wire."""

    DELTA = "delta"  # changes
    SNAPSHOT = "full"  # the whole list
    CACHED = "cached"  # the whole list as it was remembered
    FAILED = "failed"  # nothing: a poll failed


@dataclass(slots=True)
class Server:
    """One entry of the endpoint list; `launched_ms` is None for a server that started long ago."""

    address: str
    zone: str = ""
    cell: int = 0
    state: ServerState = ServerState.UP
    launched_ms: float | None = None


@dataclass(slots=True)
class EndpointListUpdate:
    """The endpoint list has changed, or a poll of it has failed."""

    form: EndpointListForm
    servers: tuple[Server, ...] = ()


@dataclass(slots=True)
class DiscoveryAddressChanged:
    """Discovery has another address from now on; a poll of the old one is void."""


@dataclass(slots=True)
class RequestReceived:
    """A client's request; `complete` is False while its body is still being received.

    An incomplete request may be sent. Its deadline counts from RequestCompleted.
    """

    id: str
    service: str  # name of its class
    deadline_at_ms: float
    tenant: str | None = None
    cost_hint_ms: float | None = None
    is_retry: bool = False
    complete: bool = True


@dataclass(slots=True)
class RequestCompleted:
    """The last byte of a request's body has been received; its deadline counts from now."""

    id: str
    deadline_at_ms: float


@dataclass(slots=True)
class ResponseStarted:
    """A streamed or long response has begun; the other attempts of its request are of no use."""

    id: str
    attempt: int


@dataclass(slots=True)
class AttemptFinished:
    """An attempt has ended; `request_ended` where its request has ended too, by this attempt or earlier."""

    id: str
    attempt: int
    server: str
    result: AttemptResult
    latency_ms: float
    request_ended: bool
    report: dict[str, float] | None = None


@dataclass(slots=True)
class ClientDisconnected:
    """The client has closed its connection; its request needs no response any more."""

    id: str


@dataclass(slots=True)
class TimerFired:
    """A timer that StartTimer has set is due."""

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
    """An operator has cordoned a server, or has lifted its cordon. It holds whatever endpoint lists say."""

    server: str
    cordoned: bool


@dataclass(slots=True)
class ProcessCountChanged:
    """Number of processes of this node that decide now, each with its own balancer: 2 during a hot restart."""

    processes: int


@dataclass(slots=True)
class SiblingProcessLoad:
    """Weight in flight from the other processes of this node, by server; servers without any are left out."""

    loads: dict[str, float]


@dataclass(slots=True)
class SettingsChanged:
    """Other settings hold from now on; requests in flight keep those under which they were received.

    The balancer raises ValueError that names the key where it can't take them while it runs. Nothing has changed then.
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
