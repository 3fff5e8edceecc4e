"""Test workers that restart under the same id."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio
import pytest
from anyio.abc import TaskGroup

from mustardward.components.dispatch.const import TOKENS_PER_EPOCH
from mustardward.components.dispatch.session import WorkerSession
from mustardward.components.scheduling.losses import LossCause
from mustardward.components.scheduling.models import Phase, QueuePolicy, Task
from mustardward.components.scheduling.scheduler import Scheduler
from mustardward.helpers.timer import DrivenTimerService
from mustardward.platform.bodies import StartBody
from mustardward.platform.exceptions import CallUnknownError, WrongIncarnationError
from mustardward.platform.models import Room, SubmittedStep
from mustardward.platform.workers import (
    StartRequest,
    StartResponse,
    TaskName,
    WorkerReport,
    decode_ended,
    decode_running,
    encode_task,
)
from mustardward.standin.estate.worker import MemoryWorker, Workload

from ..scheduling.builders import JOB, POOL, a_job, a_step, an_entry
from .builders import build_dispatcher

pytestmark = pytest.mark.anyio

WORKER = "w1"
STARTED_AT_MS = 1_700_000_000_000
ROOM = Room(8000, 8000)
MAX_LEASE_SECONDS = 10.0


class FakeWorker:
    """Simulate a worker that may restart, and whose answers may be lost or delayed.

    :param delay_starts: whether starts are kept back and left unanswered.
    """

    def __init__(self, timers: DrivenTimerService) -> None:
        self._timers = timers
        self._clock_zero = timers.monotonic() - 100.0
        self.workloads = {f"{JOB}.0": Workload(Room(1000, 100), 0.5, long_running=True)}
        self.process = self._new_process(STARTED_AT_MS)
        self.unreachable = False
        self.delay_starts = False
        self.reports_start_time = True
        self.delayed_starts: list[StartRequest] = []
        self.acknowledged: list[int] = []
        self.delayed_answers: list[WorkerReport] = []

    @property
    def started_at_ms(self) -> int:
        return self.process.started_at_ms

    def restart(self, seconds_later: int = 30) -> None:
        """Replace the process by a new one with a new monotonic clock."""
        self._clock_zero = self._timers.monotonic() - 0.01
        self.process = self._new_process(
            self.process.started_at_ms + 1000 * seconds_later
        )

    def execute_delayed_starts(self) -> list[str]:
        """Execute the starts that were kept back; return the reasons of refusal."""
        return [self._start(order) for order in self.delayed_starts]

    async def async_start(self, order: StartRequest) -> StartResponse:
        if self.unreachable:
            raise CallUnknownError("unreachable")
        if self.delay_starts:
            self.delayed_starts.append(order)
            raise CallUnknownError("no answer")
        reason = self._start(order)
        return StartResponse(self.clock_ms(), reason)

    async def async_stop(self, task: TaskName, run: int) -> None:
        if self.unreachable or self.delay_starts:
            raise CallUnknownError("unreachable")
        self.process.stop(encode_task(task), run, 2, self.clock_ms())

    async def async_poll(
        self, seen_upto: int, deadline_ms: int | None, wait_ms: int
    ) -> WorkerReport:
        if self.unreachable:
            raise CallUnknownError("unreachable")
        self.acknowledged.append(seen_upto)
        body = self.process.poll(2, seen_upto, deadline_ms, self.clock_ms())
        assert body is not None
        return WorkerReport(
            body.clock_ms,
            [decode_running(row) for row in body.running],
            [decode_ended(row) for row in body.ended],
            body.born if self.reports_start_time else 0,
        )

    def _start(self, order: StartRequest) -> str:
        body = StartBody(
            encode_task(order.task), order.run, order.spec, order.deadline_ms, 2
        )
        return self.process.start(body, self.clock_ms())

    def _new_process(self, started_at_ms: int) -> MemoryWorker:
        return MemoryWorker(
            WORKER, "m", POOL, ROOM, self.workloads, started_at_ms=started_at_ms
        )

    def clock_ms(self) -> float:
        return 1000 * (self._timers.monotonic() - self._clock_zero)


class UnansweredClient:
    """Simulate a worker that has not answered yet."""

    async def async_poll(self, *_: object) -> WorkerReport:
        await anyio.sleep_forever()
        raise AssertionError


class RestartHarness:
    """Provide an owner's dispatcher and one worker with a simulated clock."""

    def __init__(self, tasks: TaskGroup) -> None:
        self.timers = DrivenTimerService()
        self.scheduler = Scheduler(2, lambda queue: QueuePolicy(service=POOL))
        self.worker = FakeWorker(self.timers)
        self.dispatcher = build_dispatcher(
            self.scheduler,
            self.timers,
            tasks,
            on_report=self._set_clients,
            max_lease_seconds=MAX_LEASE_SECONDS,
        )

    @property
    def session(self) -> WorkerSession:
        return self.dispatcher.sessions[WORKER]

    def _set_clients(self) -> None:
        """Connect every session to the simulated worker."""
        for session in self.dispatcher.sessions.values():
            session.client = self.worker  # type: ignore[assignment]

    def update_entry(self, **changes: object) -> None:
        """Apply the worker's entry."""
        entry = an_entry(
            **{"capacity": ROOM, "born": self.worker.started_at_ms, **changes}
        )
        self.dispatcher.update_worker(WORKER, entry)
        self._set_clients()

    def add(self, step: SubmittedStep) -> None:
        """Submit a job that may start at once."""
        now = self.timers.monotonic()
        self.scheduler.add_job(a_job(step), now, 0.0)
        self.scheduler.mark_stored([JOB])

    def task(self, index: int = 0) -> Task:
        found = self.scheduler.state.find_task(TaskName(JOB, 0, 0, index))
        assert found is not None
        return found

    def acknowledge(self) -> None:
        """Acknowledge the ends that the worker reported."""
        self.session.acknowledge(self.session.received_upto)

    async def async_advance_time(self, seconds: float, plan: bool = True) -> None:
        """Advance the simulated time; store progress and plan in each step."""
        for _ in range(round(seconds / 0.05)):
            now = self.timers.monotonic()
            self.scheduler.mark_stored(
                job_id for job_id, _ in self.scheduler.take_dirty(now, 0.0)
            )
            if plan:
                self.dispatcher.executor.execute(self.scheduler.plan(now, 0.0))
            await anyio.wait_all_tasks_blocked()
            await self.timers.async_advance(0.05)
            self._set_clients()
        await anyio.wait_all_tasks_blocked()


@asynccontextmanager
async def a_harness() -> AsyncIterator[RestartHarness]:
    async with anyio.create_task_group() as tasks:
        harness = RestartHarness(tasks)
        harness.update_entry()
        await harness.async_advance_time(0.3)
        yield harness
        tasks.cancel_scope.cancel()


async def test_unread_ends_of_new_incarnation_are_not_acknowledged() -> None:
    """Guard against a completed task that is never reported as completed.

    58 ends of a worker are stored. It restarts while idle, gets a task and completes it
    as its first. If the next poll acknowledges 58, the worker discards the unread end.
    """
    async with a_harness() as harness:
        harness.worker.workloads[f"{JOB}.0"] = Workload(Room(1000, 100), 0.5)
        harness.session.received_upto = harness.session.stored_upto = 58
        await harness.async_advance_time(1.0)
        harness.worker.restart()
        harness.worker.process.start(
            StartBody(f"{JOB}.0.0.0", 7 << 20, "x", 10**9, 2), 10.0
        )
        harness.worker.process.advance(600.0)
        assert harness.worker.process.has_unacknowledged_ends(0)
        harness.worker.acknowledged.clear()
        harness.scheduler.state.workers[WORKER].stale = True
        harness.session.wake()
        await harness.async_advance_time(0.3, plan=False)
        assert harness.worker.acknowledged and set(harness.worker.acknowledged) == {0}
        assert harness.session.started_at_ms == harness.worker.started_at_ms
        assert harness.session.received_upto == 1


async def test_nothing_is_acknowledged_between_lost_answer_and_next_one() -> None:
    async with a_harness() as harness:
        harness.add(a_step(count=1, long_running=True))
        await harness.async_advance_time(0.3)
        harness.worker.unreachable = True
        await harness.async_advance_time(1.0)
        harness.session.received_upto = harness.session.stored_upto = 58
        harness.worker.unreachable = False
        harness.worker.acknowledged.clear()
        await harness.async_advance_time(0.5)
        assert harness.worker.acknowledged[0] == 0
        assert harness.worker.acknowledged[-1] == 58


async def test_tasks_of_previous_incarnation_start_again_at_once() -> None:
    """Guard against tasks of a restarted worker that wait four seconds for a lease.

    The worker restarts during a network partition and writes its entry while calls to
    it are still unanswered. The entry alone shows that its previous runs are over.
    """
    async with a_harness() as harness:
        harness.add(a_step(count=1, long_running=True))
        await harness.async_advance_time(0.3)
        assert harness.task().phase is Phase.RUNNING
        harness.worker.unreachable = True
        harness.worker.restart()
        harness.update_entry()
        assert harness.task().phase is Phase.WAITING
        harness.worker.unreachable = False
        await harness.async_advance_time(1.0)
        assert harness.task().phase is Phase.RUNNING
        assert len(harness.worker.process.starts) == 1


async def test_start_by_another_incarnation_is_detected_by_its_clock() -> None:
    """Guard against a lease on the previous clock that outlasts the wait for it."""
    async with a_harness() as harness:
        await harness.async_advance_time(3.0)
        harness.worker.restart()
        harness.add(a_step(count=1, long_running=True))
        await harness.async_advance_time(1.0)
        assert harness.session.started_at_ms == harness.worker.started_at_ms
        assert harness.session.lease_ends_at > harness.timers.monotonic() + 8.0
        harness.update_entry()
        await harness.async_advance_time(1.0)
        assert harness.task().phase is Phase.RUNNING
        assert len(harness.worker.process.runs) == 1


async def test_task_waits_until_start_sent_to_previous_incarnation_is_void() -> None:
    """Guard against a task that runs twice.

    A start is not answered, the worker restarts, and the task starts elsewhere at once.
    The new incarnation has seen no fencing token and executes the delayed start: a call
    in flight does not end with the incarnation that it was sent to.
    """
    async with a_harness() as harness:
        harness.worker.delay_starts = True
        harness.add(a_step(count=1, long_running=True))
        await harness.async_advance_time(0.1, plan=True)
        delayed_count = len(harness.worker.delayed_starts)
        assert delayed_count
        harness.worker.unreachable = True
        harness.worker.restart()
        harness.update_entry()
        await harness.async_advance_time(0.5)
        assert harness.task().phase is Phase.UNCERTAIN
        harness.worker.unreachable = harness.worker.delay_starts = False
        await harness.async_advance_time(1.0)
        assert harness.worker.execute_delayed_starts() == ["old"] * delayed_count
        assert harness.task().phase is Phase.RUNNING
        assert [run for _, run in harness.worker.process.starts] == [harness.task().run]


async def test_start_accepted_by_unnoticed_new_incarnation_is_not_over() -> None:
    """Guard against a task that runs twice after two quick restarts under one id.

    The clock of a young incarnation is not yet 2 s ahead of that of the next one, which
    answers a start before its entry is read. The entry then ends all runs of the
    previous incarnation, and this one among them, although the new incarnation has it.
    """
    async with a_harness() as harness:
        harness.worker.restart()
        harness.update_entry()
        await harness.async_advance_time(0.5)
        harness.worker.restart()
        harness.worker.async_poll = (  # type: ignore[method-assign]
            UnansweredClient().async_poll
        )
        harness.add(a_step(count=1, long_running=True))
        now = harness.timers.monotonic()
        harness.dispatcher.executor.execute(harness.scheduler.plan(now, 0.0))
        await anyio.wait_all_tasks_blocked()
        harness.update_entry()
        assert harness.worker.process.runs
        assert harness.task().phase is not Phase.WAITING


async def test_delayed_answer_of_previous_incarnation_is_ignored() -> None:
    async with a_harness() as harness:
        harness.add(a_step(count=1, long_running=True))
        await harness.async_advance_time(0.3)
        previous = harness.session
        answer = await harness.worker.async_poll(0, None, 0)
        released = anyio.Event()

        async def async_delayed_hold(*_: object) -> WorkerReport:
            await released.wait()
            return answer

        class _DelayedClient:
            async_poll = staticmethod(async_delayed_hold)

        previous.client = _DelayedClient()  # type: ignore[assignment]
        harness.dispatcher.on_report = lambda: None
        await harness.timers.async_advance(0.3)
        await anyio.wait_all_tasks_blocked()
        harness.worker.restart()
        harness.update_entry()
        harness.session.client = UnansweredClient()  # type: ignore[assignment]
        assert harness.task().phase is Phase.WAITING
        released.set()
        await anyio.wait_all_tasks_blocked()
        assert harness.task().phase is Phase.WAITING
        assert not harness.scheduler.state.workers[WORKER].confirmed


async def test_refusal_by_previous_incarnation_does_not_close_new_session() -> None:
    async with a_harness() as harness:
        previous = harness.session
        harness.worker.restart()
        harness.update_entry()
        await harness.async_advance_time(0.3)
        harness.dispatcher.executor._report_restart(previous)
        assert not harness.session.closed
        assert WORKER in harness.scheduler.state.workers


async def test_entry_of_previous_incarnation_is_ignored() -> None:
    async with a_harness() as harness:
        first = harness.worker.started_at_ms
        harness.worker.restart()
        harness.update_entry()
        await harness.async_advance_time(0.3)
        session = harness.session
        harness.update_entry(born=first, service="pool-b", state="draining")
        assert harness.session is session
        worker = harness.scheduler.state.workers[WORKER]
        assert (worker.service, worker.draining, worker.absent) == (POOL, False, False)


async def test_worker_may_restart_with_another_pool_and_capacity() -> None:
    """Guard against a worker that is never used again after it changed its pool."""
    async with a_harness() as harness:
        harness.worker.restart()
        room = Room(4000, 2000)
        harness.update_entry(service="pool-b", labels=["b", "r2"], capacity=room)
        worker = harness.scheduler.state.workers[WORKER]
        assert (worker.service, worker.labels) == ("pool-b", ("b", "r2"))
        assert (worker.free_cpu, worker.free_mem, worker.absent) == (4000, 2000, False)


async def test_same_incarnation_in_another_pool_makes_worker_absent() -> None:
    async with a_harness() as harness:
        harness.update_entry(service="pool-b")
        assert harness.scheduler.state.workers[WORKER].absent


async def test_restarted_worker_gets_no_task_before_its_entry_names_its_pool() -> None:
    """Guard against a task that starts in a pool that its queue does not name."""
    async with a_harness() as harness:
        harness.worker.restart()
        harness.scheduler.state.workers[WORKER].stale = True
        harness.session.wake()
        await harness.async_advance_time(0.3)
        assert harness.session.started_at_ms == harness.worker.started_at_ms
        harness.add(a_step(count=1, long_running=True))
        await harness.async_advance_time(0.5)
        assert not harness.worker.process.starts
        harness.update_entry(service="pool-b")
        await harness.async_advance_time(0.5)
        assert not harness.worker.process.starts
        harness.worker.restart()
        harness.update_entry()
        await harness.async_advance_time(0.5)
        assert len(harness.worker.process.starts) == 1


@pytest.mark.parametrize("seconds", [30, -30])
async def test_repeated_restarts_are_detected_when_the_wall_clock_goes_back(
    seconds: int,
) -> None:
    """Check that the start time may be earlier than the previous incarnation's."""
    async with a_harness() as harness:
        harness.add(a_step(count=1, long_running=True))
        for _ in range(3):
            await harness.async_advance_time(0.5)
            harness.worker.restart(seconds)
        await harness.async_advance_time(0.5)
        harness.update_entry()
        await harness.async_advance_time(1.0)
        assert harness.session.started_at_ms == harness.worker.started_at_ms
        assert len(harness.worker.process.runs) == 1


async def test_restarted_worker_is_used_at_once_after_a_loss() -> None:
    """Check that only an entry of a new incarnation opens a session after a loss."""
    async with a_harness() as harness:
        harness.dispatcher.remove_worker(WORKER, LossCause.UNLISTED)
        harness.update_entry()
        assert WORKER not in harness.scheduler.state.workers
        harness.worker.restart()
        harness.update_entry()
        assert WORKER in harness.scheduler.state.workers
        assert not harness.session.closed


async def test_quarantine_and_speed_are_reset_on_restart() -> None:
    async with a_harness() as harness:
        worker = harness.scheduler.state.workers[WORKER]
        worker.quarantined_until = 1e9
        worker.speed = 0.2
        harness.worker.restart()
        harness.update_entry()
        worker = harness.scheduler.state.workers[WORKER]
        assert (worker.quarantined_until, worker.speed) == (0.0, 1.0)


async def test_wrong_incarnation_on_old_session_does_not_lose_new_one() -> None:
    async with a_harness() as harness:
        failure = WrongIncarnationError("other")

        class _OtherIncarnation:
            async def async_stop(self, task: TaskName, run: int) -> None:
                harness.worker.restart()
                harness.update_entry()
                raise failure

        harness.add(a_step(count=1, long_running=True))
        await harness.async_advance_time(0.3)
        previous = harness.session
        harness.scheduler.state.stop(harness.task(), "test")
        commands = harness.scheduler.state.take_commands()
        previous.client = _OtherIncarnation()  # type: ignore[assignment]
        harness.dispatcher.executor.execute(commands)
        await anyio.wait_all_tasks_blocked()
        assert not harness.session.closed
        assert WORKER in harness.scheduler.state.workers


async def test_restart_without_reported_start_time_is_detected_by_clock() -> None:
    """Rely on a clock that resets with each start and never goes back in between."""
    async with a_harness() as harness:
        harness.worker.reports_start_time = False
        harness.dispatcher.remove_worker(WORKER, LossCause.UNLISTED)
        await harness.async_advance_time(6.0)
        harness.update_entry(born=0)
        harness.add(a_step(count=1, long_running=True))
        await harness.async_advance_time(0.5)
        assert harness.task().phase is Phase.RUNNING
        first = harness.session
        first.received_upto = first.stored_upto = 58
        harness.worker.unreachable = True
        await harness.async_advance_time(0.5)
        harness.worker.unreachable = False
        harness.worker.restart()
        harness.worker.acknowledged.clear()
        await harness.async_advance_time(1.5)
        assert harness.session is not first
        assert set(harness.worker.acknowledged) == {0}
        assert harness.task().phase is Phase.RUNNING
        assert len(harness.worker.process.runs) == 1


async def test_answer_out_of_order_is_not_a_restart() -> None:
    async with a_harness() as harness:
        session = harness.session
        await harness.async_advance_time(2.0)
        known_ms, read_at = session.clock.clock_ms, session.clock.read_at
        sent_at = read_at + 1.0
        minimum_ms = session.clock.minimum_ms(sent_at)
        assert known_ms + 950 < minimum_ms < known_ms + 980
        session.clock.update(known_ms + 1500, read_at + 1.5)
        assert not session.clock.has_reset(known_ms + 985, minimum_ms)
        assert session.clock.has_reset(known_ms + 900, minimum_ms)
        assert harness.session is session


async def test_each_incarnation_is_called_with_a_higher_token() -> None:
    """Guard against a late poll that acknowledges unread ends of the next incarnation.

    It has seen no token yet, and rejects calls that were sent before its first answer.
    """
    async with a_harness() as harness:
        first = harness.session
        harness.worker.restart()
        harness.update_entry()
        await harness.async_advance_time(0.3)
        assert harness.session is not first
        assert harness.session.token == first.token + 1 == harness.dispatcher.token + 1


async def test_session_that_was_never_answered_uses_up_no_token() -> None:
    async with a_harness() as harness:
        harness.worker.unreachable = True
        for _ in range(3):
            harness.worker.restart()
            harness.update_entry()
            await harness.async_advance_time(0.3)
        assert harness.session.token == harness.dispatcher.token + 1


async def test_tokens_stay_below_the_next_owners_epoch() -> None:
    """Guard against a next owner that workers reject."""
    async with a_harness() as harness:
        harness.session.token = harness.dispatcher.token + TOKENS_PER_EPOCH - 1
        harness.worker.restart()
        harness.update_entry()
        assert harness.session.token < harness.dispatcher.token + TOKENS_PER_EPOCH


async def test_rejected_call_of_a_replaced_session_deposes_no_owner() -> None:
    """Guard against an owner that gives up since a worker rejects its own old call."""
    async with a_harness() as harness:
        fenced: list[str] = []
        harness.dispatcher.on_fenced = fenced.append
        previous = harness.session
        harness.worker.restart()
        harness.update_entry()
        harness.dispatcher.executor.on_fenced(previous)
        assert not fenced
        harness.dispatcher.executor.on_fenced(harness.session)
        assert fenced == [WORKER]
