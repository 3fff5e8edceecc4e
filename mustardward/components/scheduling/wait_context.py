"""Collect the state around a waiting step, and determine why it waits."""

from __future__ import annotations

from dataclasses import dataclass, field

from .crashes import needs_isolation
from .models import StepRun
from .placement import fits, is_usable, may_run
from .scheduler_state import SchedulerState
from .wait_tracker import Reason, WaitDecision, WaitTracker
from .worker_state import WorkerState


@dataclass(slots=True, eq=False)
class WaitContext:
    """Hold a waiting step and the state that explains its wait.

    :param decision: the last plan's decision on it, or None if there is none.
    :param workers: all known workers of its pool.
    :param sent_at: when its job's newest record was sent to the log, or None.
    :param with_room: the workers that have room for one of its tasks.
    :param able: those of ``with_room`` that are usable.
    :param allowed: those of ``able`` that its constraints allow, in any data centre.
    :param reserved: the workers reserved for other steps in the plan, by id.
    """

    step: StepRun
    decision: WaitDecision | None
    state: SchedulerState
    wait_tracker: WaitTracker
    workers: list[WorkerState]
    sent_at: float | None
    now: float
    with_room: list[WorkerState] = field(init=False)
    able: list[WorkerState] = field(init=False)
    allowed: list[WorkerState] = field(init=False)
    reserved: dict[str, StepRun] = field(init=False)

    def __post_init__(self) -> None:
        """Classify the workers."""
        step = self.step
        self.with_room = [w for w in self.workers if fits(w, step.room)]
        self.able = [w for w in self.with_room if is_usable(w, self.now)]
        self.allowed = [w for w in self.able if may_run(w, step)]
        self.reserved = self._find_reserved()

    def _find_reserved(self) -> dict[str, StepRun]:
        candidates = self.decision.candidates if self.decision is not None else None
        if candidates is None:
            return {}
        # The other tasks of a suspected step also wait for the workers that are
        # reserved for its isolated tasks.
        own = None if self.step.job.suspicion else self.step
        reserved = {
            r.worker.id: r.step for r in candidates.reservations if r.step is not own
        }
        for worker in self.workers:
            if worker.id in candidates.isolation_workers:
                suspects = [t.step for t in worker.tasks.values() if needs_isolation(t)]
                reserved[worker.id] = suspects[0] if suspects else self.step
        return reserved


def refine_reason(wait: WaitContext, reason: Reason) -> Reason:
    """Return the reason behind a lack of room, or any other reason unchanged."""
    if reason is not Reason.NO_ROOM:
        return reason
    if not wait.able:
        return Reason.NO_USABLE_WORKER
    if not wait.allowed:
        return Reason.RULES
    if all(worker.id in wait.reserved for worker in wait.allowed):
        return Reason.RESERVED_FOR_OTHERS
    return reason
