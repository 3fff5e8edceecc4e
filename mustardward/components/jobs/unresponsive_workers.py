"""Track unresponsive workers, so that one timeout covers all of their tasks."""

from __future__ import annotations

from ...helpers.timer import TimerService
from .const import UNRESPONSIVE_SECONDS


class UnresponsiveWorkers:
    """Set of the workers that recently left a call unanswered.

    Without it, each task of a failed rack would wait for a timeout at each tick, and
    no other task would be renewed or placed in the meantime.
    """

    def __init__(self, timers: TimerService) -> None:
        self._timers = timers
        self._until: dict[str, float] = {}

    def add(self, instance_id: str) -> None:
        """Suspend calls to a worker for ``UNRESPONSIVE_SECONDS``."""
        self._until[instance_id] = self._timers.monotonic() + UNRESPONSIVE_SECONDS

    def discard(self, instance_id: str) -> None:
        """Resume calls to a worker that responded."""
        self._until.pop(instance_id, None)

    def __contains__(self, instance_id: object) -> bool:
        """Return whether a worker was recently unresponsive."""
        until = self._until.get(str(instance_id), 0.0)
        return self._timers.monotonic() < until
