"""Put the parts of worker choice together in one process."""

from __future__ import annotations

from ...core import Core, Unload
from ..keys import FLEET_LOG, MEMBERSHIP, POWER_SERVICE, ROUTER, WORK_LOG
from .const import REPORT_SECONDS
from .long_work import JobSlotCounter
from .models import InstanceQuarantined, InstanceReleased
from .reporter import QuarantineReporter
from .services import RouterService


async def async_setup_routing(core: Core) -> Unload:
    """Publish the router and return what withdraws it."""
    log = core.get(FLEET_LOG)
    entry = core.settings.entry
    work = core.find(WORK_LOG)
    router: RouterService

    def on_job_slots_changed(instance_id: str) -> None:
        router.on_job_slots_changed(instance_id)

    long_work = None
    if work is not None:
        long_work = JobSlotCounter(lambda: work.state, on_job_slots_changed)
    router = RouterService(
        log=log,
        membership=core.get(MEMBERSHIP),
        timers=core.timers,
        data_centre=entry.data_centre,
        publish=core.events.publish,
        count_job_slots=long_work.count if long_work else _none,
    )
    reporter = QuarantineReporter(
        log=log,
        data_centre=entry.data_centre,
        actor=entry.name,
        find_power=lambda: core.find(POWER_SERVICE),
    )
    undo = [
        log.listen(router.on_record),
        core.events.listen(InstanceQuarantined, reporter.on_quarantined),
        core.events.listen(InstanceReleased, reporter.on_released),
        core.timers.subscribe("routing.report", REPORT_SECONDS, reporter.async_step),
    ]
    if work is not None and long_work is not None:
        undo.append(work.listen(long_work.on_record))
        long_work.start()
    core.put(ROUTER, router)

    async def async_unload() -> None:
        core.remove(ROUTER)
        for unsubscribe in reversed(undo):
            unsubscribe()

    return async_unload


def _none(instance_id: str) -> int:
    return 0
