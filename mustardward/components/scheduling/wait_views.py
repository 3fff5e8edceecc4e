"""Look at the workers of a step that waits, and find what stands behind that; pure."""

from __future__ import annotations

from dataclasses import dataclass, field

from .crashes import needs_isolation
from .models import StepRun
from .placement import fits, may_run, usable
from .scheduler_state import SchedulerState
from .waits import Held, Reason, Waits
from .worker_state import WorkerState


@dataclass(slots=True, eq=False)
class Wait:
    """Hold a step that waits, and what is known around it.

    :param held: what the last plan decided on it, if it came to it.
    :param workers: all that are known of its pool.
    :param sent_at: when its job's newest record left for the log, if one did.
    :param with_room: the workers that have room for one of its tasks.
    :param able: those of them that may be given tasks.
    :param allowed: those of these that its rules allow, whatever its data centres.
    :param kept: the workers kept for others in the plan, and for which step.
    """

    step: StepRun
    held: Held | None
    state: SchedulerState
    waits: Waits
    workers: list[WorkerState]
    sent_at: float | None
    now: float
    with_room: list[WorkerState] = field(init=False)
    able: list[WorkerState] = field(init=False)
    allowed: list[WorkerState] = field(init=False)
    kept: dict[str, StepRun] = field(init=False)

    def __post_init__(self) -> None:
        """Look at the workers."""
        step = self.step
        self.with_room = [w for w in self.workers if fits(w, step.room)]
        self.able = [w for w in self.with_room if usable(w, self.now)]
        self.allowed = [w for w in self.able if may_run(w, step)]
        self.kept = self._find_kept()

    def _find_kept(self) -> dict[str, StepRun]:
        offers = self.held.offers if self.held is not None else None
        if offers is None:
            return {}
        # What a suspected step's own trial keeps, its other tasks wait for.
        own = None if self.step.job.suspicion else self.step
        kept = {k.worker.id: k.step for k in offers.kept if k.step is not own}
        for worker in self.workers:
            if worker.id in offers.apart:
                suspects = [t.step for t in worker.tasks.values() if needs_isolation(t)]
                kept[worker.id] = suspects[0] if suspects else self.step
        return kept


def settle(wait: Wait, reason: Reason) -> Reason:
    """Return what stands behind a lack of room."""
    if reason is not Reason.NO_ROOM:
        return reason
    if not wait.able:
        return Reason.NO_USABLE_WORKER
    if not wait.allowed:
        return Reason.RULES
    if all(worker.id in wait.kept for worker in wait.allowed):
        return Reason.KEPT_FOR_OTHERS
    return reason
