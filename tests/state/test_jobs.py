"""Fold the records of long jobs."""

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
    """Fold the records of one work stream."""

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
    """Fence the holder that lost its lease.

    Symptom: a casting plan is reported done that is still being worked on. Sequence: a
    holder pauses, another takes over, the first wakes and states its outcome. Cause:
    the outcome did not name the attempt it belongs to.
    """
    stream = Stream()
    stream.put(build_accept_job())
    first = stream.lease()
    second = stream.lease()
    late = stream.put(EndAttempt("job-1", first, "done")).failure()
    assert isinstance(late, JobFencedError)
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


def test_a_job_that_may_not_run_twice_is_held_when_its_outcome_is_unknown() -> None:
    """Hold what may have run, and let it go on only from what is surely known.

    Symptom: brass is etched twice. Sequence: the worker is lost in mid-task, the job
    waits again and runs once more. Cause: gone without an outcome was taken for not
    run.
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
    """Let the log's order decide between a cancellation and a start.

    Symptom: a cancelled run starts. Sequence: an operator cancels while a scheduler
    leases. Cause: neither saw the other's record.
    """
    stream = Stream()
    stream.put(build_accept_job())
    stream.put(CancelJobs("derwent", "job-1")).unwrap()
    late = stream.put(LeaseJob("job-1", 0, "a", "worker-1")).failure()
    assert isinstance(late, JobStateError)
    stream.put(build_accept_job("job-2"))
    generation = stream.lease(job_id="job-2")
    stream.put(CancelJobs("derwent", "job-2")).unwrap()
    assert stream.status("job-2") == "cancelling"
    stream.put(EndAttempt("job-2", generation, "preempted")).unwrap()
    assert stream.status("job-2") == "cancelled"


def test_ten_thousand_cancelled_at_once_touch_no_job() -> None:
    """Cancel a wave of jobs by one mark.

    Symptom: every node stands still for a second. Sequence: a user cancels 10,000 jobs.
    Cause: the record's handler walked over all of them.
    """
    stream = Stream()
    for number in range(10_000):
        stream.put(build_accept_job(f"job-{number}", group="spring"))
    stream.lease(job_id="job-5")
    stream.put(CancelJobs("derwent", group="spring")).unwrap()
    untouched = sum(job.status == "waiting" for job in stream.state.jobs.values())
    assert untouched == 9_999
    assert stream.status("job-9999") == "cancelled"
    assert stream.status("job-5") == "cancelling"
    assert stream.state.open_jobs == {}
    stream.put(build_accept_job("later", group="spring"))
    assert stream.status("later") == "waiting"
    touched = sum(job.status != "waiting" for job in stream.state.jobs.values())
    assert touched <= 1 + job_index.REAPED_JOBS_PER_RECORD


def test_a_cancelled_group_leaves_no_trace_once_all_its_jobs_followed() -> None:
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


def test_finished_jobs_are_forgotten_by_count() -> None:
    stream = Stream()
    kept = job_index.MAX_FINISHED_JOBS
    for number in range(kept + 5):
        stream.put(build_accept_job(f"job-{number}"))
        stream.put(CancelJobs("derwent", f"job-{number}"))
    assert len(stream.state.jobs) == kept
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


def test_the_state_survives_its_codec() -> None:
    stream = Stream()
    for number in range(3):
        stream.put(build_accept_job(f"job-{number}", group="spring"))
    stream.lease()
    stream.put(CancelJobs("derwent", group="spring"))
    encoded = msgspec.msgpack.encode(stream.state)
    assert msgspec.msgpack.decode(encoded, type=WorkState) == stream.state
