"""Decide which step comes first when more is ready than a pool holds.

Load pattern: a queue asks five times its mean for some seconds, more than its pool
holds, and a twentieth of it in between. Taking work in the order of its arrival lets
every job wait as long as the backlog is, so that near all miss their objective. Work
that can still meet its objective goes first; what can't any more waits for the trough,
and is not lost.
"""

from __future__ import annotations

from enum import IntEnum

from .estimates import Estimates
from .models import StepRun

Rank = tuple[int, int, float]


class Standing(IntEnum):
    """Order steps by what a start now is worth."""

    LASTING = 0
    IN_TIME = 1
    LATE = 2
    OVERDUE = 3


def rank(step: StepRun, now: float, estimates: Estimates) -> Rank:
    """Return the sort key of a step; the smallest comes first."""
    job = step.job
    policy = job.policy
    if step.spec.long_running:
        return (Standing.LASTING, policy.priority, float(step.spec.fills))
    left = estimates.chain(job, only_left=True)
    if now + left <= job.objective_at:
        return (Standing.IN_TIME, policy.priority, job.objective_at - left)
    if now + left <= job.late_at:
        return (Standing.LATE, policy.priority, left * len(step.tasks))
    return (Standing.OVERDUE, policy.priority, job.accepted_at)
