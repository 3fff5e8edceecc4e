"""Accept, query, cancel and count jobs for callers."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field, replace

from ...helpers.logging import get_logger
from ...helpers.timer import TimerService
from ...platform import callers
from ...platform.exceptions import MalformedJobError
from ...platform.models import Queue, SubmittedStep
from ..configuration.routing import queue_key
from ..configuration.services import Configuration, make_policy
from ..ledger.appender import (
    LENGTH_BYTES,
    GroupAppender,
    Outcome,
    Record,
    encoded_size,
)
from ..ledger.const import PREFIX_CANCEL, PREFIX_JOB
from ..ledger.follower import TopicFollower
from ..ledger.ledger import Ledger, LedgerJob, encode
from ..ledger.models import CancelRecord, JobRecord, JobState
from ..organisations.access import may_access_job
from .admission import Admission
from .const import (
    ANSWER_MARGIN_SECONDS,
    MAX_JOB_STATE_AGE_SECONDS,
    MAX_SUMMARIZED_STEPS,
    MIN_APPEND_TIMEOUT_SECONDS,
)
from .models import AdmittedRequest, Reply, Request, error_reply
from .refusals import Refusals

_LOGGER = get_logger(__name__)

VisibleJob = Callable[[], LedgerJob | None]
"""Returns the current state of a job if its caller may access it."""

_STATES = {
    JobState.QUEUED: callers.STATE_QUEUED,
    JobState.RUNNING: callers.STATE_RUNNING,
    JobState.DONE: callers.STATE_DONE,
    JobState.FAILED: callers.STATE_FAILED,
    JobState.CANCELLED: callers.STATE_CANCELLED,
}


@dataclass(slots=True, eq=False)
class FrontService:
    """Answer callers' requests about jobs.

    :param appender: appends records under this process's own producer name.
    :param max_key_age_seconds: see ``Admission``.
    """

    timers: TimerService
    configuration: Configuration
    config_follower: TopicFollower
    ledger: Ledger
    follower: TopicFollower
    appender: GroupAppender
    max_key_age_seconds: float | None = None
    admission: Admission = field(init=False)
    refusals: Refusals = field(init=False)

    def __post_init__(self) -> None:
        """Create the admission check and the refusals."""
        self.refusals = Refusals(self.timers, self.follower, self.config_follower)
        self.admission = Admission(
            self.timers,
            self.configuration,
            self.config_follower,
            self.refusals,
            self.max_key_age_seconds,
        )

    async def async_answer(self, request: Request) -> Reply:
        """Return the reply to a request, with the newest version that allows it."""
        admitted = await self.admission.async_admit(request)
        if isinstance(admitted, Reply):
            return admitted
        reply = await self._async_answer_admitted(request, admitted)
        version = self.admission.newest_allowing(request, admitted)
        return replace(reply, version=version)

    async def _async_answer_admitted(
        self, request: Request, admitted: AdmittedRequest
    ) -> Reply:
        queue = admitted.queue
        job_id = request.path[len(queue.path_prefix) :]
        if not job_id:
            return await self._async_count(request, queue)
        if not callers.is_job_id(job_id):
            return error_reply(
                404, "no-such-job", "the id has not 16 hexadecimal digits"
            )
        return await self._async_job(request, admitted, job_id)

    def is_final(self, request: Request) -> bool:
        """Return whether a request is for a job that has ended.

        Return False if the caller may not access the job.
        """
        admitted = self.admission.resolve(request)
        if isinstance(admitted, Reply):
            return False
        job_id = request.path[len(admitted.queue.path_prefix) :]
        job = self.ledger.jobs.get(job_id)
        return job is not None and job.state.final and _may_access(admitted, job)

    async def _async_job(
        self, request: Request, admitted: AdmittedRequest, job_id: str
    ) -> Reply:
        def visible() -> LedgerJob | None:
            job = self.ledger.jobs.get(job_id)
            return job if job is not None and _may_access(admitted, job) else None

        if request.method == "POST":
            return await self._async_submit(request, admitted, job_id)
        if request.method == "GET":
            return await self._async_get_state(job_id, visible)
        if request.method == "DELETE":
            return await self._async_cancel(request, job_id, visible)
        return error_reply(405, "method-not-allowed", request.method)

    async def _async_submit(
        self, request: Request, admitted: AdmittedRequest, job_id: str
    ) -> Reply:
        queue = admitted.queue
        existing = self.ledger.jobs.get(job_id)
        if existing is not None:
            if not _may_access(admitted, existing):
                return error_reply(409, "id-taken", "another organisation's job has it")
            return Reply(200, callers.encode_state(_STATES[existing.state]))
        try:
            job = callers.decode_job(request.body)
        except MalformedJobError as error:
            return error_reply(400, error.code, error.detail)
        refusal = self._refuse_if_queued_late(request, PREFIX_JOB + job_id)
        if refusal is not None:
            return refusal
        record = JobRecord(
            job_id,
            queue_key(queue),
            queue.service,
            job.spec,
            job.steps,
            job.times,
            job.start_at_ms,
            job.interval_ms,
            self.timers.wall(),
            admitted.caller.organisation,
            make_policy(queue).to_record(),
            self.configuration.limits_of(admitted.caller.organisation),
        )
        return await self._async_store_job(request, admitted, record)

    async def _async_store_job(
        self, request: Request, admitted: AdmittedRequest, record: JobRecord
    ) -> Reply:
        records = [(PREFIX_JOB + record.id, encode(record))]
        if not self.appender.limits.accept(records):
            return self._job_too_large_reply(record.id, records)
        outcome = await self.appender.async_append(
            records,
            self._append_deadline(request),
            lambda: self._is_allowed(request, admitted),
        )
        _LOGGER.info(
            "job_submitted",
            job=record.id,
            queue=admitted.queue.name,
            service=record.service,
            organisation=record.organisation,
            steps=len(record.steps),
            tasks=sum(step.count for step in record.steps),
            shape=_summarize_steps(record.steps),
            lasting=any(step.long_running for step in record.steps),
            fills=any(step.fills for step in record.steps),
            max_per_worker=max(step.max_per_server for step in record.steps),
            may_miss=max(step.may_miss for step in record.steps),
            outcome=outcome.value,
        )
        if outcome is Outcome.STORED:
            return Reply(200, callers.encode_state(callers.STATE_QUEUED))
        if outcome is Outcome.REJECTED:
            return self._job_too_large_reply(record.id, records)
        return self._append_failed_reply(PREFIX_JOB, record.id, outcome)

    def _job_too_large_reply(self, job_id: str, records: list[Record]) -> Reply:
        """Return the refusal of a job that the store does not accept."""
        if self.appender.holds(PREFIX_JOB + job_id):
            # Another request with this id is in flight, perhaps with a smaller job.
            return self._unknown_reply(job_id, Outcome.UNKNOWN)
        size = encoded_size(records) - LENGTH_BYTES
        most = self.appender.limits.max_record_bytes
        _LOGGER.warning("job_too_large", job=job_id, bytes=size, most=most)
        return error_reply(413, "job-too-large", f"stored={size} most={most}")

    async def _async_get_state(self, job_id: str, visible: VisibleJob) -> Reply:
        job = visible()
        age = self.timers.monotonic() - self.follower.up_to_date_at
        if job is None or (not job.state.final and age > MAX_JOB_STATE_AGE_SECONDS):
            # Another entry node may have accepted the job a moment ago.
            confirmed = await self.follower.async_catch_up()
            job = visible()
            if job is None and not confirmed:
                return self.refusals.reject(job_id, "state-old", f"age={age:.1f}")
        if job is None:
            return error_reply(410, "no-such-job", "no job has this id")
        return Reply(200, callers.encode_state(_STATES[job.state]))

    async def _async_cancel(
        self, request: Request, job_id: str, visible: VisibleJob
    ) -> Reply:
        if visible() is None and not await self.follower.async_catch_up():
            return self.refusals.reject(job_id, "state-old", "the log can't be read")
        job = visible()
        if job is None:
            return error_reply(410, "no-such-job", "no job has this id")
        if not job.state.final:
            refusal = self._refuse_if_queued_late(request, PREFIX_CANCEL + job_id)
            if refusal is not None:
                return refusal
            outcome = await self.appender.async_append(
                [(PREFIX_CANCEL + job_id, encode(CancelRecord(self.timers.wall())))],
                self._append_deadline(request),
            )
            _LOGGER.info("job_cancelled", job=job_id, outcome=outcome.value)
            if outcome is not Outcome.STORED:
                return self._append_failed_reply(PREFIX_CANCEL, job_id, outcome)
        return Reply(200, callers.encode_state(callers.STATE_CANCELLED))

    def refuse_if_late(self, request: Request, expected_seconds: float) -> Reply | None:
        """Return the refusal of a request that can't be stored in its time, or None.

        Only for a request that was not sent anywhere.

        :param expected_seconds: time until the store's response, or 0 if unknown.
        """
        remaining_seconds = request.deadline - self.timers.monotonic()
        if expected_seconds <= max(0.0, remaining_seconds):
            return None
        detail = f"expected={expected_seconds:.2f} left={remaining_seconds:.2f}"
        return self.refusals.reject(
            request.path, "store-slow", detail, expected_seconds
        )

    def _refuse_if_queued_late(self, request: Request, key: str) -> Reply | None:
        """Return the refusal of a request that would be queued too long, or None.

        A caller that asks again is not refused while its first request is queued or in
        flight here.
        """
        if self.appender.holds(key):
            return None
        return self.refuse_if_late(request, self.appender.expected_seconds())

    def holds(self, request: Request) -> bool:
        """Return whether this node is appending the submission or cancellation."""
        prefix = PREFIX_CANCEL if request.method == "DELETE" else PREFIX_JOB
        return self.appender.holds(prefix + request.path[-callers.JOB_ID_LENGTH :])

    def is_stored(self, request: Request) -> bool:
        """Return whether a submitted job is stored, as far as this node has read."""
        job_id = request.path[-callers.JOB_ID_LENGTH :]
        return request.method == "POST" and job_id in self.ledger.jobs

    def unreachable_reply(self, request: Request) -> Reply:
        """Return the refusal of a request that can't be stored from here."""
        return self.refusals.reject(request.path, "cut-off", "no log, no peer")

    def _is_allowed(self, request: Request, admitted: AdmittedRequest) -> bool:
        """Return whether the newest version that callers have seen allows a request."""
        newest_version = self.configuration.newest_version
        return self.admission.newest_allowing(request, admitted) >= newest_version

    def _append_deadline(self, request: Request) -> float:
        earliest = self.timers.monotonic() + MIN_APPEND_TIMEOUT_SECONDS
        return max(earliest, request.deadline - ANSWER_MARGIN_SECONDS)

    def _append_failed_reply(self, prefix: str, job_id: str, outcome: Outcome) -> Reply:
        # An earlier request of the same caller may be in flight.
        held = self.appender.holds(prefix + job_id)
        if outcome in (Outcome.NOT_STORED, Outcome.REJECTED) and not held:
            return self.refusals.reject(job_id, "not-stored", "the log did not take it")
        return self._unknown_reply(job_id, outcome)

    def _unknown_reply(self, job_id: str, outcome: Outcome) -> Reply:
        # It may be stored now or later, so that it must not be reported as refused.
        _LOGGER.warning("outcome_unknown", request=job_id, outcome=outcome.value)
        return error_reply(504, "outcome-unknown", "ask again with the same id")

    async def _async_count(self, request: Request, queue: Queue) -> Reply:
        if request.method != "GET":
            return error_reply(405, "method-not-allowed", request.method)
        age = self.timers.monotonic() - self.follower.up_to_date_at
        if age > 1.0:
            await self.follower.async_catch_up()
        count = self.ledger.count_pending(queue_key(queue))
        return Reply(200, callers.encode_pending(count))


def _summarize_steps(steps: list[SubmittedStep]) -> str:
    """Return a summary of steps for the log, such as ``8x9x512;8x2.5x64<0``.

    Each step is its tasks, cores and memory in MB, then the steps that it depends on.
    Empty for a job with so many steps that its line would be as long as hundreds.
    """
    if sum(1 + len(step.after) for step in steps) > MAX_SUMMARIZED_STEPS:
        return ""
    return ";".join(
        f"{step.count}x{step.cpu / 1000:g}x{step.mem_mb}"
        + (f"<{','.join(map(str, step.after))}" if step.after else "")
        for step in steps
    )


def _may_access(admitted: AdmittedRequest, job: LedgerJob) -> bool:
    return may_access_job(admitted.caller, admitted.queue, job.record)
