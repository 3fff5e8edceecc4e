"""Test what a job's starts come to that are sent to workers that are gone."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio
import pytest
from anyio.abc import TaskGroup

from mustardward.components.dispatch.dispatcher import Dispatcher
from mustardward.components.ledger.models import JobState
from mustardward.components.scheduling.losses import LossCause
from mustardward.components.scheduling.models import Phase, QueuePolicy, Task
from mustardward.components.scheduling.scheduler import Scheduler
from mustardward.helpers.timer import DrivenTimerService
from mustardward.platform.exceptions import CallUnknownError, WrongIncarnationError
from mustardward.platform.workers import (
    HoldAnswer,
    RunningTask,
    StartAnswer,
    StartOrder,
    TaskName,
)

from ..scheduling.builders import JOB, POOL, a_job, a_step, an_entry

pytestmark = pytest.mark.anyio

RACK = ("w1", "w2", "w3")
"""Workers of the rack with most room, where a job finds its home."""
OTHER = "w4"
IDLE_SECONDS = 3.0
UNLISTED_SECONDS = 0.5


class _Worker:
    """Play a worker that may be gone.

    :param gone: what a call meets once it is gone.
    :param deadly: whether a start ends it before it is answered.
    :param deaf: whether it leaves starts alone unanswered.
    """

    def __init__(self, timers: DrivenTimerService) -> None:
        self._timers = timers
        self.gone: Exception | None = None
        self.deadly = False
        self.deaf = False
        self.starts: list[TaskName] = []
        self.holds = 0
        self._runs: dict[TaskName, int] = {}

    async def async_start(self, order: StartOrder) -> StartAnswer:
        self._check()
        self.starts.append(order.task)
        if self.deaf:
            raise CallUnknownError("timeout")
        if self.deadly:
            self.gone = CallUnknownError("timeout")
            raise self.gone
        self._runs[order.task] = order.run
        return StartAnswer(self._clock(), "")

    async def async_hold(self, *_: object) -> HoldAnswer:
        self._check()
        self.holds += 1
        rows = [RunningTask(t, run, "", 50.0, 0.0) for t, run in self._runs.items()]
        return HoldAnswer(self._clock(), rows, [])

    async def async_stop(self, task: TaskName, run: int) -> None:
        self._check()
        self._runs.pop(task, None)

    def _check(self) -> None:
        if self.gone is not None:
            raise self.gone

    def _clock(self) -> float:
        return 1000 * self._timers.monotonic()


class GoneBench:
    """Hold an owner's dispatcher and four workers, three of them in one rack."""

    def __init__(self, tasks: TaskGroup) -> None:
        self.timers = DrivenTimerService()
        self.scheduler = Scheduler(2, lambda queue: QueuePolicy(service=POOL))
        self.workers = {name: _Worker(self.timers) for name in (*RACK, OTHER)}
        self.dispatcher = Dispatcher(
            None,  # type: ignore[arg-type]
            self.scheduler,
            self.timers,
            tasks,
            2,
            lambda: None,
            lambda: None,
            lambda: True,
        )
        for name in self.workers:
            rack = "r1" if name in RACK else "r2"
            entry = an_entry(labels=["a", rack], zone="z")
            self.dispatcher.update_worker(name, entry)
            session = self.dispatcher.sessions[name]
            session.client = self.workers[name]  # type: ignore[assignment]

    def add(self, count: int = 1) -> None:
        """Hand in a job that may start at once."""
        job = a_job(a_step(count=count))
        self.scheduler.add_job(job, self.timers.monotonic(), 0.0)
        self.scheduler.mark_stored([JOB])

    def lose_rack(self, gone: Exception) -> None:
        """Let the workers of the rack be gone."""
        for name in RACK:
            self.workers[name].gone = gone

    def task(self) -> Task:
        found = self.scheduler.state.find_task(TaskName(JOB, 0, 0, 0))
        assert found is not None
        return found

    async def async_pass(self, seconds: float) -> None:
        """Let time pass; the list tells of workers that fell silent."""
        for _ in range(round(seconds / 0.05)):
            now = self.timers.monotonic()
            commands = self.scheduler.plan(now, 0.0)
            self.scheduler.mark_stored(
                job_id for job_id, _ in self.scheduler.take_dirty(now, 0.0)
            )
            self.dispatcher.orders.execute(commands)
            await anyio.wait_all_tasks_blocked()
            await self.timers.async_advance(0.05)
            await anyio.wait_all_tasks_blocked()
            for name, session in list(self.dispatcher.sessions.items()):
                since = session.silent_since
                if session.gone or since is None:
                    continue
                if self.timers.monotonic() - since > UNLISTED_SECONDS:
                    self.dispatcher.remove_worker(name, LossCause.UNLISTED)


@asynccontextmanager
async def a_bench() -> AsyncIterator[GoneBench]:
    """Yield a bench all of whose workers answered, and nothing runs on any."""
    async with anyio.create_task_group() as tasks:
        bench = GoneBench(tasks)
        await bench.async_pass(IDLE_SECONDS)
        yield bench
        tasks.cancel_scope.cancel()


@pytest.mark.parametrize(
    "gone",
    [WrongIncarnationError("other"), CallUnknownError("timeout")],
    ids=["replaced", "silent"],
)
async def test_a_sound_job_is_not_given_up_for_workers_that_were_gone(
    gone: Exception,
) -> None:
    """A job whose starts met only workers gone before was shown as failed."""
    async with a_bench() as bench:
        bench.lose_rack(gone)
        bench.add()
        await bench.async_pass(6.0)
        assert bench.scheduler.state.jobs[JOB].state is JobState.RUNNING
        assert bench.task().phase is Phase.RUNNING
        assert bench.task().crashes == ()


async def test_a_job_that_crashes_idle_workers_before_they_answer_is_given_up() -> None:
    """A task that ends each worker before it answers is started three times."""
    async with a_bench() as bench:
        for worker in bench.workers.values():
            worker.deadly = True
        bench.add()
        await bench.async_pass(12.0)
        assert sum(len(worker.starts) for worker in bench.workers.values()) == 3


async def test_an_idle_worker_is_asked_once_before_many_starts() -> None:
    """Each start on a worker that slept was held up by a look of its own."""
    async with a_bench() as bench:
        asked = {n: w.holds for n, w in bench.workers.items()}
        bench.add(count=6)
        bench.dispatcher.orders.execute(
            bench.scheduler.plan(bench.timers.monotonic(), 0.0)
        )
        await anyio.wait_all_tasks_blocked()
        used = {n: w for n, w in bench.workers.items() if w.starts}
        assert sum(len(worker.starts) for worker in used.values()) == 6
        assert {n: w.holds - asked[n] for n, w in used.items()} == dict.fromkeys(
            used, 1
        )


@pytest.mark.parametrize("heard_seconds", [0.1, 0.4, 0.8, 1.2])
@pytest.mark.parametrize(
    "gone",
    [WrongIncarnationError("other"), CallUnknownError("timeout")],
    ids=["replaced", "silent"],
)
async def test_a_sound_job_is_not_given_up_for_a_rack_that_was_just_heard(
    gone: Exception, heard_seconds: float
) -> None:
    """A rack that dies within a moment of its last answers convicted a sound job."""
    async with a_bench() as bench:
        for name in bench.workers:
            bench.dispatcher.sessions[name].ask()
        await bench.async_pass(heard_seconds)
        bench.lose_rack(gone)
        bench.add()
        await bench.async_pass(6.0)
        assert bench.scheduler.state.jobs[JOB].state is JobState.RUNNING
        assert len(bench.task().crashes) <= 1


async def test_a_task_whose_start_is_not_answered_goes_elsewhere() -> None:
    """A task was given for ever to a worker that answers all calls but its starts."""
    async with a_bench() as bench:
        bench.workers["w1"].deaf = True
        bench.add()
        await bench.async_pass(2.0)
        assert len(bench.workers["w1"].starts) == 1
        assert bench.task().phase is Phase.RUNNING
