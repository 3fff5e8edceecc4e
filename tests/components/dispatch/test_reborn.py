"""Test workers that start again under the id that they had."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio
import pytest
from anyio.abc import TaskGroup

from mustardward.components.dispatch.dispatcher import Dispatcher
from mustardward.components.dispatch.session import WorkerSession
from mustardward.components.scheduling.losses import LossCause
from mustardward.components.scheduling.models import Phase, QueuePolicy, Task
from mustardward.components.scheduling.scheduler import Scheduler
from mustardward.helpers.timer import DrivenTimerService
from mustardward.platform.bodies import StartBody
from mustardward.platform.exceptions import CallUnknownError, WrongIncarnationError
from mustardward.platform.models import Room, SubmittedStep
from mustardward.platform.workers import (
    HoldAnswer,
    StartAnswer,
    StartOrder,
    TaskName,
    decode_ended,
    decode_running,
    encode_task,
)
from mustardward.standin.estate.worker import MemoryWorker, Work

from ..scheduling.builders import JOB, POOL, a_job, a_step, an_entry

pytestmark = pytest.mark.anyio

WORKER = "w1"
BORN = 1_700_000_000_000
ROOM = Room(8000, 8000)
LONGEST_LEASE = 10.0


class _Worker:
    """Play a worker that may start again, and whose answers may be lost or late.

    :param lose_starts: whether orders are left unanswered and not carried out yet.
    """

    def __init__(self, timers: DrivenTimerService) -> None:
        self._timers = timers
        self._zero = timers.monotonic() - 100.0
        self.work_of = {f"{JOB}.0": Work(Room(1000, 100), 0.5, lasts=True)}
        self.process = self._begin(BORN)
        self.dark = False
        self.lose_starts = False
        self.tells_born = True
        self.unanswered: list[StartOrder] = []
        self.seen: list[int] = []
        self.late_answers: list[HoldAnswer] = []

    @property
    def born(self) -> int:
        return self.process.born

    def restart(self, seconds_later: int = 30) -> None:
        """End the process and begin another one, whose clock begins anew."""
        self._zero = self._timers.monotonic() - 0.01
        self.process = self._begin(self.process.born + 1000 * seconds_later)

    def carry_out_late(self) -> list[str]:
        """Carry out the orders that were left unanswered; return the refusals."""
        return [self._start(order) for order in self.unanswered]

    async def async_start(self, order: StartOrder) -> StartAnswer:
        if self.dark:
            raise CallUnknownError("dark")
        if self.lose_starts:
            self.unanswered.append(order)
            raise CallUnknownError("no answer")
        reason = self._start(order)
        return StartAnswer(self._clock(), reason)

    async def async_stop(self, task: TaskName, run: int) -> None:
        if self.dark or self.lose_starts:
            raise CallUnknownError("dark")
        self.process.stop(encode_task(task), run, 2, self._clock())

    async def async_hold(
        self, seen_upto: int, deadline_ms: int | None, wait_ms: int
    ) -> HoldAnswer:
        if self.dark:
            raise CallUnknownError("dark")
        self.seen.append(seen_upto)
        body = self.process.hold(2, seen_upto, deadline_ms, self._clock())
        assert body is not None
        return HoldAnswer(
            body.clock_ms,
            [decode_running(row) for row in body.running],
            [decode_ended(row) for row in body.ended],
            body.born if self.tells_born else 0,
        )

    def _start(self, order: StartOrder) -> str:
        body = StartBody(
            encode_task(order.task), order.run, order.spec, order.deadline_ms, 2
        )
        return self.process.start(body, self._clock())

    def _begin(self, born: int) -> MemoryWorker:
        return MemoryWorker(WORKER, "m", POOL, ROOM, self.work_of, born=born)

    def _clock(self) -> float:
        return 1000 * (self._timers.monotonic() - self._zero)


class _Never:
    """Play a worker that has not answered yet."""

    async def async_hold(self, *_: object) -> HoldAnswer:
        await anyio.sleep_forever()
        raise AssertionError


class RebornBench:
    """Hold an owner's dispatcher and one worker, in driven time."""

    def __init__(self, tasks: TaskGroup) -> None:
        self.timers = DrivenTimerService()
        self.scheduler = Scheduler(2, lambda queue: QueuePolicy(service=POOL))
        self.worker = _Worker(self.timers)
        self.dispatcher = Dispatcher(
            None,  # type: ignore[arg-type]
            self.scheduler,
            self.timers,
            tasks,
            2,
            lambda: None,
            self._report,
            lambda: True,
            longest_lease_seconds=LONGEST_LEASE,
        )

    @property
    def session(self) -> WorkerSession:
        return self.dispatcher.sessions[WORKER]

    def _report(self) -> None:
        """Take every session's client for the worker's."""
        for session in self.dispatcher.sessions.values():
            session.client = self.worker  # type: ignore[assignment]

    def see(self, **changes: object) -> None:
        """Let the worker's entry be read."""
        entry = an_entry(**{"capacity": ROOM, "born": self.worker.born, **changes})
        self.dispatcher.update_worker(WORKER, entry)
        self._report()

    def add(self, step: SubmittedStep) -> None:
        """Hand a job in that may start at once."""
        now = self.timers.monotonic()
        self.scheduler.add_job(a_job(step), now, 0.0)
        self.scheduler.mark_stored([JOB])

    def task(self, index: int = 0) -> Task:
        found = self.scheduler.state.find_task(TaskName(JOB, 0, 0, index))
        assert found is not None
        return found

    def acknowledge(self) -> None:
        """Store what the worker listed."""
        self.session.acknowledge(self.session.listed_upto)

    async def async_pass(self, seconds: float, plans: bool = True) -> None:
        """Let time pass, planning all the while."""
        for _ in range(round(seconds / 0.05)):
            now = self.timers.monotonic()
            if plans:
                self.dispatcher.orders.execute(self.scheduler.plan(now, 0.0))
            await anyio.wait_all_tasks_blocked()
            await self.timers.async_advance(0.05)
            self._report()
        await anyio.wait_all_tasks_blocked()


@asynccontextmanager
async def a_bench() -> AsyncIterator[RebornBench]:
    async with anyio.create_task_group() as tasks:
        bench = RebornBench(tasks)
        bench.see()
        await bench.async_pass(0.3)
        yield bench
        tasks.cancel_scope.cancel()


async def test_ends_of_another_incarnation_are_never_acknowledged_unread() -> None:
    """Read who answers before any end is acknowledged.

    Symptom: a task that was done is never told as done; its worker forgot the end.
    Sequence: a worker's 58 ends were stored; it starts again while nothing runs there,
    is given a task, and ends it as its first; the next hold acknowledges 58.
    Cause: what was counted for one incarnation was told to the next one.
    """
    async with a_bench() as bench:
        bench.worker.work_of[f"{JOB}.0"] = Work(Room(1000, 100), 0.5)
        bench.session.listed_upto = bench.session.seen_upto = 58
        await bench.async_pass(1.0)
        bench.worker.restart()
        bench.worker.process.start(
            StartBody(f"{JOB}.0.0.0", 7 << 20, "x", 10**9, 2), 10.0
        )
        bench.worker.process.advance(600.0)
        assert bench.worker.process.has_news(0)
        bench.worker.seen.clear()
        bench.scheduler.state.workers[WORKER].stale = True
        bench.session.wake()
        await bench.async_pass(0.3, plans=False)
        assert bench.worker.seen and set(bench.worker.seen) == {0}
        assert bench.session.born == bench.worker.born
        assert bench.session.listed_upto == 1


async def test_after_a_lost_answer_nothing_is_acknowledged_before_the_next() -> None:
    async with a_bench() as bench:
        bench.add(a_step(count=1, long_running=True))
        await bench.async_pass(0.3)
        bench.worker.dark = True
        await bench.async_pass(1.0)
        bench.session.listed_upto = bench.session.seen_upto = 58
        bench.worker.dark = False
        bench.worker.seen.clear()
        await bench.async_pass(0.5)
        assert bench.worker.seen[0] == 0
        assert bench.worker.seen[-1] == 58


async def test_what_ran_before_a_start_goes_on_at_once() -> None:
    """Start a task again as soon as the worker's entry shows that it is over.

    Symptom: tasks of a worker that had started again waited four seconds for the end of
    a lease. Sequence: the worker ends behind a cut; it writes its entry; calls to it
    get no answer yet. Cause: nothing told that what ran there was over.
    """
    async with a_bench() as bench:
        bench.add(a_step(count=1, long_running=True))
        await bench.async_pass(0.3)
        assert bench.task().phase is Phase.RUNNING
        bench.worker.dark = True
        bench.worker.restart()
        bench.see()
        assert bench.task().phase is Phase.WAITING
        bench.worker.dark = False
        await bench.async_pass(1.0)
        assert bench.task().phase is Phase.RUNNING
        assert len(bench.worker.process.starts) == 1


async def test_a_start_by_another_incarnation_is_noticed_by_its_clock() -> None:
    """Symptom: a lease reckoned on the clock before outlives what is waited for."""
    async with a_bench() as bench:
        await bench.async_pass(3.0)
        bench.worker.restart()
        bench.add(a_step(count=1, long_running=True))
        await bench.async_pass(1.0)
        assert bench.session.born == bench.worker.born
        assert bench.session.lease_until > bench.timers.monotonic() + 8.0
        bench.see()
        await bench.async_pass(1.0)
        assert bench.task().phase is Phase.RUNNING
        assert len(bench.worker.process.runs) == 1


async def test_an_order_to_the_incarnation_before_is_made_void_first() -> None:
    """Let no task go elsewhere while an order of it may still be carried out.

    Symptom: a task runs twice. Sequence: an order gets no answer; the worker starts
    again, and its task starts elsewhere at once; the new incarnation, which has seen no
    token, carries the old order out. Cause: an order that is under way was taken to end
    with the incarnation that it was meant for.
    """
    async with a_bench() as bench:
        bench.worker.lose_starts = True
        bench.add(a_step(count=1, long_running=True))
        await bench.async_pass(0.1, plans=True)
        assert len(bench.worker.unanswered) == 1
        bench.worker.dark = True
        bench.worker.restart()
        bench.see()
        await bench.async_pass(0.5)
        assert bench.task().phase is Phase.UNCERTAIN
        bench.worker.dark = bench.worker.lose_starts = False
        await bench.async_pass(1.0)
        assert bench.worker.carry_out_late() == ["old"]
        assert bench.task().phase is Phase.RUNNING
        assert [run for _, run in bench.worker.process.starts] == [bench.task().run]


async def test_a_late_answer_of_the_incarnation_before_changes_nothing() -> None:
    async with a_bench() as bench:
        bench.add(a_step(count=1, long_running=True))
        await bench.async_pass(0.3)
        old = bench.session
        rows = await bench.worker.async_hold(0, None, 0)
        blocked = anyio.Event()

        async def async_late(*_: object) -> HoldAnswer:
            await blocked.wait()
            return rows

        class _Late:
            async_hold = staticmethod(async_late)

        old.client = _Late()  # type: ignore[assignment]
        bench.dispatcher.on_report = lambda: None
        await bench.timers.async_advance(0.3)
        await anyio.wait_all_tasks_blocked()
        bench.worker.restart()
        bench.see()
        bench.session.client = _Never()  # type: ignore[assignment]
        assert bench.task().phase is Phase.WAITING
        blocked.set()
        await anyio.wait_all_tasks_blocked()
        assert bench.task().phase is Phase.WAITING
        assert not bench.scheduler.state.workers[WORKER].confirmed


async def test_a_refusal_of_the_incarnation_before_does_not_lose_the_next() -> None:
    async with a_bench() as bench:
        old = bench.session
        bench.worker.restart()
        bench.see()
        await bench.async_pass(0.3)
        bench.dispatcher.orders._lose_session(old)
        assert not bench.session.gone
        assert WORKER in bench.scheduler.state.workers


async def test_an_entry_of_the_incarnation_before_is_not_used() -> None:
    async with a_bench() as bench:
        first = bench.worker.born
        bench.worker.restart()
        bench.see()
        await bench.async_pass(0.3)
        session = bench.session
        bench.see(born=first, service="pool-b", state="draining")
        assert bench.session is session
        worker = bench.scheduler.state.workers[WORKER]
        assert (worker.service, worker.draining, worker.absent) == (POOL, False, False)


async def test_a_worker_may_come_back_in_another_pool_and_of_another_kind() -> None:
    """Symptom: a worker that started again in another pool was barred for good."""
    async with a_bench() as bench:
        bench.worker.restart()
        room = Room(4000, 2000)
        bench.see(service="pool-b", labels=["b", "r2"], capacity=room)
        worker = bench.scheduler.state.workers[WORKER]
        assert (worker.service, worker.labels) == ("pool-b", ("b", "r2"))
        assert (worker.free_cpu, worker.free_mem, worker.absent) == (4000, 2000, False)


async def test_the_same_incarnation_under_another_pool_is_another_writers_word() -> (
    None
):
    async with a_bench() as bench:
        bench.see(service="pool-b")
        assert bench.scheduler.state.workers[WORKER].absent


async def test_a_worker_gets_nothing_until_its_own_entry_tells_its_pool() -> None:
    """Symptom: a task starts on a worker of a pool that its queue does not name."""
    async with a_bench() as bench:
        bench.worker.restart()
        bench.scheduler.state.workers[WORKER].stale = True
        bench.session.wake()
        await bench.async_pass(0.3)
        assert bench.session.born == bench.worker.born
        bench.add(a_step(count=1, long_running=True))
        await bench.async_pass(0.5)
        assert not bench.worker.process.starts
        bench.see(service="pool-b")
        await bench.async_pass(0.5)
        assert not bench.worker.process.starts
        bench.worker.restart()
        bench.see()
        await bench.async_pass(0.5)
        assert len(bench.worker.process.starts) == 1


@pytest.mark.parametrize("seconds", [30, -30])
async def test_a_worker_that_starts_often_is_known_whatever_its_time_of_day(
    seconds: int,
) -> None:
    """Its time of birth may lie before that of the incarnation before."""
    async with a_bench() as bench:
        bench.add(a_step(count=1, long_running=True))
        for _ in range(3):
            await bench.async_pass(0.5)
            bench.worker.restart(seconds)
        await bench.async_pass(0.5)
        bench.see()
        await bench.async_pass(1.0)
        assert bench.session.born == bench.worker.born
        assert len(bench.worker.process.runs) == 1


async def test_a_worker_that_is_back_in_its_id_is_used_at_once_after_a_loss() -> None:
    """An entry of the lost incarnation opens nothing, one of the next does."""
    async with a_bench() as bench:
        bench.dispatcher.remove_worker(WORKER, LossCause.UNLISTED)
        bench.see()
        assert WORKER not in bench.scheduler.state.workers
        bench.worker.restart()
        bench.see()
        assert WORKER in bench.scheduler.state.workers
        assert not bench.session.gone


async def test_judgements_of_one_incarnation_end_with_it() -> None:
    async with a_bench() as bench:
        worker = bench.scheduler.state.workers[WORKER]
        worker.quarantined_until = 1e9
        worker.speed = 0.2
        bench.worker.restart()
        bench.see()
        worker = bench.scheduler.state.workers[WORKER]
        assert (worker.quarantined_until, worker.speed) == (0.0, 1.0)


async def test_another_incarnations_answer_to_an_order_is_no_loss_of_this_one() -> None:
    async with a_bench() as bench:
        failure = WrongIncarnationError("other")

        class _Wrong:
            async def async_stop(self, task: TaskName, run: int) -> None:
                bench.worker.restart()
                bench.see()
                raise failure

        bench.add(a_step(count=1, long_running=True))
        await bench.async_pass(0.3)
        old = bench.session
        bench.scheduler.state.stop(bench.task(), "test")
        commands = bench.scheduler.state.take_commands()
        old.client = _Wrong()  # type: ignore[assignment]
        bench.dispatcher.orders.execute(commands)
        await anyio.wait_all_tasks_blocked()
        assert not bench.session.gone
        assert WORKER in bench.scheduler.state.workers


async def test_a_worker_that_does_not_say_when_it_was_born_is_told_by_its_clock() -> (
    None
):
    """Its clock begins anew with each start, and never goes back within one."""
    async with a_bench() as bench:
        bench.worker.tells_born = False
        bench.dispatcher.remove_worker(WORKER, LossCause.UNLISTED)
        await bench.async_pass(6.0)
        bench.see(born=0)
        bench.add(a_step(count=1, long_running=True))
        await bench.async_pass(0.5)
        assert bench.task().phase is Phase.RUNNING
        first = bench.session
        first.listed_upto = first.seen_upto = 58
        bench.worker.dark = True
        await bench.async_pass(0.5)
        bench.worker.dark = False
        bench.worker.restart()
        bench.worker.seen.clear()
        await bench.async_pass(1.5)
        assert bench.session is not first
        assert set(bench.worker.seen) == {0}
        assert bench.task().phase is Phase.RUNNING
        assert len(bench.worker.process.runs) == 1


async def test_an_answer_that_was_overtaken_is_no_sign_of_another_start() -> None:
    async with a_bench() as bench:
        session = bench.session
        await bench.async_pass(2.0)
        assert not session.clock.is_behind(session.clock.clock_ms - 1500)
        assert session.clock.is_behind(session.clock.clock_ms - 2500)
        assert bench.session is session
