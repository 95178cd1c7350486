"""Pool membership from endpoint lists and cordons, and the state shared with sibling processes."""

import math

from rosewheel.policy import events
from rosewheel.policy.server_stats import ServerStats
from rosewheel.policy.shared_state import SharedState
from rosewheel.policy.slow_start import SlowStart
from rosewheel.policy.throughput import Throughput

BALANCERS_WITH_FULL_CREDIT = 4.0  # expected number of balancers that may send as soon as a cordon ends


class Membership:
    """Updates the servers of the pool from events of discovery, operators and sibling processes."""

    def __init__(self, shared: SharedState, slow_start: SlowStart, throughput: Throughput) -> None:
        self.shared, self.slow_start, self.throughput = shared, slow_start, throughput
        self._servers_with_sibling_load: set[str] = set()

    def apply_endpoint_list(self, now: float, update: events.EndpointListUpdate) -> None:
        """Add, update and remove servers by an endpoint list, or by a delta of it."""
        pool = self.shared.pool
        if update.form is not events.EndpointListForm.DELTA:
            pool.retain({endpoint.address for endpoint in update.servers})
        for endpoint in update.servers:
            current = pool.servers.get(endpoint.address)
            if endpoint.state is events.ServerState.REMOVED:
                pool.remove(endpoint.address)
            elif current is None or not current.endpoint.is_same_process(endpoint):  # new, or restarted
                credit = self.shared.draw_initial_credit()
                pool.add(ServerStats(endpoint, credit=credit, credit_updated_ms=now), now)
            else:
                pool.update(current, endpoint, now)
        if self.shared.in_large_fleet:  # at once, as well as at the end of each period
            self.throughput.pool_capacity = self.slow_start.pool_capacity(now)

    def apply_cordon(self, now: float, change: events.CordonChanged) -> None:
        """Cordon a server, or return it to the pool as a warming one."""
        pool, rng = self.shared.pool, self.shared.rng
        current = pool.servers.get(change.server)
        if change.cordoned:
            pool.cordoned_since_ms.setdefault(change.server, now)
            if current is not None:
                pool.refresh_readiness(current, now)
            return
        since_ms = pool.cordoned_since_ms.pop(change.server, None)
        if since_ms is None or current is None:
            return
        # The server was probably cordoned for a restart, which the list shows seconds late, and its full
        # share would overload it. So it warms up from now on, unless the list shows a start since the cordon.
        # A server that was not restarted warms up too.
        launched_ms = current.endpoint.launched_ms
        restart_listed = launched_ms is not None and launched_ms >= since_ms
        # With little traffic a random credit would leave it idle for seconds. A few balancers at random give
        # it full credit, so that it gets a request at once, but not from all balancers together.
        at_once = rng.random() * self.shared.settings.balancer_count < BALANCERS_WITH_FULL_CREDIT
        credit = 1.0 if at_once else rng.random()
        returned = ServerStats(current.endpoint, credit=credit, credit_updated_ms=now)
        returned.uncordoned_ms = -math.inf if restart_listed else now
        pool.add(returned, now)

    def apply_process_count(self, change: events.ProcessCountChanged) -> None:
        """Divide the credit of warming servers among more processes."""
        # All processes of a node together may send no more than a single one could. Present credit is
        # divided; credit earned later follows the requests that each process receives.
        old_count = self.shared.process_count
        if change.processes > old_count:
            for server in self.shared.pool.servers.values():
                server.credit *= old_count / change.processes
        self.shared.process_count = max(1, change.processes)

    def apply_sibling_load(self, change: events.SiblingProcessLoad) -> None:
        """Replace the weight in flight from other processes of this node."""
        servers = self.shared.pool.servers
        for address in servers.keys() & (self._servers_with_sibling_load | change.loads.keys()):
            servers[address].sibling_load = change.loads.get(address, 0.0)
        self._servers_with_sibling_load = set(change.loads)
