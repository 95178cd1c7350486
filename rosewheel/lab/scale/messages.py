"""Messages between the run and its worker processes, one JSON object per line.

Each worker reads its setup from a file, writes one `...Ready` line, and then answers commands. The JSON keys are
those of the files that a run leaves in its folder; where they differ from the field names, `rename` maps them.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Any

import msgspec

from rosewheel.lab.wire import Address


class Command(msgspec.Struct, frozen=True, tag_field="do"):
    """Base of the commands; the tag says which one it is."""


class ReadStatistics(Command, frozen=True, tag="figures"):
    """Ask for the worker's counters and versions."""


# ---------------------------------------------------------------------- network


class TrafficKind(StrEnum):
    """Kinds of traffic, which are counted separately."""

    DISCOVERY = "discovery"
    CONTROL = "control"
    PEER = "peer"  # between control machines


class ListenerSetup(msgspec.Struct, frozen=True):
    """A listening port of the network.

    Attributes:
        kind: Kind of traffic, by which it is counted.
        targets: Addresses of the control machines that it may connect to, by name.
        caller: Name of the only machine that uses it; empty where callers are known by their source address.
    """

    kind: TrafficKind
    targets: dict[str, Address]
    caller: str = ""


class NetworkSetup(msgspec.Struct, frozen=True, rename={"regions": "places", "listeners": "doors"}):
    """Setup of the network worker.

    Attributes:
        regions: Region of each machine and control machine, by name.
        machines: Name of each machine, by address.
        listeners: The ports to open.
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
    """Let these machines communicate again; what they had open is reset."""

    names: list[str]


class SetPartition(Command, frozen=True, tag="split", rename={"partitioned": "on"}):
    """Separate the regions, or join them again."""

    partitioned: bool


NetworkCommand = LoseMachines | RestoreMachines | SetPartition | ReadStatistics


class TrafficCounters(msgspec.Struct, array_like=True):
    """Traffic of connections since the start.

    Upstream is from the caller to the target; a read is one piece that the network received.
    """

    connections: int = 0
    upstream_bytes: int = 0
    downstream_bytes: int = 0
    upstream_reads: int = 0
    downstream_reads: int = 0


TrafficTable = dict[TrafficKind, dict[str, TrafficCounters]]  # by kind of traffic and by machine


class NetworkStatistics(msgspec.Struct, frozen=True):
    """Traffic by the machine that opened the connection, and by the machine that it leads to."""

    callers: TrafficTable
    targets: TrafficTable


# -------------------------------------------------------------------- discovery


class EndpointSetup(msgspec.Struct, frozen=True):
    """An endpoint of a service's first list."""

    host: str
    dial: str
    site: str
    block: int


class DiscoverySetup(msgspec.Struct, frozen=True, rename={"service_of_address": "homes"}):
    """Setup of the discovery worker: the first list of each service, and the service of each machine's address."""

    services: list[list[EndpointSetup]]
    service_of_address: dict[str, int]


class DiscoveryReady(msgspec.Struct, frozen=True):
    """The address of discovery."""

    address: Address


class EndpointChange(msgspec.Struct, frozen=True, array_like=True):
    """New health of an endpoint."""

    service: int
    host: str
    health: str


class ChangeLists(Command, frozen=True, tag="change", rename={"returning": "back"}):
    """Change endpoint lists. `returning` means that the endpoints' machines are no longer lost."""

    changes: list[EndpointChange]
    returning: bool


DiscoveryCommand = ChangeLists | ReadStatistics


class PublishedList(msgspec.Struct, frozen=True, rename={"at_ms": "at"}):
    """A new version of a service's list, and when it was published (ms, monotonic)."""

    service: int
    version: int
    at_ms: float


class ListsChanged(msgspec.Struct, frozen=True, rename={"published": "made"}):
    """Answer to `ChangeLists`; changes of endpoints on lost machines are not published."""

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
    """Version and number of active endpoints of each service's list, and counters of the server."""

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
        address: Address from which it connects.
        discovery: Address of discovery as seen from the node.
        control_machines: Addresses of the control machines as seen from the node; without any, the node does not
            follow a configuration.
    """

    number: int
    service: str
    address: str
    discovery: Address
    control_machines: dict[str, Address]


class SimulatedNodesSetup(msgspec.Struct, frozen=True):
    """Setup of a worker of simulated nodes. Its records go to `folder`, in files that begin with `name`."""

    nodes: list[SimulatedNodeSetup]
    seed: int
    folder: str
    name: str


class SimulatedNodesReady(msgspec.Struct, frozen=True):
    """Number of nodes that were started."""

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
    """Write the records to files."""


SimulatedNodesCommand = StopNodes | StartNodes | RestartNodes | SaveRecords | ReadStatistics


class NodeVersions(msgspec.Struct, frozen=True, array_like=True):
    """The versions that a running node has."""

    number: int
    list_version: int
    config_version: int


class SimulatedNodesStatistics(
    msgspec.Struct, frozen=True, rename={"configs_applied": "applied", "endpoints": "entries"}
):
    """Versions of the running nodes, configurations applied so far, and endpoints that the nodes hold together."""

    versions: list[NodeVersions]
    configs_applied: int
    endpoints: int


class RecordsSaved(msgspec.Struct, frozen=True, rename={"counts": "saved"}):
    """Number of records of each kind."""

    counts: list[int]


# ------------------------------------------------------------------------ calls


class CallsSetup(msgspec.Struct, frozen=True):
    """Setup of the calls worker.

    Attributes:
        scenario: The lab's scenario, as JSON values.
        seed: Seed of the lab's plan.
        targets: Addresses to call, by name.
        folder: Where the records go.
    """

    scenario: dict[str, Any]
    seed: int
    targets: dict[str, Address]
    folder: str


class CallsReady(msgspec.Struct, frozen=True):
    """Number of calls that are planned."""

    arrivals: int


class StartLoad(Command, frozen=True, tag="go", rename={"start_ms": "t0"}):
    """Begin the plan at this moment (ms, monotonic)."""

    start_ms: float


class StopLoad(Command, frozen=True, tag="stop"):
    """Send no more calls."""


CallsCommand = StartLoad | StopLoad


class LoadStopped(msgspec.Struct, frozen=True, rename={"in_flight": "open"}):
    """Calls still in flight, and how late a call was sent at most, in ms."""

    in_flight: int
    lag_max_ms: float


# --------------------------------------------------------------------- emulator


class EmulatedEndpoint(msgspec.Struct, frozen=True, rename={"address": "dial"}):
    """Where an emulated server listens, as `host:port`."""

    address: str


class EmulatedEndpoints(msgspec.Struct, frozen=True, rename={"endpoints": "hosts"}):
    """The list of emulated servers."""

    endpoints: list[EmulatedEndpoint]


class EmulatorReady(msgspec.Struct, frozen=True, rename={"discovery": "known"}):
    """First line of the lab's emulator process; its other keys are not used here."""

    discovery: EmulatedEndpoints
