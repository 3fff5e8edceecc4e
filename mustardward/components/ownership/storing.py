"""Store what an owner's jobs have come to, and its renewals with it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

import anyio

from ..dispatch.session import WorkerSession
from ..ledger.appender import GroupAppender, Outcome, Record
from ..ledger.const import (
    PREFIX_CANCEL,
    PREFIX_JOB,
    PREFIX_PROGRESS,
    PREFIX_REPORTED,
)
from ..ledger.ledger import encode
from ..ledger.models import JobState
from ..scheduling.scheduler import Scheduler
from .authority import Authority
from .const import BEAT_SECONDS, STORED_JOBS_SECONDS
from .models import OwnerParts
from .renewals import Renewals

FOREVER_SECONDS: Final = 86400.0
"""An owner's progress is stored, or the owner is deposed; there is no third way."""


@dataclass(slots=True, eq=False)
class Storing:
    """Append progress and renewals, and let workers forget what is stored.

    :param on_stored: called after an append, since jobs may start now.
    :param depose: called when the log takes nothing of this owner any more.
    """

    parts: OwnerParts
    scheduler: Scheduler
    appender: GroupAppender
    renewals: Renewals
    authority: Authority
    on_stored: Callable[[], None]
    depose: Callable[[], None]
    _dirty: anyio.Event = field(default_factory=anyio.Event)

    def kick(self) -> None:
        """Store soon."""
        self._dirty.set()

    async def async_run(self, sessions: dict[str, WorkerSession]) -> None:
        """Store progress, then let workers forget the ends that it came from."""
        while True:
            with anyio.move_on_after(BEAT_SECONDS / 2):
                await self._dirty.wait()
            self._dirty = anyio.Event()
            job_ids, records = self._records()
            upto = [(session, session.listed_upto) for session in sessions.values()]
            if records and not await self._async_append(job_ids, records):
                self.depose()
                return
            for session, number in upto:
                session.acknowledge(number)

    def drop_old_jobs(self) -> None:
        """Drop the records of jobs that nobody may ask for any more."""
        wall = self.parts.timers.wall()
        keep = self.parts.bounds.status_s + STORED_JOBS_SECONDS
        old: list[Record] = []
        for job_id, job in self.parts.ledger.jobs.items():
            if not job.state.final or not job.ended_at or wall - job.ended_at <= keep:
                continue
            old.append((PREFIX_JOB + job_id, b""))
            old.append((PREFIX_PROGRESS + job_id, b""))
            if job.cancelled_at:
                old.append((PREFIX_CANCEL + job_id, b""))
            if job.told_at:
                old.append((PREFIX_REPORTED + job_id, b""))
        if old:
            self.appender.post(old)

    async def _async_append(self, job_ids: list[str], records: list[Record]) -> bool:
        """Return whether records were stored; else another entry owns the shard."""
        sent_at = self.authority.clock()
        until = self.parts.timers.monotonic() + FOREVER_SECONDS
        outcome = await self.appender.async_append(records, until)
        if outcome is not Outcome.STORED:
            return False
        self.authority.confirm(sent_at)
        self.scheduler.mark_stored(job_ids)
        self.on_stored()
        return True

    def _records(self) -> tuple[list[str], list[Record]]:
        """Return the jobs whose progress is to be stored, and all that is."""
        timers = self.parts.timers
        dirty = self.scheduler.take_dirty(timers.monotonic(), timers.wall())
        records: list[Record] = []
        for job_id, progress in dirty:
            records.append((PREFIX_PROGRESS + job_id, encode(progress)))
            if progress.state is JobState.DONE:
                # The scheduler may forget it before the append is through.
                self.parts.unlogged.add(job_id)
            job = self.parts.ledger.jobs.get(job_id)
            if progress.state.final and job is not None and not job.record.is_stub:
                records.append((PREFIX_JOB + job_id, encode(job.record.as_stub())))
        job_ids = [job_id for job_id, _ in dirty]
        # First, so that it is in the first piece if one call does not take all.
        return job_ids, self.renewals.due(with_others=bool(records)) + records
