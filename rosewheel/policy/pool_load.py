"""The load of the pool, read once a period from outcomes and load reports, and the cursor that it moves."""

from rosewheel.policy.events import AttemptFinished, AttemptResult
from rosewheel.policy.request_state import RequestState
from rosewheel.policy.shared_state import SharedState
from rosewheel.policy.throughput import Throughput

# Cursor table.
FLAT_SLOTS = 2  # n: slots of T1 at the table's left
FALLING_SLOTS = 14  # after them
SLOT_RATIO = 0.86  # of a falling slot's entry to the one before
MAX_IDLE_PERIODS = 8  # periods without an outcome that leave the cursor where it is; after them it steps left
# Latency, as a share of the objective.
LATENCY_SLACK = 0.10  # target: baseline plus this share of the way from there to the objective
LATENCY_SLACK_WITH_REPORTS = 0.35  # where utilisation is reported: latency shows the tiers below only
TARGET_GROWTH = 0.3  # the target grows by this share of what is shed
# The same in a large fleet. By baselines that differ by a few hundredths, and few outcomes a period, one
# balancer shed nearly all for good and another nothing. Harm: an overloaded pool is relieved less.
TARGET_GROWTH_IN_LARGE_FLEET = 1.0
HALF_WEIGHT_OUTCOMES_RISING = 10.0  # outcomes that give a period half the weight in a rising smoothed latency
HALF_WEIGHT_OUTCOMES_FALLING = 3.0  # and in a falling one
# Outcomes for which the baseline is the smoothed latency itself. Of two balancers before one pool, ten gave
# one 0.21 to 0.25 of the objective and the other 0.31, and the first shed three requests of four all day.
# Harm: the load of the first seconds counts as baseline, for which the slack makes up.
BASELINE_LEARNING_OUTCOMES = 30
BASELINE_FALL_GAIN = 0.1  # how fast a baseline follows a lower period
BASELINE_RISE_GAIN = 0.01  # and a higher one
UTILISATION_TARGET = 0.97  # of the median server
REPORT_VALID_MS = 1500.0  # how long a reported utilisation counts
REPORT_SAMPLE_SIZE = 256  # servers of a large pool whose reports are read in a period
# Rejections and errors, as shares of attempts.
REJECTED_TARGET = 0.05
HALF_WEIGHT_OUTCOMES_ERRORS = 20.0  # as above
ERROR_BASELINE_RISE_GAIN = 0.02  # how fast the baseline of errors follows a higher share, by period
# In a large fleet it follows faster by this, times the share that is shed. Errors that shedding does not
# lessen, of a fault below or of a few servers, had all balancers reject for ten seconds at baseline latency.
ERROR_BASELINE_SHED_GAIN = 0.5
SERVER_GAIN = 0.2  # smoothing by outcome: of a server's latency and errors
CLASS_GAIN = 0.03  # of a class's latency and of means over requests
# Half the time for which a rank is worse after an attempt that its server did not execute; doubles each time.
BACKOFF_MS = 250.0
MAX_BACKOFF_MS = 4000.0  # endpoint lists are late by more, but the server may just have been full
MAX_BACKOFF_DOUBLINGS = 8  # the backoff is at its longest before


class CursorTable:
    """Entries as shares of T1, by slot, and the cursor: the further right, the more is shed."""

    def __init__(self) -> None:
        self.entries = [1.0] * FLAT_SLOTS + [SLOT_RATIO**step for step in range(1, FALLING_SLOTS + 1)]
        self.cursor = 0
        self._idle_periods = 0

    @property
    def entry(self) -> float:
        """The share of T1 at the cursor; the rest is shed."""
        return self.entries[self.cursor]

    def move(self, load: float, had_outcomes: bool) -> None:
        """Step right where the load exceeds 1, else left."""
        # Guard: with little traffic most periods bring no outcome; counted as load 0 they undid every step.
        self._idle_periods = 0 if had_outcomes else self._idle_periods + 1
        if self._idle_periods == 0 or self._idle_periods > MAX_IDLE_PERIODS:
            self.set_cursor(self.cursor + (1 if load > 1.0 else -1))

    def set_cursor(self, cursor: int) -> None:
        """Set the cursor to this slot, or to the nearest one that there is."""
        self.cursor = max(0, min(len(self.entries) - 1, cursor))


def _median(values: list[float]) -> float:
    return sorted(values)[len(values) // 2]


class PoolLoad:
    """Outcomes of a period, and what is learned from them: latency and errors of the pool without load."""

    def __init__(self, shared: SharedState, table: CursorTable, throughput: Throughput) -> None:
        self.shared, self.table, self.throughput = shared, table, throughput
        self.latency_ratios: list[float] = []  # latencies over objectives, in this period
        self.outcomes = self.rejections = self.errors = 0  # attempts in this period
        self.baseline_ratio: float | None = None  # latency without load over objective
        self.baseline_outcomes = 0  # that the baseline rests on
        self.smoothed_ratio = 0.0  # smoothed latency over objective
        # Smoothed share of errors, and the part of it that shedding does not lessen.
        self.smoothed_error_share = self.baseline_error_share = 0.0
        objectives = shared.objectives_ms().values()
        self.mean_objective_ms = sum(objectives) / len(objectives)

    def record_outcome(self, now: float, state: RequestState, event: AttemptFinished) -> None:
        """Count the end of an attempt for its server, its class and the pool."""
        server, result = state.attempts[event.attempt].server, event.result
        if result in (AttemptResult.CANCELLED, AttemptResult.NOT_SENT):
            return
        self.outcomes += 1
        if result is AttemptResult.ERROR and self.shared.settings.tier == 0:
            self.errors += 1  # Guard: a tier below that rejects shows at the first tier as errors only
        if self.shared.in_large_fleet and result.not_executed:
            # Guard: a server that drains, not listed as draining yet, rejects at once, has nothing in flight
            # and had the best rank. By its rejections all balancers shed, though the pool had capacity.
            server.consecutive_refusals += 1
            doublings = min(MAX_BACKOFF_DOUBLINGS, server.consecutive_refusals)
            server.backoff_until_ms = now + min(MAX_BACKOFF_MS, BACKOFF_MS * 2.0**doublings)
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
        if result in (AttemptResult.OK, AttemptResult.TIMEOUT):  # Guard: a fast error must not look fast
            self._record_latency(now, state, event)
        if result is AttemptResult.OK:
            self.throughput.completed_weight += state.weight
            objective_ms = self.shared.current_class(state).latency_objective_ms
            self.mean_objective_ms += CLASS_GAIN * (objective_ms - self.mean_objective_ms)

    def _record_latency(self, now: float, state: RequestState, event: AttemptFinished) -> None:
        # By the class as it is set now: all that is learned has to be shares of one objective.
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
        """Move the cursor by the load of this period, scaled so that 1 is the target."""
        load, oldest_ms = 0.0, now - REPORT_VALID_MS  # Guard: old reports mislead
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
        """Smoothed latency over its target."""
        median, count = _median(self.latency_ratios), len(self.latency_ratios)  # resists one slow server
        if self.baseline_ratio is None:
            self.smoothed_ratio = self.baseline_ratio = median
        else:
            # Guard: a period with few outcomes says little. But once requests are shed there are few in each,
            # and a latency over target for long moved the cursor to the end: a fall counts sooner.
            rises = median > self.smoothed_ratio
            half_weight = HALF_WEIGHT_OUTCOMES_RISING if rises else HALF_WEIGHT_OUTCOMES_FALLING
            self.smoothed_ratio += count / (count + half_weight) * (median - self.smoothed_ratio)
        self.baseline_outcomes += count
        if self.baseline_outcomes < BASELINE_LEARNING_OUTCOMES:
            self.baseline_ratio = self.smoothed_ratio  # Guard: the first responses are the fast ones
        elif self.smoothed_ratio < self.baseline_ratio:
            self.baseline_ratio += BASELINE_FALL_GAIN * (self.smoothed_ratio - self.baseline_ratio)
        elif self.table.cursor == 0:  # never learned under load
            self.baseline_ratio += BASELINE_RISE_GAIN * (self.smoothed_ratio - self.baseline_ratio)
        load = self.smoothed_ratio / (self.baseline_ratio + slack * (1.0 - self.baseline_ratio))
        # Guard: balancers before one pool learn different baselines, and the lowest shed for all: others took
        # what it shed, so its latency did not fall. The more a balancer sheds, the higher its target. This
        # also answers a baseline that is too low for another reason. Harm: an overloaded pool is relieved
        # less.
        growth = TARGET_GROWTH_IN_LARGE_FLEET if self.shared.in_large_fleet else TARGET_GROWTH
        return load / (1.0 + growth * (1.0 - self.table.entry))

    def _error_load(self) -> float:
        """Share of errors above its baseline, over its target."""
        # Guard: errors that shedding does not lessen (spoilt responses, a faulty release, a tier below that
        # fails for good) are no load. Unsmoothed, one among a few outcomes moved the cursor; shedding left
        # fewer outcomes still, and the balancer rejected for good. Harm: rejections below that last for many
        # seconds become baseline too; latency and the servers' rejections still count.
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
        """Multiply shares of the objectives after these have changed; None: forget them."""
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
