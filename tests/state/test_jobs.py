"""Test the records of long-running jobs."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest
from returns.result import Result

from mustardward.exceptions import MustardwardError
from mustardward.state.fold import Acceptance, Fold
from mustardward.state.handlers import job_index
from mustardward.state.handlers.all import WORK_HANDLERS
from mustardward.state.handlers.job_index import job_status
from mustardward.state.handlers.work_errors import (
    JobFencedError,
    JobIdTakenError,
    JobStateError,
)
from mustardward.state.models.jobs import (
    CancelJobs,
    EndAttempt,
    LeaseJob,
    RetryJob,
)
from mustardward.state.work import WorkState
from tests.builders import FoldBuilder, build_accept_job


class Stream(FoldBuilder):
    """Apply records of one ``work`` stream."""

    def __init__(self) -> None:
        super().__init__(Fold(WorkState(), WORK_HANDLERS))

    @property
    def state(self) -> WorkState:
        return self.fold.state

    def put(self, body: Any) -> Result[Acceptance, MustardwardError]:
        return self.apply(body).result

    def lease(self, worker: str = "worker-1", job_id: str = "job-1") -> int:
        generation = self.state.jobs[job_id].generation
        return self.put(LeaseJob(job_id, generation, "a", worker)).unwrap().revision

    def status(self, job_id: str = "job-1") -> str:
        return job_status(self.state, self.state.jobs[job_id])


def test_a_repeated_submission_is_confirmed_and_another_job_refused() -> None:
    stream = Stream()
    first = stream.put(build_accept_job()).unwrap()
    again = stream.put(build_accept_job()).unwrap()
    other = stream.put(build_accept_job(payload=b"other")).failure()
    assert again.revision == first.revision
    assert isinstance(other, JobIdTakenError)


def test_an_older_attempt_cannot_end_the_job_of_a_newer_one() -> None:
    """Guard against reporting a job as done that is still running.

    A lease holder pauses, another one takes over, and the first resumes and records
    its outcome. The generation has to identify the attempt of an outcome.
    """
    stream = Stream()
    stream.put(build_accept_job())
    first = stream.lease()
    second = stream.lease()
    refusal = stream.put(EndAttempt("job-1", first, "done")).failure()
    assert isinstance(refusal, JobFencedError)
    assert stream.status() == "running"
    stream.put(EndAttempt("job-1", second, "done", result=b"ok")).unwrap()
    assert stream.status() == "done"
    assert stream.state.jobs["job-1"].result == b"ok"


def test_a_takeover_stays_on_the_worker_that_may_still_run_it() -> None:
    stream = Stream()
    stream.put(build_accept_job())
    generation = stream.lease("worker-1")
    moved = stream.put(LeaseJob("job-1", generation, "b", "worker-2")).failure()
    assert isinstance(moved, JobStateError)


def test_failures_on_three_distinct_healthy_workers_park_a_job() -> None:
    stream = Stream()
    stream.put(build_accept_job())
    for worker in ("worker-1", "worker-1", "worker-2"):
        end = EndAttempt("job-1", stream.lease(worker), "failed", reason="exit 3")
        stream.put(end).unwrap()
        assert stream.status() == "waiting"
    stream.put(
        EndAttempt("job-1", stream.lease("bad"), "failed", worker_suspect=True)
    ).unwrap()
    assert stream.status() == "waiting"
    stream.put(
        EndAttempt("job-1", stream.lease("worker-3"), "failed", reason="exit 3")
    ).unwrap()
    assert stream.status() == "parked"
    assert "worker-1,worker-2,worker-3" in stream.state.jobs["job-1"].reason
    stream.put(RetryJob("job-1")).unwrap()
    assert stream.status() == "waiting"
    assert stream.state.stuck == {}


def test_non_idempotent_job_is_held_when_its_outcome_is_unknown() -> None:
    """Guard against running a non-idempotent job twice.

    A worker that is lost during the task may have run it, so the job must be held
    instead of requeued. It continues only from a known state.
    """
    for outcome in ("unknown", "lost"):
        stream = Stream()
        stream.put(build_accept_job(idempotent=False))
        stream.put(EndAttempt("job-1", stream.lease(), outcome)).unwrap()
        assert stream.status() == "held"
    stream = Stream()
    stream.put(build_accept_job(idempotent=False))
    stream.put(EndAttempt("job-1", stream.lease(), "refused")).unwrap()
    assert stream.status() == "waiting"
    stream.put(EndAttempt("job-1", stream.lease(), "preempted", "step-4")).unwrap()
    assert stream.status() == "waiting"
    assert stream.state.jobs["job-1"].checkpoint == "step-4"
    stream.put(EndAttempt("job-1", stream.lease(), "preempted")).unwrap()
    assert stream.status() == "held"


def test_a_lease_after_a_cancellation_is_refused_and_a_running_job_stops() -> None:
    """Guard against starting a cancelled job.

    An operator cancels while a scheduler leases the job, and neither has read the
    other's record. The order in the log decides.
    """
    stream = Stream()
    stream.put(build_accept_job())
    stream.put(CancelJobs("derwent", "job-1")).unwrap()
    refusal = stream.put(LeaseJob("job-1", 0, "a", "worker-1")).failure()
    assert isinstance(refusal, JobStateError)
    stream.put(build_accept_job("job-2"))
    generation = stream.lease(job_id="job-2")
    stream.put(CancelJobs("derwent", "job-2")).unwrap()
    assert stream.status("job-2") == "cancelling"
    stream.put(EndAttempt("job-2", generation, "preempted")).unwrap()
    assert stream.status("job-2") == "cancelled"


def test_cancelling_ten_thousand_jobs_updates_no_job() -> None:
    """Guard against blocking every node while a large group is cancelled.

    A handler that iterated over 10,000 jobs would take about a second, so the record
    only stores the cancellation of the group, and later records update the jobs.
    """
    stream = Stream()
    for number in range(10_000):
        stream.put(build_accept_job(f"job-{number}", group="spring"))
    stream.lease(job_id="job-5")
    stream.put(CancelJobs("derwent", group="spring")).unwrap()
    unchanged = sum(job.status == "waiting" for job in stream.state.jobs.values())
    assert unchanged == 9_999
    assert stream.status("job-9999") == "cancelled"
    assert stream.status("job-5") == "cancelling"
    assert stream.state.open_jobs == {}
    stream.put(build_accept_job("later", group="spring"))
    assert stream.status("later") == "waiting"
    changed = sum(job.status != "waiting" for job in stream.state.jobs.values())
    assert changed <= 1 + job_index.REAPED_JOBS_PER_RECORD


def test_cancelled_group_is_removed_once_all_its_jobs_are_updated() -> None:
    stream = Stream()
    for number in range(20):
        stream.put(build_accept_job(f"job-{number}", group="spring"))
    stream.put(CancelJobs("derwent", group="spring")).unwrap()
    for number in range(4):
        stream.put(build_accept_job(f"other-{number}"))
    assert stream.state.cancelled_groups == {}
    assert stream.state.cancelled_batches == []
    assert stream.state.open_jobs == {"derwent": 4}
    assert len(stream.state.finished) == 20


def test_finished_jobs_are_dropped_by_count() -> None:
    stream = Stream()
    limit = job_index.MAX_FINISHED_JOBS
    for number in range(limit + 5):
        stream.put(build_accept_job(f"job-{number}"))
        stream.put(CancelJobs("derwent", f"job-{number}"))
    assert len(stream.state.jobs) == limit
    assert "job-4" not in stream.state.jobs
    assert stream.state.open_groups == {}


def test_results_and_payloads_are_bounded_by_their_size(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(job_index, "MAX_RESULT_BYTES", 25)
    stream = Stream()
    for number in range(4):
        job_id = f"job-{number}"
        stream.put(build_accept_job(job_id))
        generation = stream.lease(job_id=job_id)
        stream.put(EndAttempt(job_id, generation, "done", result=b"0123456789"))
    assert list(stream.state.jobs) == ["job-2", "job-3"]
    assert (stream.state.result_bytes, stream.state.payload_bytes) == (20, 0)
    for number in range(20):
        stream.put(build_accept_job(f"late-{number}", group="spring"))
    assert stream.state.payload_bytes == 20 * len(b"plan")
    stream.put(CancelJobs("derwent", group="spring"))
    for _ in range(3):
        stream.put(build_accept_job("last", payload=b""))
    assert stream.state.payload_bytes == 0


def test_state_round_trips_through_its_codec() -> None:
    stream = Stream()
    for number in range(3):
        stream.put(build_accept_job(f"job-{number}", group="spring"))
    stream.lease()
    stream.put(CancelJobs("derwent", group="spring"))
    encoded = msgspec.msgpack.encode(stream.state)
    assert msgspec.msgpack.decode(encoded, type=WorkState) == stream.state
