"""Assemble the routing component."""

from __future__ import annotations

from ...core import Core, Unload
from ..keys import FLEET_LOG, MEMBERSHIP, POWER_SERVICE, ROUTER, WORK_LOG
from .const import REPORT_INTERVAL_SECONDS
from .job_slots import JobSlotCounter
from .models import InstanceQuarantined, InstanceReleased
from .reporter import QuarantineReporter
from .services import RouterService


async def async_setup_routing(core: Core) -> Unload:
    """Publish the router and return the function that unloads it."""
    log = core.get(FLEET_LOG)
    entry = core.settings.entry
    work_log = core.find(WORK_LOG)
    router: RouterService

    def on_job_slots_changed(instance_id: str) -> None:
        router.on_job_slots_changed(instance_id)

    job_slots = None
    if work_log is not None:
        job_slots = JobSlotCounter(lambda: work_log.state, on_job_slots_changed)
    router = RouterService(
        log=log,
        membership=core.get(MEMBERSHIP),
        timers=core.timers,
        data_centre=entry.data_centre,
        publish=core.events.publish,
        count_job_slots=job_slots.count if job_slots else _no_job_slots,
    )
    reporter = QuarantineReporter(
        log=log,
        data_centre=entry.data_centre,
        actor=entry.name,
        find_power=lambda: core.find(POWER_SERVICE),
    )
    unsubscribes = [
        log.listen(router.on_record),
        core.events.listen(InstanceQuarantined, reporter.on_quarantined),
        core.events.listen(InstanceReleased, reporter.on_released),
        core.timers.subscribe(
            "routing.report", REPORT_INTERVAL_SECONDS, reporter.async_step
        ),
    ]
    if work_log is not None and job_slots is not None:
        unsubscribes.append(work_log.listen(job_slots.on_record))
        job_slots.recount()
    core.put(ROUTER, router)

    async def async_unload() -> None:
        core.remove(ROUTER)
        for unsubscribe in reversed(unsubscribes):
            unsubscribe()

    return async_unload


def _no_job_slots(instance_id: str) -> int:
    return 0
