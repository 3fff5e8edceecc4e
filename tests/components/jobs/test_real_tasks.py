"""Test jobs against the task table of the stand-in worker."""

from __future__ import annotations

from typing import Any

import anyio.lowlevel
import pytest

from mustardward.components.jobs.const import LEASE_SECONDS
from mustardward.exceptions import PlatformUnavailableError
from mustardward.helpers.timer import TimerService
from mustardward.standin.protocol.models import TaskOrder, TaskReport
from mustardward.standin.tasks import TaskTable
from tests.fakes.jobs_world import JobsWorld

pytestmark = pytest.mark.anyio

PAYLOAD = b'{"run_seconds": 40.0, "result": "cast"}'


class TableWorkers:
    """Pass a worker client's calls directly to task tables."""

    def __init__(self, timers: TimerService, names: list[str]) -> None:
        self._timers = timers
        self.tables = {name: TaskTable() for name in names}
        self.down: set[str] = set()

    def advance(self) -> None:
        for table in self.tables.values():
            table.active(self._timers.monotonic())

    def runs(self, task_id: str) -> list[str]:
        """Return the outcomes of a task's runs on all workers, ordered by start."""
        now = self._timers.monotonic()
        runs = [run for table in self.tables.values() for run in table.runs(now)]
        runs.sort(key=lambda run: run.start)
        return [run.outcome for run in runs if run.task_id == task_id]

    async def async_start(self, address: str, order: TaskOrder) -> TaskReport:
        return await self._async_call("start", address, order)

    async def async_report(self, address: str, task_id: str) -> TaskReport:
        return await self._async_call("report", address, task_id)

    async def async_renew(
        self, address: str, task_id: str, generation: int, lease_seconds: float
    ) -> TaskReport:
        return await self._async_call(
            "renew", address, task_id, generation, lease_seconds
        )

    async def async_checkpoint(
        self, address: str, task_id: str, generation: int
    ) -> TaskReport:
        return await self._async_call("checkpoint", address, task_id, generation)

    async def async_throttle(
        self, address: str, task_id: str, generation: int
    ) -> TaskReport:
        return await self._async_call("throttle", address, task_id, generation)

    async def async_stop(
        self, address: str, task_id: str, generation: int
    ) -> TaskReport:
        return await self._async_call("stop", address, task_id, generation)

    async def _async_call(self, name: str, address: str, *values: Any) -> TaskReport:
        await anyio.lowlevel.checkpoint()
        if address in self.down:
            raise PlatformUnavailableError(address)
        call = getattr(self.tables[address], name)
        report: TaskReport = call(*values, self._timers.monotonic())
        return report


def build_world() -> tuple[JobsWorld, TableWorkers]:
    world = JobsWorld(workers_count=2, slots=1)
    workers = TableWorkers(world.timers, list(world.workers.at))
    world.workers = workers
    return world, workers


@pytest.mark.parametrize("idempotent", [True, False])
async def test_a_task_is_taken_over_checkpointed_and_resumed(idempotent: bool) -> None:
    world, workers = build_world()
    a = world.add_entry("a")
    job_id = await world.async_submit(a, "plan", payload=PAYLOAD, idempotent=idempotent)
    await world.async_run(10)
    b = world.add_entry("b")
    world.remove_entry("a")
    await world.async_run(10)
    assert await b.service.async_free_slots("casting", 1) == 1
    await world.async_run(40)
    view = b.service.status(job_id).unwrap()
    assert (view.status, view.result, view.attempts) == ("done", b"cast", 2)
    assert workers.runs(job_id) == ["checkpointed", "done"]


async def test_an_expired_lease_restarts_only_an_idempotent_job() -> None:
    world, workers = build_world()
    entry = world.add_entry("a")
    payload = PAYLOAD.replace(b"40.0", b"200.0")
    jobs = [
        await world.async_submit(entry, name, payload=payload, idempotent=idempotent)
        for name, idempotent in (("again", True), ("once", False))
    ]
    await world.async_run(3)
    entry.frozen = True
    await world.async_run(LEASE_SECONDS + 5)
    entry.frozen = False
    world.timers.pause(0.0)
    await world.async_run(250)
    statuses = [entry.service.status(job_id).unwrap().status for job_id in jobs]
    assert statuses == ["done", "held"]
    assert workers.runs(jobs[0]) == ["lease-lapsed", "done"]
    assert workers.runs(jobs[1]) == ["lease-lapsed"]


async def test_a_cancelled_task_stops_on_its_worker() -> None:
    world, workers = build_world()
    entry = world.add_entry("a")
    job_id = await world.async_submit(entry, "plan", payload=PAYLOAD)
    await world.async_run(3)
    await entry.service.async_cancel("derwent", job_id, "", "operator")
    await world.async_run(2)
    assert workers.runs(job_id) == ["stopped"]
