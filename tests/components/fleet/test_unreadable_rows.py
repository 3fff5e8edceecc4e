"""Test that an unreadable row doesn't leave a worker cordoned."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

from mustardward.components.fleet.models import WaveRun
from mustardward.components.fleet.services import Fleet
from mustardward.components.fleet.wave_planner import WavePlanner
from mustardward.helpers.timer import DrivenTimerService
from mustardward.platform.models import Instance, MaintenanceWave

from ..scheduling.builders import SchedulerBench, a_job, a_step
from .builders import an_instance

MAINTENANCE_SECONDS = 2.0


class FleetHarness:
    """Drive a fleet by instance lists and a manual clock."""

    def __init__(self, wave: MaintenanceWave) -> None:
        self.timers = DrivenTimerService()
        self.bench = SchedulerBench(now=self.timers.monotonic())
        self.wave_planner = WavePlanner(MAINTENANCE_SECONDS)
        now = self.timers.monotonic()
        self.wave_planner.runs[wave.wave] = WaveRun(wave, now)
        nothing: Any = SimpleNamespace
        self.fleet = Fleet(
            nothing(),
            nothing(),
            {},
            self.timers,
            self.bench.scheduler,
            nothing(sessions={}),
            nothing(standby_pools=lambda: [], config=None, waves={}, is_loaded=True),
            nothing(waves={}),
            nothing(post=lambda *_: None),
            self.wave_planner,
            nothing(report=lambda view, now: []),
            nothing(decide=lambda *_: [], orders={}, needs={}),
            lambda: True,
            nothing(start_soon=lambda *_: None),
        )

    def apply_list(self, *rows: Instance, complete: bool = True) -> None:
        """Apply an instance list and decide by it."""
        self.timers.pause(0.3)
        self.fleet._read_at = self.timers.monotonic()
        self.fleet._instances = {row.machine: row for row in rows}
        self.fleet._complete = complete
        self.fleet._decide()


def test_an_unreadable_row_does_not_leave_a_worker_cordoned() -> None:
    """Guard against a worker that neither gets tasks again nor is maintained."""
    fleet = FleetHarness(MaintenanceWave(1, ["m-01"], 20.0, 2))
    worker = fleet.bench.worker("i-01")
    fleet.bench.add(a_job(a_step(count=1, long_running=True)))
    fleet.bench.plan_starts()
    first, second = an_instance(1), an_instance(2)
    fleet.apply_list(first, second)
    assert worker.cordoned
    fleet.apply_list(second, complete=False)
    fleet.apply_list(first, second)
    run = fleet.wave_planner.runs[1]
    assert not worker.cordoned or "m-01" in run.draining
    assert not run.done
