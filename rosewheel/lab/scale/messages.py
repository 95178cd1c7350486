"""Messages between the run and its worker processes, one JSON object per line.

A worker reads its setup from a file, writes one `...Ready` message and then handles commands. The JSON keys are stable;
`rename` maps the field names to them where they differ.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Any

import msgspec

from rosewheel.lab.wire import Address


class Command(msgspec.Struct, frozen=True, tag_field="do"):
    """Base class of the commands, identified by their tags."""


class ReadStatistics(Command, frozen=True, tag="figures"):
    """Request the statistics of the worker."""


# ---------------------------------------------------------------------- network


class TrafficKind(StrEnum):
    """Kind of traffic; each kind is counted separately."""

    DISCOVERY = "discovery"
    CONTROL = "control"
    PEER = "peer"  # between control machines


class ListenerSetup(msgspec.Struct, frozen=True):
    """A listening port of the network.

    Attributes:
        kind: Kind of its traffic.
        targets: Addresses that it may connect to, by the name of the control machine.
        caller: Name of the only machine that connects to it; empty if callers are identified by source address.
    """

    kind: TrafficKind
    targets: dict[str, Address]
    caller: str = ""


class NetworkSetup(msgspec.Struct, frozen=True, rename={"regions": "places", "listeners": "doors"}):
    """Setup of the network worker.

    Attributes:
        regions: Regions of all machines and control machines, by name.
        machines: Names of the machines, by address.
        listeners: The listening ports to open.
        far_s: One-way delay between regions, in seconds.
    """

    regions: dict[str, int]
    machines: dict[str, str]
    listeners: list[ListenerSetup]
    far_s: float


class NetworkReady(msgspec.Struct, frozen=True, rename={"addresses": "doors"}):
    """Addresses of the listeners, in the order of the setup."""

    addresses: list[Address]


class LoseMachines(Command, frozen=True, tag="lose"):
    """Drop all packets of these machines."""

    names: list[str]


class RestoreMachines(Command, frozen=True, tag="back"):
    """Pass the packets of these machines again, and reset the connections that they had."""

    names: list[str]


class SetPartition(Command, frozen=True, tag="split", rename={"partitioned": "on"}):
    """Start or end a partition between the regions."""

    partitioned: bool


NetworkCommand = LoseMachines | RestoreMachines | SetPartition | ReadStatistics


class TrafficCounters(msgspec.Struct, array_like=True):
    """Traffic of connections since the start.

    Upstream is from the caller to the target; a read is one call of `data_received` in the network.
    """

    connections: int = 0
    upstream_bytes: int = 0
    downstream_bytes: int = 0
    upstream_reads: int = 0
    downstream_reads: int = 0


TrafficTable = dict[TrafficKind, dict[str, TrafficCounters]]  # by kind, then by machine


class NetworkStatistics(msgspec.Struct, frozen=True):
    """Traffic by the machine that opened the connection, and by the machine that accepted it."""

    callers: TrafficTable
    targets: TrafficTable


# -------------------------------------------------------------------- discovery


class EndpointSetup(msgspec.Struct, frozen=True):
    """An endpoint in the first list of a service."""

    host: str
    dial: str
    site: str
    block: int


class DiscoverySetup(msgspec.Struct, frozen=True, rename={"service_of_address": "homes"}):
    """Setup of the discovery worker: the first list of each service, and the service of each source address."""

    services: list[list[EndpointSetup]]
    service_of_address: dict[str, int]


class DiscoveryReady(msgspec.Struct, frozen=True):
    """Address of discovery."""

    address: Address


class EndpointChange(msgspec.Struct, frozen=True, array_like=True):
    """New health of an endpoint."""

    service: int
    host: str
    health: str


class ChangeLists(Command, frozen=True, tag="change", rename={"returning": "back"}):
    """Change endpoint lists; `returning` tells that the machines of the endpoints were lost and have returned."""

    changes: list[EndpointChange]
    returning: bool


DiscoveryCommand = ChangeLists | ReadStatistics


class PublishedList(msgspec.Struct, frozen=True, rename={"at_ms": "at"}):
    """A new version of a service's list, and the time of its publication in ms (monotonic clock)."""

    service: int
    version: int
    at_ms: float


class ListsChanged(msgspec.Struct, frozen=True, rename={"published": "made"}):
    """Reply to `ChangeLists`; changes of endpoints on lost machines are not published."""

    published: list[PublishedList]


class DiscoveryStatistics(
    msgspec.Struct,
    frozen=True,
    rename={
        "active_endpoints": "active",
        "watches_opened": "watches",
        "connections": "open",
        "updates_sent": "told",
    },
):
    """Version and number of active endpoints of each service's list, and counters of the discovery server."""

    versions: list[int]
    active_endpoints: list[int]
    watches_opened: int
    connections: int
    updates_sent: int


# -------------------------------------------------------------- simulated nodes


class SimulatedNodeSetup(msgspec.Struct, frozen=True, array_like=True):
    """One simulated node.

    Attributes:
        number: Number of the node.
        service: Name of its service.
        address: Source address of its connections.
        discovery: Address at which it reaches discovery.
        control_machines: Addresses at which it reaches the control machines, by name; if empty, the node does not
            subscribe to a configuration.
    """

    number: int
    service: str
    address: str
    discovery: Address
    control_machines: dict[str, Address]


class SimulatedNodesSetup(msgspec.Struct, frozen=True):
    """Setup of a worker of simulated nodes, whose record files are in `folder` with the prefix `name`."""

    nodes: list[SimulatedNodeSetup]
    seed: int
    folder: str
    name: str


class SimulatedNodesReady(msgspec.Struct, frozen=True):
    """Number of started nodes."""

    nodes: int


class StopNodes(Command, frozen=True, tag="stop"):
    """Stop these nodes; numbers of other workers' nodes are ignored."""

    numbers: tuple[int, ...]


class StartNodes(Command, frozen=True, tag="start"):
    """Start these nodes; numbers of other workers' nodes are ignored."""

    numbers: tuple[int, ...]


class RestartNodes(Command, frozen=True, tag="restart"):
    """Stop and start these nodes; numbers of other workers' nodes are ignored."""

    numbers: tuple[int, ...]


class SaveRecords(Command, frozen=True, tag="save"):
    """Write the records of received versions to files."""


SimulatedNodesCommand = StopNodes | StartNodes | RestartNodes | SaveRecords | ReadStatistics


class NodeVersions(msgspec.Struct, frozen=True, array_like=True):
    """Versions of the endpoint list and configuration of a running node; 0 for none."""

    number: int
    list_version: int
    config_version: int


class SimulatedNodesStatistics(
    msgspec.Struct, frozen=True, rename={"configs_applied": "applied", "endpoints": "entries"}
):
    """Versions of the running nodes, number of configurations applied so far, and total number of endpoints held."""

    versions: list[NodeVersions]
    configs_applied: int
    endpoints: int


class RecordsSaved(msgspec.Struct, frozen=True, rename={"counts": "saved"}):
    """Number of saved records of each kind."""

    counts: list[int]


# ------------------------------------------------------------------------ calls


class CallsSetup(msgspec.Struct, frozen=True):
    """Setup of the calls worker.

    Attributes:
        scenario: Lab scenario, as JSON values.
        seed: Seed of the plan of calls.
        targets: Addresses to call, by name.
        folder: Folder for the records.
    """

    scenario: dict[str, Any]
    seed: int
    targets: dict[str, Address]
    folder: str


class CallsReady(msgspec.Struct, frozen=True):
    """Number of planned calls."""

    arrivals: int


class StartLoad(Command, frozen=True, tag="go", rename={"start_ms": "t0"}):
    """Start the plan at this time, in ms (monotonic clock)."""

    start_ms: float


class StopLoad(Command, frozen=True, tag="stop"):
    """Stop sending calls."""


CallsCommand = StartLoad | StopLoad


class LoadStopped(msgspec.Struct, frozen=True, rename={"in_flight": "open"}):
    """Number of calls in flight, and the largest delay of a call after its planned time, in ms."""

    in_flight: int
    lag_max_ms: float


# --------------------------------------------------------------------- emulator


class EmulatedEndpoint(msgspec.Struct, frozen=True, rename={"address": "dial"}):
    """Address of an emulated server, as `host:port`."""

    address: str


class EmulatedEndpoints(msgspec.Struct, frozen=True, rename={"endpoints": "hosts"}):
    """The list of emulated servers."""

    endpoints: list[EmulatedEndpoint]


class EmulatorReady(msgspec.Struct, frozen=True, rename={"discovery": "known"}):
    """First message of the emulator process; keys that are not used here are ignored."""

    discovery: EmulatedEndpoints
