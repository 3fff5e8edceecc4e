"""Run the simulated platform, workers and entries on one event loop."""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from typing import Final

import anyio
from anyio.abc import TaskGroup

from ..app import async_setup_entry
from ..components.keys import API, DRAIN, FLEET_LOG, MEMBERSHIP
from ..core import Core
from ..exceptions import NotReadyError
from ..helpers.timer import LoopTimerService, TimerService
from ..settings.models import (
    EntryIdentity,
    Listener,
    PeerAddress,
    PlatformSettings,
    Settings,
)
from ..standin.platform import async_run_platform
from ..standin.protocol.models import ListedInstance, ListedState
from ..standin.worker import WorkerOptions
from ..standin.worker_app import async_run_worker
from .models import FleetPlan, RunningFleet, plan_workers

TimersFactory = Callable[[TaskGroup], TimerService]

READY_SECONDS: Final = 20.0
_POLL_SECONDS: Final = 0.05


@asynccontextmanager
async def async_run_fleet(
    plan: FleetPlan, timers: TimerService, timers_factory: TimersFactory | None = None
) -> AsyncIterator[RunningFleet]:
    """Run a fleet until the block ends, and yield it once all entries are ready.

    :param timers: clock of the simulated platform and workers.
    :param timers_factory: creates the clock of each entry; default real time.
    :raises NotReadyError: if the entries are not ready in time.
    """
    async with AsyncExitStack() as stack:
        platform = await stack.enter_async_context(
            async_run_platform(timers, plan.platform)
        )
        fleet = RunningFleet(plan, platform)
        for planned in plan_workers(plan):
            options = WorkerOptions(
                planned.instance_id, planned.data_centre, planned.rack, plan.slots
            )
            fleet.planned_workers[planned.instance_id] = planned
            fleet.workers[planned.instance_id] = await stack.enter_async_context(
                async_run_worker(timers, options, platform.url)
            )
        for data_centre in plan.data_centres:
            for number in range(plan.entries):
                name = f"{data_centre}-{number + 1}"
                settings = _build_settings(fleet, name, data_centre)
                core = await stack.enter_async_context(
                    async_run_entry(settings, timers_factory or create_loop_timers)
                )
                fleet.entries[name] = core
                _add_to_listing(fleet, core)
        await async_until(timers, lambda: _is_ready(fleet), READY_SECONDS)
        yield fleet


@asynccontextmanager
async def async_run_entry(
    settings: Settings, timers_factory: TimersFactory
) -> AsyncIterator[Core]:
    """Run one entry until the block ends, then shut it down gracefully."""
    async with anyio.create_task_group() as tasks:
        core = Core(settings, timers_factory(tasks), tasks)
        unloads = await async_setup_entry(core)
        try:
            yield core
        finally:
            with anyio.CancelScope(shield=True):
                for unload in unloads:
                    await unload()
            tasks.cancel_scope.cancel()


def create_loop_timers(tasks: TaskGroup) -> TimerService:
    """Return a started real-time clock."""
    timers = LoopTimerService(tasks)
    timers.start()
    return timers


async def async_until(
    timers: TimerService, condition: Callable[[], bool], seconds: float
) -> None:
    """Wait until a condition is true.

    :raises NotReadyError: if it is not true within ``seconds``.
    """
    deadline = timers.monotonic() + seconds
    while not condition():
        if timers.monotonic() > deadline:
            raise NotReadyError(f"waited_seconds={seconds:g}")
        await timers.async_sleep(_POLL_SECONDS)


def caller_url(core: Core) -> str:
    """Return the base URL of an entry for callers' requests."""
    listener = core.get(DRAIN).listener
    return f"http://{listener.host}:{listener.port}"


def operator_url(core: Core) -> str:
    """Return the base URL of an entry for operators' calls."""
    listener = core.get(API)
    return f"http://{listener.host}:{listener.port}"


def _build_settings(fleet: RunningFleet, name: str, data_centre: str) -> Settings:
    return Settings(
        entry=EntryIdentity(name=name, data_centre=data_centre, leaving_seconds=0.2),
        callers=Listener(port=0),
        peers=tuple(_build_peer_address(core) for core in fleet.entries.values()),
        platform=PlatformSettings(url=fleet.platform.url),
    )


def _add_to_listing(fleet: RunningFleet, core: Core) -> None:
    own = core.get(MEMBERSHIP).own
    fleet.platform.platform.listing.put(
        ListedInstance(
            instance_id=own.name,
            kind="entry",
            data_centre=own.data_centre,
            rack=f"{own.data_centre}-entries",
            address=own.address,
            state=ListedState.LIVE,
            boot=1,
        )
    )


def _build_peer_address(core: Core) -> PeerAddress:
    own = core.get(MEMBERSHIP).own
    host, _, port = own.address.rpartition(":")
    return PeerAddress(
        name=own.name, data_centre=own.data_centre, host=host, port=int(port)
    )


def _is_ready(fleet: RunningFleet) -> bool:
    return all(
        core.get(FLEET_LOG).ready
        and len(core.get(MEMBERSHIP).live()) == len(fleet.entries)
        for core in fleet.entries.values()
    )
