"""Accept, tell, cancel and count jobs."""

from __future__ import annotations

from dataclasses import dataclass

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
from ..ledger.ledger import Ledger, encode
from ..ledger.models import CancelRecord, JobRecord, JobState
from .const import (
    ANSWER_MARGIN_SECONDS,
    CONFIG_FRESH_SECONDS,
    FRESH_SECONDS,
    LEAST_APPEND_SECONDS,
    LONGEST_RETRY_AFTER_SECONDS,
    RETRY_AFTER_SECONDS,
)

_LOGGER = get_logger(__name__)

_STATES = {
    JobState.QUEUED: callers.STATE_QUEUED,
    JobState.RUNNING: callers.STATE_RUNNING,
    JobState.DONE: callers.STATE_DONE,
    JobState.FAILED: callers.STATE_FAILED,
    JobState.CANCELLED: callers.STATE_CANCELLED,
}


@dataclass(frozen=True, slots=True)
class Request:
    """Hold what a caller sent; the deadline in steady seconds."""

    method: str
    host: str
    path: str
    body: bytes
    deadline: float


@dataclass(frozen=True, slots=True)
class Reply:
    """Hold what a caller is answered; ``retry_after`` in seconds, or None."""

    status: int
    body: bytes
    retry_after: int | None = None


@dataclass(slots=True, eq=False)
class Front:
    """Answer callers.

    :param appender: stores what is accepted here, under this process's own name.
    """

    timers: TimerService
    configuration: Configuration
    config_follower: TopicFollower
    ledger: Ledger
    follower: TopicFollower
    appender: GroupAppender

    async def async_answer(self, request: Request) -> Reply:
        """Return the answer to a request."""
        if self.configuration.config is None:
            return self._refused(request.path, "no-configuration", "it is not read yet")
        queue = self.configuration.table.find(request.host, request.path)
        if queue is None:
            return await self._async_no_queue(request)
        name = request.path[len(queue.path_prefix) :]
        if not name:
            return await self._async_count(request, queue)
        if not callers.is_job_id(name):
            return _error(404, "no-such-job", "the id has not 16 hexadecimal digits")
        return await self._async_job(request, queue, name)

    @property
    def log_failing(self) -> bool:
        """Return whether the last read of the log failed."""
        return self.follower.failing_since is not None

    def open_job(self, request: Request) -> str | None:
        """Return the job that a request names, unless it is known to be over."""
        queue = self.configuration.table.find(request.host, request.path)
        if queue is None:
            return None
        name = request.path[len(queue.path_prefix) :]
        job = self.ledger.jobs.get(name)
        if not callers.is_job_id(name) or (job is not None and job.state.final):
            return None
        return name

    def tell_done(self) -> Reply:
        """Return the answer that a job is done."""
        return Reply(200, callers.encode_state(callers.STATE_DONE))

    async def _async_job(self, request: Request, queue: Queue, name: str) -> Reply:
        if request.method == "POST":
            return await self._async_submit(request, queue, name)
        if request.method == "GET":
            return await self._async_tell(name)
        if request.method == "DELETE":
            return await self._async_cancel(request, name)
        return _error(405, "method-not-allowed", request.method)

    async def _async_no_queue(self, request: Request) -> Reply:
        """Answer that there is no such queue only as of a configuration just read."""
        age = self.timers.monotonic() - self.config_follower.fresh_at
        if age > CONFIG_FRESH_SECONDS:
            if not await self.config_follower.async_confirm():
                return self._refused(
                    request.path, "configuration-old", f"age={age:.1f}"
                )
            if self.configuration.table.find(request.host, request.path) is not None:
                return await self.async_answer(request)
        return _error(404, "no-such-queue", "no queue has this host and prefix")

    async def _async_submit(self, request: Request, queue: Queue, name: str) -> Reply:
        known = self.ledger.jobs.get(name)
        if known is not None:
            return Reply(200, callers.encode_state(_STATES[known.state]))
        try:
            job = callers.decode_job(request.body)
        except MalformedJobError as error:
            return _error(400, error.code, error.detail)
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

    async def _async_tell(self, name: str) -> Reply:
        job = self.ledger.jobs.get(name)
        age = self.timers.monotonic() - self.follower.fresh_at
        if job is None or (not job.state.final and age > FRESH_SECONDS):
            # A job may have been accepted by another entry a moment ago.
            confirmed = await self.follower.async_confirm()
            job = self.ledger.jobs.get(name)
            if job is None and not confirmed:
                return self._refused(name, "state-old", f"age={age:.1f}")
        if job is None:
            return _error(410, "no-such-job", "no job has this id")
        return Reply(200, callers.encode_state(_STATES[job.state]))

    async def _async_cancel(self, request: Request, name: str) -> Reply:
        job = self.ledger.jobs.get(name)
        if job is None and not await self.follower.async_confirm():
            return self._refused(name, "state-old", "the log can't be read")
        job = self.ledger.jobs.get(name)
        if job is None:
            return _error(410, "no-such-job", "no job has this id")
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
        return self._refused(request.path, "cut-off", "neither log nor peer answers")

    def _append_until(self, request: Request) -> float:
        least = self.timers.monotonic() + LEAST_APPEND_SECONDS
        return max(least, request.deadline - ANSWER_MARGIN_SECONDS)

    def _refused(self, what: str, code: str, detail: str) -> Reply:
        """Return a refusal that is true: nothing of the request was kept."""
        outage = longest_outage(
            self.timers.monotonic(),
            self.follower.failing_since,
            self.config_follower.failing_since,
        )
        pause = retry_after(outage)
        _LOGGER.info(
            "request_refused",
            request=what,
            code=code,
            detail=detail,
            outage_seconds=outage,
            retry_after=pause,
        )
        return Reply(503, callers.encode_error(code, detail), pause)

    def _not_stored(self, name: str, outcome: Outcome) -> Reply:
        if outcome is Outcome.NOT_STORED:
            return self._refused(name, "not-stored", "the log did not take it")
        # It may be stored, now or later: to call it refused would be a guess.
        _LOGGER.warning("outcome_unknown", request=name, outcome=outcome.value)
        return _error(504, "outcome-unknown", "ask again with the same id")

    async def _async_count(self, request: Request, queue: Queue) -> Reply:
        if request.method != "GET":
            return _error(405, "method-not-allowed", request.method)
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


def _error(status: int, code: str, detail: str) -> Reply:
    return Reply(status, callers.encode_error(code, detail))


def longest_outage(now: float, *failing_since: float | None) -> float:
    """Return for how long the first of some ways to the log has failed, or 0."""
    return max((now - since for since in failing_since if since is not None), default=0)


def retry_after(outage_seconds: float) -> int:
    """Return when a refused caller should come back, in whole seconds.

    Callers give up after a few tries. With a short pause they are all used up in one
    outage; a pause as long as the outage has lasted makes few tries span a long one,
    and still ends soon after a short one.
    """
    return int(
        min(LONGEST_RETRY_AFTER_SECONDS, max(RETRY_AFTER_SECONDS, outage_seconds))
    )
