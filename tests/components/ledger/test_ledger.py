"""Test what is left in the ledger of a job that is over."""

from __future__ import annotations

import msgspec
import pytest

from mustardward.components.ledger.const import PREFIX_JOB, PREFIX_PROGRESS
from mustardward.components.ledger.ledger import Ledger, encode
from mustardward.components.ledger.models import JobRecord, JobState, Progress
from mustardward.platform.models import SubmittedStep
from mustardward.platform.store import KeyedRecord

JOB = "0123456789abcdef"
RECORD = JobRecord(
    JOB, "host /a/", "pool-a", "x" * 4000, [SubmittedStep(count=3)], 0, 0.0, 0.0, 5.0
)


def test_a_job_that_was_stored_without_an_organisation_is_nobodys() -> None:
    """A record of an entry that knew no organisations stays readable."""
    older = msgspec.msgpack.encode(msgspec.to_builtins(RECORD)[:-1])
    ledger = Ledger()
    fold(ledger, PREFIX_JOB + JOB, older)
    assert ledger.jobs[JOB].record.organisation == ""


def fold(ledger: Ledger, key: str, value: bytes) -> None:
    """Fold a record; its offset does not matter here."""
    ledger.apply(KeyedRecord(0, key, value))


@pytest.mark.parametrize(
    "value",
    [
        b"\x00",
        b"\xc1" * 9,
        encode(Progress(JobState.DONE)),
        encode(RECORD)[:-3],
        encode(msgspec.structs.replace(RECORD, id="another")),
        encode(msgspec.structs.replace(RECORD, steps=[SubmittedStep(3, cpu=-1)])),
        encode(msgspec.structs.replace(RECORD, steps=[SubmittedStep(3, after=[4])])),
    ],
)
def test_a_job_that_another_writer_stored_is_left_out(value: bytes) -> None:
    """One such record must neither end the fold nor reach the scheduler."""
    ledger = Ledger()
    fold(ledger, PREFIX_JOB + "0" * 16, value)
    fold(ledger, "?/" + JOB, value)
    fold(ledger, PREFIX_JOB + JOB, encode(RECORD))
    assert list(ledger.jobs) == [JOB]


def test_what_is_left_of_a_job_tells_its_state_and_is_small() -> None:
    """Entries that start anew read all jobs of the last minutes over narrow links."""
    stub = encode(RECORD.as_stub())
    assert len(stub) < 60
    ledger = Ledger()
    fold(ledger, PREFIX_PROGRESS + JOB, encode(Progress(JobState.DONE, ended_at=9.0)))
    fold(ledger, PREFIX_JOB + JOB, stub)
    assert ledger.jobs[JOB].state is JobState.DONE
    assert ledger.jobs[JOB].ended_at == 9.0


def test_a_job_that_is_handed_in_again_later_stays_over() -> None:
    ledger = Ledger()
    fold(ledger, PREFIX_JOB + JOB, encode(RECORD))
    fold(ledger, PREFIX_PROGRESS + JOB, encode(Progress(JobState.DONE, ended_at=9.0)))
    fold(ledger, PREFIX_JOB + JOB, encode(RECORD.as_stub()))
    fold(ledger, PREFIX_JOB + JOB, encode(RECORD))
    assert ledger.jobs[JOB].state is JobState.DONE
    assert ledger.jobs[JOB].record.is_stub


def test_a_job_that_is_handed_in_twice_keeps_its_first_steps() -> None:
    ledger = Ledger()
    fold(ledger, PREFIX_JOB + JOB, encode(RECORD))
    other = JobRecord(
        JOB, "host /a/", "pool-a", "y", [SubmittedStep(count=9)], 0, 0.0, 0.0, 6.0
    )
    fold(ledger, PREFIX_JOB + JOB, encode(other))
    assert ledger.jobs[JOB].record == RECORD
