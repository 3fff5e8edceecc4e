"""Accept, tell, cancel and count jobs."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from ...helpers.logging import get_logger
from ...helpers.timer import TimerService
from ...platform import callers
from ...platform.exceptions import MalformedJobError
from ...platform.models import Queue, SubmittedStep
from ..configuration.routing import queue_key
from ..configuration.services import Configuration
from ..ledger.appender import GroupAppender, Outcome
from ..ledger.const import PREFIX_CANCEL, PREFIX_JOB
from ..ledger.follower import TopicFollower
from ..ledger.ledger import Ledger, LedgerJob, encode
from ..ledger.models import CancelRecord, JobRecord, JobState
from ..organisations.access import may_access_job
from .admission import Admission
from .const import ANSWER_MARGIN_SECONDS, FRESH_SECONDS, LEAST_APPEND_SECONDS
from .models import Admitted, Reply, Request, error_reply
from .refusing import Refusing

_LOGGER = get_logger(__name__)

VisibleJob = Callable[[], LedgerJob | None]
"""Returns a job as it is known now, if its caller may see it."""

_STATES = {
    JobState.QUEUED: callers.STATE_QUEUED,
    JobState.RUNNING: callers.STATE_RUNNING,
    JobState.DONE: callers.STATE_DONE,
    JobState.FAILED: callers.STATE_FAILED,
    JobState.CANCELLED: callers.STATE_CANCELLED,
}


@dataclass(slots=True, eq=False)
class Front:
    """Answer callers.

    :param appender: stores what is accepted here, under this process's own name.
    :param oldest_keys_seconds: see ``Admission``.
    """

    timers: TimerService
    configuration: Configuration
    config_follower: TopicFollower
    ledger: Ledger
    follower: TopicFollower
    appender: GroupAppender
    oldest_keys_seconds: float | None = None
    admission: Admission = field(init=False)
    refusing: Refusing = field(init=False)

    def __post_init__(self) -> None:
        """Make what admits and what refuses callers."""
        self.refusing = Refusing(self.timers, self.follower, self.config_follower)
        self.admission = Admission(
            self.timers,
            self.configuration,
            self.config_follower,
            self.refusing,
            self.oldest_keys_seconds,
        )

    async def async_answer(self, request: Request) -> Reply:
        """Return the answer to a request."""
        admitted = await self.admission.async_admit(request)
        if isinstance(admitted, Reply):
            return admitted
        queue = admitted.queue
        name = request.path[len(queue.path_prefix) :]
        if not name:
            return await self._async_count(request, queue)
        if not callers.is_job_id(name):
            return error_reply(
                404, "no-such-job", "the id has not 16 hexadecimal digits"
            )
        return await self._async_job(request, admitted, name)

    @property
    def log_failing(self) -> bool:
        """Return whether the last read of the log failed."""
        return self.follower.failing_since is not None

    def open_job(self, request: Request) -> str | None:
        """Return the job that a request names, unless it is known to be over.

        Nor is one returned that the caller may not ask for.
        """
        admitted = self.admission.find(request)
        if isinstance(admitted, Reply):
            return None
        name = request.path[len(admitted.queue.path_prefix) :]
        if not callers.is_job_id(name):
            return None
        job = self.ledger.jobs.get(name)
        if job is None:
            # Whose it is can't be told from here.
            return None if self.configuration.api_keys.required else name
        return None if job.state.final or not _may_see(admitted, job) else name

    def tell_done(self) -> Reply:
        """Return the answer that a job is done."""
        return Reply(200, callers.encode_state(callers.STATE_DONE))

    async def _async_job(
        self, request: Request, admitted: Admitted, name: str
    ) -> Reply:
        def visible() -> LedgerJob | None:
            job = self.ledger.jobs.get(name)
            return job if job is not None and _may_see(admitted, job) else None

        if request.method == "POST":
            return await self._async_submit(request, admitted, name)
        if request.method == "GET":
            return await self._async_tell(name, visible)
        if request.method == "DELETE":
            return await self._async_cancel(request, name, visible)
        return error_reply(405, "method-not-allowed", request.method)

    async def _async_submit(
        self, request: Request, admitted: Admitted, name: str
    ) -> Reply:
        queue = admitted.queue
        known = self.ledger.jobs.get(name)
        if known is not None:
            if not _may_see(admitted, known):
                return error_reply(409, "id-taken", "another organisation's job has it")
            return Reply(200, callers.encode_state(_STATES[known.state]))
        try:
            job = callers.decode_job(request.body)
        except MalformedJobError as error:
            return error_reply(400, error.code, error.detail)
        record = JobRecord(
            name,
            queue_key(queue),
            queue.service,
            job.spec,
            job.steps,
            job.times,
            job.start_at_ms,
            job.interval_ms,
            self.timers.wall(),
            admitted.caller.organisation,
        )
        outcome = await self.appender.async_append(
            [(PREFIX_JOB + name, encode(record))],
            self._append_until(request),
        )
        _LOGGER.info(
            "job_submitted",
            job=name,
            queue=queue.name,
            service=queue.service,
            organisation=admitted.caller.organisation,
            steps=len(job.steps),
            tasks=sum(step.count for step in job.steps),
            shape=_shape(job.steps),
            lasting=any(step.long_running for step in job.steps),
            fills=any(step.fills for step in job.steps),
            most_a_worker=max(step.max_per_server for step in job.steps),
            may_miss=max(step.may_miss for step in job.steps),
            outcome=outcome.value,
        )
        if outcome is Outcome.STORED:
            return Reply(200, callers.encode_state(callers.STATE_QUEUED))
        return self._not_stored(name, outcome)

    async def _async_tell(self, name: str, visible: VisibleJob) -> Reply:
        job = visible()
        age = self.timers.monotonic() - self.follower.fresh_at
        if job is None or (not job.state.final and age > FRESH_SECONDS):
            # A job may have been accepted by another entry a moment ago.
            confirmed = await self.follower.async_confirm()
            job = visible()
            if job is None and not confirmed:
                return self.refusing.refused(name, "state-old", f"age={age:.1f}")
        if job is None:
            return error_reply(410, "no-such-job", "no job has this id")
        return Reply(200, callers.encode_state(_STATES[job.state]))

    async def _async_cancel(
        self, request: Request, name: str, visible: VisibleJob
    ) -> Reply:
        if visible() is None and not await self.follower.async_confirm():
            return self.refusing.refused(name, "state-old", "the log can't be read")
        job = visible()
        if job is None:
            return error_reply(410, "no-such-job", "no job has this id")
        if not job.state.final:
            outcome = await self.appender.async_append(
                [(PREFIX_CANCEL + name, encode(CancelRecord(self.timers.wall())))],
                self._append_until(request),
            )
            _LOGGER.info("job_cancelled", job=name, outcome=outcome.value)
            if outcome is not Outcome.STORED:
                return self._not_stored(name, outcome)
        return Reply(200, callers.encode_state(callers.STATE_CANCELLED))

    def refuse_cut_off(self, request: Request) -> Reply:
        """Return the refusal of what can't be stored from here, nothing of it kept."""
        return self.refusing.refused(request.path, "cut-off", "no log, no peer")

    def _append_until(self, request: Request) -> float:
        least = self.timers.monotonic() + LEAST_APPEND_SECONDS
        return max(least, request.deadline - ANSWER_MARGIN_SECONDS)

    def _not_stored(self, name: str, outcome: Outcome) -> Reply:
        if outcome is Outcome.NOT_STORED:
            return self.refusing.refused(name, "not-stored", "the log did not take it")
        # It may be stored, now or later: to call it refused would be a guess.
        _LOGGER.warning("outcome_unknown", request=name, outcome=outcome.value)
        return error_reply(504, "outcome-unknown", "ask again with the same id")

    async def _async_count(self, request: Request, queue: Queue) -> Reply:
        if request.method != "GET":
            return error_reply(405, "method-not-allowed", request.method)
        age = self.timers.monotonic() - self.follower.fresh_at
        if age > 1.0:
            await self.follower.async_confirm()
        count = self.ledger.count_pending(queue_key(queue))
        return Reply(200, callers.encode_pending(count))


def _shape(steps: list[SubmittedStep]) -> str:
    """Return what the steps ask for, as ``8x9x512;8x2.5x64<0``.

    That is tasks, cores and MB of each, and the steps that come before.
    """
    return ";".join(
        f"{step.count}x{step.cpu / 1000:g}x{step.mem_mb}"
        + (f"<{','.join(map(str, step.after))}" if step.after else "")
        for step in steps
    )


def _may_see(admitted: Admitted, job: LedgerJob) -> bool:
    return may_access_job(admitted.caller, admitted.queue, job.record)
