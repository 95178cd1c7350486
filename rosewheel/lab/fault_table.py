"""Faults of a scenario file (its `trouble` tables): what breaks, when, for how long, and where."""

from __future__ import annotations

from enum import StrEnum
from typing import Annotated

from msgspec import Meta

from rosewheel.config.errors import InvalidValueError
from rosewheel.lab.tables import NonNegative, Range, Share, Table, upper_bound


class FaultKind(StrEnum):
    """What breaks. Values are those of scenario files and records."""

    SLOW = "slow"
    NEIGHBOUR = "neighbour"
    ERRORS = "errors"
    DEPLOY = "deploy"
    DISCOVERY_LAG = "discovery-lag"
    DISCOVERY_STALL = "discovery-stall"
    DISCOVERY_BREAK = "discovery-break"
    CONNECTION_FAULTS = "faults"
    CRASH = "crash"
    MACHINE_UNREACHABLE = "vanish"
    NODE_CRASH = "node-crash"
    NODE_UPGRADE = "node-upgrade"
    SURGE = "surge"
    NODE_LOSS = "node-loss"
    DISCOVERY_STORM = "discovery-storm"
    CLIENT_SHIFT = "front-shift"
    RETRY_STORM = "retry-storm"
    ZONE_LOSS = "loss"
    ZONE_PARTITION = "cut-off"


class ConnectionFaultKind(StrEnum):
    """What happens to a connection with a fault. Values are those of scenario files."""

    REFUSE = "refuse"
    RESET = "reset"
    SILENCE = "silence"
    DELAY = "delay"
    TRUNCATED_RESPONSE = "half"
    GARBLED_RESPONSE = "spoilt"


class KilledProcess(StrEnum):
    """The process of a node upgrade that is killed. Values are those of scenario files."""

    NONE = ""
    STARTING = "starting"  # the new one, before the old one is asked to stop
    NEW = "new"  # the new one, after the old one was asked to stop
    OLD = "old"


# Faults of a zone or region and of everything in it.
ZONE_FAULT_KINDS = (FaultKind.ZONE_LOSS, FaultKind.ZONE_PARTITION)
# Faults that may be restricted to a zone or region.
ZONAL_FAULT_KINDS = (
    *ZONE_FAULT_KINDS,
    FaultKind.SLOW,
    FaultKind.NEIGHBOUR,
    FaultKind.ERRORS,
    FaultKind.CRASH,
    FaultKind.MACHINE_UNREACHABLE,
)
# Faults that may have no end: a server stays away, a node is started again at once.
OPEN_ENDED_FAULT_KINDS = (
    FaultKind.CRASH,
    FaultKind.NODE_CRASH,
    FaultKind.NODE_UPGRADE,
    FaultKind.NODE_LOSS,
)
SIZED_FAULT_KINDS = (
    FaultKind.SLOW,
    FaultKind.NEIGHBOUR,
    FaultKind.ERRORS,
    FaultKind.DEPLOY,
    FaultKind.DISCOVERY_LAG,
    FaultKind.SURGE,
    FaultKind.DISCOVERY_STORM,
    FaultKind.RETRY_STORM,
)


class FaultTable(
    Table,
    frozen=True,
    kw_only=True,
    rename={
        "duration_s": "for_s",
        "share": "part",
        "period_s": "on_s",
        "deployed_only": "fresh",
        "new_process": "cold",
        "connection_fault": "how",
        "node_index": "node",
        "killed_process": "kills",
        "kill_delay_ms": "kill_ms",
    },
):
    """One fault.

    Attributes:
        tier: tier of the servers concerned; the first one, or all of `zone` or `region`, where it is empty.
        service: the same in a call graph.
        zone: only servers of this zone.
        region: only servers of this region.
        share: part of the tier's servers; of the connections for `faults`; of the nodes for `node-loss` (those that
            die) and `front-shift` (those that get all clients).
        size: `slow`: factor of the time that work takes. `neighbour`: share of the machine taken. `deploy`: share of
            the tier replaced at a time. `errors`: share of the requests that fail at once. `discovery-lag`: seconds.
            `surge`: factor of the load. `discovery-storm`: how often all servers are reported as draining and back.
            `retry-storm`: retries above the usual number.
        period_s: `neighbour`: how long it runs, and pauses, at a time.
        drain_s: `deploy`: from the drain to the stop.
        boot_s: `deploy`: from the drain to the start of the new servers.
        deployed_only: `errors`, `slow`: only servers that earlier deploys of the file have started by then.
        new_process: `vanish`: what returns is a new process.
        delay_ms: `faults`: delay of a response.
        node_index: `node-crash`, `node-upgrade`: the node.
        killed_process: `node-upgrade`: the process that is killed; the last process of a node is started again.
        kill_delay_ms: time between the start of the new process, or the stop of the old one, and the kill.
    """

    kind: FaultKind
    at_s: NonNegative
    duration_s: Range = 0.0
    tier: str = ""
    service: str = ""
    zone: str = ""
    region: str = ""
    share: Share = 1.0
    size: Range = 0.0
    period_s: Range = (1.2, 4.5)
    drain_s: Range = (3.6, 5.6)
    boot_s: Range = 1.0
    deployed_only: bool = False
    new_process: bool = False
    connection_fault: ConnectionFaultKind = ConnectionFaultKind.RESET
    delay_ms: NonNegative = 500.0
    node_index: Annotated[int, Meta(ge=0)] = 0
    killed_process: KilledProcess = KilledProcess.NONE
    kill_delay_ms: Range = 0.0

    @property
    def tier_name(self) -> str:
        """The tier or service that is named; empty where there is none."""
        return self.service or self.tier

    @property
    def is_zonal(self) -> bool:
        """Whether the fault is restricted to a zone or region."""
        return bool(self.zone or self.region)

    def __post_init__(self) -> None:
        self._check_ranges("duration_s", "size", "period_s", "drain_s", "boot_s", "kill_delay_ms")
        self._check_place()
        self._check_options()
        self._check_size()

    def _check_options(self) -> None:
        kind = self.kind.value
        if self.killed_process and self.kind is not FaultKind.NODE_UPGRADE:
            raise InvalidValueError("kills", f"no process is killed by a trouble of kind {kind}")
        if self.kind in SIZED_FAULT_KINDS and self.size == 0.0:
            raise InvalidValueError("size", f"a trouble of kind {kind} needs one above zero")
        if self.new_process and self.kind is not FaultKind.MACHINE_UNREACHABLE:
            raise InvalidValueError("cold", f"a trouble of kind {kind} brings nothing back that could be")
        if self.deployed_only and self.kind not in (FaultKind.ERRORS, FaultKind.SLOW):
            raise InvalidValueError(
                "fresh", f"a trouble of kind {kind} does not tell new equipos from old ones"
            )

    def _check_size(self) -> None:
        if self.kind is FaultKind.ERRORS and upper_bound(self.size) > 1.0:
            raise InvalidValueError("size", "more than all of what comes")
        if self.kind is FaultKind.NEIGHBOUR and upper_bound(self.size) >= 1.0:
            raise InvalidValueError("size", "the other program leaves nothing")

    def _check_place(self) -> None:
        kind = self.kind.value
        if self.tier and self.service:
            raise InvalidValueError("service", "a tier is named as well")
        if self.zone and self.region:
            raise InvalidValueError("region", "a zone is named as well")
        place = "zone" if self.zone else "region" if self.region else ""
        if place and self.kind not in ZONAL_FAULT_KINDS:
            raise InvalidValueError(place, f"a trouble of kind {kind} is not held to a {place}")
        if self.kind not in ZONE_FAULT_KINDS:
            return
        if not place:
            raise InvalidValueError("zone", f"a trouble of kind {kind} needs a zone or a region")
        if self.tier_name or self.share != 1.0:
            raise InvalidValueError(
                "part" if self.share != 1.0 else "service" if self.service else "tier",
                f"a trouble of kind {kind} befalls all that lies there",
            )
