"""Test what is told of jobs that ended while the log is away."""

from __future__ import annotations

from mustardward.components.ledger.ahead import UnloggedCompletions
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

from .test_ledger import JOB, RECORD, fold

TOLD = encode(ReportedRecord(7.0))


def test_a_told_end_stays_until_the_log_has_it() -> None:
    unlogged = UnloggedCompletions()
    unlogged.mark_reported("a")
    unlogged.add("b")
    assert unlogged.unlogged_reports(lambda job: False) == ["a"]
    assert unlogged.contains("a") and unlogged.contains("b")
    assert unlogged.unlogged_reports(lambda job: job == "a") == []
    assert (unlogged.contains("a"), unlogged.contains("b")) == (False, True)


def test_what_the_owner_here_knows_is_known_here() -> None:
    unlogged = UnloggedCompletions(completed_at_owner=lambda job: job == "a")
    assert unlogged.contains("a") and not unlogged.contains("b")


def test_a_job_that_was_told_as_done_stays_done_in_each_order_of_records() -> None:
    """Never go back behind what a caller was told.

    Symptom: a job that was shown as done is shown as running, and runs again. Sequence:
    an entry tells an end that no store has; the owner and the worker are lost; the next
    owner stores the job as running. Cause: the teller's word did not last.
    """
    running = encode(Progress(JobState.RUNNING))
    records = [
        (PREFIX_REPORTED + JOB, TOLD),
        (PREFIX_JOB + JOB, encode(RECORD)),
        (PREFIX_PROGRESS + JOB, running),
        (PREFIX_CANCEL + JOB, encode(CancelRecord(8.0))),
    ]
    for turn in range(len(records)):
        ledger = Ledger()
        for key, value in records[turn:] + records[:turn]:
            fold(ledger, key, value)
        assert ledger.jobs[JOB].state is JobState.DONE
        assert ledger.jobs[JOB].ended_at == 7.0
        assert PREFIX_REPORTED + JOB in set(ledger.keys())


def test_a_told_end_is_heard_of_once_and_can_be_dropped() -> None:
    ledger = Ledger()
    heard: list[str] = []
    ledger.on_told = lambda job: heard.append(job.record.id)
    fold(ledger, PREFIX_JOB + JOB, encode(RECORD))
    fold(ledger, PREFIX_REPORTED + JOB, TOLD)
    fold(ledger, PREFIX_REPORTED + JOB, b"")
    assert heard == [JOB]
    assert ledger.jobs[JOB].state is JobState.QUEUED
