"""Index the jobs of the work state for the scheduler, at constant cost per record."""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from ...state.fold import RecordOutcome
from ...state.handlers.job_index import job_status
from ...state.models.jobs import Job
from ...state.work import WorkState
from .const import MAX_STALE_ENTRIES_PER_PEEK

RUNNING_STATUSES = ("running", "cancelling")


@dataclass(slots=True, eq=False)
class WaitingQueue:
    """Queue the waiting jobs of one organisation in one pool, oldest first.

    Entries of jobs that no longer wait, such as 10,000 cancelled at once, are dropped
    lazily when they reach the front, and only a limited number per peek.
    """

    heap: list[tuple[int, str]] = field(default_factory=list)
    waiting_since: dict[str, float] = field(default_factory=dict)

    def push(self, job: Job, now: float) -> None:
        """Add a job, ordered by its acceptance in the log."""
        if job.job_id not in self.waiting_since:
            self.waiting_since[job.job_id] = now
            heapq.heappush(self.heap, (job.accepted_sequence, job.job_id))

    def peek(self, count: int, is_waiting: Callable[[str], bool]) -> list[str]:
        """Return up to ``count`` waiting jobs from the front without removing them."""
        found: list[tuple[int, str]] = []
        skipped = 0
        while self.heap and len(found) < count and skipped < MAX_STALE_ENTRIES_PER_PEEK:
            entry = heapq.heappop(self.heap)
            if is_waiting(entry[1]):
                found.append(entry)
                continue
            del self.waiting_since[entry[1]]
            skipped += 1
        for entry in found:
            heapq.heappush(self.heap, entry)
        return [job_id for _, job_id in found]


class JobIndex:
    """Index waiting jobs by pool and organisation, running ones by worker and holder.

    :param state: the state to index; all its jobs are visited once.
    """

    def __init__(self, state: WorkState, now: float) -> None:
        self._state = state
        self._queues: dict[str, dict[str, WaitingQueue]] = {}
        self._by_worker: dict[str, set[str]] = {}
        self._worker_of: dict[str, str] = {}
        self._by_holder: dict[str, set[str]] = {}
        self._holder_of: dict[str, str] = {}
        self._running: dict[tuple[str, str], int] = {}
        for job in state.jobs.values():
            self.refresh(job.job_id, now)

    @property
    def state(self) -> WorkState:
        """Return the indexed state."""
        return self._state

    def on_record(self, outcome: RecordOutcome, now: float) -> None:
        """Update the index of the job that a record changed."""
        job_id = getattr(outcome.body, "job_id", "")
        if job_id:
            self.refresh(job_id, now)

    def refresh(self, job_id: str, now: float) -> None:
        """Index a job by its current state."""
        job = self._state.jobs.get(job_id)
        running = job is not None and job.status in RUNNING_STATUSES
        self._index_worker(job_id, job if running else None)
        self._index_holder(job_id, job.holder if job is not None and running else "")
        if job is not None and self.is_waiting(job_id):
            queues = self._queues.setdefault(job.pool, {})
            queues.setdefault(job.organisation, WaitingQueue()).push(job, now)

    def is_waiting(self, job_id: str) -> bool:
        """Return whether a job waits for an attempt."""
        job = self._state.jobs.get(job_id)
        return job is not None and job_status(self._state, job) == "waiting"

    def pools(self) -> tuple[str, ...]:
        """Return the pools that have job queues; some may hold only stale entries."""
        return tuple(self._queues)

    def queue_heads(self, pool: str, count: int) -> Iterator[tuple[str, list[str]]]:
        """Yield each organisation with up to ``count`` of its oldest waiting jobs.

        Empty queues are removed.
        """
        queues = self._queues.get(pool, {})
        for organisation, queue in list(queues.items()):
            jobs = queue.peek(count, self.is_waiting)
            if jobs:
                yield organisation, jobs
            elif not queue.heap:
                del queues[organisation]
        if not queues:
            self._queues.pop(pool, None)

    def waited_seconds(
        self, pool: str, organisation: str, job_id: str, now: float
    ) -> float:
        """Return how many seconds ago this process first saw the job waiting."""
        queue = self._queues.get(pool, {}).get(organisation)
        return now - queue.waiting_since.get(job_id, now) if queue is not None else 0.0

    def worker_of(self, job_id: str) -> str:
        """Return the worker that runs a job, or an empty string."""
        return self._worker_of.get(job_id, "")

    def running_on(self, instance_id: str) -> frozenset[str]:
        """Return the jobs leased to a worker, for all lease holders."""
        return frozenset(self._by_worker.get(instance_id, ()))

    def holders(self) -> tuple[str, ...]:
        """Return the entry nodes that hold leases."""
        return tuple(self._by_holder)

    def leased_by(self, holder: str) -> frozenset[str]:
        """Return the jobs whose leases an entry node holds."""
        return frozenset(self._by_holder.get(holder, ()))

    def running_count(self, pool: str, organisation: str) -> int:
        """Return the number of an organisation's running jobs in a pool."""
        return self._running.get((pool, organisation), 0)

    def _index_worker(self, job_id: str, job: Job | None) -> None:
        worker = job.worker if job is not None else ""
        previous = self._worker_of.get(job_id, "")
        if worker == previous:
            return
        if previous:
            self._remove_from_worker(job_id, previous)
        if job is not None:
            self._worker_of[job_id] = worker
            self._by_worker.setdefault(worker, set()).add(job_id)
            self._add_running(job, 1)

    def _index_holder(self, job_id: str, holder: str) -> None:
        previous = self._holder_of.pop(job_id, "")
        if previous:
            self._by_holder[previous].discard(job_id)
            if not self._by_holder[previous]:
                del self._by_holder[previous]
        if holder:
            self._holder_of[job_id] = holder
            self._by_holder.setdefault(holder, set()).add(job_id)

    def _remove_from_worker(self, job_id: str, worker: str) -> None:
        del self._worker_of[job_id]
        jobs = self._by_worker[worker]
        jobs.discard(job_id)
        if not jobs:
            del self._by_worker[worker]
        job = self._state.jobs.get(job_id)
        if job is not None:
            self._add_running(job, -1)

    def _add_running(self, job: Job, change: int) -> None:
        key = (job.pool, job.organisation)
        count = self._running.get(key, 0) + change
        if count > 0:
            self._running[key] = count
        else:
            self._running.pop(key, None)
