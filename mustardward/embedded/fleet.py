"""Start the platform's stand-ins, workers and entries on one loop."""

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

MakeTimers = Callable[[TaskGroup], TimerService]

READY_SECONDS: Final = 20.0
_STEP_SECONDS: Final = 0.05


@asynccontextmanager
async def async_run_fleet(
    plan: FleetPlan, timers: TimerService, make_timers: MakeTimers | None = None
) -> AsyncIterator[RunningFleet]:
    """Run a fleet inside the block; every entry is ready when it begins.

    :param timers: clock of the stand-ins.
    :param make_timers: gives each entry its clock; real time if left out.
    :raises NotReadyError: if the entries do not get ready.
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
            fleet.planned[planned.instance_id] = planned
            fleet.workers[planned.instance_id] = await stack.enter_async_context(
                async_run_worker(timers, options, platform.url)
            )
        for data_centre in plan.data_centres:
            for number in range(plan.entries):
                name = f"{data_centre}-{number + 1}"
                settings = _settings(fleet, name, data_centre)
                core = await stack.enter_async_context(
                    async_run_entry(settings, make_timers or loop_timers)
                )
                fleet.entries[name] = core
                _list(fleet, core)
        await async_until(timers, lambda: _ready(fleet), READY_SECONDS)
        yield fleet


@asynccontextmanager
async def async_run_entry(
    settings: Settings, make_timers: MakeTimers
) -> AsyncIterator[Core]:
    """Run one entry inside the block; it leaves gracefully at its end."""
    async with anyio.create_task_group() as tasks:
        core = Core(settings, make_timers(tasks), tasks)
        unloads = await async_setup_entry(core)
        try:
            yield core
        finally:
            with anyio.CancelScope(shield=True):
                for unload in unloads:
                    await unload()
            tasks.cancel_scope.cancel()


def loop_timers(tasks: TaskGroup) -> TimerService:
    """Return a clock that keeps real time."""
    timers = LoopTimerService(tasks)
    timers.start()
    return timers


async def async_until(
    timers: TimerService, condition: Callable[[], bool], seconds: float
) -> None:
    """Wait for a condition.

    :raises NotReadyError: if it does not hold within ``seconds``.
    """
    deadline = timers.monotonic() + seconds
    while not condition():
        if timers.monotonic() > deadline:
            raise NotReadyError(f"waited_seconds={seconds:g}")
        await timers.async_sleep(_STEP_SECONDS)


def caller_url(core: Core) -> str:
    """Return where an entry takes callers' requests."""
    listener = core.get(DRAIN).listener
    return f"http://{listener.host}:{listener.port}"


def operator_url(core: Core) -> str:
    """Return where an entry takes operators' calls."""
    listener = core.get(API)
    return f"http://{listener.host}:{listener.port}"


def _settings(fleet: RunningFleet, name: str, data_centre: str) -> Settings:
    return Settings(
        entry=EntryIdentity(name=name, data_centre=data_centre, leaving_seconds=0.2),
        callers=Listener(port=0),
        peers=tuple(_seed(core) for core in fleet.entries.values()),
        platform=PlatformSettings(url=fleet.platform.url),
    )


def _list(fleet: RunningFleet, core: Core) -> None:
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


def _seed(core: Core) -> PeerAddress:
    own = core.get(MEMBERSHIP).own
    host, _, port = own.address.rpartition(":")
    return PeerAddress(
        name=own.name, data_centre=own.data_centre, host=host, port=int(port)
    )


def _ready(fleet: RunningFleet) -> bool:
    return all(
        core.get(FLEET_LOG).ready
        and len(core.get(MEMBERSHIP).live()) == len(fleet.entries)
        for core in fleet.entries.values()
    )
