"""The plan of a soak: its faults and their times, drawn from a seed or read from a file."""

from __future__ import annotations

import random
from collections.abc import Collection
from enum import Enum

import msgspec

from rosewheel.config.errors import InvalidFileError, Problem
from rosewheel.lab.soak.deployment import Deployment, draw_deployment

WARM_UP_S = 1.5  # time before the first fault
COOL_DOWN_S = 2.5  # time without faults at the end of the run
FAULT_INTERVAL_S = (0.5, 1.1)  # time between the starts of two faults, short enough for faults to overlap
FAULT_DURATION_S = (1.0, 3.0)


class FaultKind(Enum):
    """Kind of a fault; the values are used in plan files."""

    NODE_TERM = "node-term"
    NODE_KILL = "node-kill"
    NODE_PAUSE = "node-held-up"
    NODE_RELOAD = "node-reload"
    NODE_RELOAD_INVALID = "node-reload-bad"
    SERVER_HANG = "server-hang"
    SERVER_RESET = "server-reset"
    SERVER_ERROR = "server-error"
    SERVER_REJECT = "server-reject"
    SERVER_UNFRAMED = "server-unframed"
    SERVER_SURPLUS_RESPONSE = "server-surplus"
    SERVER_SLOW = "server-slow"
    SERVER_CLOSE_IDLE = "server-close-idle"
    SERVER_DRAIN = "server-drain"
    SERVER_CRASH = "server-crash"
    DISCOVERY_SILENT = "discovery-silent"
    DISCOVERY_RESET = "discovery-reset"
    DISCOVERY_SPLIT = "discovery-split"
    CLIENTS_DISCONNECT = "clients-leave"
    CLIENTS_PIPELINE = "clients-pipeline"
    CLIENTS_STALL = "clients-stop"
    CLIENTS_MALFORMED = "clients-malformed"
    CLIENTS_UPLOAD = "clients-upload"
    CLIENTS_RETURN = "clients-return"
    CLIENTS_CROWD = "clients-crowd"
    CLIENTS_TINY_CHUNKS = "clients-tiny-chunks"
    SERVER_PAUSE = "server-pause"
    SERVER_STOP_READING = "server-stop-reading"
    SERVER_REPLACED = "server-replaced"
    NODE_SIGNALS = "node-signals"
    CLIENTS_HOSTILE = "clients-hostile"


# Kinds that are drawn apart from the others, so that a seed keeps its plan of these.
SEPARATE_KINDS = (FaultKind.CLIENTS_HOSTILE,)
SEPARATE_INTERVAL_S = (3.0, 6.0)


class Fault(msgspec.Struct, frozen=True):
    """One fault of a plan.

    Attributes:
        kind: Kind of the fault.
        at_s: Start time, in seconds from the start of the run.
        for_s: Duration in seconds; ignored by faults without a duration, such as a kill.
        target: Number of the node or server, taken modulo their count.
    """

    kind: FaultKind
    at_s: float
    for_s: float
    target: int


class SoakPlan(msgspec.Struct, frozen=True):
    """The plan of one run.

    Attributes:
        seed: Seed of all random draws.
        seconds: Time during which clients send requests.
        nodes: Number of nodes.
        faults: Faults in order of their start times.
        deployment: Settings and limits of the nodes.
    """

    seed: int
    seconds: float
    nodes: int
    faults: tuple[Fault, ...]
    deployment: Deployment = Deployment()


def draw_plan(seed: int, seconds: float, nodes: int) -> SoakPlan:
    """Return the plan of a seed, which is the same on every machine."""
    rng = random.Random(f"soak-{seed}")
    faults: list[Fault] = []
    at_s = WARM_UP_S
    kinds: list[FaultKind] = []
    while at_s < seconds - COOL_DOWN_S:
        for_s = min(rng.uniform(*FAULT_DURATION_S), seconds - COOL_DOWN_S - at_s)
        if not kinds:  # uses each kind once before any is repeated
            common = [kind for kind in FaultKind if kind not in SEPARATE_KINDS]
            kinds = rng.sample(common, len(common))
        faults.append(Fault(kinds.pop(), round(at_s, 3), round(for_s, 3), rng.randrange(1 << 16)))
        at_s += rng.uniform(*FAULT_INTERVAL_S)
    faults += _draw_separate_faults(seed, seconds)
    in_order = sorted(faults, key=lambda fault: fault.at_s)
    return SoakPlan(seed, seconds, nodes, tuple(in_order), draw_deployment(seed))


def _draw_separate_faults(seed: int, seconds: float) -> list[Fault]:
    rng = random.Random(f"soak-separate-{seed}")
    faults: list[Fault] = []
    at_s = WARM_UP_S + rng.uniform(*SEPARATE_INTERVAL_S)
    while at_s < seconds - COOL_DOWN_S:
        for_s = min(rng.uniform(*FAULT_DURATION_S), seconds - COOL_DOWN_S - at_s)
        kind, target = rng.choice(SEPARATE_KINDS), rng.randrange(1 << 16)
        faults.append(Fault(kind, round(at_s, 3), round(for_s, 3), target))
        at_s += rng.uniform(*SEPARATE_INTERVAL_S)
    return faults


def select_faults(plan: SoakPlan, numbers: Collection[int]) -> SoakPlan:
    """Return the plan with only the faults of these numbers, to narrow down a violation."""
    selected = tuple(fault for number, fault in enumerate(plan.faults) if number in numbers)
    return msgspec.structs.replace(plan, faults=selected)


def encode_plan(plan: SoakPlan) -> bytes:
    """Return the plan as JSON."""
    return msgspec.json.encode(plan)


def read_plan(path: str) -> SoakPlan:
    """Return the plan in a file.

    Raises:
        InvalidFileError: The file cannot be read, or does not contain a plan.
    """
    try:
        with open(path, "rb") as file:
            return msgspec.json.decode(file.read(), type=SoakPlan)
    except (OSError, msgspec.DecodeError) as error:
        raise InvalidFileError(path, [Problem("", None, str(error))]) from error
