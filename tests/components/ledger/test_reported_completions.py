"""Test completions that entry nodes of older builds reported before storing them."""

from __future__ import annotations

from mustardward.components.ledger.const import (
    PREFIX_CANCEL,
    PREFIX_JOB,
    PREFIX_PROGRESS,
    PREFIX_REPORTED,
)
from mustardward.components.ledger.ledger import Ledger, encode
from mustardward.components.ledger.models import (
    CancelRecord,
    JobState,
    Progress,
    ReportedRecord,
)

from .test_ledger import JOB, RECORD, apply_record

REPORTED = encode(ReportedRecord(7.0))


def test_job_reported_as_done_stays_done_in_any_order_of_records() -> None:
    """Guard against a job that a caller saw as done and that runs again.

    An entry node reports a completion that is not stored; the owner and the worker are
    lost, and the next owner stores the job as running.
    """
    running = encode(Progress(JobState.RUNNING))
    records = [
        (PREFIX_REPORTED + JOB, REPORTED),
        (PREFIX_JOB + JOB, encode(RECORD)),
        (PREFIX_PROGRESS + JOB, running),
        (PREFIX_CANCEL + JOB, encode(CancelRecord(8.0))),
    ]
    for shift in range(len(records)):
        ledger = Ledger()
        for key, value in records[shift:] + records[:shift]:
            apply_record(ledger, key, value)
        assert ledger.jobs[JOB].state is JobState.DONE
        assert ledger.jobs[JOB].ended_at == 7.0
        assert PREFIX_REPORTED + JOB in set(ledger.keys())


def test_reported_completion_is_notified_once_and_can_be_deleted() -> None:
    ledger = Ledger()
    reported: list[str] = []
    ledger.on_told = lambda job: reported.append(job.record.id)
    apply_record(ledger, PREFIX_JOB + JOB, encode(RECORD))
    apply_record(ledger, PREFIX_REPORTED + JOB, REPORTED)
    apply_record(ledger, PREFIX_REPORTED + JOB, b"")
    assert reported == [JOB]
    assert ledger.jobs[JOB].state is JobState.QUEUED
