"""Assemble the job component of a process."""

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
from ..retries.key_locator import incarnation_name
from ..routing.models import WorkerBusy
from .attempt_manager import AttemptManager
from .attempt_statistics import AttemptStatistics
from .const import TICK_SECONDS
from .holder_liveness import HolderLiveness
from .metrics import subscribe_metrics
from .pool_view import PoolIndex
from .scheduler import JobScheduler
from .services import LogJobService
from .slot_demand import SlotDemand
from .slot_reclaimer import SlotReclaimer


async def async_setup_jobs(core: Core) -> Unload:
    """Publish the job service, start its ticks and return the unload function."""
    scheduler = _build_scheduler(core)
    reclaimer = SlotReclaimer(
        scheduler, core.timers, core.find(MEMBERSHIP), core.find(PEERS)
    )
    service = LogJobService(
        log=core.get(WORK_LOG),
        fleet=core.get(FLEET_LOG),
        pools=scheduler.pools,
        scheduler=scheduler,
        reclaimer=reclaimer,
        generate_id=lambda: uuid4().hex,
    )
    core.put(JOBS, service)
    undo = _subscribe(core, scheduler, reclaimer)

    async def async_unload() -> None:
        core.remove(JOBS)
        for unsubscribe in reversed(undo):
            unsubscribe()

    return async_unload


def _build_scheduler(core: Core) -> JobScheduler:
    entry = core.settings.entry
    fleet = core.get(FLEET_LOG)
    membership = core.find(MEMBERSHIP)
    incarnation = membership.own.incarnation if membership else 0
    identity = incarnation_name(entry.name, incarnation)
    is_eligible = membership.is_instance_eligible if membership else _always_true
    pools = PoolIndex(fleet, entry.data_centre, is_eligible)
    attempt_manager = AttemptManager(
        log=core.get(WORK_LOG),
        workers=core.get(WORKER_SERVICE),
        timers=core.timers,
        identity=identity,
        is_usable=pools.is_usable,
        statistics=AttemptStatistics(core.timers, lambda job: _run_time_key(core, job)),
    )
    return JobScheduler(
        log=core.get(WORK_LOG),
        attempt_manager=attempt_manager,
        pools=pools,
        timers=core.timers,
        owns_duty=membership.owns_duty if membership else _always_true,
        is_holder_live=HolderLiveness(core.timers, membership, identity).is_live,
        random=Random(identity),
    )


def _subscribe(
    core: Core, scheduler: JobScheduler, reclaimer: SlotReclaimer
) -> list[Callable[[], None]]:
    demand = SlotDemand(
        reclaimer=reclaimer,
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
        feeds = subscribe_metrics(
            metrics, core.get(WORK_LOG), scheduler.attempt_manager
        )
    return [
        *feeds,
        reclaimer.start(),
        core.get(WORK_LOG).listen(scheduler.on_record),
        timers.subscribe("jobs.tick", TICK_SECONDS, scheduler.async_tick),
        timers.subscribe_pause(scheduler.attempt_manager.on_pause),
        core.events.listen(SlotReclaimRequested, demand.on_reclaim_requested),
        core.events.listen(WorkerBusy, demand.on_busy),
        core.events.listen(RequestFinished, demand.on_finished),
        core.events.listen(InstanceLeaving, on_leaving),
    ]


def _pool_of(core: Core, organisation: str, service: str) -> str | None:
    found = core.get(FLEET_LOG).state.organisations.get(organisation)
    services = found.parameters.services if found else ()
    return next((item.pool for item in services if item.service == service), None)


def _run_time_key(core: Core, job: Job) -> str:
    # Organisations created from one template run the same services, so run times are
    # shared between them.
    organisation = core.get(FLEET_LOG).state.organisations.get(job.organisation)
    template = organisation.template if organisation else job.organisation
    return f"{template}/{job.service}"


def _always_true(name: str) -> bool:
    return True
