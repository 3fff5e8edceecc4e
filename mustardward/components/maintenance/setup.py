"""Set up the maintenance component of a process."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import replace

from ...core import Core, Unload
from ..keys import (
    FLEET_LOG,
    JOBS,
    LISTING_SERVICE,
    MEMBERSHIP,
    PEERS,
    POOL_PROBER,
    POWER_SERVICE,
    WORK_LOG,
    WORKER_SERVICE,
)
from . import api  # noqa: F401
from .absence_reporter import AbsenceReporter
from .const import REPORT_INTERVAL_SECONDS, STEP_INTERVAL_SECONDS
from .messages import ProbePool
from .models import ExecutorDependencies, executor_name
from .planned_strategy import PlannedRolloutStrategy
from .pool_prober import PoolProber
from .reachability_reporter import ReachabilityReporter
from .wave_executor import WaveExecutor


async def async_setup_maintenance(core: Core) -> Unload:
    """Start the executor and the reporters; return the function that stops them."""
    base_dependencies = build_executor_dependencies(core)
    prober = PoolProber(
        base_dependencies, core.get(WORKER_SERVICE), lambda: core.find(PEERS)
    )
    dependencies = replace(base_dependencies, probe=prober.async_probe)
    core.put(POOL_PROBER, prober)
    strategy = PlannedRolloutStrategy(
        dependencies.data_centre,
        lambda: core.get(FLEET_LOG).state,
        lambda: work.state if (work := core.find(WORK_LOG)) else None,
        core.timers,
    )
    executor = WaveExecutor(dependencies, strategy)
    absences = AbsenceReporter(dependencies, core.find(LISTING_SERVICE))
    reachability = ReachabilityReporter(dependencies)
    unsubscribers = [
        core.get(PEERS).handle(ProbePool, prober.async_handle),
        dependencies.log.listen(executor.handle_outcome),
        dependencies.log.listen(reachability.handle_outcome),
        core.timers.subscribe(
            "maintenance.step", STEP_INTERVAL_SECONDS, executor.async_step
        ),
        core.timers.subscribe(
            "maintenance.absences", REPORT_INTERVAL_SECONDS, absences.async_step
        ),
        core.timers.subscribe(
            "maintenance.silence", REPORT_INTERVAL_SECONDS, reachability.async_step
        ),
    ]

    async def async_unload() -> None:
        for unsubscribe in reversed(unsubscribers):
            unsubscribe()
        core.remove(POOL_PROBER)

    return async_unload


def build_executor_dependencies(core: Core) -> ExecutorDependencies:
    """Return the dependencies of the executors of waves and moves."""
    membership = core.get(MEMBERSHIP)
    return ExecutorDependencies(
        executor=executor_name(membership.own),
        data_centre=core.settings.entry.data_centre,
        log=core.get(FLEET_LOG),
        power=core.get(POWER_SERVICE),
        membership=membership,
        timers=core.timers,
        events=core.events,
        vacate=_build_vacate(core),
    )


def _build_vacate(core: Core) -> Callable[[str], Awaitable[bool]]:
    async def async_vacate(instance_id: str) -> bool:
        jobs = core.find(JOBS)
        return jobs is None or await jobs.async_vacate(instance_id)

    return async_vacate
