"""Put the parts of long work together in one process."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from uuid import uuid4

from ...core import Core, Unload
from ...state.models.jobs import Job
from ..entry.models import RequestFinished
from ..keys import (
    FLEET_LOG,
    JOBS,
    MEMBERSHIP,
    METRICS,
    PEERS,
    WORK_LOG,
    WORKER_SERVICE,
)
from ..limits.models import SlotReclaimRequested
from ..membership.models import InstanceLeaving
from ..retries.intents_home import home_name
from ..routing.models import WorkerBusy
from .const import TICK_SECONDS
from .keeper import AttemptKeeper
from .lessons import Lessons
from .metrics import subscribe_metrics
from .pool_view import PoolIndex
from .presence import HolderPresence
from .scheduler import JobScheduler
from .services import LogJobService
from .slots import SlotReturns
from .wishes import SlotWishes


async def async_setup_jobs(core: Core) -> Unload:
    """Publish the job service, start its ticks, and return what undoes that."""
    scheduler = _make_scheduler(core)
    slots = SlotReturns(scheduler, core.timers, core.find(MEMBERSHIP), core.find(PEERS))
    service = LogJobService(
        log=core.get(WORK_LOG),
        fleet=core.get(FLEET_LOG),
        pools=scheduler.pools,
        scheduler=scheduler,
        slots=slots,
        draw_id=lambda: uuid4().hex,
    )
    core.put(JOBS, service)
    undo = _subscribe(core, scheduler, slots)

    async def async_unload() -> None:
        core.remove(JOBS)
        for unsubscribe in reversed(undo):
            unsubscribe()

    return async_unload


def _make_scheduler(core: Core) -> JobScheduler:
    entry = core.settings.entry
    fleet = core.get(FLEET_LOG)
    membership = core.find(MEMBERSHIP)
    incarnation = membership.own.incarnation if membership else 0
    identity = home_name(entry.name, incarnation)
    may_get_work = membership.instance_may_get_work if membership else _always
    pools = PoolIndex(fleet, entry.data_centre, may_get_work)
    keeper = AttemptKeeper(
        log=core.get(WORK_LOG),
        workers=core.get(WORKER_SERVICE),
        timers=core.timers,
        identity=identity,
        usable=pools.is_usable,
        lessons=Lessons(core.timers, lambda job: _run_key(core, job)),
    )
    return JobScheduler(
        log=core.get(WORK_LOG),
        keeper=keeper,
        pools=pools,
        timers=core.timers,
        owns_duty=membership.owns_duty if membership else _always,
        holder_present=HolderPresence(core.timers, membership, identity).is_present,
        random=Random(identity),
    )


def _subscribe(
    core: Core, scheduler: JobScheduler, slots: SlotReturns
) -> list[Callable[[], None]]:
    wishes = SlotWishes(
        returns=slots,
        pools=scheduler.pools,
        timers=core.timers,
        pool_of=lambda organisation, service: _pool_of(core, organisation, service),
        start=core.tasks.start_soon,
    )

    def on_leaving(event: InstanceLeaving) -> None:
        core.tasks.start_soon(scheduler.async_vacate, event.instance_id)

    timers = core.timers
    metrics = core.find(METRICS)
    feeds: list[Callable[[], None]] = []
    if metrics is not None:
        feeds = subscribe_metrics(metrics, core.get(WORK_LOG), scheduler.keeper)
    return [
        *feeds,
        slots.start(),
        core.get(WORK_LOG).listen(scheduler.on_record),
        timers.subscribe("jobs.tick", TICK_SECONDS, scheduler.async_tick),
        timers.subscribe_pause(scheduler.keeper.on_pause),
        core.events.listen(SlotReclaimRequested, wishes.on_wanted),
        core.events.listen(WorkerBusy, wishes.on_busy),
        core.events.listen(RequestFinished, wishes.on_finished),
        core.events.listen(InstanceLeaving, on_leaving),
    ]


def _pool_of(core: Core, organisation: str, service: str) -> str | None:
    found = core.get(FLEET_LOG).state.organisations.get(organisation)
    services = found.parameters.services if found else ()
    return next((item.pool for item in services if item.service == service), None)


def _run_key(core: Core, job: Job) -> str:
    # Organisations made from one template run the same services, so what one teaches
    # holds for the next.
    organisation = core.get(FLEET_LOG).state.organisations.get(job.organisation)
    template = organisation.template if organisation else job.organisation
    return f"{template}/{job.service}"


def _always(name: str) -> bool:
    return True
