"""Look at the workers of a step that waits, and find what stands behind that; pure."""

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
    """Hold a step that waits, and what is known around it.

    :param decision: what the last plan decided on it, if it came to it.
    :param workers: all that are known of its pool.
    :param sent_at: when its job's newest record left for the log, if one did.
    :param with_room: the workers that have room for one of its tasks.
    :param able: those of them that may be given tasks.
    :param allowed: those of these that its rules allow, whatever its data centres.
    :param reserved: the workers kept for others in the plan, and for which step.
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
        """Look at the workers."""
        step = self.step
        self.with_room = [w for w in self.workers if fits(w, step.room)]
        self.able = [w for w in self.with_room if is_usable(w, self.now)]
        self.allowed = [w for w in self.able if may_run(w, step)]
        self.reserved = self._find_reserved()

    def _find_reserved(self) -> dict[str, StepRun]:
        candidates = self.decision.candidates if self.decision is not None else None
        if candidates is None:
            return {}
        # What a suspected step's own trial keeps, its other tasks wait for.
        own = None if self.step.job.suspicion else self.step
        reserved = {
            k.worker.id: k.step for k in candidates.reservations if k.step is not own
        }
        for worker in self.workers:
            if worker.id in candidates.isolation_workers:
                suspects = [t.step for t in worker.tasks.values() if needs_isolation(t)]
                reserved[worker.id] = suspects[0] if suspects else self.step
        return reserved


def refine_reason(wait: WaitContext, reason: Reason) -> Reason:
    """Return what stands behind a lack of room."""
    if reason is not Reason.NO_ROOM:
        return reason
    if not wait.able:
        return Reason.NO_USABLE_WORKER
    if not wait.allowed:
        return Reason.RULES
    if all(worker.id in wait.reserved for worker in wait.allowed):
        return Reason.RESERVED_FOR_OTHERS
    return reason
