"""Count the slots that jobs hold on each worker, from the folded leases."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from returns.result import Success

from ...state.fold import RecordOutcome
from ...state.work import WorkState

_SLOT_HOLDING_STATUSES: Final = frozenset({"running", "cancelling"})


class JobSlotCounter:
    """Follow the work log of the data centre.

    :param get_state: returns the folded state, which a snapshot may replace.
    :param on_changed: called with each worker whose count changed.
    """

    def __init__(
        self, get_state: Callable[[], WorkState], on_changed: Callable[[str], None]
    ) -> None:
        self._get_state = get_state
        self._on_changed = on_changed
        self._state: WorkState | None = None
        self._worker_by_job: dict[str, str] = {}
        self._counts: dict[str, int] = {}

    def count(self, instance_id: str) -> int:
        """Return the number of jobs that run on a worker according to the log."""
        return self._counts.get(instance_id, 0)

    def on_record(self, outcome: RecordOutcome) -> None:
        """Update the counts after a folded record."""
        if self._get_state() is not self._state:
            self.recount()
        job_id = getattr(outcome.body, "job_id", "")
        if job_id and isinstance(outcome.result, Success):
            self._update(job_id)

    def recount(self) -> None:
        """Count all jobs of the state, initially or after a snapshot."""
        self._state = self._get_state()
        for job_id in [*self._worker_by_job, *self._state.jobs]:
            self._update(job_id)

    def _update(self, job_id: str) -> None:
        job = None if self._state is None else self._state.jobs.get(job_id)
        holds = job is not None and job.status in _SLOT_HOLDING_STATUSES
        worker = job.worker if job is not None and holds else ""
        previous = self._worker_by_job.get(job_id, "")
        if worker == previous:
            return
        self._worker_by_job.pop(job_id, None)
        if worker:
            self._worker_by_job[job_id] = worker
        self._add(previous, -1)
        self._add(worker, 1)

    def _add(self, worker: str, change: int) -> None:
        if not worker:
            return
        count = self._counts.get(worker, 0) + change
        if count:
            self._counts[worker] = count
        else:
            self._counts.pop(worker, None)
        self._on_changed(worker)
