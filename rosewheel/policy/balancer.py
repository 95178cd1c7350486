"""The decision module of rosewheel.

Its interface is in rosewheel/policy/settings.py, rosewheel/policy/events.py and rosewheel/policy/actions.py.

Cursor-table admission: every period the pool's load moves a cursor one step over a table of queue
thresholds; a call that meets its row's threshold is refused at once; an admitted call goes to the
best-ranked ready server. Exceptions are marked `Guard:` with the failure they answer.
Sans-I/O: `Balancer.handle(now_ms, event)` returns actions; no clock, no globals, a random source of its own.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from random import Random

from rosewheel.policy.actions import (
    Action,
    CancelAttempt,
    FailRequest,
    ForwardRequest,
    RejectRequest,
    StartTimer,
    WatchEndpoints,
)
from rosewheel.policy.events import (
    AttemptFinished,
    AttemptResult,
    ClientDisconnected,
    CordonChanged,
    DiscoveryAddressChanged,
    EndpointListForm,
    EndpointListUpdate,
    Event,
    HealthCheckFinished,
    ProcessCountChanged,
    RequestCompleted,
    RequestReceived,
    ResponseStarted,
    ServerState,
    SettingsChanged,
    SiblingProcessLoad,
    TimerFired,
)
from rosewheel.policy.learned_state import (
    CURSOR_MS,
    POOL_MS,
    SERVER_MS,
    Learned,
    LearnedServer,
    same_start,
    stretch,
    weight,
)
from rosewheel.policy.learned_state import RATE_MS as RATES_FADE_MS
from rosewheel.policy.pool import WHOLE, Peer, Pool
from rosewheel.policy.settings import DedupScope, Idempotency, ServiceClass, Settings

PERIOD = 0.15  # P, as a share of the shortest aim
FLAT = 2  # n: slots of T1 at the table's left
STEPS = 14  # slots after them
STEP = 0.86  # each of which is this share of the one before
OCTAVES = 4.0  # worth this many halvings under the highest gets the lowest row
ROW_GAP = 0.25  # the lowest row's T1 is lower by this share
TOP_BEND = 0.5  # and the top row bends this much less in each slot: low worth is shed first
RETRY_WORTH = 0.5  # a marked retry counts as this share of its class's worth
T1_SLACK = 0.30  # T1 holds what completes in the quiet latency plus this share of what is left to the aim
ROOTS = 2.0  # and this many of its square roots, for chance (small pools vary more)
START = 7.0  # but no less than this for each ready server, over all siblings, until rates are known
START_MS = 3000.0  # which takes this long
FLOOR = 4.0  # and never less than this for each ready server, over all siblings,
FLOOR_BELOW = 1.0  # or, below the front, than this for each from here alone,
FEWEST = 8.0  # or than this from here alone
SLACK = 0.10  # target: quiet latency plus this share of the way from there to the aim
GROWS = 0.3  # and this share more at the table's far end
# The same of many nodes. By a few hundredths of difference in what each holds for quiet, and few answers a
# period, one shed nearly all for good and another nothing. Harm: a choking pool is relieved less.
GROWS_MANY = 1.0
SLACK_SEEN = 0.35  # the same where utilisation is reported: latency then stands for the tiers below only
SILENT = 8  # periods without an outcome that leave the cursor where it is; after them it steps left
WEIGHTY = 10.0  # outcomes that give a period half the say in the smoothed latency where it is higher,
WEIGHTY_FALL = 3.0  # and where it is lower
# Outcomes for which the quiet baseline is the smoothed latency itself. Of two nodes before one pool, ten gave
# one 0.21 to 0.25 of the aim and the other 0.31, and the first shed three calls of four all day. Harm: the
# load of the first seconds counts as quiet, for which SLACK makes up.
LEARN = 30
BASE_FALL = 0.1  # how fast the quiet baseline follows a lower period,
BASE_RISE = 0.01  # and a higher one
UTIL_TARGET = 0.97  # target of the median reported utilisation
FULL_TARGET = 0.05  # target share of attempts turned away
ERR_WEIGHTY = 20.0  # outcomes that give a period half the say in the smoothed share of errors
ERR_RISE = 0.02  # how fast the usual share of errors follows a higher one, by period
# At a node of many, and by so much faster for all that is shed. Errors that shedding does not lessen are no
# load: a fault below, or a few equipos, had all nodes refuse for ten seconds at a quiet latency.
ERR_RISE_SHED = 0.5
RATE_MS = 1000.0  # smoothing of the completion rate
PEAK_MS = 15000.0  # how slowly the rate's peak is forgotten
# In a large pool a node of many completes little, and the peak of a rate by few is chance: who had luck took
# up what others shed. Both times are longer there: so many completions in the smoothing, up to so many times.
STEADY = 40.0
LONGER = 4.0
GAIN = 0.2  # smoothing of a server's latency and errors, per outcome
CLASS_GAIN = 0.03  # smoothing of a class's latency, per outcome
FORGET_MS = 8000.0  # an unheard server drifts back to the mean at this pace
STALE_MS = 500.0  # a reported queue is believed for about this long,
# in a large pool, where many nodes run to whichever server told of a short one last, for less.
STALE_LARGE_MS = 200.0
REPORTS = 256  # servers whose reports are looked at in a period, of a large pool
FRESH_MS = 1500.0  # a reported utilisation counts for this long
ZONE_WEIGHT = 64.0  # calls in the queue that a crossing of zones counts as, per unit of its price
WATCH_MS = 250.0  # half the first time from one call of discovery to the next; doubled at each failure
WATCH_MAX_MS = (
    4000.0  # the longest such time, what a call took included: discovery/watch_client.py has the sum
)
WATCH_LEAST_MS = 200.0  # the longest wait behind a call that took longer, or a watch that was open
COLD_KEEP = 0.5  # what a cold server has earned and is not sent lapses after this part of `tip_after_ms`
AT_ONCE = 4.0  # balancers that may send a server its first call just as it returns
# Past this many nodes before the first tier each sees too little by itself, and allowances of all add up.
FEW = 4
# What a cold server may be sent, as a part of its budget: `overload_factor` times its stated share of what a
# warm one completes. That share is the least of any server's and warms slowest: paced by it cold ones idle
# while the few warm ones choke. The rank finds those that can't do so much.
COLD_PART = 0.5
T1_SLACK_MANY = 0.15  # in place of T1_SLACK
# What ROW_GAP grows to in a pool that does half of what it could. Of few calls in flight at each of many
# nodes a tenth less is less than one: high worth was refused nearly as often as low.
ROW_GAP_MANY = 0.6
# Half the time for which others go before a server where an attempt never ran; doubled with each in a row.
SHY_MS = 250.0
SHY_MAX_MS = 4000.0  # the longest such time: lists are late by more, but it may have been full and no more
SHY = 100.0  # what its rank counts for meanwhile
STRENGTH_MS = 3000.0  # what a weaker pool completes was sent in part while it was stronger: for about so long
MOST_PERIODS = 1e9  # that are counted where periods become shorter
AIM_MARGIN = 0.98  # attempts worth nothing late are given up at this share of the aim


@dataclass(slots=True)
class _Bucket:
    """A tenant's share at this balancer, in requests a second."""

    quota: float
    tokens: float
    then: float


@dataclass(slots=True)
class _Try:
    peer: Peer
    sent_ms: float
    result: AttemptResult | None = None  # None: still out
    counted: bool = False  # among the calls in flight there


@dataclass(slots=True)
class _Job:
    """One request and its attempts."""

    request: RequestReceived
    kind: ServiceClass
    cfg: Settings  # those under which it was taken
    taken_ms: float
    units: float  # its weight in the queue
    tries: list[_Try] = field(default_factory=list)
    done: bool = False
    streaming: bool = False

    def out(self) -> int:
        return sum(1 for item in self.tries if item.result is None)

    def may_have_run(self) -> list[_Try]:
        return [item for item in self.tries if item.result is None or not item.result.not_executed]


def _group(kind: ServiceClass, peer: Peer) -> tuple[str, int]:
    """The servers among which a repeat of this keyed class is dropped."""
    zone = "" if kind.dedup_scope is DedupScope.ALL else peer.info.zone
    return zone, peer.info.cell if kind.dedup_scope is DedupScope.CELL else 0


def _bag(kind: ServiceClass, peer: Peer) -> tuple[str, int] | None:
    """The same as the pool knows it; None where that is all of it."""
    if kind.dedup_scope is DedupScope.ALL:
        return None
    return peer.info.zone, peer.info.cell if kind.dedup_scope is DedupScope.CELL else -1


def _buckets(settings: Settings, now: float, old: dict[str, _Bucket] | None = None) -> dict[str, _Bucket]:
    """A tenant that is new begins with all of a second's share; one that had a bucket with what was in it."""
    buckets = {}
    for tenant in settings.tenants:
        share = tenant.quota_per_s / settings.balancer_count
        was = (old or {}).get(tenant.name) or _Bucket(share, share, now)
        # What it earned up to now it earned at the old share.
        tokens = min(was.quota, was.tokens + was.quota * (now - was.then) / 1000.0)
        buckets[tenant.name] = _Bucket(share, min(share, tokens), now)
    return buckets


def _ago(now: float, then: float | None) -> float | None:
    return None if then is None or then == -math.inf else max(0.0, now - then)


def _middle(values: list[float]) -> float | None:
    return sorted(values)[len(values) // 2] if values else None


class Balancer:
    def __init__(self, settings: Settings, seed: int, now_ms: float) -> None:
        self._take(settings)
        self.rng = Random(seed)
        self.period_ms = self.next_period_ms
        self.shape = [1.0] * FLAT + [STEP**step for step in range(1, STEPS + 1)]
        self.cursor = 0
        self.pool = Pool(settings.zone, settings.warm_up_ms)
        self.jobs: dict[str, _Job] = {}
        self.large = False  # the pool is more than what is looked at as a whole
        self.stale_ms = STALE_MS
        self.beside: set[str] = set()  # servers where other processes of this node have calls in flight
        self.processes = 1  # of this node, each with a balancer; only during an upgrade more
        self.started = False
        self.watch_failures = 0
        self.watched_ms = now_ms  # when discovery was asked last
        self.watch_due = False  # an alarm is set after which discovery is asked again
        self.periods = self.silent = 0  # in all, and since the last with an outcome
        self.ratios: list[float] = []  # this period's latencies over their aims
        self.base: float | None = None  # quiet latency as a share of the aim, from the first period on
        self.learned_from = 0  # outcomes that it rests on
        self.level = 0.0  # smoothed latency as a share of the aim
        self.completed = self.ended = self.full = self.errors = 0.0
        self.erring = self.usual = 0.0  # smoothed share of errors, and the part of it that no shedding lowers
        self.rate = self.peak = 0.0  # completed units per ms
        # Of many nodes: rates are per warm server, and the pool counts as so many of those, now and of late.
        self.strength = self.lately = 1.0
        self.counted = 0  # periods since the first in which something was completed
        self.mean_aim = sum(kind.latency_objective_ms for kind in settings.classes) / len(settings.classes)
        self.mean_hint = 0.0
        self.class_ms: dict[str, float] = {}
        self.asked = self.asked_rate = 0.0  # what was asked for in this period; its smoothed rate per ms
        self.buckets = _buckets(settings, now_ms)

    def _take(self, settings: Settings) -> None:
        """What follows from the settings alone."""
        self.cfg = settings
        self.kinds = {kind.name: kind for kind in settings.classes}
        self.next_period_ms = PERIOD * min(kind.latency_objective_ms for kind in settings.classes)
        self.top_worth = max(kind.priority_weight for kind in settings.classes) or 1.0
        self.far = ZONE_WEIGHT * settings.cross_zone_cost
        self.many = settings.tier == 0 and settings.balancer_count > FEW

    @property
    def peers(self) -> dict[str, Peer]:
        return self.pool.peers

    def handle(self, now: float, event: Event) -> list[Action]:
        if isinstance(event, SettingsChanged):
            return self._on_configured(now, event.settings)
        if isinstance(event, RequestReceived):  # before any state is touched
            if event.service not in self.kinds:
                raise ValueError(f"service: {event.service!r} is not a class of the settings")
            if event.id in self.jobs:
                raise ValueError(f"id: {event.id!r} is held already")
        acts: list[Action] = []
        if not self.started:
            self.started = True
            acts.append(StartTimer(self.period_ms, "period"))
            if self.cfg.poll_discovery:
                self._watch(now, acts)
        if isinstance(event, RequestReceived):
            self._on_request(now, event, acts)
        elif isinstance(event, AttemptFinished):
            self._on_outcome(now, event, acts)
        elif isinstance(event, TimerFired) and event.name == "period":
            self._on_period(now)
            if self.period_ms != self.next_period_ms:  # only now: rates of the one that ran are by its length
                longer = self.period_ms / self.next_period_ms
                self.periods = math.ceil(min(MOST_PERIODS, self.periods * longer))
                self.counted = math.ceil(min(MOST_PERIODS, self.counted * longer))
                self.period_ms = self.next_period_ms
            acts.append(StartTimer(self.period_ms, "period"))
        elif isinstance(event, TimerFired) and event.name == "watch":
            if self.watch_due:  # Guard: an alarm that a move has overtaken would break off the watch there
                self.watch_due = False
                self._watch(now, acts)
        elif isinstance(event, DiscoveryAddressChanged):
            # Guard: failures of the old address say nothing of the new one, whose list may be needed at once.
            self.watch_failures, self.watch_due = 0, False
            if self.cfg.poll_discovery:
                self._watch(now, acts)
        elif isinstance(event, EndpointListUpdate):
            self._on_membership(now, event, acts)
        elif isinstance(event, CordonChanged):
            self._on_cordon(now, event)
        elif isinstance(event, ProcessCountChanged):
            self._on_company(event)
        elif isinstance(event, SiblingProcessLoad):
            for address in self.beside - event.loads.keys():
                if address in self.peers:
                    self.peers[address].beside = 0.0
            for address, load in event.loads.items():
                if address in self.peers:
                    self.peers[address].beside = load
            self.beside = set(event.loads)
        elif isinstance(event, ClientDisconnected) and event.id in self.jobs:
            self._end(self.jobs[event.id], acts)
        elif isinstance(event, RequestCompleted) and event.id in self.jobs:
            self._on_arrived(now, self.jobs[event.id], event)
        elif isinstance(event, ResponseStarted) and event.id in self.jobs:
            job = self.jobs[event.id]
            job.streaming = True
            if not job.kind.streaming:
                # Guard: a long answer is passed on at its client's pace, when its work is done; counted as in
                # flight for so long, slow clients would have others refused.
                self._count_off(job, event.attempt)
            self._cancel_others(job, event.attempt, acts)
        elif isinstance(event, HealthCheckFinished):
            self._hear(now, event.server, event.report)
        return acts

    # -------------------------------------------------------------- settings

    def _on_configured(self, now: float, new: Settings) -> list[Action]:
        """All of the change or, where anything raises, nothing of it."""
        if new == self.cfg:
            return []
        for key in ("tier", "zone"):  # what was learned is of another pool then, and a machine does not move
            if getattr(new, key) != getattr(self.cfg, key):
                raise ValueError(f"{key}: {getattr(new, key)!r} would need a new start of this node")
        kept, drawn = dict(self.__dict__), self.rng.getstate()
        try:
            return self._configure(now, new)
        except Exception:
            self.__dict__.update(kept)
            self.rng.setstate(drawn)
            raise

    def _configure(self, now: float, new: Settings) -> list[Action]:
        """Attributes are replaced and what they hold is left as it is, but for the peers at the end."""
        old, old_aims, many, total = self.cfg, self._aims(), self.many, self.strength
        self._take(new)
        self.buckets = _buckets(new, now, self.buckets)
        self.class_ms = {name: ms for name, ms in self.class_ms.items() if name in self.kinds}
        self._rescale(stretch(old_aims, self._aims()))
        if self.many is not many:
            self.strength = self.lately = self._strength(now) if self.many else 1.0
            self.rate, self.peak = (figure * total / self.strength for figure in (self.rate, self.peak))
            self._count_periods(1.0 if self.rate > 0.0 else 0.0)
        acts: list[Action] = []
        if not self.started:
            self.period_ms = self.next_period_ms
        elif new.poll_discovery is not old.poll_discovery:
            self.watch_failures, self.watch_due = 0, False
            if new.poll_discovery:
                self._watch(now, acts)
        if new.warm_up_ms != old.warm_up_ms:
            self.pool.recool(new.warm_up_ms, now, lambda: self.rng.random() / self.processes)
        if self.many is not many:
            for peer in self.peers.values():  # shunned by the rule of the one, for good by that of the other
                peer.turned, peer.shy_ms = 0, -math.inf
        return acts

    def _aims(self) -> dict[str, float]:
        return {name: kind.latency_objective_ms for name, kind in self.kinds.items()}

    def _rescale(self, longer: float | None) -> None:
        """Aims have changed: what was learned as a share of them is so many times as large."""
        aims = [kind.latency_objective_ms for kind in self.kinds.values()]
        if longer is None:
            self.base, self.level, self.learned_from, self.ratios = None, 0.0, 0, []
            self.mean_aim = sum(aims) / len(aims)
        elif longer != 1.0:
            self.base = None if self.base is None else self.base * longer
            self.level *= longer
            self.ratios = [ratio * longer for ratio in self.ratios]
            self.mean_aim = min(max(aims), max(min(aims), self.mean_aim / longer))

    def _count_periods(self, share: float) -> None:
        """Behind a rate that is known already are the periods that one is smoothed over, or a share."""
        if self.many:
            self.counted = int(share * LONGER * RATE_MS / self.period_ms)

    # --------------------------------------------------------------- company

    def loads(self) -> dict[str, float]:
        """Calls in flight from here, by weight, at each server that has any."""
        return {address: peer.load for address, peer in self.peers.items() if peer.load > 0.0}

    def _on_company(self, event: ProcessCountChanged) -> None:
        """Guard: to the servers the processes of one node are one. What a cold server may be sent is shared
        out: here the credit that it has; what it earns later comes by what is asked of each."""
        if event.processes > self.processes:
            for peer in self.peers.values():
                peer.credit *= self.processes / event.processes
        self.processes = max(1, event.processes)

    # --------------------------------------------------------------- learned

    def learned(self, now: float) -> Learned:
        """What is worth keeping past this process."""
        return Learned(
            servers={
                address: LearnedServer(
                    started_ago_ms=_ago(now, peer.info.launched_ms),
                    slow=peer.slow,
                    errs=peer.errs,
                    heard_ago_ms=_ago(now, peer.heard_ms),
                    queue=peer.queue,
                    told_ago_ms=_ago(now, peer.told_ms),
                    util=peer.util,
                    credit=max(0.0, peer.credit),
                    returned_ago_ms=_ago(now, peer.returned_ms),
                )
                for address, peer in self.peers.items()
            },
            class_ms=dict(self.class_ms),
            aims=self._aims(),
            base=self.base,
            level=self.level,
            outcomes=self.learned_from,
            cursor=self.cursor,
            rate=self.rate * self.strength,
            peak=self.peak * self.strength,
            asked_rate=self.asked_rate,
            erring=self.erring,
            usual=self.usual,
        )

    def recall(self, now: float, old: Learned, age_ms: float) -> int:
        """Take back what an earlier process had learned, each part as far as its age allows; returns how many
        servers it knew. To be called once, with the first list; a server that restarted since is fresh."""
        known = 0
        for address, was in old.servers.items():
            peer = self.peers.get(address)
            here = None if peer is None else _ago(now, peer.info.launched_ms)
            if peer is None or peer.heard_ms > -math.inf or not same_start(was.started_ago_ms, age_ms, here):
                continue
            known += 1
            then = now - age_ms
            peer.errs = min(1.0, was.errs) * weight(age_ms, SERVER_MS)
            peer.credit = min(
                peer.credit, was.credit
            )  # never more than either: the old process may still spend
            if was.slow is not None and was.heard_ago_ms is not None:
                peer.slow, peer.heard_ms = was.slow, then - was.heard_ago_ms  # its rank fades with its age
            if was.told_ago_ms is not None:
                peer.queue, peer.util, peer.told_ms = was.queue, was.util, then - was.told_ago_ms
            if was.returned_ago_ms is not None:
                peer.returned_ms = then - was.returned_ago_ms
        lasting, fleeting = weight(age_ms, POOL_MS), weight(age_ms, RATES_FADE_MS)
        longer = stretch(old.aims, self._aims()) if old.aims else 1.0  # that process may have had other aims
        if old.base is not None and self.base is None and lasting > 0.1 and longer is not None:
            # The fewer outcomes it is taken to rest on, the sooner new ones replace it.
            self.base = self.level = old.base * longer
            self.learned_from = int(min(LEARN, old.outcomes) * lasting)
            self.class_ms = {name: ms for name, ms in old.class_ms.items() if name in self.kinds and ms > 0.0}
            self.level += (old.level - old.base) * longer * weight(age_ms, CURSOR_MS)
        self.cursor = min(len(self.shape) - 1, int(old.cursor * weight(age_ms, CURSOR_MS)))
        self.rate, self.peak = (figure * fleeting / self.strength for figure in (old.rate, old.peak))
        self.asked_rate = old.asked_rate * fleeting
        if old.rate > 0.0:
            self._count_periods(fleeting)
        self.erring, self.usual = old.erring * fleeting, min(1.0, old.usual) * fleeting
        return known

    # ------------------------------------------------------------ membership

    def _watch(self, now: float, acts: list[Action]) -> None:
        self.watched_ms = now
        acts.append(WatchEndpoints())

    def _on_membership(self, now: float, event: EndpointListUpdate, acts: list[Action]) -> None:
        if event.form is EndpointListForm.FAILED:  # subscribe anew, backing off so as not to crowd discovery
            self.watch_failures = min(16, self.watch_failures + 1)
            self.watch_due = True
            apart = min(WATCH_MAX_MS, WATCH_MS * 2.0**self.watch_failures)
            wait = max(WATCH_LEAST_MS, apart - (now - self.watched_ms))
            acts.append(StartTimer(wait * self.rng.uniform(0.5, 1.0), "watch"))
            return
        if event.form is not EndpointListForm.CACHED:
            self.watch_failures = 0
        if event.form is not EndpointListForm.DELTA:  # a server absent from a whole list is gone
            self.pool.keep({server.address for server in event.servers})
        for server in event.servers:
            if server.state is ServerState.REMOVED:
                self.pool.drop(server.address)
                continue
            known = self.peers.get(server.address)
            if known is None or known.info.launched_ms != server.launched_ms:  # new, or restarted
                first = self.rng.random() / self.processes
                self.pool.put(Peer(server, credit=first, paced_ms=now), now)
            else:
                self.pool.update(known, server, now)
        if self.many:  # at once, and not with the next period
            self.strength = self._strength(now)
        self.large = len(self.peers) > WHOLE
        self.stale_ms = STALE_LARGE_MS if self.large else STALE_MS

    def _on_cordon(self, now: float, event: CordonChanged) -> None:
        if event.cordoned:
            self.pool.cordoned.setdefault(event.server, now)
            if event.server in self.peers:
                self.pool.settle(self.peers[event.server], now)
        elif event.server in self.pool.cordoned:
            since = self.pool.cordoned.pop(event.server)
            known = self.peers.get(event.server)
            if known is not None:
                # Guard: as a rule it was out for a restart, of which the list tells seconds late; sent its
                # full share it would tip. Where the list has told of one since, that start is the true one.
                # Harm: one that was not restarted is spared for as long as a cold one is.
                seen = known.info.launched_ms is not None and known.info.launched_ms >= since
                # Guard: with little traffic a drawn credit left it idle for seconds after it was wanted back.
                # It gets its first call at once, but not from many balancers together.
                credit = 1.0 if self.rng.random() * self.cfg.balancer_count < AT_ONCE else self.rng.random()
                back = Peer(known.info, credit=credit, paced_ms=now)
                back.returned_ms = -math.inf if seen else now
                self.pool.put(back, now)

    # ------------------------------------------------------------- admission

    def _worth(self, now: float, request: RequestReceived, kind: ServiceClass) -> float:
        worth = kind.priority_weight / self.top_worth
        if request.is_retry:
            worth *= RETRY_WORTH
        bucket = self.buckets.get(request.tenant or "")
        if bucket is not None and self.cfg.tier == 0:  # a token bucket of one second's share
            bucket.tokens = min(bucket.quota, bucket.tokens + bucket.quota * (now - bucket.then) / 1000.0)
            bucket.then = now
            if bucket.tokens < 1.0:
                return worth * self.cfg.over_quota_weight
            bucket.tokens -= 1.0
        return worth

    def threshold(self, worth: float, ready: int) -> float:
        """The table's entry at the cursor, in the row of this worth (1: the most)."""
        halvings = -math.log2(max(worth, 1e-6))
        below = min(1.0, max(0.0, halvings / OCTAVES))  # 0: the top row, 1: the lowest
        base = 0.5 if self.base is None else self.base
        # Guard: a pool of which most is replaced does less at once. Its latency tells so seconds later, when
        # what is warm has begun to choke.
        slack = T1_SLACK_MANY if self.many else T1_SLACK
        first = self.strength * self.peak * self.mean_aim * (base + slack * (1.0 - base))
        starts = self.periods * self.period_ms < START_MS
        floor = (START if starts else FLOOR) / self.cfg.balancer_count
        if self.cfg.tier > 0:
            floor = max(floor, FLOOR_BELOW)  # Guard: a refusal below wastes the work done above
        # The chance of a large pool is that of all its nodes together, and each has its part in it.
        shared = self.cfg.balancer_count if self.large else 1
        least = ready * floor
        if starts and self.many:  # the front deals unevenly, and a node's part of what is let in is small
            least += ROOTS * math.sqrt(least)
        first = max(FEWEST, least, first + ROOTS * math.sqrt(first / shared))
        gap = ROW_GAP
        if self.many and ready:
            gap += (ROW_GAP_MANY - ROW_GAP) * min(1.0, 2.0 * max(0.0, 1.0 - self.strength / ready))
        first *= 1.0 - gap * below
        return first * math.pow(self.shape[self.cursor], TOP_BEND + (1.0 - TOP_BEND) * below)

    def _on_request(self, now: float, request: RequestReceived, acts: list[Action]) -> None:
        kind = self.kinds[request.service]
        units, hint = 1.0, request.cost_hint_ms
        if self.cfg.weight_by_work and hint:  # where worth goes by work, so does the count in flight
            self.mean_hint += (hint - self.mean_hint) * (CLASS_GAIN if self.mean_hint else 1.0)
            units = min(4.0, max(0.25, hint / self.mean_hint))
        self.asked += units
        job = self.jobs[request.id] = _Job(request, kind, self.cfg, now, units)
        ready = self.pool.ready
        load = sum(peer.load for peer in ready) if len(ready) <= WHOLE else self.pool.load
        # Guard: where few calls are in flight an entry lies between two counts, and whole ones cannot shed a
        # share. It is met in proportion: on average at the entry itself.
        full = load + self.rng.random() > self.threshold(self._worth(now, request, kind), len(ready))
        if full or not self._send(now, job, acts):
            self._answer(job, acts)

    # --------------------------------------------------------------- ranking

    def _pick(self, now: float, job: _Job) -> Peer | None:
        ran, effect = job.may_have_run(), job.kind.idempotency
        # Guard: a repeat counts where it begins to go out, and its connection may come up only before that.
        expired = bool(ran) and now - ran[0].sent_ms + self.cfg.connect_timeout_ms >= job.kind.dedup_window_ms
        if ran and (
            effect is Idempotency.NON_IDEMPOTENT or (effect is Idempotency.IDEMPOTENT_WITH_KEY and expired)
        ):
            return None
        bound = _group(job.kind, ran[0].peer) if ran and effect is Idempotency.IDEMPOTENT_WITH_KEY else None
        # By address: one that left the list and came back meanwhile is another peer.
        tried = [item.peer.info.address for item in job.tries]
        best, best_rank = None, math.inf
        group = None if bound is None else _bag(job.kind, ran[0].peer)
        candidates = self.pool.candidates
        seen = candidates(now, self.rng, group, self._paced) if self.large else self.pool.ready
        for peer in seen:
            if tried and (
                peer.info.address in tried or (bound is not None and bound != _group(job.kind, peer))
            ):
                continue  # bound only where it was tried before
            rank = self._rank(now, peer)
            if rank < best_rank:
                if self._paced(now, peer):
                    best, best_rank = peer, rank
                elif self.large:
                    self.pool.unpaid(peer, now)
        return best

    def _rank(self, now: float, peer: Peer) -> float:
        """Smoothed latency x (queue + 1); a silent server drifts to the mean of the others, which is 1."""
        slow, errs = 1.0, peer.errs
        if peer.slow is not None:
            slow += (peer.slow - 1.0) * math.exp((peer.heard_ms - now) / FORGET_MS)
        for (id, _), since in peer.out.items():  # the oldest attempt that is out
            if peer.heard_ms <= since:
                # Guard: a server that hangs shows in its oldest unanswered attempt long before a time-out.
                mean = self.class_ms.get(self.jobs[id].kind.name)
                slow = max(slow, (now - since) / mean) if mean else slow
            break
        # What a server reports has what other processes of this node sent it in it, a little late.
        queue = peer.beside
        if peer.queue:
            queue = max(queue, peer.queue * math.exp((peer.told_ms - now) / self.stale_ms))
        rank = slow * (peer.load + queue + 1.0 + (self.far if peer.info.zone != self.cfg.zone else 0.0))
        if now < peer.shy_ms:
            rank *= SHY
        return rank / (1.0 - (errs if errs < 0.9 else 0.9)) * (0.95 + (1.05 - 0.95) * self.rng.random())

    def _paced(self, now: float, peer: Peer) -> bool:
        """Guard: all balancers together must not push a cold server over. While it may be cold it earns
        credit at its present share (from `cold_from`, even over `cold_ms`) of what is asked here for each
        server; its first credit is drawn, so that many quiet balancers do not all send it a call at once."""
        warmth = self._warmth(now, peer)
        if warmth >= 1.0:
            return True
        pace = warmth * self._pace()
        credit = peer.credit + pace * (now - peer.paced_ms)
        if credit >= 1.0:
            # Guard: what is not sent soon is not saved up. Thirty nodes with a call each for a server that
            # was out, or had a queue, sent them all at one moment.
            over = credit % 1.0
            credit = over + (over <= pace * COLD_KEEP * self.cfg.overload_window_ms)
        peer.credit, peer.paced_ms = credit, now
        return credit >= 1.0

    def _pace(self) -> float:
        """The credit per ms that a warm server would earn."""
        asked = self.asked_rate / max(1, len(self.pool.ready))
        # Guard: before anything is completed, as where all are cold, what is asked has to do.
        return max(COLD_PART * self.cfg.overload_factor * self.peak, asked) if self.many else asked

    def _warmth(self, now: float, peer: Peer) -> float:
        """The least share of its capacity that a server has by now, as stated: 1 once it is warm."""
        cold_ms = self.cfg.warm_up_ms
        left = peer.cold_until(cold_ms) - now
        return (
            1.0 - (1.0 - self.cfg.warm_up_initial_share) * min(1.0, left / cold_ms)
            if left > 0.0 < cold_ms
            else 1.0
        )

    def _strength(self, now: float) -> float:
        """The pool in warm servers: a cold one by its stated share, a failing one by what it serves."""
        seen = self.pool.look(self.rng, REPORTS)
        if not seen:
            return self.strength
        each = sum(self._warmth(now, peer) * (1.0 - peer.errs) for peer in seen) / len(seen)
        return max(self.cfg.warm_up_initial_share, each) * len(self.pool.ready)

    # -------------------------------------------------------------- attempts

    def _send(self, now: float, job: _Job, acts: list[Action]) -> bool:
        # The time of a request counts from its end; until that has come, it has all of it left.
        then = now if job.request.complete else job.taken_ms
        left = job.request.deadline_at_ms - then
        if job.kind.late_weight <= 0.0 and not job.kind.streaming:
            # Guard: late work is worth nothing, so it is stopped at the aim and does not crowd out the rest.
            left = min(left, job.taken_ms + job.kind.latency_objective_ms * AIM_MARGIN - then)
        if job.done or not left > 1.0 or len(job.tries) >= job.cfg.max_attempts:
            return False
        peer = self._pick(now, job)
        if peer is None:
            return False
        job.tries.append(_Try(peer, now))
        if job.request.complete:
            self._count_in(job, len(job.tries) - 1, now)
        peer.credit -= job.units
        if len(self.peers) > WHOLE:
            self.pool.unpaid(peer, now)
        acts.append(ForwardRequest(job.request.id, peer.info.address, left))
        return True

    def _count_in(self, job: _Job, attempt: int, now: float) -> None:
        item = job.tries[attempt]
        item.sent_ms, item.counted = now, True
        item.peer.out[(job.request.id, attempt)] = now
        self.pool.charge(item.peer, job.units)

    def _count_off(self, job: _Job, attempt: int) -> None:
        item = job.tries[attempt]
        if item.counted:
            item.counted = False
            self.pool.charge(item.peer, -job.units)
            item.peer.out.pop((job.request.id, attempt), None)

    def _on_arrived(self, now: float, job: _Job, event: RequestCompleted) -> None:
        """A server begins a request at its end: until then an attempt is no work there and shows no delay."""
        job.request.complete, job.request.deadline_at_ms, job.taken_ms = True, event.deadline_at_ms, now
        for attempt, item in enumerate(job.tries):
            if item.result is None:
                self._count_in(job, attempt, now)

    def _on_outcome(self, now: float, event: AttemptFinished, acts: list[Action]) -> None:
        self._hear(now, event.server, event.report)
        job = self.jobs.get(event.id)
        if job is None or event.attempt >= len(job.tries) or job.tries[event.attempt].result is not None:
            return
        item = job.tries[event.attempt]
        item.result = event.result
        self._count_off(job, event.attempt)
        self._judge(now, job, item, event)
        if event.request_ended:
            job.streaming = False
            self._end(job, acts)
        elif job.done:
            self._end(job, acts)
        elif not job.out() and not self._send(now, job, acts):
            self._answer(job, acts)

    def _answer(self, job: _Job, acts: list[Action]) -> None:
        """The one final answer: a refusal where it is true that a retry is harmless, else a failure."""
        ran = job.may_have_run()
        if not ran or job.kind.idempotency is Idempotency.IDEMPOTENT:
            wait = 0.0
            if job.cfg.retry_after and job.cfg.tier == 0:
                wait = min(job.cfg.max_retry_after_ms, self.period_ms * self.cursor)
            acts.append(RejectRequest(job.request.id, wait))
        else:
            acts.append(FailRequest(job.request.id))
        self._end(job, acts)

    def _end(self, job: _Job, acts: list[Action]) -> None:
        if not job.done:
            job.done = True
            self._cancel_others(job, -1, acts)
        if not job.out():
            self.jobs.pop(job.request.id, None)

    def _cancel_others(self, job: _Job, keep: int, acts: list[Action]) -> None:
        if job.cfg.may_cancel and not (job.streaming and keep < 0):
            out = (at for at, item in enumerate(job.tries) if item.result is None and at != keep)
            acts.extend(CancelAttempt(job.request.id, at) for at in out)

    # ---------------------------------------------------------------- health

    def _hear(self, now: float, server: str, report: dict[str, float] | None) -> None:
        peer = self.peers.get(server)
        if peer is not None and report:
            queue, util = report.get("queue", 0.0), report.get("util", peer.util)
            # Guard: an absurd value would make its server always best or never used.
            peer.queue = queue if 0.0 <= queue < math.inf else 0.0
            peer.util = util if util is not None and 0.0 <= util < math.inf else None
            peer.told_ms = now

    def _judge(self, now: float, job: _Job, item: _Try, event: AttemptFinished) -> None:
        peer, result = item.peer, event.result
        if result in (AttemptResult.CANCELLED, AttemptResult.NOT_SENT):
            return
        self.ended += 1
        if result is AttemptResult.ERROR and self.cfg.tier == 0:
            self.errors += 1  # Guard: a tier below that refuses shows at the front as errors only
        if self.many and result.not_executed:
            # Guard: one that drains, of which the list has not told yet, turns all away at once, has nothing
            # in flight and was every node's best. By its answers all of them shed, though the pool had room.
            peer.turned += 1
            peer.shy_ms = now + min(SHY_MAX_MS, SHY_MS * 2.0 ** min(8, peer.turned))
        elif result is AttemptResult.OK:
            peer.turned, peer.shy_ms = 0, -math.inf
        if result is AttemptResult.OVERLOADED:
            self.full += peer.turned <= 1
            peer.queue, peer.told_ms = max(peer.queue, peer.load), now
            return
        peer.errs += GAIN * ((result is not AttemptResult.OK) - peer.errs)
        if result in (AttemptResult.OK, AttemptResult.TIMEOUT):  # a fast error must not look fast
            # By the class as it is now, also where this one was taken under another aim: what is learned has
            # to be shares of one aim.
            self.ratios.append(
                event.latency_ms / self.kinds.get(job.kind.name, job.kind).latency_objective_ms
            )
            mean = self.class_ms.get(job.kind.name)
            if result is AttemptResult.OK:
                mean = event.latency_ms if mean is None else mean + CLASS_GAIN * (event.latency_ms - mean)
                if job.kind.name in self.kinds:
                    self.class_ms[job.kind.name] = mean
            ratio = event.latency_ms / mean if mean else 1.0
            peer.slow = ratio if peer.slow is None else peer.slow + GAIN * (ratio - peer.slow)
            peer.heard_ms = now
        if result is AttemptResult.OK:
            self.completed += job.units
            aim_ms = self.kinds.get(job.kind.name, job.kind).latency_objective_ms
            self.mean_aim += CLASS_GAIN * (aim_ms - self.mean_aim)

    # ------------------------------------------------------------- pool load

    def _on_period(self, now: float) -> None:
        """Move the cursor one step by the period's load, scaled so that 1 is the target."""
        load = 0.0
        told = self.pool.look(self.rng, REPORTS)
        fresh = [peer for peer in told if peer.told_ms >= now - FRESH_MS]  # Guard: old reports mislead
        utils = _middle([peer.util for peer in fresh if peer.util is not None])
        if self.ratios:  # the median resists one sick server
            middle = _middle(self.ratios) or 0.0
            if self.base is None:
                self.level = self.base = middle
            else:
                # Guard: a period with few outcomes says little. But once calls are shed there are few in
                # each, and a latency long over kept the cursor on its way to the end: a fall tells sooner.
                weighty = WEIGHTY if middle > self.level else WEIGHTY_FALL
                self.level += len(self.ratios) / (len(self.ratios) + weighty) * (middle - self.level)
            self.learned_from += len(self.ratios)
            if self.learned_from < LEARN:
                self.base = self.level  # Guard: the first answers to come are the fast ones
            elif self.level < self.base:
                self.base += BASE_FALL * (self.level - self.base)
            elif self.cursor == 0:  # never learned under load
                self.base += BASE_RISE * (self.level - self.base)
            slack = SLACK if utils is None else SLACK_SEEN
            load = self.level / (self.base + slack * (1.0 - self.base))
            # Guard: nodes before one pool learn unlike baselines, and the lowest shed for all: others took
            # up what it shed, so its latency did not fall. The more a node sheds, the more it takes to go on.
            # Also against a baseline too low for any other reason. Harm: a choking pool is relieved less.
            load /= 1.0 + (GROWS_MANY if self.many else GROWS) * (1.0 - self.shape[self.cursor])
        if utils is not None:
            load = max(load, utils / UTIL_TARGET)
        if self.ended:
            load = max(load, self.full / self.ended / FULL_TARGET)
            # Guard: errors that come whatever is shed (spoilt answers, a faulty release, a tier below that
            # fails for good) are no load. Set raw against the target, one among a few outcomes moved the
            # cursor; shedding left fewer outcomes still, and the node locked itself. Only what exceeds their
            # usual share counts. Harm: refusals below that last for many seconds, and that shedding here does
            # not lessen, come to count as usual too; latency and refusals by the servers still tell.
            self.erring += self.ended / (self.ended + ERR_WEIGHTY) * (self.errors / self.ended - self.erring)
            rises = ERR_RISE + (ERR_RISE_SHED * (1.0 - self.shape[self.cursor]) if self.many else 0.0)
            self.usual += (BASE_FALL if self.erring < self.usual else rises) * (self.erring - self.usual)
            load = max(load, (self.erring - self.usual) / (FULL_TARGET + self.usual))
        self.silent = 0 if self.ended else self.silent + 1
        if self.silent == 0 or self.silent > SILENT:
            # Guard: in a quiet node most periods bring no outcome; counted as load 0 they undid every step.
            step = 1 if load > 1.0 else -1
            self.cursor = max(0, min(len(self.shape) - 1, self.cursor + step))
        longer = 1.0
        if self.many:
            self.strength = self._strength(now)
            fades = min(1.0, self.period_ms / STRENGTH_MS)
            self.lately = max(self.strength, self.lately + fades * (self.strength - self.lately))
            self.completed /= self.lately
        if self.large or self.many:
            each = self.lately if self.many else 1.0
            longer = min(LONGER, max(1.0, STEADY / (self.rate * each * RATE_MS + 1e-9)))
        gain = min(1.0, self.period_ms / (RATE_MS * longer))
        if (
            self.many
        ):  # Guard: a rate smoothed for so long, from nothing, had a node refuse after its first seconds
            self.counted += self.completed > 0.0 or self.counted > 0
            gain = max(gain, 1.0 / max(1, self.counted))
        self.rate += gain * (self.completed / self.period_ms - self.rate)
        self.peak = max(self.rate, self.peak * (1.0 - min(1.0, self.period_ms / (PEAK_MS * longer))))
        self.asked_rate += gain * (self.asked / self.period_ms - self.asked_rate)
        self.pool.earn = self._pace()
        self.periods += 1
        self.ratios, self.completed, self.ended, self.asked = [], 0.0, 0.0, 0.0
        self.full = self.errors = 0.0
