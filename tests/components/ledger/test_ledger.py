"""Test how the ledger applies job records, and what it keeps of finished jobs."""

from __future__ import annotations

import msgspec
import pytest

from mustardward.components.ledger.const import (
    KEY_OWNER,
    PREFIX_JOB,
    PREFIX_PROGRESS,
    PREFIX_RUN_TIMES,
)
from mustardward.components.ledger.ledger import Ledger, encode
from mustardward.components.ledger.models import (
    JobRecord,
    JobState,
    OwnerRecord,
    Progress,
    RunTimesRecord,
)
from mustardward.platform.models import SubmittedStep
from mustardward.platform.store import KeyedRecord

JOB = "0123456789abcdef"
RECORD = JobRecord(
    JOB, "host /a/", "pool-a", "x" * 4000, [SubmittedStep(count=3)], 0, 0.0, 0.0, 5.0
)


def test_record_without_organisation_is_readable() -> None:
    """An entry node without support for organisations writes such records."""
    record_without_organisation = msgspec.msgpack.encode(
        msgspec.to_builtins(RECORD)[:-1]
    )
    ledger = Ledger()
    apply_record(ledger, PREFIX_JOB + JOB, record_without_organisation)
    assert ledger.jobs[JOB].record.organisation == ""


def apply_record(ledger: Ledger, key: str, value: bytes) -> None:
    """Apply a record; the offset is irrelevant here."""
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
def test_unreadable_job_record_is_skipped(value: bytes) -> None:
    """One such record must neither stop the replay nor reach the scheduler."""
    ledger = Ledger()
    apply_record(ledger, PREFIX_JOB + "0" * 16, value)
    apply_record(ledger, "?/" + JOB, value)
    apply_record(ledger, PREFIX_JOB + JOB, encode(RECORD))
    assert list(ledger.jobs) == [JOB]


def test_stub_keeps_the_state_and_is_small() -> None:
    """Entry nodes that restart read all jobs of the last minutes over slow links."""
    stub = encode(RECORD.as_stub())
    assert len(stub) < 60
    ledger = Ledger()
    apply_record(
        ledger, PREFIX_PROGRESS + JOB, encode(Progress(JobState.DONE, ended_at=9.0))
    )
    apply_record(ledger, PREFIX_JOB + JOB, stub)
    assert ledger.jobs[JOB].state is JobState.DONE
    assert ledger.jobs[JOB].ended_at == 9.0


def test_finished_job_that_is_submitted_again_stays_finished() -> None:
    ledger = Ledger()
    apply_record(ledger, PREFIX_JOB + JOB, encode(RECORD))
    apply_record(
        ledger, PREFIX_PROGRESS + JOB, encode(Progress(JobState.DONE, ended_at=9.0))
    )
    apply_record(ledger, PREFIX_JOB + JOB, encode(RECORD.as_stub()))
    apply_record(ledger, PREFIX_JOB + JOB, encode(RECORD))
    assert ledger.jobs[JOB].state is JobState.DONE
    assert ledger.jobs[JOB].record.is_stub


def test_job_submitted_twice_keeps_its_first_steps() -> None:
    ledger = Ledger()
    apply_record(ledger, PREFIX_JOB + JOB, encode(RECORD))
    other = JobRecord(
        JOB, "host /a/", "pool-a", "y", [SubmittedStep(count=9)], 0, 0.0, 0.0, 6.0
    )
    apply_record(ledger, PREFIX_JOB + JOB, encode(other))
    assert ledger.jobs[JOB].record == RECORD


def test_previous_owners_records_count_after_a_load_showed_the_claim() -> None:
    """Guard against an owner that doesn't know its predecessor's last orders.

    A load shows the claim first; the records between it and what was read before, if
    the log still has them, follow.
    """
    first = OwnerRecord(1, "a", "node-1", 4)
    last = OwnerRecord(1, "a", "node-1", 6, ordered=["m-00"])
    claim = OwnerRecord(2, "b", "node-2", 0)
    older = OwnerRecord(0, "z", "node-3", 9)
    ledger = Ledger()
    for record in (first, claim):
        apply_record(ledger, KEY_OWNER, encode(record))
    assert (ledger.previous_owner, ledger.owner) == (first, claim)
    for record in (last, claim, older):
        apply_record(ledger, KEY_OWNER, encode(record))
    assert (ledger.previous_owner, ledger.owner) == (last, claim)


def test_run_times_are_kept_by_queue_until_they_are_deleted() -> None:
    """Guards against figures that a load deletes because the ledger hides their key."""
    ledger = Ledger()
    key = PREFIX_RUN_TIMES + "host /a/"
    apply_record(ledger, key, encode(RunTimesRecord((1.0, 2.0))))
    assert ledger.run_times["host /a/"].figures == (1.0, 2.0)
    assert key in set(ledger.keys())
    apply_record(ledger, key, b"")
    assert ledger.run_times == {}
    assert key not in set(ledger.keys())


def test_run_times_of_a_newer_build_are_readable() -> None:
    ledger = Ledger()
    newer = msgspec.msgpack.encode([[1.0, 2.0, 3.0], {"o": 0.5}, "more"])
    apply_record(ledger, PREFIX_RUN_TIMES + "q", newer)
    assert ledger.run_times["q"].figures == (1.0, 2.0, 3.0)


@pytest.mark.parametrize("value", [b"\x00", b"\xc1" * 9, encode(RECORD)])
def test_unreadable_run_times_are_skipped(value: bytes) -> None:
    """Guards against a replay that stops, or that forgets the readable figures."""
    ledger = Ledger()
    apply_record(ledger, PREFIX_RUN_TIMES + "q", encode(RunTimesRecord((1.0,))))
    apply_record(ledger, PREFIX_RUN_TIMES + "q", value)
    assert ledger.run_times["q"].figures == (1.0,)
