"""Build a dispatcher whose sessions get simulated clients."""

from __future__ import annotations

from typing import Any

from anyio.abc import TaskGroup

from mustardward.components.dispatch.dispatcher import Dispatcher
from mustardward.components.scheduling.scheduler import Scheduler
from mustardward.helpers.timer import TimerService


def build_dispatcher(
    scheduler: Scheduler, timers: TimerService, tasks: TaskGroup, **changes: Any
) -> Dispatcher:
    """Return a dispatcher of the scheduler's epoch that makes no HTTP calls.

    :param changes: arguments that differ from an owner that nobody deposes.
    """
    values: dict[str, Any] = {
        "http": None,
        "token": scheduler.state.epoch,
        "on_fenced": lambda worker: None,
        "on_report": lambda: None,
        "authorised": lambda: True,
    }
    values.update(changes)
    return Dispatcher(scheduler=scheduler, timers=timers, tasks=tasks, **values)
