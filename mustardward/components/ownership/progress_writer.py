"""Store the progress of an owner's jobs together with its renewals."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

import anyio

from ...helpers.instruments import PROGRESS_TRUNCATED
from ...helpers.logging import get_logger
from ..dispatch.session import WorkerSession
from ..ledger.appender import GroupAppender, Outcome, Record
from ..ledger.const import (
    KEY_OWNER,
    PREFIX_CANCEL,
    PREFIX_JOB,
    PREFIX_PROGRESS,
    PREFIX_REPORTED,
    PREFIX_RUN_TIMES,
)
from ..ledger.ledger import encode
from ..ledger.models import Progress
from ..ledger.progress_size import encode_within
from ..run_times.const import STORE_INTERVAL_SECONDS
from ..scheduling.scheduler import Scheduler
from .authority import Authority
from .const import JOB_RETENTION_MARGIN_SECONDS, RENEWAL_INTERVAL_SECONDS
from .models import OwnerDependencies
from .renewals import Renewals

APPEND_TIMEOUT_SECONDS: Final = 86400.0
"""Long enough that an append either is stored or ends because the owner is deposed."""

RECORD_MARGIN_BYTES: Final = 256
"""Bytes of a record's key and length."""

TRUNCATION_LOG_SECONDS: Final = 1.0

_LOGGER = get_logger(__name__)


@dataclass(slots=True, eq=False)
class ProgressWriter:
    """Append progress and renewals, and acknowledge stored ends to the workers.

    :param on_stored: called after an append, since jobs may start now.
    :param depose: called when the log accepts no more records of this owner.
    """

    dependencies: OwnerDependencies
    scheduler: Scheduler
    appender: GroupAppender
    renewals: Renewals
    authority: Authority
    on_stored: Callable[[], None]
    depose: Callable[[], None]
    _write_requested: anyio.Event = field(default_factory=anyio.Event)
    _run_times_due_at: float = -math.inf
    _truncation_due_at: float = -math.inf
    _rejected_keys: set[str] = field(default_factory=set)

    def __post_init__(self) -> None:
        """Give up the jobs whose progress the store does not accept."""
        self.appender.on_rejected = self._handle_rejected

    def request_write(self) -> None:
        """Request a write without waiting for the next interval."""
        self._write_requested.set()

    async def async_run(self, sessions: dict[str, WorkerSession]) -> None:
        """Store progress, then acknowledge the ends that it includes."""
        while True:
            with anyio.move_on_after(RENEWAL_INTERVAL_SECONDS / 2):
                await self._write_requested.wait()
            self._write_requested = anyio.Event()
            self._rejected_keys.clear()
            job_ids, records = self._collect_records()
            received = [
                (session, session.received_upto) for session in sessions.values()
            ]
            if records and not await self._async_append(job_ids, records):
                self.depose()
                return
            if self._rejected_keys:
                # The ends may be acknowledged once their jobs' final state is stored.
                continue
            for session, number in received:
                session.acknowledge(number)

    def remove_expired_jobs(self) -> None:
        """Remove the records of jobs that were readable for long enough."""
        wall = self.dependencies.timers.wall()
        retention_seconds = (
            self.dependencies.bounds.status_s + JOB_RETENTION_MARGIN_SECONDS
        )
        expired: list[Record] = []
        for job_id, job in self.dependencies.ledger.jobs.items():
            if (
                not job.state.final
                or not job.ended_at
                or wall - job.ended_at <= retention_seconds
            ):
                continue
            expired.append((PREFIX_JOB + job_id, b""))
            expired.append((PREFIX_PROGRESS + job_id, b""))
            if job.cancelled_at:
                expired.append((PREFIX_CANCEL + job_id, b""))
            if job.told_at:
                expired.append((PREFIX_REPORTED + job_id, b""))
        if expired:
            self.appender.post(expired)

    async def _async_append(self, job_ids: list[str], records: list[Record]) -> bool:
        """Return whether records were stored; if not, another entry owns the shard."""
        sent_at = self.authority.clock()
        until = self.dependencies.timers.monotonic() + APPEND_TIMEOUT_SECONDS
        outcome = await self.appender.async_append(records, until)
        if outcome not in (Outcome.STORED, Outcome.REJECTED):
            return False
        if KEY_OWNER not in self._rejected_keys:
            self.authority.record_renewal(sent_at)
        self.scheduler.mark_stored(
            job_id
            for job_id in job_ids
            if PREFIX_PROGRESS + job_id not in self._rejected_keys
        )
        self.on_stored()
        return True

    def _handle_rejected(self, records: list[Record]) -> None:
        """Give up a job whose progress is rejected, as no owner could continue it."""
        for key, _ in records:
            self._rejected_keys.add(key)
            if key.startswith(PREFIX_PROGRESS):
                self.scheduler.give_up_job(key[len(PREFIX_PROGRESS) :], "not-storable")

    def _collect_records(self) -> tuple[list[str], list[Record]]:
        """Return the ids of jobs with new progress, and all records to store."""
        timers = self.dependencies.timers
        dirty = self.scheduler.take_dirty(timers.monotonic(), timers.wall())
        records: list[Record] = []
        for job_id, progress in dirty:
            self._add_progress(job_id, progress, records)
            job = self.dependencies.ledger.jobs.get(job_id)
            if progress.state.final and job is not None and not job.record.is_stub:
                records.append((PREFIX_JOB + job_id, encode(job.record.as_stub())))
        if records:
            records.extend(self._run_times_records(timers.monotonic()))
        job_ids = [job_id for job_id, _ in dirty]
        # The renewal comes first, to be in the first part of a split append.
        return job_ids, self.renewals.due_records(with_others=bool(records)) + records

    def _add_progress(
        self, job_id: str, progress: Progress, records: list[Record]
    ) -> None:
        """Add a job's progress as far as the store accepts it."""
        max_bytes = (
            self.dependencies.append_limits.max_record_bytes - RECORD_MARGIN_BYTES
        )
        encoded = encode_within(progress, max_bytes)
        record = (PREFIX_PROGRESS + job_id, encoded.value)
        if encoded.value:
            records.append(record)
        else:
            self._handle_rejected([record])
        if encoded.is_complete:
            return
        PROGRESS_TRUNCATED.inc()
        now = self.dependencies.timers.monotonic()
        if now < self._truncation_due_at:
            return
        self._truncation_due_at = now + TRUNCATION_LOG_SECONDS
        _LOGGER.warning(
            "progress_truncated",
            job=job_id,
            bytes=len(encoded.value),
            dropped_checkpoints=encoded.dropped_checkpoints,
            dropped_failures=encoded.dropped_failures,
        )

    def _run_times_records(self, now: float) -> list[Record]:
        """Return what was learned of run times, if it is due to be stored."""
        if now < self._run_times_due_at:
            return []
        self._run_times_due_at = now + STORE_INTERVAL_SECONDS
        stored = self.dependencies.ledger.run_times
        return [
            (PREFIX_RUN_TIMES + queue, encode(record))
            for queue, record in self.scheduler.state.estimates.changed_since(stored)
        ]
