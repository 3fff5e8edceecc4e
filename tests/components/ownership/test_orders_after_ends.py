"""Test that ends of runs are stored before an order ends their worker."""

from __future__ import annotations

from typing import Any

import anyio
import msgspec
import pytest

from mustardward.components.ledger.const import KEY_OWNER, PREFIX_PROGRESS, TOPIC
from mustardward.components.ledger.ledger import encode
from mustardward.components.ledger.models import JobState, OwnerRecord, Progress
from mustardward.components.ownership.authority import Authority
from mustardward.components.ownership.owner import Owner
from mustardward.helpers.timer import DrivenTimerService
from mustardward.platform.exceptions import CallRefusedError
from mustardward.platform.fleet import FleetPage
from mustardward.platform.models import Instance, MaintenanceWave, Room
from mustardward.platform.store import KeyedRecord, Producer
from mustardward.standin.estate.store import MemoryStore
from mustardward.standin.estate.worker import Workload

from ..fleet.builders import POOL, an_instance
from ..fleet.live_workers import EPOCH, LiveWorker
from ..scheduling.builders import JOB, a_job, a_step, an_entry
from .builders import build_dependencies

pytestmark = pytest.mark.anyio

STEP_SECONDS = 0.05
RUN_SECONDS = 1.0
INSTANCES = 4
_PROGRESS = msgspec.msgpack.Decoder(Progress)


class AwayStore(MemoryStore):
    """Simulate a store that refuses appends while it is away."""

    away = False

    async def async_append(
        self, topic: str, records: Any, producer: Producer | None = None, **_: Any
    ) -> int:
        if self.away:
            raise CallRefusedError("status=503")
        await anyio.lowlevel.checkpoint()
        return self.append(topic, list(records), producer)

    def is_done(self) -> bool:
        """Return whether the log contains that the job is done."""
        records = self.records_from(TOPIC, 0)
        stored = [r.value for r in records if r.key == PREFIX_PROGRESS + JOB]
        return bool(stored) and _PROGRESS.decode(stored[-1]).state is JobState.DONE


class Platform:
    """List the instances, and note for each order whether the job's end was stored."""

    def __init__(self, store: AwayStore, instances: list[Instance]) -> None:
        self.done_at_orders: list[bool] = []
        self._store = store
        self._instances = instances

    async def async_fetch_page(self, token: str = "") -> FleetPage:
        return FleetPage(self._instances, True, "")

    async def async_maintain(self, machine: str, wave: int, token: int) -> None:
        self.done_at_orders.append(self._store.is_done())


class OwnerWithWorkers:
    """Provide an owner whose workers each run one task of a job, and a wave."""

    def __init__(self) -> None:
        self.timers = DrivenTimerService()
        self.store = AwayStore()
        record = OwnerRecord(EPOCH, "c", "node-1", 0, self.timers.wall())
        self.store.append(TOPIC, [(KEY_OWNER, encode(record))])
        names = [f"i-{number:02d}" for number in range(INSTANCES)]
        rows = [an_instance(number) for number in range(INSTANCES)]
        self.platform = Platform(self.store, rows)
        dependencies = build_dependencies(
            "node-1", self.store, self.timers, fleet=self.platform
        )
        dependencies.ledger.apply(KeyedRecord(0, KEY_OWNER, encode(record)))
        wave = MaintenanceWave(1, [row.machine for row in rows], 5.0, INSTANCES)
        dependencies.configuration.waves[1] = wave
        previous = OwnerRecord(EPOCH - 1, "", "", 0)
        authority = Authority(self.timers.boottime, self.timers.boottime())
        self.owner = Owner(dependencies, EPOCH, "c", previous, authority)
        self.workers = {name: LiveWorker(name, self.timers) for name in names}
        workload = Workload(Room(1000, 100), RUN_SECONDS)
        for worker in self.workers.values():
            worker.process.workloads[f"{JOB}.0"] = workload

    def connect(self) -> None:
        """Open the sessions with the workers, and submit the job."""
        assert self.owner.dispatcher is not None
        for name, worker in self.workers.items():
            self.owner.dispatcher.update_worker(name, an_entry(service=POOL))
            session = self.owner.dispatcher.sessions[name]
            session.client = worker  # type: ignore[assignment]
        now, wall = self.timers.monotonic(), self.timers.wall()
        step = a_step(count=INSTANCES, max_per_server=1)
        self.owner.scheduler.add_job(a_job(step), now, wall)
        self.owner.request_work()

    def write(self) -> None:
        """Let the owner begin an append."""
        state = self.owner.scheduler.state
        state.mark_dirty(state.jobs[JOB])
        self.owner.request_work()

    def running(self) -> int:
        """Return how many tasks run."""
        return sum(len(worker.running()) for worker in self.workers.values())

    async def async_advance_time(self, seconds: float) -> None:
        for _ in range(round(seconds / STEP_SECONDS)):
            await anyio.wait_all_tasks_blocked()
            await self.timers.async_advance(STEP_SECONDS)
        await anyio.wait_all_tasks_blocked()


async def test_ends_are_stored_before_their_worker_is_maintained() -> None:
    """Guard against a job that runs again, as only the owner knew that it was done.

    The store is away for a moment while tasks end. The append that is repeated until
    it is back contains no ends, and the announcement of an order is queued behind it.
    """
    harness = OwnerWithWorkers()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(harness.owner.async_run)
        await harness.async_advance_time(0.2)
        harness.connect()
        await harness.async_advance_time(0.6)
        assert harness.running() == INSTANCES
        harness.store.away = True
        harness.write()
        await harness.async_advance_time(1.2)
        assert not harness.running()
        harness.store.away = False
        await harness.async_advance_time(3.0)
        tasks.cancel_scope.cancel()
    assert harness.store.is_done()
    assert harness.platform.done_at_orders
    assert all(harness.platform.done_at_orders)
