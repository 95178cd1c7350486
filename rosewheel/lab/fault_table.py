"""Faults of a scenario file (its `trouble` tables)."""

from __future__ import annotations

from enum import StrEnum
from typing import Annotated

from msgspec import Meta

from rosewheel.config.errors import InvalidValueError
from rosewheel.lab.tables import NonNegative, Range, Share, Table, upper_bound


class FaultKind(StrEnum):
    """Kind of a fault. The values are used in scenario files and records."""

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
    """Kind of a connection fault. The values are used in scenario files."""

    REFUSE = "refuse"
    RESET = "reset"
    SILENCE = "silence"
    DELAY = "delay"
    TRUNCATED_RESPONSE = "half"
    GARBLED_RESPONSE = "spoilt"


class KilledProcess(StrEnum):
    """Process that is killed during a node upgrade. The values are used in scenario files."""

    NONE = ""
    STARTING = "starting"  # the new process, before the old one is asked to stop
    NEW = "new"  # the new process, after the old one was asked to stop
    OLD = "old"


# Faults that affect everything in a zone or region.
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
# Faults that may have no duration: a server then stays down, and a node is restarted at once.
OPEN_ENDED_FAULT_KINDS = (
    FaultKind.CRASH,
    FaultKind.NODE_CRASH,
    FaultKind.NODE_UPGRADE,
    FaultKind.NODE_LOSS,
)
# Faults that need a size.
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
        at_s: start time, from the start of the run.
        tier: tier of the affected servers; if empty, the first tier, or all tiers if `zone` or `region` is given.
        service: service of the affected servers, in place of `tier` in a call graph.
        zone: zone to which the fault is restricted.
        region: region to which the fault is restricted.
        share: share of the servers; for `faults` of the connections; for `node-loss` of the nodes, which go down; for
            `front-shift` of the nodes, which get all clients.
        size: `slow`: factor of the time that work takes. `neighbour`: share of the machine taken. `deploy`: share of
            the tier replaced at a time. `errors`: share of the requests that fail at once. `discovery-lag`: delay in
            seconds. `surge`: factor of the load. `discovery-storm`: number of times that all servers are reported as
            draining and then as active. `retry-storm`: number of retries above the usual limit.
        period_s: `neighbour`: mean time for which it runs, and for which it pauses.
        drain_s: `deploy`: time from the drain to the stop.
        boot_s: `deploy`: time from the drain to the start of the new servers.
        deployed_only: `errors`, `slow`: only affect servers that earlier deploys have started by then.
        new_process: `vanish`: the server returns as a new process.
        delay_ms: `faults`: delay of a response.
        node_index: `node-crash`, `node-upgrade`: number of the node, from 0.
        killed_process: `node-upgrade`: process that is killed; a node without any process left is restarted.
        kill_delay_ms: `node-upgrade`: time from the start of the new process, or the stop of the old one, to the kill.
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
        """The `service` or `tier`; empty if neither is given."""
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
            raise InvalidValueError("kills", f"only allowed for kind node-upgrade, not {kind}")
        if self.kind in SIZED_FAULT_KINDS and self.size == 0.0:
            raise InvalidValueError("size", f"must be above zero for kind {kind}")
        if self.new_process and self.kind is not FaultKind.MACHINE_UNREACHABLE:
            raise InvalidValueError("cold", f"only allowed for kind vanish, not {kind}")
        if self.deployed_only and self.kind not in (FaultKind.ERRORS, FaultKind.SLOW):
            raise InvalidValueError("fresh", f"only allowed for kinds errors and slow, not {kind}")

    def _check_size(self) -> None:
        if self.kind is FaultKind.ERRORS and upper_bound(self.size) > 1.0:
            raise InvalidValueError("size", "a share of the requests must not be above 1")
        if self.kind is FaultKind.NEIGHBOUR and upper_bound(self.size) >= 1.0:
            raise InvalidValueError("size", "a share of the machine must be below 1")

    def _check_place(self) -> None:
        kind = self.kind.value
        if self.tier and self.service:
            raise InvalidValueError("service", "must not be given together with tier")
        if self.zone and self.region:
            raise InvalidValueError("region", "must not be given together with zone")
        place = "zone" if self.zone else "region" if self.region else ""
        if place and self.kind not in ZONAL_FAULT_KINDS:
            raise InvalidValueError(place, f"a fault of kind {kind} cannot be restricted to a {place}")
        if self.kind not in ZONE_FAULT_KINDS:
            return
        if not place:
            raise InvalidValueError("zone", f"a fault of kind {kind} needs a zone or a region")
        if self.tier_name or self.share != 1.0:
            raise InvalidValueError(
                "part" if self.share != 1.0 else "service" if self.service else "tier",
                f"a fault of kind {kind} affects everything in its zone or region",
            )
