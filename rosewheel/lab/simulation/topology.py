"""Network between the zones and regions of a simulated run: delays and partitions."""

from __future__ import annotations

from rosewheel.lab.scenario import Scenario

ONE_WAY_MS = 0.2  # base delay of every message, including processing at both ends


class Topology:
    """Delays and partitions between zones. A scenario without regions counts as one region."""

    def __init__(self, scenario: Scenario) -> None:
        self.network = scenario.network
        self._region = {zone: region.name for region in scenario.regions for zone in region.zones}
        self._isolated: dict[
            int, frozenset[str]
        ] = {}  # zones that each fault cuts off, by index of the fault

    def one_way_ms(self, source: str, destination: str) -> float:
        """Return the delay from one zone to another, including processing at both ends."""
        network = self.network
        if source == destination:
            return ONE_WAY_MS + network.within_zone_ms
        same_region = self._region.get(source) == self._region.get(destination)
        return ONE_WAY_MS + (network.between_zones_ms if same_region else network.between_regions_ms)

    def separated(self, zone: str, other: str) -> bool:
        """Return whether a partition separates two zones."""
        return zone != other and any(
            (zone in isolated) is not (other in isolated) for isolated in self._isolated.values()
        )

    def isolate(self, fault: int, zones: frozenset[str]) -> None:
        """Partition zones from all others until `heal`.

        Args:
            fault: index of the fault in the scenario.
        """
        self._isolated[fault] = zones

    def heal(self, fault: int) -> None:
        """End the partition of a fault."""
        self._isolated.pop(fault, None)
