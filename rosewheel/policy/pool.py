"""The servers of a balancer, kept so that a choice among thousands costs no more than one among ten.

Of a small pool all servers are candidates. Of a large one a request sees a sample: warm servers drawn at
random, of its own zone first, and warming ones with credit. Those without credit wait in a heap, by when they
should have it. The best of a sample is chosen, so that balancers do not all choose one server.
"""

import heapq
from collections.abc import Callable
from random import Random

from rosewheel.policy.events import Server, ServerState
from rosewheel.policy.indexed_set import IndexedSet
from rosewheel.policy.server_stats import ServerStats

# Sizes are servers. They bound the cost of a request: benchmarks/decisions.py measures it by the pool's size.
SMALL_POOL_SIZE = 64  # of a pool up to this size all servers are candidates
WARM_SAMPLE_SIZE = 12  # warm candidates of a larger pool, half of them of its own zone
WARMING_SAMPLE_SIZE = 6  # warming candidates with credit
GROUP_SAMPLE_SIZE = 48  # candidates of a group that shares a memory of keys
CREDIT_CHECKS_PER_REQUEST = 8  # warming servers
MAX_CREDIT_CHECK_DELAY_MS = 500.0  # credit is earned sooner when the request rate rises
ANY_CELL = -1  # in a group's key: all cells of its zone

Group = tuple[str, int]  # zone and cell
HasCredit = Callable[[float, ServerStats], bool]  # now, server: whether it may be sent a request


class ServerPool:
    """Servers by address, and those that are ready in sets by zone, cell and warm-up."""

    def __init__(self, zone: str, warm_up_ms: float) -> None:
        self.zone, self.warm_up_ms = zone, warm_up_ms
        self.servers: dict[str, ServerStats] = {}  # all that are listed, in the list's order
        self.cordoned_since_ms: dict[str, float] = {}  # listed or not
        self.is_large = False  # candidates are a sample
        self.load = 0.0  # weight in flight from this process at ready servers
        self.credit_rate = 0.0  # credit per ms that a warm server would earn
        self._ready = IndexedSet()
        self._groups: dict[Group, IndexedSet] = {}  # ready ones by zone and cell, and by zone and ANY_CELL
        self._warm, self._warm_in_zone = IndexedSet(), IndexedSet()  # ready ones
        self._with_credit = IndexedSet()  # ready and warming, with credit when last checked
        self._credit_checks: list[tuple[float, int, ServerStats]] = []  # heap: when, number, server
        self._check_count = 0
        self._ready_in_list_order: list[ServerStats] | None = None

    @property
    def ready(self) -> list[ServerStats]:
        """Servers that may be sent to; of a small pool in the order of the list."""
        if self.is_large:
            return self._ready.items
        if self._ready_in_list_order is None:
            self._ready_in_list_order = [server for server in self.servers.values() if server.ready]
        return self._ready_in_list_order

    def add(self, server: ServerStats, now: float) -> None:
        """Add a server, or replace the one of its address."""
        old = self.servers.get(server.endpoint.address)
        if old is not None:
            self._mark_unready(old)
        self.servers[server.endpoint.address] = server
        self.is_large = len(self.servers) > SMALL_POOL_SIZE
        self._ready_in_list_order = None
        self.refresh_readiness(server, now)

    def remove(self, address: str) -> None:
        """Remove the server of this address, if there is one."""
        server = self.servers.pop(address, None)
        self.is_large = len(self.servers) > SMALL_POOL_SIZE
        if server is not None:
            self._mark_unready(server)
        self._ready_in_list_order = None

    def retain(self, addresses: set[str]) -> None:
        """Remove all other servers."""
        for address in [address for address in self.servers if address not in addresses]:
            self.remove(address)

    def update(self, server: ServerStats, endpoint: Server, now: float) -> None:
        """Take a changed entry of the list for a server that has not restarted."""
        if server.endpoint != endpoint:
            self._mark_unready(server)
            server.endpoint = endpoint
            self.refresh_readiness(server, now)

    def refresh_readiness(self, server: ServerStats, now: float) -> None:
        """Put a server into the sets where its state belongs."""
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
        """Change the warm-up time. Servers that become warming ones draw a first credit, as new ones do."""
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
        """Count this weight in flight at a server; a negative one ends it."""
        server.load = max(0.0, server.load + weight)
        if server.ready:
            self.load = max(0.0, self.load + weight)

    def recheck_credit(self, server: ServerStats, now: float) -> None:
        """Remove a warming server from the candidates where it has no credit, until a check finds some."""
        if server.ready and server.credit < 1.0 and server.warm_at_ms(self.warm_up_ms) > now:
            for servers in (self._warm, self._warm_in_zone, self._with_credit):
                servers.discard(server)
            self._schedule_credit_check(server, now)

    def _schedule_credit_check(self, server: ServerStats, now: float) -> None:
        """Check it when it should have credit at the present rate."""
        if server.credit_check_scheduled:
            return
        server.credit_check_scheduled = True
        if len(self._credit_checks) > 2 * len(self.servers) + SMALL_POOL_SIZE:
            # Guard: checks of servers that were replaced would fill the memory.
            servers = self.servers
            current = [row for row in self._credit_checks if servers.get(row[2].endpoint.address) is row[2]]
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
        """Ready servers: all of a small pool, at most `count` drawn ones of a large pool."""
        return self._ready.sample(rng, count) if self.is_large else self.ready

    def candidates(self, now: float, rng: Random, group: Group | None, paced: HasCredit) -> list[ServerStats]:
        """Candidates of a large pool for one request, of this group alone if one is given."""
        self._check_credits(now, paced)
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
