"""What holds between the machines, whatever is cut, restarted, lost or promoted, in whichever order."""

from __future__ import annotations

import contextlib
import itertools
from dataclasses import dataclass, field
from typing import Any

import pytest
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from rosewheel.control.durable_log import LogRecord
from rosewheel.control.replica import (
    FencedError,
    NotLeaderError,
    NotPromotableError,
    Replica,
    UncommittedChangeError,
    encode_change,
    encode_snapshot,
)
from rosewheel.control.revisions import INITIAL_REVISION, Document, Epoch, Revision, RevisionConflictError

NAMES = ("c1", "c2", "c3", "c4")
MACHINES = st.sampled_from(NAMES)


@dataclass
class Machine:
    """A replica and its disk, as the store drives them."""

    name: str
    names: tuple[str, ...] = NAMES
    disk: list[LogRecord] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.start()

    def start(self) -> None:
        peers = [name for name in self.names if name != self.name]
        self.replica = Replica(self.name, peers, "c1", self.disk)
        if self.replica.started_empty:
            self.disk.append(self.replica.epoch_record)
        self.promoting: tuple[Epoch, dict[str, Revision]] | None = None

    def put(self, patch: Document, alone: bool = False) -> Revision:
        change = self.replica.draft(patch, self.replica.last.number, unreplicated=alone)
        self.disk.append(encode_change(change))
        self.replica.appended(change)
        return change.revision

    def learn(self, epoch: Epoch) -> None:
        if epoch > self.replica.highest_epoch_seen:
            self.disk.append({"kind": "seen", "epoch": epoch})
            self.replica.epoch_observed(epoch)

    def follow(self, other: Machine) -> bool:
        """What the other has to tell; whether there was something."""
        tail = other.replica.log_suffix(self.replica.last)
        if tail is None:
            return False
        try:
            self.replica.validate_suffix(tail)
        except FencedError:
            return False
        changes = [encode_change(change) for change in tail.changes]
        if tail.snapshot is not None:
            self.disk[:] = [encode_snapshot(tail.snapshot), *changes, self.replica.epoch_record]
        else:
            self.disk += changes
        self.replica.suffix_appended(tail)
        return True

    def beat(self, other: Machine) -> None:
        for one, two in ((self, other), (other, self)):
            one.learn(max(two.replica.highest_epoch_seen, two.replica.last.epoch))
        for one, two in ((self, other), (other, self)):
            one.replica.replica_ack(two.name, two.replica.last)

    def begin(self, reached: list[Machine], force: bool = False) -> None:
        if not force:
            self.replica.check_promotable({other.name: other.replica.last for other in reached})
        epoch = self.replica.next_epoch(other.replica.highest_epoch_seen for other in reached)
        self.learn(epoch)
        self.promoting = (epoch, {})

    def fence(self, other: Machine) -> None:
        assert self.promoting is not None
        epoch, holds = self.promoting
        other.learn(epoch)
        if other.replica.highest_epoch_seen == epoch:
            holds[other.name] = other.replica.last

    def lead(self, force: bool = False) -> Revision:
        assert self.promoting is not None
        epoch, holds = self.promoting
        self.promoting = None
        if not force:
            self.replica.check_promotable(holds)
        change = self.replica.draft_promotion(epoch, 0.0, "", force and not holds)
        self.disk.append(encode_change(change))
        self.replica.appended(change)
        return change.revision

    def promote(self, reached: list[Machine], force: bool = False) -> Revision:
        self.begin(reached, force)
        for other in reached:
            self.fence(other)
        return self.lead(force)


def machines(*names: str) -> list[Machine]:
    made = [Machine(name, names) for name in names]
    meet(made)
    return made


def meet(made: list[Machine]) -> None:
    """Until nobody has anything new for anybody."""
    going = True
    while going:
        going = False
        for one in made:
            for other in made:
                if one is not other:
                    going |= one.follow(other)
                    one.beat(other)


SIDES = st.sampled_from([sides for sides in itertools.product((0, 1), repeat=4) if not sides[0]])
SOME = st.sets(MACHINES)


class Fleet(RuleBasedStateMachine):
    """Four machines of which one may be lost for good, and nodes; nobody forces anything."""

    def __init__(self) -> None:
        super().__init__()
        self.machines = {name: Machine(name) for name in NAMES}
        self.side = dict.fromkeys(NAMES, 0)  # of a cut
        self.lost = ""
        self.count = 0
        self.documents: dict[Revision, Document] = {}
        self.shown: set[Revision] = set()
        self.seen: dict[str, Epoch] = {}
        self.nodes: list[Revision] = [INITIAL_REVISION] * 3
        meet(list(self.machines.values()))
        self.machines["c1"].put({"a": 0})
        meet(list(self.machines.values()))

    def reach(self, one: str, other: str) -> bool:
        return one != other and self.lost not in (one, other) and self.side[one] == self.side[other]

    def reached(self, name: str) -> list[Machine]:
        return [self.machines[other] for other in NAMES if self.reach(name, other)]

    @rule(name=MACHINES, follow=SOME, beat=SOME)
    def put(self, name: str, follow: set[str], beat: set[str]) -> None:
        """Whoever thinks that it writes does; of those it reaches some take it, and some say so."""
        for machine in self.machines.values():
            if machine.name != self.lost and (machine.replica.is_leader or machine.name == name):
                self.count += 1
                with contextlib.suppress(NotLeaderError, UncommittedChangeError, RevisionConflictError):
                    machine.put({"a": self.count})
                self._hear(machine, follow, beat)

    @rule(name=MACHINES, follow=SOME, beat=SOME)
    def hear(self, name: str, follow: set[str], beat: set[str]) -> None:
        if name != self.lost:
            self._hear(self.machines[name], follow, beat)

    def _hear(self, machine: Machine, follow: set[str], beat: set[str]) -> None:
        for other in self.reached(machine.name):
            if other.name in follow:
                other.follow(machine)
                self.what_was_shown_is_in_every_later_epoch()
            if other.name in beat:
                other.beat(machine)
                self.what_was_shown_is_in_every_later_epoch()

    @rule(name=MACHINES)
    def settle(self, name: str) -> None:
        """All on one side hear one another."""
        if name != self.lost:
            meet([self.machines[name], *self.reached(name)])

    @rule(name=MACHINES)
    def restart(self, name: str) -> None:
        if name != self.lost:
            self.machines[name].start()

    @rule(sides=SIDES)
    def cut(self, sides: tuple[int, ...]) -> None:
        self.side = dict(zip(NAMES, sides, strict=True))

    @rule()
    def heal(self) -> None:
        self.side = dict.fromkeys(NAMES, 0)

    @precondition(lambda self: not self.lost and self.count > 1)
    @rule(name=MACHINES)
    def lose(self, name: str) -> None:
        self.lost = name

    @rule(name=MACHINES)
    def promote(self, name: str) -> None:
        if name != self.lost:
            with contextlib.suppress(NotPromotableError, NotLeaderError):
                self.machines[name].promote(self.reached(name))

    @rule(name=MACHINES, fence=SOME)
    def begin(self, name: str, fence: set[str]) -> None:
        """A promotion between whose steps others come."""
        if name != self.lost:
            with contextlib.suppress(NotPromotableError):
                machine = self.machines[name]
                machine.begin(self.reached(name))
                for other in self.reached(name):
                    if other.name in fence:
                        machine.fence(other)

    @rule(name=MACHINES)
    def lead(self, name: str) -> None:
        machine = self.machines[name]
        if name != self.lost and machine.promoting is not None:
            for other in self.reached(name):
                machine.fence(other)
            with contextlib.suppress(NotPromotableError, NotLeaderError):
                machine.lead()

    @rule(node=st.integers(0, 2), name=MACHINES)
    def node(self, node: int, name: str) -> None:
        shown = self.machines[name].replica.committed
        if name != self.lost and shown > self.nodes[node]:
            self.nodes[node] = shown

    @invariant()
    def a_position_is_one_document(self) -> None:
        for machine in self.machines.values():
            versions = machine.replica.history
            for version in range(versions.snapshot.revision.number, versions.last.number + 1):
                position = versions.revision_numbered(version)
                document = versions.document_at(position)
                assert document is not None
                assert self.documents.setdefault(position, document) == document

    @invariant()
    def seen_epochs_only_grow(self) -> None:
        for name, machine in self.machines.items():
            seen = machine.replica.highest_epoch_seen
            assert seen >= self.seen.get(name, seen)
            assert seen >= machine.replica.last.epoch
            self.seen[name] = seen

    @invariant()
    def what_was_shown_is_in_every_later_epoch(self) -> None:
        """Acknowledged is what its writer shows, and nodes have in force what was shown: none of it is lost."""
        for name, machine in self.machines.items():
            if name != self.lost:
                self.shown.add(machine.replica.committed)
        for machine in self.machines.values():
            replica = machine.replica
            if replica.is_leader:
                for position in self.shown:
                    if position.epoch < replica.last.epoch:
                        assert replica.history.document_at(position) is not None, (position, machine.name)

    def teardown(self) -> None:
        """All who can reach one another come to the same."""
        self.side = dict.fromkeys(NAMES, 0)
        there = [machine for name, machine in self.machines.items() if name != self.lost]
        meet(there)
        self.what_was_shown_is_in_every_later_epoch()
        assert len({machine.replica.highest_epoch_seen for machine in there}) == 1
        writers = [machine for machine in there if machine.replica.is_leader]
        assert len(writers) <= 1
        if writers:
            assert {machine.replica.last for machine in there} == {writers[0].replica.last}
            assert {machine.replica.committed for machine in there} == {writers[0].replica.last}
            assert all(node <= writers[0].replica.last for node in self.nodes)
        else:  # a promotion stopped half way: whoever holds the most can be promoted, and nothing is lost
            best = max(there, key=lambda machine: machine.replica.last)
            others = [machine for machine in there if machine is not best]
            if all(machine.replica.last != INITIAL_REVISION for machine in there):
                best.promote(others)
                meet(there)
                self.what_was_shown_is_in_every_later_epoch()
                assert len({machine.replica.committed for machine in there}) == 1


TestFleet = Fleet.TestCase
TestFleet.settings = hypothesis_settings(
    max_examples=300, stateful_step_count=25, deadline=None, derandomize=True
)


def test_a_change_is_shown_once_a_second_machine_has_it():
    c1, c2, c3 = machines("c1", "c2", "c3")
    at = c1.put({"a": 1})
    assert c1.replica.committed == INITIAL_REVISION
    with pytest.raises(UncommittedChangeError, match="version 1 is held by no other machine"):
        c1.put({"a": 2})
    assert c2.follow(c1)
    assert c2.replica.committed == at
    assert c1.replica.committed == INITIAL_REVISION
    c1.beat(c2)
    assert c1.replica.committed == at
    assert c1.replica.committed_document == {"a": 1}
    assert c3.replica.committed == INITIAL_REVISION


def test_after_a_restart_the_last_change_is_in_doubt_until_another_machine_is_heard():
    c1, c2 = machines("c1", "c2")
    first = c1.put({"a": 1})
    meet([c1, c2])
    second = c1.put({"a": 2})
    c1.start()
    assert c1.replica.last == second
    assert c1.replica.committed == first
    meet([c1, c2])
    assert c1.replica.committed == c2.replica.committed == second


def test_alone_is_acknowledged_at_once_and_stays_so_after_a_restart():
    c1, _ = machines("c1", "c2")
    c1.put({"a": 1})
    at = c1.put({"a": 2}, alone=True)
    assert c1.replica.committed == at
    c1.start()
    assert c1.replica.committed == at


def test_one_that_is_behind_is_not_promoted_unless_forced_and_says_who_holds_what():
    c1, c2, c3, c4 = every = machines("c1", "c2", "c3", "c4")
    c1.put({"a": 1})
    meet(every)
    c1.put({"a": 2})
    c2.follow(c1)
    c1.beat(c2)
    with pytest.raises(
        NotPromotableError, match=r"c3 holds version 1 of epoch 1 \(c1\), but c2 holds version 2 of epoch 1"
    ):
        c3.promote([c2, c4])
    assert c3.replica.highest_epoch_seen == c2.replica.highest_epoch_seen == Epoch(1, "c1"), (
        "nothing was changed by asking"
    )
    with pytest.raises(NotPromotableError, match="what c1, c2 held is not known: 2 of 3 machines could say"):
        c3.promote([c4])
    c3.promote([c2, c4], force=True)
    meet([c2, c3, c4])
    assert {machine.replica.last for machine in (c2, c3, c4)} == {Revision(2, "c3", 2)}
    assert c2.replica.committed_document == {"a": 1}


def test_an_old_writer_writes_no_more_and_what_only_it_had_is_dropped():
    c1, c2, c3, c4 = every = machines("c1", "c2", "c3", "c4")
    c1.put({"a": 1})
    meet(every)
    c1.put({"a": "lost"})
    at = c2.promote([c3, c4])
    assert not c3.follow(c1), "what comes from a lower epoch is refused"
    c1.beat(c4)
    with pytest.raises(NotLeaderError, match="c2 writes, not c1"):
        c1.put({"a": 3})
    meet(every)
    assert {machine.replica.committed for machine in every} == {at}
    assert c1.replica.committed_document == {"a": 1}
    assert c2.put({"a": 3}).number == 3


def test_a_writer_that_lost_its_disk_does_not_begin_anew():
    c1, c2, c3 = every = machines("c1", "c2", "c3")
    c1.put({"a": 1})
    meet(every)
    again = Machine("c1", ("c1", "c2", "c3"))
    with pytest.raises(UncommittedChangeError, match="c2, c3 is not yet"):
        again.put({"a": 9})
    again.beat(c2)
    again.beat(c3)
    with pytest.raises(UncommittedChangeError, match="c2, c3 hold versions, and c1 none"):
        again.put({"a": 9})
    with pytest.raises(NotPromotableError, match="what c1, c3 held is not known: 1 of 2"):
        c2.promote([again])  # the word of one that holds nothing does not count
    c2.promote([again, c3])
    meet([again, c2, c3])
    assert again.replica.committed_document == {"a": 1}


def test_what_is_kept_is_read_back_as_it_was():
    c1, c2 = machines("c1", "c2")
    for at in range(5):
        c1.put({"a": at})
        meet([c1, c2])
    c1.replica.trim(2)
    records: list[LogRecord] = c1.replica.log_records
    back: Any = Replica("c1", ["c2"], "", records)
    assert (back.last, back.highest_epoch_seen) == (c1.replica.last, c1.replica.highest_epoch_seen)
    assert back.history.document == {"a": 4}
    late = Machine("c2", ("c1", "c2"))
    late.replica.validate_suffix(tail := c1.replica.log_suffix(INITIAL_REVISION))  # type: ignore[arg-type]
    assert tail is not None
    assert tail.snapshot is not None
    late.replica.suffix_appended(tail)
    assert late.replica.committed_document == {"a": 4}
