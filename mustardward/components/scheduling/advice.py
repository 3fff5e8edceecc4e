"""Request advice on which workers may run a step."""

from __future__ import annotations

from typing import Final

from .commands import RequestAdvice
from .models import StepRun
from .placement import fits, may_run
from .scheduler_state import SchedulerState
from .worker_state import WorkerState

ADVICE_TIMEOUT_SECONDS: Final = 2.0
"""Time after which an unanswered request for advice is repeated."""


def check_advice(
    state: SchedulerState, step: StepRun, workers: list[WorkerState], now: float
) -> bool:
    """Return whether advice allows any of the workers, requesting advice if needed.

    A request is needed where no allowed worker can run a task, and no worker is allowed
    or the last request did not cover all workers.
    """
    if now >= step.tickets_valid_until:
        step.tickets.clear()
        step.advice_requested_for = frozenset()
    allowed = [worker for worker in workers if worker.id in step.tickets]
    if any(fits(worker, step.room) and may_run(worker, step) for worker in allowed):
        return True
    names = frozenset(worker.id for worker in workers)
    is_new = not allowed or not names <= step.advice_requested_for
    if is_new and now >= step.advice_requested_until:
        step.advice_requested_until = now + ADVICE_TIMEOUT_SECONDS
        step.advice_requested_for = names
        state.add_command(RequestAdvice(step, tuple(worker.id for worker in workers)))
    return bool(allowed)
