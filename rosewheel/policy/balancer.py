"""Entry point of the decision module.

Its interface is in rosewheel/policy/settings.py, rosewheel/policy/events.py and rosewheel/policy/actions.py.
Every period the pool's load moves a cursor one step over a table of thresholds of the weight in flight. A
request that would exceed its threshold is rejected at once; others are sent to the ready server with the best
rank. The module does no I/O, reads no clock and has a random source of its own.
"""

from rosewheel.policy import events
from rosewheel.policy.actions import Action, StartTimer
from rosewheel.policy.discovery_polling import WATCH_TIMER
from rosewheel.policy.learned_state import LearnedState, capture
from rosewheel.policy.learned_state_restore import restore
from rosewheel.policy.parts import Parts
from rosewheel.policy.settings import Settings
from rosewheel.policy.settings_change import change_settings

PERIOD_TIMER = "period"


class Balancer:
    """Decides where requests are sent and which are rejected.

    All times are ms on a clock that only advances.
    """

    def __init__(self, settings: Settings, seed: int, now_ms: float) -> None:
        self.parts = Parts(settings, seed, now_ms)
        self._started = False

    @property
    def period_ms(self) -> float:
        """Length of the present period, in ms."""
        return self.parts.throughput.period_ms

    def handle(self, now: float, event: events.Event) -> list[Action]:
        """Handle an event.

        Returns:
            The actions to take, in order.

        Raises:
            ValueError: the request or the settings are invalid. Nothing has changed then.
        """
        if isinstance(event, events.SettingsChanged):
            return change_settings(self.parts, now, event.settings, self._started)
        if isinstance(event, events.RequestReceived):
            self._check_request(event)
        if self._started:
            return self._dispatch(now, event)
        self._started = True
        actions: list[Action] = [StartTimer(self.period_ms, PERIOD_TIMER)]
        if self.parts.shared.settings.poll_discovery:
            actions += self.parts.polling.poll(now)
        return actions + self._dispatch(now, event)

    def capture_learned_state(self, now: float) -> LearnedState:
        """Return the learned state, for a later process."""
        return capture(self.parts, now)

    def restore_learned_state(self, now: float, learned: LearnedState, age_ms: float) -> int:
        """Restore learned state. Call once, after the first endpoint list.

        Args:
            now: present time.
            learned: the state of an earlier process.
            age_ms: time since it was captured.

        Returns:
            The number of listed servers whose statistics were restored.
        """
        return restore(self.parts, now, learned, age_ms)

    def loads_by_server(self) -> dict[str, float]:
        """Return the weight in flight from this balancer by server, without servers that have none."""
        servers = self.parts.shared.pool.servers
        return {address: server.load for address, server in servers.items() if server.load > 0.0}

    def _check_request(self, request: events.RequestReceived) -> None:
        if request.class_name not in self.parts.shared.classes:
            raise ValueError(f"class_name: {request.class_name!r} is not a class of the settings")
        if request.id in self.parts.shared.requests:
            raise ValueError(f"id: {request.id!r} is already in flight")

    def _dispatch(self, now: float, event: events.Event) -> list[Action]:
        parts, attempts, requests = self.parts, self.parts.attempts, self.parts.shared.requests
        match event:
            case events.RequestReceived():
                return self._on_request(now, event)
            case events.AttemptFinished():
                return attempts.on_attempt_finished(now, event)
            case events.RequestCompleted() if state := requests.get(event.id):
                attempts.on_request_completed(now, state, event)
            case events.ResponseStarted() if state := requests.get(event.id):
                return attempts.on_response_started(state, event)
            case events.ClientDisconnected() if state := requests.get(event.id):
                return attempts.end(state)
            case events.TimerFired(name=name):
                return self._on_timer(now, name)
            case events.EndpointListUpdate(form=events.EndpointListForm.FAILED):
                return parts.polling.on_failure(now)
            case events.EndpointListUpdate():
                if event.form is not events.EndpointListForm.CACHED:
                    parts.polling.failures = 0
                parts.membership.apply_endpoint_list(now, event)
            case events.DiscoveryAddressChanged():
                return parts.polling.restart(now, parts.shared.settings.poll_discovery)
            case events.CordonChanged():
                parts.membership.apply_cordon(now, event)
            case events.ProcessCountChanged():
                parts.membership.apply_process_count(event)
            case events.SiblingProcessLoad():
                parts.membership.apply_sibling_load(event)
            case events.HealthCheckFinished():
                attempts.record_load_report(now, event.server, event.report)
        return []

    def _on_request(self, now: float, request: events.RequestReceived) -> list[Action]:
        attempts = self.parts.attempts
        state = attempts.receive(now, request)
        admitted = self.parts.admission.admits(now, request, state.service_class)
        return (admitted and attempts.forward(now, state)) or attempts.respond(state)

    def _on_timer(self, now: float, name: str) -> list[Action]:
        if name != PERIOD_TIMER:
            return self.parts.polling.on_timer(now) if name == WATCH_TIMER else []
        shared, throughput, slow_start = self.parts.shared, self.parts.throughput, self.parts.slow_start
        self.parts.pool_load.end_period(now)
        if shared.in_large_fleet:
            throughput.pool_capacity = slow_start.pool_capacity(now)
        throughput.end_period()
        shared.pool.credit_rate = slow_start.credit_rate()
        throughput.adopt_configured_period()
        return [StartTimer(throughput.period_ms, PERIOD_TIMER)]
