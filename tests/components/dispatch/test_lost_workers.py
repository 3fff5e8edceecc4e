"""Test the effect on a job of starts that are sent to lost workers."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio
import pytest
from anyio.abc import TaskGroup

from mustardward.components.ledger.models import JobState
from mustardward.components.scheduling.losses import LossCause
from mustardward.components.scheduling.models import Phase, QueuePolicy, Task
from mustardward.components.scheduling.scheduler import Scheduler
from mustardward.helpers.timer import DrivenTimerService
from mustardward.platform.exceptions import CallUnknownError, WrongIncarnationError
from mustardward.platform.workers import (
    RunningTask,
    StartRequest,
    StartResponse,
    TaskName,
    WorkerReport,
)

from ..scheduling.builders import JOB, POOL, a_job, a_step, an_entry
from .builders import build_dispatcher

pytestmark = pytest.mark.anyio

RACK_WORKERS = ("w1", "w2", "w3")
"""Workers of the rack with most free capacity, where a job is placed."""
OTHER_RACK_WORKER = "w4"
IDLE_SECONDS = 3.0
UNLISTED_SECONDS = 0.5
MAX_STARTS = 20
"""Most starts of one task that a worker is sent which answers none."""


class _FakeWorker:
    """Simulate a worker that may be lost.

    :param failure: raised by each call once the worker is lost.
    :param crashes_on_start: whether a start crashes it before it answers.
    :param ignores_starts: whether it answers all calls but starts.
    """

    def __init__(self, timers: DrivenTimerService) -> None:
        self._timers = timers
        self.failure: Exception | None = None
        self.crashes_on_start = False
        self.ignores_starts = False
        self.starts: list[TaskName] = []
        self.polls = 0
        self._runs: dict[TaskName, int] = {}

    async def async_start(self, order: StartRequest) -> StartResponse:
        self._raise_failure()
        self.starts.append(order.task)
        if self.ignores_starts:
            raise CallUnknownError("timeout")
        if self.crashes_on_start:
            self.failure = CallUnknownError("timeout")
            raise self.failure
        self._runs[order.task] = order.run
        return StartResponse(self._clock(), "")

    async def async_poll(self, *_: object) -> WorkerReport:
        self._raise_failure()
        self.polls += 1
        runs = [RunningTask(t, run, "", 50.0, 0.0) for t, run in self._runs.items()]
        return WorkerReport(self._clock(), runs, [])

    async def async_stop(self, task: TaskName, run: int) -> None:
        self._raise_failure()
        self._runs.pop(task, None)

    def _raise_failure(self) -> None:
        if self.failure is not None:
            raise self.failure

    def _clock(self) -> float:
        return 1000 * self._timers.monotonic()


class LostWorkersHarness:
    """Provide an owner's dispatcher and four workers, three of them in one rack."""

    def __init__(self, tasks: TaskGroup) -> None:
        self.timers = DrivenTimerService()
        self.scheduler = Scheduler(2, lambda queue: QueuePolicy(service=POOL))
        self.workers = {
            name: _FakeWorker(self.timers)
            for name in (*RACK_WORKERS, OTHER_RACK_WORKER)
        }
        self.dispatcher = build_dispatcher(self.scheduler, self.timers, tasks)
        for name in self.workers:
            rack = "r1" if name in RACK_WORKERS else "r2"
            entry = an_entry(labels=["a", rack], zone="z")
            self.dispatcher.update_worker(name, entry)
            session = self.dispatcher.sessions[name]
            session.client = self.workers[name]  # type: ignore[assignment]

    def add(self, count: int = 1) -> None:
        """Submit a job that may start at once."""
        job = a_job(a_step(count=count))
        self.scheduler.add_job(job, self.timers.monotonic(), 0.0)
        self.scheduler.mark_stored([JOB])

    def lose_rack(self, failure: Exception) -> None:
        """Make all calls to the workers of the rack fail."""
        for name in RACK_WORKERS:
            self.workers[name].failure = failure

    def task(self) -> Task:
        found = self.scheduler.state.find_task(TaskName(JOB, 0, 0, 0))
        assert found is not None
        return found

    async def async_advance_time(self, seconds: float) -> None:
        """Advance the time; report unresponsive workers as missing from the list."""
        for _ in range(round(seconds / 0.05)):
            now = self.timers.monotonic()
            commands = self.scheduler.plan(now, 0.0)
            self.scheduler.mark_stored(
                job_id for job_id, _ in self.scheduler.take_dirty(now, 0.0)
            )
            self.dispatcher.executor.execute(commands)
            await anyio.wait_all_tasks_blocked()
            await self.timers.async_advance(0.05)
            await anyio.wait_all_tasks_blocked()
            for name, session in list(self.dispatcher.sessions.items()):
                since = session.unresponsive_since
                if session.closed or since is None:
                    continue
                if self.timers.monotonic() - since > UNLISTED_SECONDS:
                    self.dispatcher.remove_worker(name, LossCause.UNLISTED)


@asynccontextmanager
async def a_harness() -> AsyncIterator[LostWorkersHarness]:
    """Yield a harness whose workers have all answered and are idle."""
    async with anyio.create_task_group() as tasks:
        harness = LostWorkersHarness(tasks)
        await harness.async_advance_time(IDLE_SECONDS)
        yield harness
        tasks.cancel_scope.cancel()


@pytest.mark.parametrize(
    "failure",
    [WrongIncarnationError("other"), CallUnknownError("timeout")],
    ids=["replaced", "unresponsive"],
)
async def test_job_does_not_fail_because_of_workers_lost_before(
    failure: Exception,
) -> None:
    """Guard against a job that fails although its starts met only lost workers."""
    async with a_harness() as harness:
        harness.lose_rack(failure)
        harness.add()
        await harness.async_advance_time(6.0)
        assert harness.scheduler.state.jobs[JOB].state is JobState.RUNNING
        assert harness.task().phase is Phase.RUNNING
        assert harness.task().crashes == ()


async def test_job_that_crashes_idle_workers_on_start_is_given_up() -> None:
    """Check that a task that crashes each worker on start is started three times."""
    async with a_harness() as harness:
        for worker in harness.workers.values():
            worker.crashes_on_start = True
        harness.add()
        await harness.async_advance_time(12.0)
        assert sum(len(worker.starts) for worker in harness.workers.values()) == 3


async def test_idle_worker_is_polled_once_before_many_starts() -> None:
    """Guard against starts on an idle worker that each wait for a poll of their own."""
    async with a_harness() as harness:
        polls_before = {n: w.polls for n, w in harness.workers.items()}
        harness.add(count=6)
        harness.dispatcher.executor.execute(
            harness.scheduler.plan(harness.timers.monotonic(), 0.0)
        )
        await anyio.wait_all_tasks_blocked()
        used = {n: w for n, w in harness.workers.items() if w.starts}
        assert sum(len(worker.starts) for worker in used.values()) == 6
        assert {n: w.polls - polls_before[n] for n, w in used.items()} == dict.fromkeys(
            used, 1
        )


@pytest.mark.parametrize("answer_age_seconds", [0.1, 0.4, 0.8, 1.2])
@pytest.mark.parametrize(
    "failure",
    [WrongIncarnationError("other"), CallUnknownError("timeout")],
    ids=["replaced", "unresponsive"],
)
async def test_job_does_not_fail_because_of_rack_lost_after_its_last_answers(
    failure: Exception, answer_age_seconds: float
) -> None:
    """Guard against a job that is blamed for a rack lost right after its answers."""
    async with a_harness() as harness:
        for name in harness.workers:
            harness.dispatcher.sessions[name].request_identity()
        await harness.async_advance_time(answer_age_seconds)
        harness.lose_rack(failure)
        harness.add()
        await harness.async_advance_time(6.0)
        assert harness.scheduler.state.jobs[JOB].state is JobState.RUNNING
        assert len(harness.task().crashes) <= 1


async def test_task_with_unanswered_start_is_rescheduled_elsewhere() -> None:
    """Guard against a task that is sent forever to a worker that ignores starts."""
    async with a_harness() as harness:
        harness.workers["w1"].ignores_starts = True
        harness.add()
        await harness.async_advance_time(7.0)
        assert len(harness.workers["w1"].starts) <= MAX_STARTS
        assert harness.task().phase is Phase.RUNNING
