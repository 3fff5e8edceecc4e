"""Apply the records of a shard; pure, with the same result on every entry node."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from typing import Final

import msgspec

from ...helpers.unreadable_records import report_unreadable_record
from ...platform.callers import check_steps, check_times
from ...platform.exceptions import RECORD_ERRORS, UnreadableRecordError
from ...platform.store import KeyedRecord
from .const import (
    KEY_OWNER,
    PREFIX_CANCEL,
    PREFIX_JOB,
    PREFIX_NODE,
    PREFIX_PROGRESS,
    PREFIX_REPORTED,
    PREFIX_RUN_TIMES,
    PREFIX_WAVE,
)
from .models import (
    CancelRecord,
    JobRecord,
    JobState,
    NodeRecord,
    OwnerRecord,
    Progress,
    ReportedRecord,
    RunTimesRecord,
    WaveRecord,
)

_JOB: Final = msgspec.msgpack.Decoder(JobRecord)
_PROGRESS: Final = msgspec.msgpack.Decoder(Progress)
_CANCEL: Final = msgspec.msgpack.Decoder(CancelRecord)
_REPORTED: Final = msgspec.msgpack.Decoder(ReportedRecord)
_OWNER: Final = msgspec.msgpack.Decoder(OwnerRecord)
_WAVE: Final = msgspec.msgpack.Decoder(WaveRecord)
_NODE: Final = msgspec.msgpack.Decoder(NodeRecord)
_RUN_TIMES: Final = msgspec.msgpack.Decoder(RunTimesRecord)
_ENCODER: Final = msgspec.msgpack.Encoder()

MAX_NODE_CORES: Final = 4096
"""Four times the size of the largest machines."""

NO_OWNER: Final = OwnerRecord(0, "", "", 0)


def encode(
    record: JobRecord
    | Progress
    | CancelRecord
    | ReportedRecord
    | OwnerRecord
    | WaveRecord
    | NodeRecord
    | RunTimesRecord,
) -> bytes:
    """Return a record in its stored form."""
    return _ENCODER.encode(record)


@dataclass(slots=True)
class LedgerJob:
    """Combine all records of one job.

    :param told_at: wall clock at which an entry node of an older build told a caller
        that the job is done, in seconds, or 0.
    """

    record: JobRecord
    progress: Progress | None = None
    cancelled_at: float = 0.0
    told_at: float = 0.0

    @property
    def state(self) -> JobState:
        """Return the state that callers see.

        A cancellation does not change a job that was already finished, and a job that a
        caller was told is done stays done.
        """
        stored = self.progress.state if self.progress else JobState.QUEUED
        if self.told_at and not stored.final:
            return JobState.DONE
        if self.cancelled_at and not stored.final:
            return JobState.CANCELLED
        return stored

    @property
    def ended_at(self) -> float:
        """Return the wall clock at which the job ended, in seconds, or 0."""
        if self.progress is not None and self.progress.ended_at:
            return self.progress.ended_at
        return self.told_at or self.cancelled_at


JobListener = Callable[[LedgerJob], None]


@dataclass(slots=True)
class Ledger:
    """Hold the state of a shard as of the records applied so far.

    A record may be applied twice, or before the job record that it belongs to: only the
    newest record of each key counts, so that a compacted topic and a complete one give
    the same state.

    :param previous_owner: the newest record applied of the epoch before the owner's. A
        compacted topic doesn't have it, so that it depends on what was read before.
    """

    owner: OwnerRecord = NO_OWNER
    previous_owner: OwnerRecord = field(default=NO_OWNER, compare=False)
    jobs: dict[str, LedgerJob] = field(default_factory=dict)
    waves: dict[str, WaveRecord] = field(default_factory=dict)
    nodes: dict[str, NodeRecord] = field(default_factory=dict)
    run_times: dict[str, RunTimesRecord] = field(default_factory=dict)
    on_job: JobListener | None = None
    on_cancel: JobListener | None = None
    on_told: JobListener | None = None
    _early_progress: dict[str, Progress] = field(default_factory=dict)
    _early_cancels: dict[str, float] = field(default_factory=dict)
    _early_reports: dict[str, float] = field(default_factory=dict)
    _appliers: dict[str, Callable[[str, bytes], None]] = field(
        init=False, repr=False, compare=False
    )

    def __post_init__(self) -> None:
        """Map each kind of key to the method that applies its records."""
        self._appliers = {
            PREFIX_JOB: self._apply_job,
            PREFIX_PROGRESS: self._apply_progress,
            PREFIX_CANCEL: self._apply_cancel,
            PREFIX_REPORTED: self._apply_reported,
            PREFIX_WAVE: self._apply_wave,
            PREFIX_NODE: self._apply_node,
            PREFIX_RUN_TIMES: self._apply_run_times,
            KEY_OWNER: self._apply_owner,
        }

    def apply(self, record: KeyedRecord) -> None:
        """Apply one record; an empty value deletes its key."""
        key = record.key
        if key == KEY_OWNER:
            kind, name = KEY_OWNER, ""
        else:
            kind, name = key[:2], key[2:]
        apply_value = self._appliers.get(kind)
        if apply_value is None:
            report_unreadable_record("ledger", key, "unknown key prefix")
            return
        try:
            apply_value(name, record.value)
        except RECORD_ERRORS as error:
            # One unreadable record, of another version or writer, must not stop the
            # replay of all others.
            report_unreadable_record("ledger", key, str(error))

    def keys(self) -> Iterator[str]:
        """Yield the keys that the state contains."""
        for job in self.jobs.values():
            yield PREFIX_JOB + job.record.id
            if job.progress is not None:
                yield PREFIX_PROGRESS + job.record.id
            if job.cancelled_at:
                yield PREFIX_CANCEL + job.record.id
            if job.told_at:
                yield PREFIX_REPORTED + job.record.id
        others: tuple[tuple[str, Iterable[str]], ...] = (
            (PREFIX_PROGRESS, self._early_progress),
            (PREFIX_CANCEL, self._early_cancels),
            (PREFIX_REPORTED, self._early_reports),
            (PREFIX_WAVE, self.waves),
            (PREFIX_NODE, self.nodes),
            (PREFIX_RUN_TIMES, self.run_times),
        )
        for prefix, names in others:
            for name in names:
                yield prefix + name

    def count_pending(self, queue: str) -> int:
        """Return how many accepted jobs of a queue have not started a task yet."""
        return sum(
            job.record.queue == queue
            and job.state is JobState.QUEUED
            and not job.record.is_stub
            for job in self.jobs.values()
        )

    def _apply_job(self, name: str, value: bytes) -> None:
        if not value:
            self.jobs.pop(name, None)
            return
        record = _decode_job(name, value)
        known = self.jobs.get(name)
        if known is not None:
            # The same job was submitted twice. The first record stays, so that a
            # replay of the compacted log and of the complete one give the same tasks.
            if record.is_stub:
                known.record = record
            return
        job = LedgerJob(record)
        job.progress = self._early_progress.pop(name, None)
        job.cancelled_at = self._early_cancels.pop(name, 0.0)
        job.told_at = self._early_reports.pop(name, 0.0)
        self.jobs[name] = job
        if self.on_job is not None:
            self.on_job(job)

    def _apply_progress(self, name: str, value: bytes) -> None:
        job = self.jobs.get(name)
        progress = _PROGRESS.decode(value) if value else None
        if job is not None:
            job.progress = progress
        elif progress is None:
            self._early_progress.pop(name, None)
        else:
            self._early_progress[name] = progress

    def _apply_cancel(self, name: str, value: bytes) -> None:
        job = self.jobs.get(name)
        at = _CANCEL.decode(value).at if value else 0.0
        if job is None:
            self._early_cancels.pop(name, None)
            if at:
                self._early_cancels[name] = at
            return
        job.cancelled_at = at
        if at and self.on_cancel is not None:
            self.on_cancel(job)

    def _apply_reported(self, name: str, value: bytes) -> None:
        job = self.jobs.get(name)
        at = _REPORTED.decode(value).at if value else 0.0
        if job is None:
            self._early_reports.pop(name, None)
            if at:
                self._early_reports[name] = at
            return
        job.told_at = at
        if at and self.on_told is not None:
            self.on_told(job)

    def _apply_owner(self, _: str, value: bytes) -> None:
        if not value:
            return
        owner = _OWNER.decode(value)
        # The log fences epochs, so a lower one can only be an older record. After a
        # load, the records from before a claim may be read after the claim.
        if owner.epoch > self.owner.epoch:
            self.previous_owner = self.owner
        if owner.epoch >= self.owner.epoch:
            self.owner = owner
        elif owner.epoch >= self.previous_owner.epoch:
            self.previous_owner = owner

    def _apply_node(self, name: str, value: bytes) -> None:
        if value:
            self.nodes[name] = _decode_node(value)
        else:
            self.nodes.pop(name, None)

    def _apply_run_times(self, name: str, value: bytes) -> None:
        if value:
            self.run_times[name] = _RUN_TIMES.decode(value)
        else:
            self.run_times.pop(name, None)

    def _apply_wave(self, name: str, value: bytes) -> None:
        if value:
            self.waves[name] = _WAVE.decode(value)
        else:
            self.waves.pop(name, None)


def _decode_node(value: bytes) -> NodeRecord:
    """Return a decoded node record.

    :raises MsgspecError: if it can't be decoded.
    :raises UnreadableRecordError: if no instance has its speed: entry nodes would wait
        for it to claim the shard.
    """
    record = _NODE.decode(value)
    if not 0 < record.speed <= MAX_NODE_CORES:
        raise UnreadableRecordError(f"speed={record.speed:.6g}")
    return record


def _decode_job(name: str, value: bytes) -> JobRecord:
    """Return a decoded job record.

    :raises MsgspecError: if it can't be decoded.
    :raises MalformedJobError: if its steps or times are invalid.
    :raises UnreadableRecordError: if it is stored under another job's key.
    """
    record = _JOB.decode(value)
    if record.id != name:
        raise UnreadableRecordError(f"record of job {record.id} under this key")
    check_times(record.times, record.start_at_ms, record.interval_ms)
    check_steps(record.steps)
    return record
