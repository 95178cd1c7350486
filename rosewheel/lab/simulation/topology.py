"""Zones and regions of a simulated run: how long a way between two places takes, and which are cut off."""

from __future__ import annotations

from rosewheel.lab.scenario import Scenario
from rosewheel.lab.simulation.network import ONE_WAY_MS


class Topology:
    """Zones go by their names; a scenario without regions has one."""

    def __init__(self, scenario: Scenario) -> None:
        self.network = scenario.network
        self._region = {zone: region.name for region in scenario.regions for zone in region.zones}
        self._cuts: dict[int, frozenset[str]] = {}  # by trouble: the zones that are cut off together

    def one_way_ms(self, here: str, there: str) -> float:
        """One way, with the work of both its ends."""
        network = self.network
        if here == there:
            return ONE_WAY_MS + network.within_zone_ms
        near = self._region.get(here) == self._region.get(there)
        return ONE_WAY_MS + (network.between_zones_ms if near else network.between_regions_ms)

    def separated(self, here: str, there: str) -> bool:
        """Whether nothing gets from one to the other."""
        return here != there and any((here in cut) is not (there in cut) for cut in self._cuts.values())

    def isolate(self, trouble: int, zones: frozenset[str]) -> None:
        """What lies in these zones and what lies outside can't reach one another until `mend`."""
        self._cuts[trouble] = zones

    def heal(self, trouble: int) -> None:
        self._cuts.pop(trouble, None)
