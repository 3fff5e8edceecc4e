"""Keep which rule let each step pass in the last plan; pure."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from .candidates import Candidates
from .models import StepRun


class Reason(Enum):
    """Say why nothing more of a step starts. The first ones are the planner's own."""

    NOT_STORED = "not-stored"
    NO_USABLE_WORKER = "no-usable-worker"
    STARTS_USED_UP = "starts-used-up"
    HELD_AFTER_TAKEOVER = "held-after-takeover"
    AWAITS_EVALUATION = "awaits-judgement"
    SUSPECTS_WAIT = "suspects-wait-for-own-worker"
    RESERVED_FOR_OTHERS = "workers-kept-for-others"
    FITS_NOWHERE = "as-large-as-what-fits-nowhere"
    ADVICE_UNANSWERED = "advice-unanswered"
    QUOTA = "quota"
    GANG_INCOMPLETE = "gang-incomplete"
    GANG_HAS_NO_ROOM = "gang-has-no-room"
    NO_ROOM = "no-room-where-it-may-start"
    ZONE_BEING_STORED = "next-data-centre-being-stored"
    ROOM_PROMISED = "room-elsewhere-promised"
    RULES = "no-worker-its-rules-allow"
    NOT_PLANNED = "no-plan-was-made"
    NOT_READY = "not-among-the-ready-steps"
    OFF_QUEUE = "task-off-its-queue"
    UNFINISHED_ORDER = "order-unfinished"
    NOT_RECORDED = "not-noted"


@dataclass(slots=True, eq=False)
class WaitDecision:
    """Hold what the planner decided on a step.

    :param since: of the first plan in a row that gave this reason; steady seconds.
    :param plan: the number of the last one.
    :param candidates: what the pool still offered, if the reason came from there.
    :param promised: room given away by data centre in that plan, in thousandths of a
        core, if the reason came from there.
    """

    reason: Reason
    since: float
    plan: int
    candidates: Candidates | None = None
    promised: Counter[str] | None = None


@dataclass(slots=True, eq=False)
class WaitTracker:
    """Take in what each plan let pass; the newest reason of a plan stands.

    :param planned_at: when the last plan was made; steady seconds.
    :param max_starts: how many starts it could decide.
    """

    planned_at: float = -math.inf
    max_starts: int = 0
    _plan: int = 0
    _decisions: dict[StepRun, WaitDecision] = field(default_factory=dict)

    def begin_plan(self, now: float, max_starts: int) -> None:
        """Take in that a plan begins."""
        self._plan += 1
        self.planned_at = now
        self.max_starts = max_starts

    def record(
        self,
        step: StepRun,
        reason: Reason,
        candidates: Candidates | None = None,
        promised: Counter[str] | None = None,
    ) -> None:
        """Take in that a step waits on, and why."""
        decision = self._decisions.get(step)
        if (
            decision is None
            or decision.reason is not reason
            or decision.plan < self._plan - 1
        ):
            since = self.planned_at
            self._decisions[step] = WaitDecision(
                reason, since, self._plan, candidates, promised
            )
            return
        decision.plan = self._plan
        decision.candidates = candidates
        decision.promised = promised

    def record_all(self, steps: Iterable[StepRun], reason: Reason) -> None:
        """Take in that steps wait on for one reason."""
        for step in steps:
            self.record(step, reason)

    def get(self, step: StepRun) -> WaitDecision | None:
        """Return why the last plan let a step pass, or None if it did not."""
        decision = self._decisions.get(step)
        return (
            decision if decision is not None and decision.plan == self._plan else None
        )

    def prune(self) -> None:
        """Drop what older plans decided."""
        self._decisions = {
            s: h for s, h in self._decisions.items() if h.plan == self._plan
        }


def reason_elsewhere(step: StepRun, elsewhere: bool) -> Reason:
    """Return why a step that has no room where it may start gets none elsewhere.

    :param elsewhere: whether another data centre has room for a task of it.
    """
    if not elsewhere:
        return Reason.NO_ROOM
    if step.job.zones != step.job.stored_zones:
        return Reason.ZONE_BEING_STORED
    return Reason.ROOM_PROMISED
