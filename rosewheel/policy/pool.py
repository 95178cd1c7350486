"""Pool of servers, with sampling that bounds the cost of a choice among thousands.

In a small pool all servers are candidates for a request. In a large one the candidates are a random sample of
warm servers, half of it from the balancer's own zone, and of warming servers with credit. Warming servers
without credit wait in a heap, ordered by the time at which they should have it. Sampling also spreads the
choices of many balancers over the servers.
"""

import heapq
from collections.abc import Callable
from random import Random

from rosewheel.policy.events import Server, ServerState
from rosewheel.policy.indexed_set import IndexedSet
from rosewheel.policy.server_stats import ServerStats

# Numbers of servers, which bound the cost of a request. benchmarks/decisions.py measures it by pool size.
SMALL_POOL_SIZE = 64  # largest pool of which all servers are candidates
WARM_SAMPLE_SIZE = 12  # warm candidates in a large pool, half of them from the balancer's own zone
WARMING_SAMPLE_SIZE = 6  # warming candidates with credit in a large pool
GROUP_SAMPLE_SIZE = 48  # candidates in a dedup group of a large pool
CREDIT_CHECKS_PER_REQUEST = 8  # limit of warming servers whose credit is checked at a request
MAX_CREDIT_CHECK_DELAY_MS = 500.0  # longest time to a check, as credit may be earned sooner than expected
ANY_CELL = -1  # cell of a group that holds all cells of its zone

Group = tuple[str, int]  # zone and cell
HasCredit = Callable[[float, ServerStats], bool]  # (now, server): whether it may be sent a request


class ServerPool:
    """Servers by address, with sets of the ready ones by zone, cell and warm-up."""

    def __init__(self, zone: str, warm_up_ms: float) -> None:
        self.zone, self.warm_up_ms = zone, warm_up_ms
        self.servers: dict[str, ServerStats] = {}  # all listed servers, in list order
        self.cordoned_since_ms: dict[str, float] = {}  # by address, listed or not
        self.is_large = False  # whether candidates are sampled
        self.load = 0.0  # weight in flight from this process at ready servers
        self.credit_rate = 0.0  # credit per ms earned by a warm server
        self._ready = IndexedSet()
        self._groups: dict[Group, IndexedSet] = {}  # ready, by (zone, cell) and (zone, ANY_CELL)
        self._warm, self._warm_in_zone = IndexedSet(), IndexedSet()  # ready and warm
        self._with_credit = IndexedSet()  # ready and warming, with credit at the last check
        self._credit_checks: list[tuple[float, int, ServerStats]] = []  # heap of (due time, number, server)
        self._check_count = 0
        self._ready_in_list_order: list[ServerStats] | None = None

    @property
    def ready(self) -> list[ServerStats]:
        """Servers that may be sent requests; in list order in a small pool."""
        if self.is_large:
            return self._ready.items
        if self._ready_in_list_order is None:
            self._ready_in_list_order = [server for server in self.servers.values() if server.ready]
        return self._ready_in_list_order

    def add(self, server: ServerStats, now: float) -> None:
        """Add a server, replacing any with the same address."""
        old = self.servers.get(server.endpoint.address)
        if old is not None:
            self._mark_unready(old)
        self.servers[server.endpoint.address] = server
        self.is_large = len(self.servers) > SMALL_POOL_SIZE
        self._ready_in_list_order = None
        self.refresh_readiness(server, now)

    def remove(self, address: str) -> None:
        """Remove the server with this address, if there is one."""
        server = self.servers.pop(address, None)
        self.is_large = len(self.servers) > SMALL_POOL_SIZE
        if server is not None:
            self._mark_unready(server)
        self._ready_in_list_order = None

    def retain(self, addresses: set[str]) -> None:
        """Remove all servers but those with these addresses."""
        for address in [address for address in self.servers if address not in addresses]:
            self.remove(address)

    def update(self, server: ServerStats, endpoint: Server, now: float) -> None:
        """Replace the list entry of a server that has not restarted."""
        if server.endpoint != endpoint:
            self._mark_unready(server)
            server.endpoint = endpoint
            self.refresh_readiness(server, now)

    def refresh_readiness(self, server: ServerStats, now: float) -> None:
        """Add a server to the sets of ready servers, or remove it, by its state and cordon."""
        cordoned = server.endpoint.address in self.cordoned_since_ms
        ready = server.endpoint.state is ServerState.UP and not cordoned
        if ready is server.ready:
            return
        self._ready_in_list_order = None
        if not ready:
            self._mark_unready(server)
            return
        server.ready = True
        self.load += server.load
        self._ready.add(server)
        for key in self._group_keys(server):
            self._groups.setdefault(key, IndexedSet()).add(server)
        if server.warm_at_ms(self.warm_up_ms) <= now:
            self._mark_warm(server)
        else:
            self._schedule_credit_check(server, now)

    def set_warm_up(self, warm_up_ms: float, now: float, draw_credit: Callable[[], float]) -> None:
        """Change the warm-up time. Servers that are warming again get an initial credit, as new ones do."""
        old_ms, servers = self.warm_up_ms, self.servers.values()
        warming = (each for each in servers if each.warm_at_ms(old_ms) <= now < each.warm_at_ms(warm_up_ms))
        credits = {server: draw_credit() for server in warming}
        self.warm_up_ms = warm_up_ms
        for server in servers:
            if server in credits:
                server.credit, server.credit_updated_ms = credits[server], now
            if server.ready:
                self._mark_unready(server)
                self.refresh_readiness(server, now)

    def _mark_unready(self, server: ServerStats) -> None:
        if not server.ready:
            return
        server.ready = False
        self._ready_in_list_order = None
        self.load -= server.load
        for servers in (self._ready, self._warm, self._warm_in_zone, self._with_credit):
            servers.discard(server)
        for key in self._group_keys(server):
            group = self._groups[key]
            group.discard(server)
            if not group:
                del self._groups[key]

    @staticmethod
    def _group_keys(server: ServerStats) -> tuple[Group, Group]:
        return (server.endpoint.zone, server.endpoint.cell), (server.endpoint.zone, ANY_CELL)

    def _mark_warm(self, server: ServerStats) -> None:
        self._with_credit.discard(server)
        self._warm.add(server)
        if server.endpoint.zone == self.zone:
            self._warm_in_zone.add(server)

    def add_load(self, server: ServerStats, weight: float) -> None:
        """Add weight in flight at a server; a negative weight removes it."""
        server.load = max(0.0, server.load + weight)
        if server.ready:
            self.load = max(0.0, self.load + weight)

    def recheck_credit(self, server: ServerStats, now: float) -> None:
        """Remove a warming server without credit from the candidates until a check finds credit."""
        if server.ready and server.credit < 1.0 and server.warm_at_ms(self.warm_up_ms) > now:
            for servers in (self._warm, self._warm_in_zone, self._with_credit):
                servers.discard(server)
            self._schedule_credit_check(server, now)

    def _schedule_credit_check(self, server: ServerStats, now: float) -> None:
        """Schedule a check for when a server should have credit at the present rate."""
        if server.credit_check_scheduled:
            return
        server.credit_check_scheduled = True
        if len(self._credit_checks) > 2 * len(self.servers) + SMALL_POOL_SIZE:
            # Checks of replaced servers are dropped, as they would otherwise accumulate.
            servers = self.servers
            current = [
                check for check in self._credit_checks if servers.get(check[2].endpoint.address) is check[2]
            ]
            self._credit_checks = current
            heapq.heapify(self._credit_checks)
        capacity_share = 1.0
        if self.warm_up_ms:
            left_ms = server.warm_at_ms(self.warm_up_ms) - now
            capacity_share = max(0.01, 1.0 - left_ms / self.warm_up_ms)
        wait_ms = MAX_CREDIT_CHECK_DELAY_MS
        if self.credit_rate > 0.0:
            wait_ms = min(wait_ms, max(1.0, (1.0 - server.credit) / (self.credit_rate * capacity_share)))
        self._check_count += 1
        heapq.heappush(self._credit_checks, (now + wait_ms, self._check_count, server))

    def _check_credits(self, now: float, has_credit: HasCredit) -> None:
        for _ in range(CREDIT_CHECKS_PER_REQUEST):
            if not self._credit_checks or self._credit_checks[0][0] > now:
                return
            server = heapq.heappop(self._credit_checks)[2]
            server.credit_check_scheduled = False
            if not server.ready or server in self._warm or server in self._with_credit:
                continue
            if not has_credit(now, server):
                self._schedule_credit_check(server, now)
            elif server.warm_at_ms(self.warm_up_ms) <= now:
                self._mark_warm(server)
            else:
                self._with_credit.add(server)

    def sample(self, rng: Random, count: int) -> list[ServerStats]:
        """Return all ready servers of a small pool, or a random sample of up to `count` of a large one."""
        return self._ready.sample(rng, count) if self.is_large else self.ready

    def candidates(
        self, now: float, rng: Random, group: Group | None, has_credit: HasCredit
    ) -> list[ServerStats]:
        """Return candidates for one request in a large pool, only of the group if one is given."""
        self._check_credits(now, has_credit)
        if group is not None:
            members = self._groups.get(group)
            return [] if members is None else members.sample(rng, GROUP_SAMPLE_SIZE)
        found = self._warm_in_zone.sample(rng, WARM_SAMPLE_SIZE // 2) + self._warm.sample(
            rng, WARM_SAMPLE_SIZE // 2
        )
        for server in self._with_credit.sample(rng, WARMING_SAMPLE_SIZE):
            if server.warm_at_ms(self.warm_up_ms) <= now:
                self._mark_warm(server)
            found.append(server)
        return list(dict.fromkeys(found))
