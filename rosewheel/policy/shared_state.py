"""State shared by the parts of a balancer."""

from random import Random

from rosewheel.policy.pool import ServerPool
from rosewheel.policy.request_state import RequestState
from rosewheel.policy.settings import ServiceClass, Settings

PERIOD_SHARE = 0.15  # length of a period as a share of the shortest latency objective
CROSS_ZONE_WEIGHT = 64.0  # queued weight equivalent to a cross-zone cost of 1
MAX_SMALL_FLEET_BALANCERS = 4  # with more balancers the fleet is large


def is_large_fleet(settings: Settings) -> bool:
    """Return whether many balancers send to the tier.

    In a large fleet each balancer sees few outcomes, and the requests that all of them may send add up.
    """
    return settings.balancer_count > MAX_SMALL_FLEET_BALANCERS


class SharedState:
    """Settings and values derived from them, servers, requests in flight and the random source."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.apply_settings(settings)
        self.rng = Random(seed)
        self.pool = ServerPool(settings.zone, settings.warm_up_ms)
        self.class_latency_ms: dict[str, float] = {}  # smoothed latency by class
        self.process_count = 1  # processes of this node, each with a balancer; 2 during a hot restart
        self.requests: dict[str, RequestState] = {}  # in flight, by id

    def apply_settings(self, settings: Settings) -> None:
        """Replace the settings and the values derived from them."""
        self.settings = settings
        self.classes = {each.name: each for each in settings.classes}
        self.configured_period_ms = PERIOD_SHARE * min(each.latency_objective_ms for each in settings.classes)
        self.highest_priority_weight = max(each.priority_weight for each in settings.classes) or 1.0
        self.cross_zone_penalty = CROSS_ZONE_WEIGHT * settings.cross_zone_cost
        self.in_large_fleet = settings.tier == 0 and is_large_fleet(settings)

    def objectives_ms(self) -> dict[str, float]:
        """Return the latency objectives by class."""
        return {name: each.latency_objective_ms for name, each in self.classes.items()}

    def draw_initial_credit(self) -> float:
        """Draw the credit of a server that begins to warm up, divided among the processes of this node."""
        return self.rng.random() / self.process_count

    def current_class(self, request: RequestState) -> ServiceClass:
        """Return the class of a request by the present settings, or by its own if the class was removed."""
        return self.classes.get(request.service_class.name, request.service_class)
