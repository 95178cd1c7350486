"""Servers of a plan, whose parameters are drawn from the ranges of their tier and kind."""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Iterator

from rosewheel.lab.random_streams import draw_range
from rosewheel.lab.scenario import Scenario
from rosewheel.lab.server_model import OverloadSlowdown, ServerSpec
from rosewheel.lab.tables import Range, ServerKindTable, TierTable

MIN_WARM_UP_SHARE = 0.01
MIN_REPORT_PERIOD_MS = 1.0


def draw_servers(scenario: Scenario, seed: int) -> Iterator[ServerSpec]:
    """Yield the servers that run from the start, in order of tiers and kinds."""
    for index, tier in enumerate(scenario.tiers):
        yield from _TierDraw(scenario, seed, index, tier).servers()


class _TierDraw:
    """Draws the servers of one tier. Servers of a kind share all drawn values except the speed."""

    def __init__(self, scenario: Scenario, seed: int, index: int, tier: TierTable) -> None:
        self.scenario, self.seed, self.index, self.tier = scenario, seed, index, tier
        self.zones = tier.zones or scenario.zones
        # Cells lie within a zone; each zone has as many cells as the zone with the most servers needs.
        max_zone_size = math.ceil(sum(kind.count for kind in tier.kinds) / len(self.zones))
        self.cells_per_zone = math.ceil(max_zone_size / tier.cell_size)

    def servers(self) -> Iterator[ServerSpec]:
        """Yield the servers in order of their numbers, which are assigned to zones and cells round-robin."""
        number = 0
        for kind in self.tier.kinds:
            if not kind.count:
                continue
            template = self._template(kind)
            for index_in_kind in range(kind.count):
                yield self._server(template, kind, index_in_kind, number)
                number += 1

    def _server(
        self, template: ServerSpec, kind: ServerKindTable, index_in_kind: int, number: int
    ) -> ServerSpec:
        name = f"{self.tier.name}-{number}"
        speed = (
            kind.speeds[index_in_kind] if kind.speeds else self._draw(kind.speed, kind.name, name, "speed")
        )
        zone_index, number_in_zone = number % len(self.zones), number // len(self.zones)
        return dataclasses.replace(
            template,
            name=name,
            zone=self.zones[zone_index],
            cell=zone_index * self.cells_per_zone + number_in_zone % self.cells_per_zone,
            speed=speed,
        )

    def _draw(self, value: Range, *names: str) -> float:
        return draw_range(value, self.seed, "tier", self.tier.name, *names)

    def _template(self, kind: ServerKindTable) -> ServerSpec:
        tier, rules, draw = self.tier, self.scenario.rules, self._draw

        def draw_for_kind(value: Range, key: str) -> float:
            return draw(value, kind.name, key)

        return ServerSpec(
            name="",
            tier=self.index,
            kind=kind.name,
            cores=kind.cores,
            concurrency_limit=max(1, round(draw_for_kind(kind.concurrency_limit, "slots"))),
            queue_limit=round(draw_for_kind(kind.queue_limit, "queue")),
            contention_factor=draw_for_kind(kind.contention_factor, "thrash"),
            contention_threshold=draw_for_kind(kind.contention_threshold, "knee"),
            warm_up_initial_share=max(
                MIN_WARM_UP_SHARE, draw_for_kind(kind.warm_up_initial_share, "cold_from")
            ),
            warm_up_ms=draw_for_kind(kind.warm_up_s, "cold") * 1000.0,
            slowdown=self._slowdown(),
            overload_factor=rules.overload_factor,
            overload_window_ms=rules.overload_window_ms,
            pause_interval_ms=draw_for_kind(kind.pause_interval_s, "pause_every") * 1000.0,
            pause_ms=draw_for_kind(kind.pause_ms, "pause"),
            pause_growth=draw_for_kind(kind.pause_growth, "pause_grow"),
            error_rate=draw_for_kind(kind.error_rate, "error_rate"),
            report_period_ms=max(MIN_REPORT_PERIOD_MS, draw(tier.report.period_ms, "report")),
            report_delay_ms=draw(tier.report.delay_ms, "report_delay"),
            report_noise=draw(tier.report.noise, "report_noise"),
            max_connections=round(kind.cores * draw(tier.connections_per_core, "connections")),
            connection_overhead=draw(tier.connection_overhead, "tax"),
            handshake_work_ms=draw(tier.handshake_work_ms, "handshake"),
            health_check_work_ms=draw(tier.health_check_work_ms, "probe"),
        )

    def _slowdown(self) -> OverloadSlowdown | None:
        table = self.tier.slowdown
        if table is None:
            return None
        return OverloadSlowdown(
            queue_per_core=self._draw(table.queue_per_core, "at", "choke"),
            trigger_ms=self._draw(table.trigger_s, "over", "choke") * 1000.0,
            factor=self._draw(table.factor, "slower", "choke"),
            recovery_ms=self._draw(table.recovery_s, "rest", "choke") * 1000.0,
            recovery_busy_share=self._draw(table.recovery_busy_share, "below", "choke"),
            max_ms=self._draw(table.max_s, "most", "choke") * 1000.0,
        )
