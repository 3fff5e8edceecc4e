"""Provide a fleet with fakes for the dependencies of maintenance executors."""

from __future__ import annotations

from typing import Any

from mustardward.components.explain.models import DecisionMade
from mustardward.components.maintenance.models import (
    ExecutorDependencies,
    executor_name,
)
from mustardward.components.maintenance.wave_executor import WaveExecutor
from mustardward.core import EventBus
from mustardward.helpers.timer import DrivenTimerService
from mustardward.state.models.maintenance import ScheduleWave, SignalWave
from mustardward.state.models.pools import Instance
from tests.fakes.fleet import FoldDriver, build_fleet, build_organisation
from tests.fakes.waves import FakeFleetLog, FakeMembership, FakePower, build_member

FIRST, SECOND = "dc1-etching-000", "dc1-etching-001"


class FixedStrategy:
    """Allow all claims that the budgets admit, with a grace period of a minute."""

    def concurrency(self, pool: str) -> int:
        return 100

    def grace_seconds(self, pool: str) -> float:
        return 60.0

    def drain_cost(self, instance: Instance) -> float:
        return 0.0


class MaintenanceHarness:
    """Build maintenance executors of one data centre on a shared fleet state.

    ``busy`` contains the instances that jobs occupy; ``unreported`` contains failed
    instances that the next probe reports.
    """

    def __init__(self, size: int = 8, **parameters: Any) -> None:
        user = build_organisation("dairy", ("etching",), **parameters)
        self.driver = FoldDriver(build_fleet(user, size=size))
        self.log = FakeFleetLog(self.driver)
        self.power = FakePower()
        self.timers = DrivenTimerService()
        self.events = EventBus()
        self.decisions: list[DecisionMade] = []
        self.events.listen(DecisionMade, self.decisions.append)
        self.busy: set[str] = set()
        self.membership = FakeMembership()
        self.unreported: list[str] = []

    def dependencies(self, name: str = "entry-1") -> ExecutorDependencies:
        """Return the dependencies of one process on the shared log."""
        return ExecutorDependencies(
            executor=executor_name(build_member(name)),
            data_centre="dc1",
            log=self.log,
            power=self.power,
            membership=self.membership,
            timers=self.timers,
            events=self.events,
            vacate=self._async_vacate,
        )

    def executor(self, name: str = "entry-1") -> WaveExecutor:
        """Return an executor on the shared log."""
        executor = WaveExecutor(self.dependencies(name), FixedStrategy())
        self.log.listen(executor.handle_outcome)
        return executor

    def schedule(self, wave_id: str = "w1", **more: Any) -> None:
        """Schedule a wave over the pool."""
        self.driver.accept(ScheduleWave(wave_id, ("etching",), **more))

    def stage(self, instance: str) -> str:
        """Return the stage of an instance's claim, or an empty string without one."""
        claim = self.driver.state.claims.get(instance)
        return claim.stage if claim else ""

    def status(self, wave_id: str = "w1") -> str:
        return self.driver.state.waves[wave_id].status

    def signal(self, signal: str) -> None:
        wave = self.driver.state.waves["w1"]
        self.driver.accept(SignalWave("w1", signal), wave.revision)

    def causes(self, decision: str) -> list[str]:
        return [item.cause for item in self.decisions if item.decision == decision]

    async def async_probe(self, pool: str) -> None:
        """Report the failures that are not reported yet."""
        if self.unreported:
            self.driver.fail(*self.unreported)
            self.unreported = []

    async def _async_vacate(self, instance_id: str) -> bool:
        return instance_id not in self.busy
