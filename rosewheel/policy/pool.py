"""The servers of a balancer, kept so that a choice among thousands costs no more than one among ten.

A small pool is looked at as a whole. Of a large one a request sees a sample: warm servers drawn at random, of
its own zone first, and cold ones that have credit. Cold ones without credit wait in a heap by the moment at
which they should have it. A repeat that is bound to a group sees a sample of that group. So the best of the
sample is picked, and not the best of all, and no herd runs to one server.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from random import Random

from rosewheel.policy.events import Server, ServerState

WHOLE = 64  # a pool of no more than this is looked at as a whole
SAMPLE = 12  # warm servers that a request sees of a larger one, half of them of its own zone,
COLD = 6  # cold ones with credit,
LOOKS = 48  # and of a group, at most; the first SAMPLE that may be sent to are enough
DUE = 8  # cold servers that are looked after with each request
SOON_MS = 500.0  # and at the latest after this, since credit comes faster when more is asked


@dataclass(slots=True, eq=False)
class Peer:
    """What this balancer knows of one server."""

    info: Server
    slow: float | None = None  # smoothed latency over its class's mean
    errs: float = 0.0  # smoothed share of failed attempts
    heard_ms: float = -math.inf
    load: float = 0.0  # calls in flight from here, by weight
    beside: float = 0.0  # the same of other processes of this node
    queue: float = 0.0  # reported calls of other balancers there
    told_ms: float = -math.inf
    util: float | None = None
    out: dict[tuple[str, int], float] = field(default_factory=dict)  # attempts out, oldest first
    credit: float = 0.0  # calls, by weight, that it may be sent while cold
    paced_ms: float = -math.inf
    returned_ms: float = -math.inf  # when operators let it serve again, with no word of its start since
    turned: int = 0  # attempts in a row that never ran there: turned away, or no connection
    shy_ms: float = -math.inf  # until when others go before it for that
    ready: bool = False  # it may be sent to
    due: bool = False  # it waits in the heap of cold ones

    def cold_until(self, cold_ms: float) -> float:
        launched = self.info.launched_ms
        return max(-math.inf if launched is None else launched, self.returned_ms) + cold_ms


Paced = Callable[[float, Peer], bool]  # whether a cold one has credit by now


class Bag:
    """Peers of which one is put in, taken out or drawn at the same cost, however many there are."""

    def __init__(self) -> None:
        self.items: list[Peer] = []
        self._place: dict[Peer, int] = {}

    def __len__(self) -> int:
        return len(self.items)

    def __contains__(self, peer: object) -> bool:
        return peer in self._place

    def add(self, peer: Peer) -> None:
        if peer not in self._place:
            self._place[peer] = len(self.items)
            self.items.append(peer)

    def discard(self, peer: Peer) -> None:
        place = self._place.pop(peer, None)
        if place is None:
            return
        last = self.items.pop()
        if last is not peer:
            self.items[place] = last
            self._place[last] = place

    def sample(self, rng: Random, count: int) -> list[Peer]:
        """So many of them, each at most once; all where there are no more."""
        if len(self.items) <= count:
            return list(self.items)
        size = len(self.items)
        return [self.items[at] for at in {int(rng.random() * size) for _ in range(count)}]


class Pool:
    def __init__(self, zone: str, cold_ms: float) -> None:
        self.zone, self.cold_ms = zone, cold_ms
        self.peers: dict[str, Peer] = {}
        self.cordoned: dict[str, float] = {}  # those that operators have taken out, and when
        self.load = 0.0  # calls in flight from here at those that may be sent to, by weight
        self.earn = 0.0  # credit per ms that a warm server would earn, as last told
        self._ready = Bag()
        self._groups: dict[tuple[str, int], Bag] = {}  # ready ones by zone and cell, and by zone alone (-1)
        self._warm, self._near = Bag(), Bag()  # ready and warm; of them, those of this zone
        self._payable = Bag()  # ready and cold, with credit for a call when last looked at
        self._due: list[tuple[float, int, Peer]] = []  # ready and cold: when to look at it again
        self._order = 0
        self._listed: list[Peer] | None = None

    # ------------------------------------------------------------ membership

    @property
    def ready(self) -> list[Peer]:
        """Those that may be sent to; of a small pool in the order in which the list named them."""
        if len(self.peers) > WHOLE:
            return self._ready.items
        if self._listed is None:
            self._listed = [peer for peer in self.peers.values() if peer.ready]
        return self._listed

    def put(self, peer: Peer, now: float) -> None:
        """A new peer, or a fresh one in the place of an old one."""
        old = self.peers.get(peer.info.address)
        if old is not None:
            self._out(old)
        self.peers[peer.info.address] = peer
        self._listed = None
        self.settle(peer, now)

    def drop(self, address: str) -> None:
        peer = self.peers.pop(address, None)
        if peer is not None:
            self._out(peer)
        self._listed = None

    def keep(self, named: set[str]) -> None:
        """Those alone, of all that there are."""
        for address in [address for address in self.peers if address not in named]:
            self.drop(address)

    def update(self, peer: Peer, info: Server, now: float) -> None:
        """The list says something else of it, though it has not restarted."""
        if peer.info != info:
            self._out(peer)
            peer.info = info
            self.settle(peer, now)

    def settle(self, peer: Peer, now: float) -> None:
        """Put it where it belongs by its state."""
        up = peer.info.state is ServerState.UP and peer.info.address not in self.cordoned
        if up is peer.ready:
            return
        self._listed = None
        if not up:
            self._out(peer)
            return
        peer.ready = True
        self.load += peer.load
        self._ready.add(peer)
        for key in self._keys(peer):
            self._groups.setdefault(key, Bag()).add(peer)
        if peer.cold_until(self.cold_ms) <= now:
            self._thawed(peer)
        else:
            self._look_again(peer, now)

    def recool(self, cold_ms: float, now: float, first: Callable[[], float]) -> None:
        """Servers are cold for another time from now on. One that is so again begins with a first credit,
        like a new one: what it was sent while warm is no debt."""
        was, peers = self.cold_ms, self.peers.values()
        credits = {peer: first() for peer in peers if peer.cold_until(was) <= now < peer.cold_until(cold_ms)}
        self.cold_ms = cold_ms
        for peer in peers:
            if peer in credits:
                peer.credit, peer.paced_ms = credits[peer], now
            if peer.ready:
                self._out(peer)
                self.settle(peer, now)

    def _out(self, peer: Peer) -> None:
        if not peer.ready:
            return
        peer.ready = False
        self._listed = None
        self.load -= peer.load
        for bag in (self._ready, self._warm, self._near, self._payable):
            bag.discard(peer)
        for key in self._keys(peer):
            bag = self._groups[key]
            bag.discard(peer)
            if not bag:
                del self._groups[key]

    @staticmethod
    def _keys(peer: Peer) -> tuple[tuple[str, int], tuple[str, int]]:
        return (peer.info.zone, peer.info.cell), (peer.info.zone, -1)

    def _thawed(self, peer: Peer) -> None:
        self._payable.discard(peer)
        self._warm.add(peer)
        if peer.info.zone == self.zone:
            self._near.add(peer)

    # ---------------------------------------------------------------- choice

    def charge(self, peer: Peer, units: float) -> None:
        """So much more is in flight there, or less."""
        peer.load = max(0.0, peer.load + units)
        if peer.ready:
            self.load = max(0.0, self.load + units)

    def unpaid(self, peer: Peer, now: float) -> None:
        """It may have no credit for a call: it has just been sent one, or was found so."""
        if peer.ready and peer.credit < 1.0 and peer.cold_until(self.cold_ms) > now:
            for bag in (self._warm, self._near, self._payable):
                bag.discard(peer)
            self._look_again(peer, now)

    def _look_again(self, peer: Peer, now: float) -> None:
        """When it should have credit for a call, if as much is asked as just now."""
        if peer.due:
            return
        peer.due = True
        if (
            len(self._due) > 2 * len(self.peers) + WHOLE
        ):  # Guard: of servers that are gone, whoever replaces them
            self._due = [row for row in self._due if self.peers.get(row[2].info.address) is row[2]]
            heapq.heapify(self._due)
        share = max(0.01, 1.0 - (peer.cold_until(self.cold_ms) - now) / self.cold_ms) if self.cold_ms else 1.0
        wait = (1.0 - peer.credit) / (self.earn * share) if self.earn > 0.0 else SOON_MS
        self._order += 1
        heapq.heappush(self._due, (now + min(SOON_MS, max(1.0, wait)), self._order, peer))

    def _look_after(self, now: float, paced: Paced) -> None:
        for _ in range(DUE):
            if not self._due or self._due[0][0] > now:
                return
            peer = heapq.heappop(self._due)[2]
            peer.due = False
            if not peer.ready or peer in self._warm or peer in self._payable:
                continue
            if not paced(now, peer):
                self._look_again(peer, now)
            elif peer.cold_until(self.cold_ms) <= now:
                self._thawed(peer)
            else:
                self._payable.add(peer)

    def look(self, rng: Random, count: int) -> list[Peer]:
        """So many of those that may be sent to, drawn; of a small pool all."""
        return self.ready if len(self.peers) <= WHOLE else self._ready.sample(rng, count)

    def candidates(
        self, now: float, rng: Random, group: tuple[str, int] | None, paced: Paced
    ) -> Iterable[Peer]:
        """Of a large pool, those among which a request's server is picked: of this group if one is given,
        where a cell of -1 stands for all of the zone."""
        self._look_after(now, paced)
        if group is not None:
            bag = self._groups.get(group)
            return [] if bag is None else bag.sample(rng, LOOKS)
        seen = self._near.sample(rng, SAMPLE // 2) + self._warm.sample(rng, SAMPLE // 2)
        for peer in self._payable.sample(rng, COLD):
            if peer.cold_until(self.cold_ms) <= now:
                self._thawed(peer)
            seen.append(peer)
        return dict.fromkeys(seen)
