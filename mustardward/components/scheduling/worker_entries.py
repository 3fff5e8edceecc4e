"""Apply workers' entries, and reject entries that are not their own."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Final

from ...helpers.logging import get_logger
from ...helpers.unreadable_records import report_unreadable_record
from ...platform.models import WORKER_DRAINING, WorkerEntry
from .const import MISSING_GRACE_SECONDS
from .incarnations import is_other_incarnation, make_worker
from .scheduler_state import SchedulerState
from .worker_state import WorkerState

_LOGGER = get_logger(__name__)

ENTRY_CONFIRMED_SECONDS: Final = 2.5
"""Age at which a disputed entry is accepted. A worker rewrites its entry with each
heartbeat, and its entry is removed after three missed heartbeats, so an entry that
stays this long is its own."""


@dataclass(frozen=True, slots=True)
class _Dispute:
    """Hold the newest entry of a worker that conflicts with the one in use."""

    worker: WorkerState
    entry: WorkerEntry
    since: float


@dataclass(slots=True, eq=False)
class WorkerEntries:
    """Keep the workers up to date with their entries in the store."""

    state: SchedulerState
    _disputes: dict[str, _Dispute] = field(default_factory=dict)

    def update(self, worker_id: str, entry: WorkerEntry, now: float) -> bool:
        """Apply a worker's entry; return whether the worker is new."""
        worker = self.state.workers.get(worker_id)
        is_new = worker is None
        if worker is None:
            worker = make_worker(worker_id, entry)
            self.state.add_worker(worker, now)
        elif not worker.described and entry.born == worker.started_at_ms:
            worker.describe(entry)
        elif is_other_incarnation(entry.born, worker.started_at_ms):
            # An entry of a previous incarnation that was written or read late.
            return False
        worker.started_at_ms = worker.started_at_ms or entry.born
        if entry.service != worker.service:
            # An incarnation never changes its pool, so one of the two entries was
            # written by someone else.
            report_unreadable_record("worker", worker_id, f"service={entry.service}")
            self.mark_absent(worker_id)
            self._disputes[worker_id] = _Dispute(worker, entry, now)
            return False
        self._apply(worker, entry, now)
        return is_new

    def mark_missing(self, worker_id: str, now: float) -> None:
        """Record that a worker's entry is missing; its runs may continue."""
        self._disputes.pop(worker_id, None)
        worker = self.state.workers.get(worker_id)
        if worker is not None and worker.missing_since is None:
            worker.missing_since = now

    def mark_absent(self, worker_id: str) -> None:
        """Assign no new tasks to a worker until it has a valid entry again."""
        self._disputes.pop(worker_id, None)
        worker = self.state.workers.get(worker_id)
        if worker is not None:
            worker.absent = True

    def check(self, now: float) -> None:
        """Apply timeouts of missing entries and of disputed ones."""
        for worker in self.state.workers.values():
            since = worker.missing_since
            if since is not None and now - since > MISSING_GRACE_SECONDS:
                worker.absent = True
        for dispute in list(self._disputes.values()):
            self._resolve(dispute, now)

    def _apply(self, worker: WorkerState, entry: WorkerEntry, now: float) -> None:
        self._disputes.pop(worker.id, None)
        if worker.described and entry.capacity != worker.capacity:
            worker.resize(entry.capacity)
        worker.missing_since = None
        worker.absent = False
        if entry.state == WORKER_DRAINING and not worker.draining:
            worker.draining = True
            worker.drains_at = now + (entry.remaining_ms or 0) / 1000
            _LOGGER.info("worker_draining", worker=worker.id)

    def _resolve(self, dispute: _Dispute, now: float) -> None:
        """Accept an entry that persists, once the worker has reported no runs."""
        worker = dispute.worker
        if self.state.workers.get(worker.id) is not worker:
            del self._disputes[worker.id]
            return
        if now - dispute.since < ENTRY_CONFIRMED_SECONDS or worker.has_runs:
            return
        if worker.confirmed and not worker.stale:
            worker.describe(dispute.entry)
            self._apply(worker, dispute.entry, now)
