"""State that several parts of a balancer use."""

from random import Random

from rosewheel.policy.pool import ServerPool
from rosewheel.policy.request_state import RequestState
from rosewheel.policy.settings import ServiceClass, Settings

PERIOD_SHARE = 0.15  # of the shortest latency objective: length of a period, P of the cursor table's source
CROSS_ZONE_WEIGHT = 64.0  # weight in the queue that a crossing of zones counts as, per unit of its cost
MAX_SMALL_FLEET_BALANCERS = 4


def is_large_fleet(settings: Settings) -> bool:
    """Whether so many balancers send to a tier that each sees too little and their allowances add up."""
    return settings.balancer_count > MAX_SMALL_FLEET_BALANCERS


class SharedState:
    """Settings and what follows from them, servers, requests in flight and the source of random draws."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.apply_settings(settings)
        self.rng = Random(seed)
        self.pool = ServerPool(settings.zone, settings.warm_up_ms)
        self.class_latency_ms: dict[str, float] = {}  # smoothed, by class
        self.process_count = 1  # processes of this node, each with a balancer; 2 during a hot restart
        self.requests: dict[str, RequestState] = {}  # in flight, by id

    def apply_settings(self, settings: Settings) -> None:
        """Replace the settings and what follows from them alone."""
        self.settings = settings
        self.classes = {each.name: each for each in settings.classes}
        self.configured_period_ms = PERIOD_SHARE * min(each.latency_objective_ms for each in settings.classes)
        self.highest_priority_weight = max(each.priority_weight for each in settings.classes) or 1.0
        self.cross_zone_penalty = CROSS_ZONE_WEIGHT * settings.cross_zone_cost
        self.in_large_fleet = settings.tier == 0 and is_large_fleet(settings)

    def objectives_ms(self) -> dict[str, float]:
        """Latency objectives by class."""
        return {name: each.latency_objective_ms for name, each in self.classes.items()}

    def draw_initial_credit(self) -> float:
        """Credit of a server that begins to warm up, shared out among the processes of this node."""
        return self.rng.random() / self.process_count

    def current_class(self, request: RequestState) -> ServiceClass:
        """The class of a request as it is set now, or as it was when the request was received."""
        return self.classes.get(request.service_class.name, request.service_class)
