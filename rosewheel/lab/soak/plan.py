"""The plan of a soak: which faults happen when, drawn from a seed. A plan in a file replays."""

from __future__ import annotations

import random
from collections.abc import Collection
from enum import Enum

import msgspec

from rosewheel.config.errors import InvalidFileError, Problem

WARM_UP_S = 1.5  # before the first fault
COOL_DOWN_S = 2.5  # without faults at the end
FAULT_INTERVAL_S = (0.5, 1.1)  # shorter than faults last, so that two or three always overlap
FAULT_DURATION_S = (1.0, 3.0)


class FaultKind(Enum):
    """What goes wrong; the values are those of plan files."""

    NODE_TERM = "node-term"
    NODE_KILL = "node-kill"
    NODE_HELD_UP = "node-held-up"
    NODE_RELOAD = "node-reload"
    NODE_RELOAD_BAD = "node-reload-bad"
    SERVER_HANG = "server-hang"
    SERVER_RESET = "server-reset"
    SERVER_ERROR = "server-error"
    SERVER_REJECT = "server-reject"
    SERVER_UNFRAMED = "server-unframed"
    SERVER_SURPLUS = "server-surplus"
    SERVER_SLOW = "server-slow"
    SERVER_CLOSE_IDLE = "server-close-idle"
    SERVER_DRAIN = "server-drain"
    SERVER_CRASH = "server-crash"
    DISCOVERY_SILENT = "discovery-silent"
    DISCOVERY_RESET = "discovery-reset"
    DISCOVERY_SPLIT = "discovery-split"
    CLIENTS_LEAVE = "clients-leave"
    CLIENTS_PIPELINE = "clients-pipeline"
    CLIENTS_STOP = "clients-stop"
    CLIENTS_MALFORMED = "clients-malformed"


class Fault(msgspec.Struct, frozen=True):
    """One fault.

    Attributes:
        kind: What goes wrong.
        at_s: When it begins, from the start of the run.
        for_s: How long it lasts; a fault of a moment ignores it.
        target: Number of the node or server, modulo how many there are.
    """

    kind: FaultKind
    at_s: float
    for_s: float
    target: int


class SoakPlan(msgspec.Struct, frozen=True):
    """The plan of one run.

    Attributes:
        seed: Of all random draws.
        seconds: How long clients send.
        nodes: Node processes.
        faults: In the order of their beginnings.
    """

    seed: int
    seconds: float
    nodes: int
    faults: tuple[Fault, ...]


def draw_plan(seed: int, seconds: float, nodes: int) -> SoakPlan:
    """The plan of a seed; the same on every machine."""
    rng = random.Random(f"soak-{seed}")
    faults: list[Fault] = []
    at_s = WARM_UP_S
    kinds: list[FaultKind] = []
    while at_s < seconds - COOL_DOWN_S:
        for_s = min(rng.uniform(*FAULT_DURATION_S), seconds - COOL_DOWN_S - at_s)
        if not kinds:  # each kind once before any comes again
            kinds = rng.sample(list(FaultKind), len(FaultKind))
        faults.append(Fault(kinds.pop(), round(at_s, 3), round(for_s, 3), rng.randrange(1 << 16)))
        at_s += rng.uniform(*FAULT_INTERVAL_S)
    return SoakPlan(seed, seconds, nodes, tuple(faults))


def keep_only(plan: SoakPlan, numbers: Collection[int]) -> SoakPlan:
    """The plan with only these of its faults, to make a find smaller."""
    kept = tuple(fault for number, fault in enumerate(plan.faults) if number in numbers)
    return msgspec.structs.replace(plan, faults=kept)


def encode_plan(plan: SoakPlan) -> bytes:
    """The plan as JSON."""
    return msgspec.json.encode(plan)


def read_plan(path: str) -> SoakPlan:
    """The plan in a file.

    Raises:
        InvalidFileError: It can't be read, or is no plan.
    """
    try:
        with open(path, "rb") as file:
            return msgspec.json.decode(file.read(), type=SoakPlan)
    except (OSError, msgspec.DecodeError) as error:
        raise InvalidFileError(path, [Problem("", None, str(error))]) from error
