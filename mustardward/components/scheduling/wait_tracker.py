"""Record why the last plan left steps waiting."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from .candidates import Candidates
from .models import StepRun


class Reason(Enum):
    """Name the reason why no further task of a step starts.

    The reasons from RULES on are determined by the wait logger, the others by the
    planner.
    """

    NOT_STORED = "not-stored"
    NOT_CONFIGURED = "no-configuration"
    NO_USABLE_WORKER = "no-usable-worker"
    STARTS_USED_UP = "starts-used-up"
    HELD_AFTER_TAKEOVER = "held-after-takeover"
    START_UNANSWERED = "start-unanswered"
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
    COMMAND_UNFINISHED = "order-unfinished"
    NOT_RECORDED = "not-noted"


@dataclass(slots=True, eq=False)
class WaitDecision:
    """Hold the planner's decision on a step.

    :param since: time of the first consecutive plan with this reason, in monotonic
        seconds.
    :param plan: number of the last plan with this reason.
    :param candidates: the candidates of that plan, if the reason depends on them.
    :param promised: processors promised by data centre in that plan, in millicores, if
        the reason depends on them.
    """

    reason: Reason
    since: float
    plan: int
    candidates: Candidates | None = None
    promised: Counter[str] | None = None


@dataclass(slots=True, eq=False)
class WaitTracker:
    """Record the reason of each waiting step; the last one in a plan is kept.

    :param planned_at: when the last plan was made, in monotonic seconds.
    :param max_starts: the limit of starts in that plan.
    """

    planned_at: float = -math.inf
    max_starts: int = 0
    _plan: int = 0
    _decisions: dict[StepRun, WaitDecision] = field(default_factory=dict)

    def begin_plan(self, now: float, max_starts: int) -> None:
        """Begin a new plan."""
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
        """Record why a step continues to wait."""
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
        """Record one reason for several steps."""
        for step in steps:
            self.record(step, reason)

    def get(self, step: StepRun) -> WaitDecision | None:
        """Return the last plan's decision on a step, or None if there is none."""
        decision = self._decisions.get(step)
        return (
            decision if decision is not None and decision.plan == self._plan else None
        )

    def prune(self) -> None:
        """Drop the decisions of older plans."""
        self._decisions = {
            s: d for s, d in self._decisions.items() if d.plan == self._plan
        }


def reason_elsewhere(step: StepRun, elsewhere: bool) -> Reason:
    """Return why a step without room in its data centres does not start elsewhere.

    :param elsewhere: whether another data centre has room for one of its tasks.
    """
    if not elsewhere:
        return Reason.NO_ROOM
    if step.job.zones != step.job.stored_zones:
        return Reason.ZONE_BEING_STORED
    return Reason.ROOM_PROMISED
