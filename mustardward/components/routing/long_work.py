"""Count the slots that long work holds on each worker, from the folded leases."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from returns.result import Success

from ...state.fold import RecordOutcome
from ...state.work import WorkState

_HOLDS_SLOT: Final = frozenset({"running", "cancelling"})


class JobSlotCounter:
    """Follow the data centre's work log.

    :param find_state: returns the folded state, which a snapshot may replace.
    :param changed: called with each worker whose count changed.
    """

    def __init__(
        self, find_state: Callable[[], WorkState], changed: Callable[[str], None]
    ) -> None:
        self._find_state = find_state
        self._changed = changed
        self._state: WorkState | None = None
        self._worker_of: dict[str, str] = {}
        self._counts: dict[str, int] = {}

    def count(self, instance_id: str) -> int:
        """Return the tasks that run on a worker as far as the log tells."""
        return self._counts.get(instance_id, 0)

    def on_record(self, outcome: RecordOutcome) -> None:
        """Follow one folded record."""
        if self._find_state() is not self._state:
            self.start()
        job_id = getattr(outcome.body, "job_id", "")
        if job_id and isinstance(outcome.result, Success):
            self._file(job_id)

    def start(self) -> None:
        """Count all jobs of the state, at the beginning or after a snapshot."""
        self._state = self._find_state()
        for job_id in [*self._worker_of, *self._state.jobs]:
            self._file(job_id)

    def _file(self, job_id: str) -> None:
        job = None if self._state is None else self._state.jobs.get(job_id)
        holds = job is not None and job.status in _HOLDS_SLOT
        worker = job.worker if job is not None and holds else ""
        before = self._worker_of.get(job_id, "")
        if worker == before:
            return
        self._worker_of.pop(job_id, None)
        if worker:
            self._worker_of[job_id] = worker
        self._add(before, -1)
        self._add(worker, 1)

    def _add(self, worker: str, change: int) -> None:
        if not worker:
            return
        count = self._counts.get(worker, 0) + change
        if count:
            self._counts[worker] = count
        else:
            self._counts.pop(worker, None)
        self._changed(worker)
