"""Renew one worker's lease and read its reports."""

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
from ...platform.workers import StartRequest, StartResponse, WorkerClient, WorkerReport
from ..scheduling.incarnations import is_other_incarnation
from ..scheduling.losses import LossCause
from ..scheduling.models import Task
from ..scheduling.scheduler import Scheduler
from ..scheduling.worker_state import WorkerState
from .acknowledgement_logger import AcknowledgementLogger
from .const import (
    ACKNOWLEDGE_MAX_AGE_SECONDS,
    LIVENESS_MAX_AGE_SECONDS,
    LIVENESS_TIMEOUT_SECONDS,
    MIN_POLL_INTERVAL_SECONDS,
    POLL_RETRY_SECONDS,
    UNSTORED_POLL_DELAY_SECONDS,
)
from .contact_limiter import ContactLimiter
from .lease import Lease, WorkerClock
from .liveness import Liveness
from .poll_wait import choose_wait_ms

_LOGGER = get_logger(__name__)


@dataclass(slots=True, eq=False)
class WorkerSession:
    """Poll one incarnation of a worker and send it starts under one epoch.

    The worker numbers the ends of its runs. It keeps each end until it is acknowledged,
    which happens with a poll after the end is stored.

    :param on_report: called after each report, to plan and to store.
    :param authorised: whether this owner may still send commands.
    :param lease: the longest lease that the incarnation may have.
    :param started_at_ms: the start time that identifies the incarnation, 0 if unknown.
    :param on_restart: called with the start time of another incarnation that answers.
    :param contact_limiter: limits concurrent polls of unconfirmed workers.
    :param ownership_confirmed_until: until when the log is known to name no other
        owner, in monotonic seconds.
    :param token: the fencing token of its calls.
    :param acknowledgements: logs which ends are acknowledged; None for no log lines.
    """

    worker_id: str
    client: WorkerClient
    scheduler: Scheduler
    timers: TimerService
    on_report: Callable[[], None]
    authorised: Callable[[], bool]
    lease: Lease
    started_at_ms: int
    on_restart: Callable[[int], None]
    contact_limiter: ContactLimiter
    ownership_confirmed_until: Callable[[], float]
    acknowledgements: AcknowledgementLogger | None = None
    token: int = 0
    received_upto: int = 0
    stored_upto: int = 0
    closed: bool = False
    unresponsive_since: float | None = None
    _liveness: Liveness = field(default_factory=Liveness)
    _poll_requested: bool = False
    _acknowledged_upto: int = 0
    _logged_upto: int = 0
    _stored: anyio.Event = field(default_factory=anyio.Event)
    _wake: anyio.Event = field(default_factory=anyio.Event)
    _polled: anyio.Event = field(default_factory=anyio.Event)

    @property
    def is_unresponsive(self) -> bool:
        """Return whether the worker failed to answer its last call or any call."""
        return not self._liveness.is_confirmed

    @property
    def clock(self) -> WorkerClock:
        """Return the estimate of the worker's monotonic clock."""
        return self.lease.clock

    @property
    def lease_ends_at(self) -> float:
        """Return the latest end of the worker's lease, on the owner's clock."""
        return self.lease.ends_at

    def acknowledge(self, number: int) -> None:
        """Acknowledge stored ends up to a number with the next poll."""
        if number > self.stored_upto:
            self.stored_upto = number
        self._count_unstored_ends()
        self._stored.set()

    def _count_unstored_ends(self) -> None:
        worker = self.scheduler.state.workers.get(self.worker_id)
        if worker is not None and not self.closed:
            worker.unstored_ends = max(0, self.received_upto - self.stored_upto)

    def request_identity(self) -> None:
        """Poll the worker for its identity even if it has no runs."""
        self._poll_requested = True
        self._liveness.reset()
        self._wake.set()

    def wake(self) -> None:
        """Resume polling if the worker was idle."""
        self._wake.set()

    async def async_run(self) -> None:
        """Poll the worker until its incarnation is known to be over."""
        while not self.closed:
            worker = self.scheduler.state.workers.get(self.worker_id)
            if worker is None:
                return
            if self._is_idle(worker):
                await self._wake.wait()
                self._wake = anyio.Event()
                continue
            if not self.authorised():
                await self.timers.async_sleep(POLL_RETRY_SECONDS)
                continue
            await self._async_poll_in_turn(worker)

    async def async_ensure_alive(self, fresh: bool) -> None:
        """Check that the worker answered recently, before a task is started on it.

        The crash of an idle worker goes unnoticed, and an unanswered start would then
        be counted as its cause.

        :param fresh: whether to require the answer to a call that is sent now.
        :raises CallRefusedError: if the worker does not answer or may not get a task.
        :raises WrongIncarnationError: if another incarnation answered.
        """
        if not self.authorised():
            raise CallRefusedError("owner has lost its authority")
        if fresh:
            await self._async_probe()
        elif not self._has_answered_within(LIVENESS_MAX_AGE_SECONDS):
            await self._async_wait_for_poll()

    async def _async_wait_for_poll(self) -> None:
        """Wait for the session's next poll, which all waiting starts share."""
        self._poll_requested = True
        self._wake.set()
        with anyio.move_on_after(LIVENESS_TIMEOUT_SECONDS):
            await self._polled.wait()
        if not self._has_answered_within(LIVENESS_MAX_AGE_SECONDS):
            raise CallRefusedError("worker did not answer a poll")

    async def _async_probe(self) -> None:
        """Poll the worker outside the session's loop, whose polls may take long."""
        minimum_ms = self.clock.minimum_ms(self.timers.monotonic())
        try:
            answer = await self.client.async_poll(0, None, 0)
        except CallUnknownError as error:
            self.request_identity()
            raise CallRefusedError(f"worker did not answer: {error.detail}") from error
        if self.closed or self._is_other_incarnation(answer, minimum_ms):
            self.request_identity()
            raise CallRefusedError("another incarnation answered")
        self._record_answer(answer.clock_ms)

    async def async_start(self, task: Task, run: int) -> StartResponse:
        """Start a task on the worker and extend its lease.

        :raises CallRefusedError: if this owner may send no commands; nothing was sent.
        """
        if not self.authorised():
            raise CallRefusedError("owner has lost its authority")
        if not self.clock.is_known:
            raise CallRefusedError("worker's clock is unknown")
        now = self.timers.monotonic()
        deadline_ms = self.lease.renew(now)
        ticket = task.step.tickets.get(self.worker_id)
        order = StartRequest(
            task.name,
            run,
            task.step.job.record.spec,
            deadline_ms,
            task.checkpoint,
            ticket.value if ticket is not None else "",
        )
        minimum_ms = self.clock.minimum_ms(now)
        self._wake.set()
        try:
            answer = await self.client.async_start(order)
            if self.clock.has_reset(answer.clock_ms, minimum_ms):
                # Another incarnation started the task under a lease that was
                # calculated on the old clock. The next poll identifies it.
                raise CallUnknownError("worker's clock began anew")
        except CallUnknownError:
            self._liveness.reset()
            self.lease.record_unanswered(self.timers.monotonic())
            raise
        self._record_answer(answer.clock_ms)
        return answer

    def _is_other_incarnation(self, answer: WorkerReport, minimum_ms: float) -> bool:
        """Return whether another incarnation answered, by start time or clock.

        :param minimum_ms: the least that the worker's clock can show.
        """
        if answer.born and self.started_at_ms:
            return is_other_incarnation(answer.born, self.started_at_ms)
        return self.clock.has_reset(answer.clock_ms, minimum_ms)

    def _record_answer(self, clock_ms: float) -> None:
        """Record the clock and time of an answer of this incarnation."""
        now = self.timers.monotonic()
        self.lease.record_answer(clock_ms, now)
        self._liveness.confirm(now)

    def _has_answered_within(self, seconds: float) -> bool:
        """Return whether this incarnation answered its last call within this time."""
        return self._liveness.was_confirmed_within(seconds, self.timers.monotonic())

    def _is_idle(self, worker: WorkerState) -> bool:
        """Return whether the worker needs no poll.

        A run without a known task also occupies capacity until a poll no longer lists
        it.
        """
        return (
            not self._poll_requested
            and worker.confirmed
            and not worker.has_runs
            and not worker.stale
            and self.received_upto <= self._acknowledged_upto
        )

    async def _async_poll_in_turn(self, worker: WorkerState) -> None:
        """Poll the worker, with a slot if it is unconfirmed, and pause afterwards."""
        is_unconfirmed = worker.stale or not worker.confirmed
        pause = 0.0
        async with self.contact_limiter.async_slot(is_unconfirmed):
            await self._async_wait_until_stored()
            # The incarnation or this ownership may have ended during the waits.
            if not self.closed and self.authorised():
                pause = await self._async_poll(worker)
        self._polled.set()
        self._polled = anyio.Event()
        if pause and not self.closed:
            await self.timers.async_sleep(pause)

    async def _async_wait_until_stored(self) -> None:
        """Wait until the ends that were received are stored, which polls return."""
        if self.received_upto > self.stored_upto:
            with anyio.move_on_after(UNSTORED_POLL_DELAY_SECONDS):
                await self._stored.wait()

    async def _async_poll(self, worker: WorkerState) -> float:
        """Poll the worker once; return the delay in seconds until the next poll."""
        sent_at = self.timers.monotonic()
        minimum_ms = self.clock.minimum_ms(sent_at)
        # The incarnation must be known before anything is acknowledged to it.
        acknowledged_upto = (
            self.stored_upto
            if self._has_answered_within(ACKNOWLEDGE_MAX_AGE_SECONDS)
            else 0
        )
        try:
            answer = await self._async_send_poll(worker, sent_at, acknowledged_upto)
        except WrongIncarnationError:
            if not self.closed:
                self.closed = True
                now = self.timers.monotonic()
                self.scheduler.remove_worker(self.worker_id, LossCause.REPLACED, now)
                self.on_report()
            return 0.0
        except (CallRefusedError, CallUnknownError) as error:
            return self._handle_failed_poll(worker, error.detail)
        if self.closed:
            # The incarnation was replaced during the call; its answer must not be
            # applied to the incarnation that has its id now.
            return 0.0
        if self._is_other_incarnation(answer, minimum_ms):
            self.on_restart(answer.born)
            return 0.0
        self.started_at_ms = self.started_at_ms or answer.born
        self._poll_requested = False
        self._acknowledged_upto = max(self._acknowledged_upto, acknowledged_upto)
        now = self.timers.monotonic()
        renewed = self._should_renew(sent_at)
        self._record_answer(answer.clock_ms)
        self.unresponsive_since = None
        numbers = [ended.number for ended in answer.ended]
        for ended in answer.ended:
            if ended.number > self.received_upto:
                ENDS.labels(ended.how).inc()
                self.scheduler.reports.log_ignored_end(worker, ended)
        self.received_upto = max(numbers, default=self.received_upto)
        self._count_unstored_ends()
        self._stored = anyio.Event()
        self.scheduler.apply_worker_report(self.worker_id, answer, sent_at, now)
        self.on_report()
        if not renewed and worker.has_runs:
            # The lease may be about to expire.
            return 0.0
        return max(0.0, MIN_POLL_INTERVAL_SECONDS - (now - sent_at))

    async def _async_send_poll(
        self, worker: WorkerState, now: float, acknowledged_upto: int
    ) -> WorkerReport:
        deadline = self.lease.deadline_ms
        wait_ms = 0
        if self._should_renew(now):
            deadline = self.lease.renew(now)
            if acknowledged_upto == self.stored_upto:
                wait_ms = choose_wait_ms(worker, self.scheduler.pacing)
        self._log_acknowledgement(acknowledged_upto)
        return await self.client.async_poll(acknowledged_upto, deadline, wait_ms)

    def _log_acknowledgement(self, number: int) -> None:
        if number <= self._logged_upto:
            return
        if self.acknowledgements is not None:
            self.acknowledgements.record(
                self.worker_id, self.started_at_ms, self._logged_upto, number
            )
        self._logged_upto = number

    def _should_renew(self, now: float) -> bool:
        """Return whether a poll sent now renews the lease.

        Polls of an unresponsive worker repeat the last lease: if they extended it, its
        tasks could not start elsewhere for as long as they continue.
        """
        return self.unresponsive_since is None and self.lease.may_renew(now)

    def _handle_failed_poll(self, worker: WorkerState, detail: str) -> float:
        """Handle an unanswered poll; return the delay in seconds until the next one."""
        if self.closed:
            return 0.0
        now = self.timers.monotonic()
        self._liveness.reset()
        self.lease.record_unanswered(now)
        if self.unresponsive_since is None:
            self.unresponsive_since = now
        if not worker.stale:
            worker.stale = True
            _LOGGER.warning(
                "worker_unresponsive",
                worker=self.worker_id,
                born=self.started_at_ms,
                answered_seconds=self.clock.seconds_since_read(now),
                lease_seconds=self.lease_ends_at - now,
                unanswered_starts=len(worker.unanswered_starts),
                detail=detail,
            )
        if self.ownership_confirmed_until() > self.lease_ends_at:
            # The leases have expired even on the slowest clock possible, and no other
            # owner can have renewed them, so nothing runs on the worker.
            self.scheduler.remove_worker(
                self.worker_id,
                LossCause.LEASES_EXPIRED,
                now,
                self.lease.unanswered_until,
            )
            self.closed = True
            self.on_report()
            return 0.0
        return POLL_RETRY_SECONDS
