"""Put the parts of maintenance together in one process."""

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
    POOL_LOOK,
    POWER_SERVICE,
    WORK_LOG,
    WORKER_SERVICE,
)
from . import api  # noqa: F401
from .absence_reporter import AbsenceReporter
from .const import REPORT_SECONDS, STEP_SECONDS
from .messages import LookAtPool
from .models import ExecutorParts, executor_name
from .planned_pacing import PlannedPacing
from .pool_look import PoolLook
from .services import WaveExecutor
from .silence_reporter import SilenceReporter


async def async_setup_maintenance(core: Core) -> Unload:
    """Start the executor and the reporters, and return what stops them."""
    without_look = make_parts(core)
    look = PoolLook(without_look, core.get(WORKER_SERVICE), lambda: core.find(PEERS))
    parts = replace(without_look, look=look.async_look)
    core.put(POOL_LOOK, look)
    pacing = PlannedPacing(
        parts.data_centre,
        lambda: core.get(FLEET_LOG).state,
        lambda: work.state if (work := core.find(WORK_LOG)) else None,
        core.timers,
    )
    executor = WaveExecutor(parts, pacing)
    absences = AbsenceReporter(parts, core.find(LISTING_SERVICE))
    silence = SilenceReporter(parts)
    undo = [
        core.get(PEERS).handle(LookAtPool, look.async_answer),
        parts.log.listen(executor.note_outcome),
        parts.log.listen(silence.note_outcome),
        core.timers.subscribe("maintenance.step", STEP_SECONDS, executor.async_step),
        core.timers.subscribe(
            "maintenance.absences", REPORT_SECONDS, absences.async_step
        ),
        core.timers.subscribe(
            "maintenance.silence", REPORT_SECONDS, silence.async_step
        ),
    ]

    async def async_unload() -> None:
        for unsubscribe in reversed(undo):
            unsubscribe()
        core.remove(POOL_LOOK)

    return async_unload


def make_parts(core: Core) -> ExecutorParts:
    """Return what executors of waves and moves call."""
    membership = core.get(MEMBERSHIP)
    return ExecutorParts(
        executor=executor_name(membership.own),
        data_centre=core.settings.entry.data_centre,
        log=core.get(FLEET_LOG),
        power=core.get(POWER_SERVICE),
        membership=membership,
        timers=core.timers,
        events=core.events,
        vacate=_vacate_with(core),
    )


def _vacate_with(core: Core) -> Callable[[str], Awaitable[bool]]:
    async def async_vacate(instance_id: str) -> bool:
        jobs = core.find(JOBS)
        return jobs is None or await jobs.async_vacate(instance_id)

    return async_vacate
