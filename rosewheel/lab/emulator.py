"""Emulator of servers, discovery, local nodes and their faults, on loopback sockets."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

import numpy as np

from rosewheel.lab.emulated_fleet import EmulatedFleet
from rosewheel.lab.emulator_faults import EmulatorFaultInjector
from rosewheel.lab.plan import Plan
from rosewheel.lab.record_codec import sample_record
from rosewheel.lab.record_types import EmulatorRecord
from rosewheel.lab.records import RecordWriter
from rosewheel.lab.wire import now_ms

SAMPLE_PERIOD_S = 0.5


class Emulator:
    """Emulated fleet that executes a plan.

    Call `start`, then `start_clock` when the plan begins, and `close` at the end.

    Attributes:
        fleet: servers, discovery and local nodes.
        fault_injector: injector of the fault steps of the plan.
    """

    def __init__(self, plan: Plan, folder: Path, records: RecordWriter) -> None:
        self.plan, self.records = plan, records
        self.loop = asyncio.get_running_loop()
        self.fleet = EmulatedFleet(plan, folder, records)
        self.fault_injector = EmulatorFaultInjector(self.fleet)
        self._timers: list[asyncio.TimerHandle] = []
        self._sample_timer: asyncio.TimerHandle | None = None
        self._cpu_at_start_s = 0.0

    async def start(self) -> None:
        """Start all servers and local nodes, and wait until all of them are ready.

        Raises:
            NodeStartError: a local node did not start.
        """
        await self.fleet.start()

    def start_clock(self, at_ms: float) -> None:
        """Begin the plan: schedule its fault steps and the periodic samples.

        Args:
            at_ms: start of the plan, in ms of `wire.now_ms`.
        """
        clock = self.fleet.clock
        clock.start(at_ms)
        del self.fleet.requests.timer_lags_ms[:]
        self._cpu_at_start_s = time.process_time()
        for step in self.plan.steps:
            timer = self.loop.call_later(clock.delay_s(step.at_ms), self.fault_injector.inject, step)
            self._timers.append(timer)
        self._sample_timer = self.loop.call_later(clock.delay_s(0.0), self._sample)

    def statistics(self) -> EmulatorRecord:
        """Return the CPU time and timer lag of the emulator since the plan began."""
        requests = self.fleet.requests
        lags_ms = np.array(requests.timer_lags_ms or [0.0])
        return EmulatorRecord(
            at_ms=self.fleet.clock.plan_time(),
            cpu_s=round(time.process_time() - self._cpu_at_start_s, 3),
            timer_count=len(requests.timer_lags_ms),
            lag_p50_ms=round(float(np.percentile(lags_ms, 50)), 3),
            lag_p99_ms=round(float(np.percentile(lags_ms, 99)), 3),
            lag_max_ms=round(float(lags_ms.max()), 3),
            served=requests.served,
            local_nodes_cpu_s=round(self.fleet.local_nodes.cpu_s(), 2),
        )

    def close(self) -> None:
        """Stop the timers and the fleet, and record the statistics."""
        for timer in (*self._timers, self._sample_timer):
            if timer is not None:
                timer.cancel()
        self.fleet.close()
        self.records.write(self.statistics())
        self.records.flush()

    def _sample(self) -> None:
        now = now_ms()
        for host in self.fleet.hosts.values():
            host.catch_up(now)
            host.model.reported_queue(now)  # advances the model from its last event to now
            self.records.write(sample_record(host.model, self.fleet.clock.plan_time(now)))
        self.records.flush()
        self._sample_timer = self.loop.call_later(SAMPLE_PERIOD_S, self._sample)
