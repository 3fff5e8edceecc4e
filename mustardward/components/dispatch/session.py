"""Keep one worker's lease, and read its reports."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio

from ...helpers.instruments import ENDS
from ...helpers.logging import get_logger
from ...helpers.timer import TimerService
from ...platform.exceptions import (
    CallRefusedError,
    CallUnknownError,
    WrongIncarnationError,
)
from ...platform.workers import HoldAnswer, StartAnswer, StartOrder, WorkerClient
from ..scheduling.incarnations import is_other
from ..scheduling.losses import LossCause
from ..scheduling.models import Phase, Task, WorkerState
from ..scheduling.scheduler import Scheduler
from .const import (
    ALIVE_SECONDS,
    ALIVE_WAIT_SECONDS,
    BUSY_HOLD_MILLISECONDS,
    CLOCK_ERROR,
    FAILED_HOLD_SECONDS,
    HOLD_GAP_SECONDS,
    LEASE_SECONDS,
    LONG_HOLD_MILLISECONDS,
    PROOF_SECONDS,
    REBORN_MILLISECONDS,
    SHORT_HOLD_MILLISECONDS,
    UNSTORED_WAIT_SECONDS,
    lease_bound,
)
from .contacts import Contacts

_LOGGER = get_logger(__name__)


@dataclass(slots=True)
class WorkerClock:
    """Know a worker's steady clock by its last answer."""

    clock_ms: float = 0.0
    at: float = -1.0

    @property
    def known(self) -> bool:
        """Return whether the worker ever answered."""
        return self.at >= 0

    def take(self, clock_ms: float, at: float) -> None:
        """Take in an answer that came at ``at``."""
        if clock_ms:
            self.clock_ms = clock_ms
            self.at = at

    def is_behind(self, clock_ms: float) -> bool:
        """Return whether an answer shows a clock that began anew."""
        return self.known and 0 < clock_ms < self.clock_ms - REBORN_MILLISECONDS

    def deadline(self, now: float) -> int:
        """Return the end of a lease that begins now, on the worker's clock."""
        return int(self.clock_ms + (now - self.at + LEASE_SECONDS) * 1000)

    def lease_until(self, now: float) -> float:
        """Return when that lease is surely over, in the owner's time.

        The clock may have been slow since its last answer, too.
        """
        return lease_bound(now) + (now - self.at) * CLOCK_ERROR


@dataclass(slots=True, eq=False)
class WorkerSession:
    """Talk to one incarnation of a worker under one epoch.

    :param on_report: called after each report, to plan and to store.
    :param authorised: whether this owner may still give orders.
    :param lease_until: until when something may run there, in the owner's time.
    :param born: the incarnation, by when it started; 0 if that is not known yet.
    :param on_reborn: called with when it started if another incarnation answers.
    :param contacts: bounds how many workers that are not heard of are asked at once.
    """

    worker_id: str
    client: WorkerClient
    scheduler: Scheduler
    timers: TimerService
    on_report: Callable[[], None]
    authorised: Callable[[], bool]
    lease_until: float
    born: int
    on_reborn: Callable[[int], None]
    contacts: Contacts
    clock: WorkerClock = field(default_factory=WorkerClock)
    listed_upto: int = 0
    seen_upto: int = 0
    answered: bool = False
    gone: bool = False
    silent_since: float | None = None
    _proved_at: float = -math.inf
    _deadline_ms: int | None = None
    _asked: bool = False
    _told_upto: int = 0
    _stored: anyio.Event = field(default_factory=anyio.Event)
    _wake: anyio.Event = field(default_factory=anyio.Event)
    _looked: anyio.Event = field(default_factory=anyio.Event)

    @property
    def doubted(self) -> bool:
        """Return whether the worker left its last call unanswered, or all of them."""
        return math.isinf(self._proved_at)

    def acknowledge(self, number: int) -> None:
        """Note that the ends up to a number are stored."""
        if number > self.seen_upto:
            self.seen_upto = number
        self._stored.set()

    def ask(self) -> None:
        """Ask the worker who it is, though nothing runs there."""
        self._asked = True
        self._proved_at = -math.inf
        self._wake.set()

    def wake(self) -> None:
        """Look at the worker though nothing ran there before."""
        self._wake.set()

    async def async_run(self) -> None:
        """Hold the worker until it is surely gone."""
        while not self.gone:
            worker = self.scheduler.board.workers.get(self.worker_id)
            if worker is None:
                return
            if self._idle(worker):
                await self._wake.wait()
                self._wake = anyio.Event()
                continue
            if not self.authorised():
                await self.timers.async_sleep(FAILED_HOLD_SECONDS)
                continue
            await self._async_look(worker)

    async def async_prove(self, anew: bool) -> None:
        """Make sure that the worker was heard a moment ago, before it is given a task.

        While nothing runs there its crash goes unnoticed, and a start that it does not
        answer would count as the cause.

        :param anew: whether only an answer to a call that leaves now will do.
        :raises CallRefusedError: if it does not answer, or may be given no task.
        :raises WrongIncarnationError: if another incarnation answered.
        """
        if not self.authorised():
            raise CallRefusedError("no authority")
        if anew:
            await self._async_ask_anew()
        elif not self._was_heard_within(ALIVE_SECONDS):
            await self._async_wait_for_look()

    async def _async_wait_for_look(self) -> None:
        """Wait for the session's next look; all starts that wait share it."""
        self._asked = True
        self._wake.set()
        with anyio.move_on_after(ALIVE_WAIT_SECONDS):
            await self._looked.wait()
        if not self._was_heard_within(ALIVE_SECONDS):
            raise CallRefusedError("not heard")

    async def _async_ask_anew(self) -> None:
        """Call the worker beside the session's looks, which may wait long for ends."""
        try:
            answer = await self.client.async_hold(0, None, 0)
        except CallUnknownError as error:
            self.ask()
            raise CallRefusedError(f"not heard: {error.detail}") from error
        if self.gone or self._is_another(answer):
            self.ask()
            raise CallRefusedError("other incarnation")
        self._prove(answer.clock_ms)

    async def async_start(self, task: Task, run: int) -> StartAnswer:
        """Order a start.

        :raises CallRefusedError: if this owner may give no orders; nothing was sent.
        """
        if not self.authorised():
            raise CallRefusedError("no authority")
        if not self.clock.known:
            raise CallRefusedError("clock unknown")
        now = self.timers.monotonic()
        deadline_ms = self._renew(now)
        order = StartOrder(
            task.name,
            run,
            task.step.job.record.spec,
            deadline_ms,
            task.checkpoint,
            task.step.tickets.get(self.worker_id, ""),
        )
        self._wake.set()
        try:
            answer = await self.client.async_start(order)
            if self.clock.is_behind(answer.clock_ms):
                # Another incarnation began this under a lease reckoned on the old
                # clock. Its next answer to a hold tells who it is.
                raise CallUnknownError("clock went back")
        except CallUnknownError:
            self._proved_at = -math.inf
            raise
        self._prove(answer.clock_ms)
        return answer

    def _is_another(self, answer: HoldAnswer) -> bool:
        """Return whether another incarnation answered; each has a clock of its own."""
        if is_other(answer.born, self.born):
            return True
        return self.clock.is_behind(answer.clock_ms)

    def _prove(self, clock_ms: float) -> None:
        """Take in an answer of this incarnation."""
        now = self.timers.monotonic()
        self.clock.take(clock_ms, now)
        self._proved_at = now

    def _was_heard_within(self, seconds: float) -> bool:
        """Return whether this incarnation answered its last call, and so lately."""
        return self.timers.monotonic() - self._proved_at <= seconds

    def _idle(self, worker: WorkerState) -> bool:
        """Return whether nothing is to be learned from the worker.

        A run that no task is known of, too, holds room until a look no longer lists it.
        """
        return (
            not self._asked
            and worker.confirmed
            and not worker.has_runs
            and not worker.stale
            and self.listed_upto <= self._told_upto
        )

    async def _async_look(self, worker: WorkerState) -> None:
        """Hold the worker, in its turn if it is not heard of; then pause."""
        unheard = worker.stale or not worker.confirmed
        pause = 0.0
        async with self.contacts.async_place(unheard):
            # Its incarnation may have ended, or this ownership, while it waited.
            if not self.gone and self.authorised():
                pause = await self._async_hold(worker)
        self._looked.set()
        self._looked = anyio.Event()
        if pause and not self.gone:
            await self.timers.async_sleep(pause)

    async def _async_hold(self, worker: WorkerState) -> float:
        """Hold the worker once; return how long to pause until the next time."""
        if self.listed_upto > self.seen_upto:
            with anyio.move_on_after(UNSTORED_WAIT_SECONDS):
                await self._stored.wait()
        sent_at = self.timers.monotonic()
        # Who answers is to be learned before anything is acknowledged.
        told_upto = self.seen_upto if self._was_heard_within(PROOF_SECONDS) else 0
        try:
            answer = await self._async_call(worker, sent_at, told_upto)
        except WrongIncarnationError:
            if not self.gone:
                self.gone = True
                now = self.timers.monotonic()
                self.scheduler.lose_worker(self.worker_id, LossCause.REPLACED, now)
                self.on_report()
            return 0.0
        except (CallRefusedError, CallUnknownError) as error:
            return self._failed(worker, error.detail)
        if self.gone:
            # It was found out meanwhile that this incarnation is over: what it said
            # must not be taken for the word of the one that has its id now.
            return 0.0
        if self._is_another(answer):
            self.on_reborn(answer.born)
            return 0.0
        self.born = self.born or answer.born
        self._asked = False
        self._told_upto = max(self._told_upto, told_upto)
        now = self.timers.monotonic()
        renewed = self._renews(sent_at)
        self._prove(answer.clock_ms)
        self.answered = True
        self.silent_since = None
        numbers = [ended.number for ended in answer.ended]
        for ended in answer.ended:
            if ended.number > self.listed_upto:
                ENDS.labels(ended.how).inc()
        self.listed_upto = max(numbers, default=self.listed_upto)
        self._stored = anyio.Event()
        self.scheduler.hold_worker(self.worker_id, answer, sent_at, now)
        self.on_report()
        if not renewed and worker.has_runs:
            # Its lease may be almost over.
            return 0.0
        return max(0.0, HOLD_GAP_SECONDS - (now - sent_at))

    async def _async_call(
        self, worker: WorkerState, now: float, told_upto: int
    ) -> HoldAnswer:
        deadline = self._deadline_ms
        wait_ms = 0
        if self._renews(now):
            deadline = self._renew(now)
            wait_ms = self._wait_ms(worker) if told_upto == self.seen_upto else 0
        return await self.client.async_hold(told_upto, deadline, wait_ms)

    def _renews(self, now: float) -> bool:
        """Return whether a look sent now renews the lease.

        One that may not arrive repeats the last lease that was sent: with a longer one,
        what runs on a silent worker could not start elsewhere for as long as such looks
        go on. So does one after a long time without an answer, in which the worker's
        clock may have drifted; nothing runs there then.
        """
        if not self.clock.known or self.silent_since is not None:
            return False
        return now - self.clock.at <= LEASE_SECONDS

    def _renew(self, now: float) -> int:
        """Reckon with a lease sent now; return its end on the worker's clock."""
        self.lease_until = max(self.lease_until, self.clock.lease_until(now))
        self._deadline_ms = self.clock.deadline(now)
        return self._deadline_ms

    def _wait_ms(self, worker: WorkerState) -> int:
        if not worker.confirmed or worker.stale or not worker.tasks:
            return 0
        if any(task.phase is Phase.UNCERTAIN for task in worker.tasks.values()):
            return 0
        if worker.leaving or worker.draining:
            return SHORT_HOLD_MILLISECONDS
        if self.scheduler.pacing.needs_looks(worker):
            return SHORT_HOLD_MILLISECONDS
        if any(not task.step.spec.long_running for task in worker.tasks.values()):
            return BUSY_HOLD_MILLISECONDS
        return LONG_HOLD_MILLISECONDS

    def _failed(self, worker: WorkerState, detail: str) -> float:
        """Take in that a hold was not answered; return how long to pause."""
        if self.gone:
            return 0.0
        now = self.timers.monotonic()
        self._proved_at = -math.inf
        if self.silent_since is None:
            self.silent_since = now
        if not worker.stale:
            worker.stale = True
            _LOGGER.warning("worker_silent", worker=self.worker_id, detail=detail)
        if now > self.lease_until:
            # Its leases have run out on the slowest clock it can have, so nothing
            # runs there, whether it lives or not.
            self.scheduler.lose_worker(self.worker_id, LossCause.LEASES_OVER, now)
            self.gone = True
            self.on_report()
            return 0.0
        return FAILED_HOLD_SECONDS
