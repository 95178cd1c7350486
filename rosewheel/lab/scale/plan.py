"""What a scale run plays, by seed: which machine stands where, which trouble comes when. No I/O.

The fleet is that of the platform's letter: services of equipos with a node each, on machines in racks, zones and two
regions, and control machines of their own. Troubles follow one another, each with time to recover before the next.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import asdict, dataclass

import msgspec

from rosewheel.lab.streams import stream

REGION_OF_ZONE = (0, 0, 0, 0, 1, 1, 1)
RACKS = 6  # in a zone
CONTROL_ZONES = (0, 2, 4, 5)  # where the control machines stand; the first one writes
CHANGES_A_DAY = 920
RESTARTS = 41
# A machine's address in the run, and so what tells it apart: 127.(ZONE_BASE + zone).(rack + 1).(place + 1)
ZONE_BASE = 10
NODES_MOST = 2000  # the descriptors of the network between are two a watch, and two watches a node
REAL_MOST = 96  # with the run's other processes under 150
SECONDS = (5.0, 900.0)
# What a trouble takes: its weight in the time left for troubles, and the part of it during which it lasts.
TROUBLES: dict[str, tuple[float, float]] = {
    "machine": (4.0, 0.6),
    "three-machines": (4.0, 0.6),
    "restarts": (5.0, 0.7),
    "rack": (5.0, 0.6),
    "zone": (7.0, 0.6),
    "region": (9.0, 0.6),
    "control-machine": (9.0, 0.6),
    "writer": (7.0, 0.6),
}
REST, CHANGES = "rest", "changes"
REST_PART, CHANGES_PART = 0.15, 0.15  # of the run's time


class BadOptionsError(ValueError):
    """What was asked for can't be played; the text is one plain line that begins with the option."""


@dataclass(slots=True, frozen=True)
class Options:
    nodes: int = 540
    real: int = 24
    services: int = 25
    seconds: float = 60.0
    seed: int = 1
    troubles: tuple[str, ...] = tuple(TROUBLES)
    changes: int = CHANGES_A_DAY  # of configuration, in the time of the run after its rest
    calls: float = 20.0  # a second through each real node

    def check(self) -> None:
        """Raise BadOptionsError where these can't be played."""
        low, high = SECONDS
        for good, text in (
            (1 <= self.nodes <= NODES_MOST, f"--nodes: {self.nodes} is not from 1 to {NODES_MOST}"),
            (0 <= self.real <= REAL_MOST, f"--real: {self.real} is not from 0 to {REAL_MOST}"),
            (self.real <= self.nodes, f"--real: {self.real} are more than the {self.nodes} nodes"),
            (
                1 <= self.services <= self.nodes,
                f"--services: {self.services} is not from 1 to the {self.nodes} nodes",
            ),
            (low <= self.seconds <= high, f"--seconds: {self.seconds:g} is not from {low:g} to {high:g}"),
            (0 <= self.seed < 1 << 63, f"--seed: {self.seed} is not a number from 0 on"),
            (0 <= self.changes <= 20_000, f"--changes: {self.changes} is not from 0 to 20000"),
            (0.0 <= self.calls <= 500.0, f"--calls: {self.calls:g} is not from 0 to 500"),
        ):
            if not good:
                raise BadOptionsError(text)
        for name in self.troubles:
            if name not in TROUBLES:
                raise BadOptionsError(f"--troubles: {name!r} is none of {', '.join(TROUBLES)}")


@dataclass(slots=True, frozen=True)
class Machine:
    """The machine of one equipo and its node."""

    number: int
    service: int
    zone: int
    rack: int
    address: str
    real: bool

    @property
    def name(self) -> str:
        return f"n{self.number}"

    @property
    def region(self) -> int:
        return REGION_OF_ZONE[self.zone]


@dataclass(slots=True, frozen=True)
class ControlMachine:
    name: str
    zone: int

    @property
    def region(self) -> int:
        return REGION_OF_ZONE[self.zone]


@dataclass(slots=True, frozen=True)
class Phase:
    """A stretch of the run whose figures are told apart; seconds from its beginning."""

    name: str
    begin_s: float
    end_s: float


@dataclass(slots=True, frozen=True)
class Step:
    """A moment of a trouble. `lose` and `back`: machines and control machines vanish and come back; `restart`: a node's
    process ends and begins anew; `split` and `join`: the regions lose each other."""

    at_s: float
    what: str
    nodes: tuple[int, ...] = ()
    control: tuple[str, ...] = ()


@dataclass(slots=True, frozen=True)
class Change:
    """`config`: a setting of the service gets another value. `list`: the equipo is told as leaving, or as back."""

    at_s: float
    kind: str
    service: int
    node: int = -1
    health: str = ""


@dataclass(slots=True, frozen=True)
class Plan:
    options: Options
    machines: tuple[Machine, ...]
    control: tuple[ControlMachine, ...]  # the first one writes
    phases: tuple[Phase, ...]
    steps: tuple[Step, ...]
    changes: tuple[Change, ...]

    def lines(self) -> Iterator[bytes]:
        """The whole plan as JSON, one object a line."""
        encode = msgspec.json.Encoder(order="deterministic").encode
        yield encode({"options": asdict(self.options)})
        for key, rows in (
            ("machine", self.machines),
            ("control", self.control),
            ("phase", self.phases),
            ("step", self.steps),
            ("change", self.changes),
        ):
            for row in rows:
                yield encode({key: asdict(row)})


def make(options: Options) -> Plan:
    """The plan of these options; BadOptionsError where they can't be played."""
    options.check()
    machines = _machines(options)
    control = tuple(ControlMachine(f"c{at + 1}", zone) for at, zone in enumerate(CONTROL_ZONES))
    phases = _phases(options)
    steps = _steps(options, machines, control, phases)
    changes = sorted((*_config_changes(options), *_list_changes(options)), key=lambda change: change.at_s)
    return Plan(options, machines, control, phases, steps, tuple(changes))


def _machines(options: Options) -> tuple[Machine, ...]:
    """Services dealt over the zones and racks, so that a place which is lost takes a part of each of them."""
    rng = stream(options.seed, "scale", "places")
    order = rng.permutation(options.nodes)
    real = {int(at) for at in rng.permutation(options.nodes)[: options.real]}
    zones = len(REGION_OF_ZONE)
    machines = []
    for number in range(options.nodes):
        spot = int(order[number])
        zone, place = spot % zones, spot // zones
        rack = place % RACKS
        address = f"127.{ZONE_BASE + zone}.{rack + 1}.{place // RACKS + 1}"
        machines.append(Machine(number, number % options.services, zone, rack, address, number in real))
    return tuple(machines)


def _phases(options: Options) -> tuple[Phase, ...]:
    rest = options.seconds * REST_PART
    quiet = rest + options.seconds * CHANGES_PART if options.troubles else options.seconds
    phases = [Phase(REST, 0.0, rest), Phase(CHANGES, rest, quiet)]
    whole = sum(TROUBLES[name][0] for name in options.troubles)
    begin = quiet
    for name in options.troubles:
        end = begin + (options.seconds - quiet) * TROUBLES[name][0] / whole
        phases.append(Phase(name, begin, end))
        begin = end
    return tuple(phases)


def _steps(
    options: Options,
    machines: tuple[Machine, ...],
    control: tuple[ControlMachine, ...],
    phases: tuple[Phase, ...],
) -> tuple[Step, ...]:
    steps: list[Step] = []
    for phase in phases[2:]:
        rng = stream(options.seed, "scale", phase.name)
        end = phase.begin_s + (phase.end_s - phase.begin_s) * TROUBLES[phase.name][1]
        numbers = [int(at) for at in rng.permutation(options.nodes)]
        lost: tuple[int, ...] = ()
        away: tuple[str, ...] = ()
        match phase.name:
            case "machine":
                lost = tuple(numbers[:1])
            case "three-machines":
                lost = tuple(numbers[:3])
            case "restarts":
                some = numbers[: min(RESTARTS, options.nodes)]
                every = (end - phase.begin_s) / len(some)
                steps += [Step(phase.begin_s + at * every, "restart", (one,)) for at, one in enumerate(some)]
                continue
            case "rack":
                place = machines[numbers[0]]
                lost = tuple(
                    one.number for one in machines if (one.zone, one.rack) == (place.zone, place.rack)
                )
            case "zone":
                # Not the writer's: while that is away nothing is changed, so nothing could be timed.
                zone = int(rng.choice([at for at in range(len(REGION_OF_ZONE)) if at != control[0].zone]))
                lost = tuple(one.number for one in machines if one.zone == zone)
                away = tuple(one.name for one in control if one.zone == zone)
            case "writer":
                away = (control[0].name,)
            case "control-machine":
                away = (control[1 + int(rng.integers(len(control) - 1))].name,)
        if phase.name == "region":
            steps += [Step(phase.begin_s, "split"), Step(end, "join")]
        else:
            steps += [Step(phase.begin_s, "lose", lost, away), Step(end, "back", lost, away)]
    return tuple(steps)


def _config_changes(options: Options) -> Iterator[Change]:
    rng = stream(options.seed, "scale", "config")
    begin = options.seconds * REST_PART
    for at in sorted(rng.uniform(begin, options.seconds, options.changes).tolist()):
        yield Change(at, "config", int(rng.integers(options.services)))


def _list_changes(options: Options) -> Iterator[Change]:
    """Equipos that are told as leaving and, a little later, as back: one in 180 of the fleet each second."""
    rng = stream(options.seed, "scale", "lists")
    begin = options.seconds * REST_PART
    count = max(1, round(options.nodes / 180.0 * (options.seconds - begin)))
    for at in sorted(rng.uniform(begin, options.seconds, count).tolist()):
        node = int(rng.integers(options.nodes))
        service = node % options.services
        yield Change(at, "list", service, node, "leaving")
        yield Change(min(at + 1.5, options.seconds), "list", service, node, "active")
