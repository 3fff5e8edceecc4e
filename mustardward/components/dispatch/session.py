"""Keep one worker's lease, and read its reports."""

from __future__ import annotations

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
from ..scheduling.incarnations import is_other_incarnation
from ..scheduling.losses import LossCause
from ..scheduling.models import Task
from ..scheduling.scheduler import Scheduler
from ..scheduling.worker_state import WorkerState
from .const import (
    ALIVE_SECONDS,
    ALIVE_WAIT_SECONDS,
    FAILED_HOLD_SECONDS,
    HOLD_GAP_SECONDS,
    PROOF_SECONDS,
    UNSTORED_WAIT_SECONDS,
)
from .contacts import Contacts
from .lease import Lease, WorkerClock
from .looks import choose_wait_ms
from .proof import Proof

_LOGGER = get_logger(__name__)


@dataclass(slots=True, eq=False)
class WorkerSession:
    """Talk to one incarnation of a worker under one epoch.

    :param on_report: called after each report, to plan and to store.
    :param authorised: whether this owner may still give orders.
    :param lease: until when something may run there.
    :param born: the incarnation, by when it started; 0 if that is not known yet.
    :param on_reborn: called with when it started if another incarnation answers.
    :param contacts: bounds how many workers that are not heard of are asked at once.
    :param owned_until: until when the log is known to name no other owner; steady
        seconds.
    """

    worker_id: str
    client: WorkerClient
    scheduler: Scheduler
    timers: TimerService
    on_report: Callable[[], None]
    authorised: Callable[[], bool]
    lease: Lease
    born: int
    on_reborn: Callable[[int], None]
    contacts: Contacts
    owned_until: Callable[[], float]
    listed_upto: int = 0
    seen_upto: int = 0
    answered: bool = False
    gone: bool = False
    silent_since: float | None = None
    _proof: Proof = field(default_factory=Proof)
    _asked: bool = False
    _told_upto: int = 0
    _stored: anyio.Event = field(default_factory=anyio.Event)
    _wake: anyio.Event = field(default_factory=anyio.Event)
    _looked: anyio.Event = field(default_factory=anyio.Event)

    @property
    def doubted(self) -> bool:
        """Return whether the worker left its last call unanswered, or all of them."""
        return not self._proof.stands

    @property
    def clock(self) -> WorkerClock:
        """Return what is known of the worker's steady clock."""
        return self.lease.clock

    @property
    def lease_until(self) -> float:
        """Return until when something may run there, in the owner's time."""
        return self.lease.until

    def acknowledge(self, number: int) -> None:
        """Note that the ends up to a number are stored."""
        if number > self.seen_upto:
            self.seen_upto = number
        self._stored.set()

    def ask(self) -> None:
        """Ask the worker who it is, though nothing runs there."""
        self._asked = True
        self._proof.withdraw()
        self._wake.set()

    def wake(self) -> None:
        """Look at the worker though nothing ran there before."""
        self._wake.set()

    async def async_run(self) -> None:
        """Hold the worker until it is surely gone."""
        while not self.gone:
            worker = self.scheduler.state.workers.get(self.worker_id)
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
        deadline_ms = self.lease.renew(now)
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
            self._proof.withdraw()
            raise
        self._prove(answer.clock_ms)
        return answer

    def _is_another(self, answer: HoldAnswer) -> bool:
        """Return whether another incarnation answered; each has a clock of its own."""
        if is_other_incarnation(answer.born, self.born):
            return True
        return self.clock.is_behind(answer.clock_ms)

    def _prove(self, clock_ms: float) -> None:
        """Take in an answer of this incarnation."""
        now = self.timers.monotonic()
        self.clock.take(clock_ms, now)
        self._proof.give(now)

    def _was_heard_within(self, seconds: float) -> bool:
        """Return whether this incarnation answered its last call, and so lately."""
        return self._proof.is_within(seconds, self.timers.monotonic())

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
                self.scheduler.remove_worker(self.worker_id, LossCause.REPLACED, now)
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
        self.scheduler.apply_worker_report(self.worker_id, answer, sent_at, now)
        self.on_report()
        if not renewed and worker.has_runs:
            # Its lease may be almost over.
            return 0.0
        return max(0.0, HOLD_GAP_SECONDS - (now - sent_at))

    async def _async_call(
        self, worker: WorkerState, now: float, told_upto: int
    ) -> HoldAnswer:
        deadline = self.lease.deadline_ms
        wait_ms = 0
        if self._renews(now):
            deadline = self.lease.renew(now)
            if told_upto == self.seen_upto:
                wait_ms = choose_wait_ms(worker, self.scheduler.pacing)
        return await self.client.async_hold(told_upto, deadline, wait_ms)

    def _renews(self, now: float) -> bool:
        """Return whether a look sent now renews the lease.

        One that may not arrive repeats the last lease that was sent: with a longer one,
        what runs on a silent worker could not start elsewhere for as long as such looks
        go on.
        """
        return self.silent_since is None and self.lease.may_renew(now)

    def _failed(self, worker: WorkerState, detail: str) -> float:
        """Take in that a hold was not answered; return how long to pause."""
        if self.gone:
            return 0.0
        now = self.timers.monotonic()
        self._proof.withdraw()
        if self.silent_since is None:
            self.silent_since = now
        if not worker.stale:
            worker.stale = True
            _LOGGER.warning("worker_silent", worker=self.worker_id, detail=detail)
        if self.owned_until() > self.lease_until:
            # Its leases have run out on the slowest clock it can have, and no other
            # owner can have renewed them before, so nothing runs there.
            self.scheduler.remove_worker(self.worker_id, LossCause.LEASES_EXPIRED, now)
            self.gone = True
            self.on_report()
            return 0.0
        return FAILED_HOLD_SECONDS
