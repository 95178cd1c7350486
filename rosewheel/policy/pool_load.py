"""Load of the pool, measured once a period from outcomes and load reports, and the cursor that it moves."""

from rosewheel.policy.events import AttemptFinished, AttemptResult
from rosewheel.policy.request_state import RequestState
from rosewheel.policy.shared_state import SharedState
from rosewheel.policy.throughput import Throughput

# Cursor table.
FLAT_SLOTS = 2  # slots at the left of the table, whose entry is T1
FALLING_SLOTS = 14  # slots after them, with falling entries
SLOT_RATIO = 0.86  # entry of a falling slot relative to the one before it
MAX_IDLE_PERIODS = 8  # consecutive periods without an outcome in which the cursor stays; then it steps left
# Latency as a share of its objective. The target is the baseline plus this share of the gap up to the
# objective.
LATENCY_SLACK = 0.10
LATENCY_SLACK_WITH_REPORTS = 0.35  # with load reports, which show this pool; latency shows the tiers below
# Relative growth of the latency target, in proportion to the share that is shed. Balancers that send to one
# pool learn different baselines; in a large fleet, with few outcomes a period, the one with the lowest would
# shed nearly all its requests. A higher growth relieves an overloaded pool less.
TARGET_GROWTH = 0.3
TARGET_GROWTH_IN_LARGE_FLEET = 1.0
HALF_WEIGHT_OUTCOMES_RISING = 10.0  # outcomes that give a period half the weight in a rising latency
HALF_WEIGHT_OUTCOMES_FALLING = 3.0  # outcomes that give a period half the weight in a falling latency
# Number of first outcomes during which the baseline equals the smoothed latency. With fewer, balancers that
# send to one pool learn baselines so far apart that the one with the lowest sheds for all: with ten, one of
# two learned 0.21 to 0.25 of the objective, the other 0.31, and the first shed three of four requests all
# day. Load that the pool has during these outcomes becomes part of the baseline; the slack makes up for it.
BASELINE_LEARNING_OUTCOMES = 30
BASELINE_FALL_GAIN = 0.1  # smoothing factor per period of a baseline (latency or errors) that falls
BASELINE_RISE_GAIN = 0.01  # smoothing factor per period of a latency baseline that rises
UTILISATION_TARGET = 0.97  # target of the median utilisation
REPORT_VALID_MS = 1500.0  # age up to which a reported utilisation counts
REPORT_SAMPLE_SIZE = 256  # servers of a large pool whose reports are read in a period
# Rejections and errors, as shares of attempts.
REJECTED_TARGET = 0.05  # target of the share of rejections, and of errors above their baseline
HALF_WEIGHT_OUTCOMES_ERRORS = 20.0  # outcomes that give a period half the weight in the smoothed error share
ERROR_BASELINE_RISE_GAIN = 0.02  # smoothing factor per period of an error baseline that rises
# Added to ERROR_BASELINE_RISE_GAIN in a large fleet, in proportion to the share that is shed. Errors that
# shedding does not lessen, of a tier below or of a few servers, otherwise keep all balancers rejecting (for
# ten seconds once) although latency is at its baseline.
ERROR_BASELINE_SHED_GAIN = 0.5
SERVER_GAIN = 0.2  # smoothing factor per outcome of a server's latency and error rates
CLASS_GAIN = 0.03  # smoothing factor per request of a class's latency and of other means
# Half of the first backoff of a server after an attempt that it did not execute; doubled by each further one.
BASE_BACKOFF_MS = 250.0
MAX_BACKOFF_MS = 4000.0  # longest backoff; endpoint lists lag by more, but the server may only be overloaded
MAX_BACKOFF_DOUBLINGS = 8  # bounds the exponent; MAX_BACKOFF_MS is reached before


class CursorTable:
    """Entries of the slots, as shares of T1, and the cursor; the further right it is, the more is shed."""

    def __init__(self) -> None:
        self.entries = [1.0] * FLAT_SLOTS + [SLOT_RATIO**step for step in range(1, FALLING_SLOTS + 1)]
        self.cursor = 0
        self._idle_periods = 0

    @property
    def entry(self) -> float:
        """Entry at the cursor, as a share of T1."""
        return self.entries[self.cursor]

    def move(self, load: float, had_outcomes: bool) -> None:
        """Step right if the load exceeds 1, else left.

        Args:
            load: load of the pool, where 1 is the target.
            had_outcomes: whether any attempt ended in the period.
        """
        # Idle periods leave the cursor in place at first: with little traffic most periods are idle, and
        # counting them as load 0 would undo every step.
        self._idle_periods = 0 if had_outcomes else self._idle_periods + 1
        if self._idle_periods == 0 or self._idle_periods > MAX_IDLE_PERIODS:
            self.set_cursor(self.cursor + (1 if load > 1.0 else -1))

    def set_cursor(self, cursor: int) -> None:
        """Set the cursor to the slot of this index, or to the nearest slot of the table."""
        self.cursor = max(0, min(len(self.entries) - 1, cursor))


def _median(values: list[float]) -> float:
    return sorted(values)[len(values) // 2]


class PoolLoad:
    """Outcomes of the present period, their smoothed values, and the baselines of latency and errors."""

    def __init__(self, shared: SharedState, table: CursorTable, throughput: Throughput) -> None:
        self.shared, self.table, self.throughput = shared, table, throughput
        # Latency of the attempts in this period, as a share of the objective.
        self.latency_ratios: list[float] = []
        self.outcomes = self.rejections = self.errors = 0  # attempts in this period
        self.baseline_ratio: float | None = None  # latency without load, as a share of the objective
        self.baseline_outcomes = 0  # outcomes from which the baseline was learned
        self.smoothed_ratio = 0.0  # smoothed latency, as a share of the objective
        # Smoothed share of errors, and its baseline, which shedding does not lessen.
        self.smoothed_error_share = self.baseline_error_share = 0.0
        objectives = shared.objectives_ms().values()
        self.mean_objective_ms = sum(objectives) / len(objectives)

    def record_outcome(self, now: float, state: RequestState, event: AttemptFinished) -> None:
        """Record the outcome of an attempt for its server, its class and the pool."""
        server, result = state.attempts[event.attempt].server, event.result
        if result in (AttemptResult.CANCELLED, AttemptResult.NOT_SENT):
            return
        self.outcomes += 1
        if result is AttemptResult.ERROR and self.shared.settings.tier == 0:
            self.errors += 1  # rejections by lower tiers reach the first tier only as errors
        if self.shared.in_large_fleet and result.not_executed:
            # A draining server that is not listed as draining yet rejects at once and has nothing in flight.
            # Without a backoff it would rank best, and its rejections would make all balancers shed.
            server.consecutive_refusals += 1
            doublings = min(MAX_BACKOFF_DOUBLINGS, server.consecutive_refusals)
            server.backoff_until_ms = now + min(MAX_BACKOFF_MS, BASE_BACKOFF_MS * 2.0**doublings)
        elif result is AttemptResult.OK:
            server.clear_backoff()
        if result is AttemptResult.OVERLOADED:
            self.rejections += server.consecutive_refusals <= 1
            server.reported_queue = max(server.reported_queue, server.load)
            server.last_report_ms = now
            return
        server.error_rate += SERVER_GAIN * ((result is not AttemptResult.OK) - server.error_rate)
        has_failed = result in (AttemptResult.ERROR, AttemptResult.TIMEOUT)
        server.error_or_timeout_rate += SERVER_GAIN * (has_failed - server.error_or_timeout_rate)
        # Errors are left out: a server that returns them quickly is not fast.
        if result in (AttemptResult.OK, AttemptResult.TIMEOUT):
            self._record_latency(now, state, event)
        if result is AttemptResult.OK:
            self.throughput.completed_weight += state.weight
            objective_ms = self.shared.current_class(state).latency_objective_ms
            self.mean_objective_ms += CLASS_GAIN * (objective_ms - self.mean_objective_ms)

    def _record_latency(self, now: float, state: RequestState, event: AttemptFinished) -> None:
        # The present objective of the class is used, as all learned ratios must relate to the same one.
        server, latency_ms = state.attempts[event.attempt].server, event.latency_ms
        name = state.service_class.name
        self.latency_ratios.append(latency_ms / self.shared.current_class(state).latency_objective_ms)
        mean_ms = self.shared.class_latency_ms.get(name)
        if event.result is AttemptResult.OK:
            mean_ms = latency_ms if mean_ms is None else mean_ms + CLASS_GAIN * (latency_ms - mean_ms)
            if name in self.shared.classes:
                self.shared.class_latency_ms[name] = mean_ms
        ratio = latency_ms / mean_ms if mean_ms else 1.0
        if server.relative_latency is None:
            server.relative_latency = ratio
        else:
            server.relative_latency += SERVER_GAIN * (ratio - server.relative_latency)
        server.last_outcome_ms = now

    def end_period(self, now: float) -> None:
        """Move the cursor by the load of this period, where 1 is the target, and begin a new period."""
        # Old reports are ignored: a balancer that rejects all requests gets no new ones.
        load, oldest_ms = 0.0, now - REPORT_VALID_MS
        servers = self.shared.pool.sample(self.shared.rng, REPORT_SAMPLE_SIZE)
        reports = [server.utilisation for server in servers if server.last_report_ms >= oldest_ms]
        utilisations = [utilisation for utilisation in reports if utilisation is not None]
        if self.latency_ratios:
            load = self._latency_load(LATENCY_SLACK_WITH_REPORTS if utilisations else LATENCY_SLACK)
        if utilisations:
            load = max(load, _median(utilisations) / UTILISATION_TARGET)
        if self.outcomes:
            load = max(load, self.rejections / self.outcomes / REJECTED_TARGET, self._error_load())
        self.table.move(load, self.outcomes > 0)
        self.latency_ratios, self.outcomes, self.rejections, self.errors = [], 0, 0, 0

    def _latency_load(self, slack: float) -> float:
        """Return the smoothed latency over its target, and update the baseline."""
        # The median of a period is not moved by one slow server.
        median, count = _median(self.latency_ratios), len(self.latency_ratios)
        if self.baseline_ratio is None:
            self.smoothed_ratio = self.baseline_ratio = median
        else:
            # A period with few outcomes has little weight, but more in a fall than in a rise: shedding leaves
            # few outcomes, and a latency that stayed over target would move the cursor to the end.
            rises = median > self.smoothed_ratio
            half_weight = HALF_WEIGHT_OUTCOMES_RISING if rises else HALF_WEIGHT_OUTCOMES_FALLING
            self.smoothed_ratio += count / (count + half_weight) * (median - self.smoothed_ratio)
        self.baseline_outcomes += count
        if self.baseline_outcomes < BASELINE_LEARNING_OUTCOMES:
            self.baseline_ratio = self.smoothed_ratio  # the first responses to arrive are the fastest
        elif self.smoothed_ratio < self.baseline_ratio:
            self.baseline_ratio += BASELINE_FALL_GAIN * (self.smoothed_ratio - self.baseline_ratio)
        elif self.table.cursor == 0:  # not learned under load
            self.baseline_ratio += BASELINE_RISE_GAIN * (self.smoothed_ratio - self.baseline_ratio)
        load = self.smoothed_ratio / (self.baseline_ratio + slack * (1.0 - self.baseline_ratio))
        # The target grows with the share that is shed: balancers that send to one pool learn different
        # baselines, and the one with the lowest would shed for all, as others take the requests that it sheds
        # and its latency does not fall. This also corrects a baseline that is too low for other reasons, but
        # relieves an overloaded pool less.
        growth = TARGET_GROWTH_IN_LARGE_FLEET if self.shared.in_large_fleet else TARGET_GROWTH
        return load / (1.0 + growth * (1.0 - self.table.entry))

    def _error_load(self) -> float:
        """Return the share of errors above its baseline, over its target, and update the baseline."""
        # Errors that shedding does not lessen, such as those of a faulty release, become the baseline and are
        # no load. The share is smoothed, as a single error among few outcomes would move the cursor, shedding
        # would leave fewer outcomes still, and the balancer would never stop rejecting. Rejections by lower
        # tiers become baseline too if they last; latency and the servers' own rejections still count.
        share = self.errors / self.outcomes
        weight = self.outcomes / (self.outcomes + HALF_WEIGHT_OUTCOMES_ERRORS)
        self.smoothed_error_share += weight * (share - self.smoothed_error_share)
        excess = self.smoothed_error_share - self.baseline_error_share
        shed_rise = ERROR_BASELINE_SHED_GAIN * (1.0 - self.table.entry) if self.shared.in_large_fleet else 0.0
        gain = BASELINE_FALL_GAIN if excess < 0.0 else ERROR_BASELINE_RISE_GAIN + shed_rise
        self.baseline_error_share += gain * excess
        excess = self.smoothed_error_share - self.baseline_error_share
        return excess / (REJECTED_TARGET + self.baseline_error_share)

    def rescale(self, ratio: float | None) -> None:
        """Rescale ratios to changed objectives.

        Args:
            ratio: old objectives over new ones; None if they can't be converted, which drops all ratios.
        """
        objectives = self.shared.objectives_ms().values()
        if ratio is None:
            self.baseline_ratio, self.smoothed_ratio, self.baseline_outcomes = None, 0.0, 0
            self.latency_ratios = []
            self.mean_objective_ms = sum(objectives) / len(objectives)
        elif ratio != 1.0:
            self.baseline_ratio = None if self.baseline_ratio is None else self.baseline_ratio * ratio
            self.smoothed_ratio *= ratio
            self.latency_ratios = [each * ratio for each in self.latency_ratios]
            mean_ms = max(min(objectives), self.mean_objective_ms / ratio)
            self.mean_objective_ms = min(max(objectives), mean_ms)
