"""Connect the real fleet management of an owner to the machines of a walk."""

from __future__ import annotations

from collections.abc import Callable
from types import SimpleNamespace
from typing import Any, Final

import anyio
import msgspec
from anyio.abc import TaskGroup

from mustardward.components.dispatch.dispatcher import Dispatcher
from mustardward.components.fleet.instance_list import InstanceListReader
from mustardward.components.fleet.models import Maintain
from mustardward.components.fleet.order_executor import OrderOutcome
from mustardward.components.fleet.services import Fleet
from mustardward.components.fleet.wave_planner import WavePlanner
from mustardward.components.ledger.const import PREFIX_WAVE
from mustardward.components.ledger.models import WaveRecord
from mustardward.components.scheduling.scheduler import Scheduler
from mustardward.platform.exceptions import CallRefusedError
from mustardward.platform.fleet import FleetPage

from .liveness_world import World

READS_PER_SECOND: Final = 30.0
CALL_SECONDS: Final = 0.004
UPKEEP_SECONDS: Final = 2.0


class ModelList:
    """Simulate the platform's list of instances.

    :param is_available: returns whether the platform answers.
    """

    def __init__(self, world: World, is_available: Callable[[], bool]) -> None:
        self._world = world
        self._is_available = is_available

    async def async_fetch_page(self, token: str = "") -> FleetPage:
        await anyio.sleep(CALL_SECONDS)
        if not self._is_available():
            raise CallRefusedError("status=503")
        return FleetPage(self._world.list_instances(), True, "")


class ModelExecutor:
    """Simulate the platform's orders; some of them are refused during faults."""

    def __init__(self, world: World) -> None:
        self._world = world

    async def async_execute(self, order: Maintain) -> OrderOutcome:
        await anyio.sleep(CALL_SECONDS)
        if self._world.faults_enabled and self._world.rng.random() < 0.1:
            return OrderOutcome.REFUSED
        self._world.begin_upkeep(order.machine)
        return OrderOutcome.BEGUN


def build_fleet(
    world: World,
    scheduler: Scheduler,
    dispatcher: Dispatcher,
    timers: Any,
    tasks: TaskGroup,
    is_list_available: Callable[[], bool],
    authorised: Callable[[], bool],
) -> Fleet:
    """Return the fleet management of one owner, without moves between pools.

    Waves and their progress outlive the owner.
    """

    def store(records: list[tuple[str, bytes]], until: float) -> None:
        for key, body in records:
            record = msgspec.msgpack.decode(body, type=WaveRecord)
            world.wave_records[key.removeprefix(PREFIX_WAVE)] = record

    client: Any = ModelList(world, is_list_available)
    executor: Any = ModelExecutor(world)
    stub: Any = SimpleNamespace
    return Fleet(
        InstanceListReader(client, timers, READS_PER_SECOND),
        executor,
        {},
        timers,
        scheduler,
        dispatcher,
        stub(standby_pools=lambda: [], config=None, waves=world.waves, is_loaded=True),
        stub(waves=world.wave_records),
        stub(post=store),
        WavePlanner(UPKEEP_SECONDS),
        stub(report=lambda view, now: []),
        stub(decide=lambda *_: [], orders={}, needs={}),
        authorised,
        tasks,
    )
