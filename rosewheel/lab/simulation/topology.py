"""Zones and regions of a simulated run: delays between two places, and partitions."""

from __future__ import annotations

from rosewheel.lab.scenario import Scenario

# One way, with the work of both its ends: a request through an idle node on loopback takes under a millisecond more
# than at the server alone, there and back over two connections.
ONE_WAY_MS = 0.2


class Topology:
    """Zones by their names; a scenario without regions has one."""

    def __init__(self, scenario: Scenario) -> None:
        self.network = scenario.network
        self._region = {zone: region.name for region in scenario.regions for zone in region.zones}
        self._isolated: dict[int, frozenset[str]] = {}  # by fault: zones that are cut off together

    def one_way_ms(self, source: str, destination: str) -> float:
        """The delay from one zone to another, with the work of both ends."""
        network = self.network
        if source == destination:
            return ONE_WAY_MS + network.within_zone_ms
        same_region = self._region.get(source) == self._region.get(destination)
        return ONE_WAY_MS + (network.between_zones_ms if same_region else network.between_regions_ms)

    def separated(self, zone: str, other: str) -> bool:
        """Whether a partition lies between two zones."""
        return zone != other and any(
            (zone in isolated) is not (other in isolated) for isolated in self._isolated.values()
        )

    def isolate(self, fault: int, zones: frozenset[str]) -> None:
        """Separate these zones from all others until `heal`."""
        self._isolated[fault] = zones

    def heal(self, fault: int) -> None:
        """End the partition of this fault."""
        self._isolated.pop(fault, None)
