"""Remember workers that do not answer, so that one question asks for all tasks."""

from __future__ import annotations

from ...helpers.timer import TimerService
from .const import UNRESPONSIVE_SECONDS


class UnresponsiveWorkers:
    """Hold the workers that gave no answer a moment ago.

    The tasks of a dead rack would each wait for a time-out at each tick, and nothing
    else would be renewed or placed meanwhile.
    """

    def __init__(self, timers: TimerService) -> None:
        self._timers = timers
        self._until: dict[str, float] = {}

    def add(self, instance_id: str) -> None:
        """Ask a worker nothing more for a moment."""
        self._until[instance_id] = self._timers.monotonic() + UNRESPONSIVE_SECONDS

    def discard(self, instance_id: str) -> None:
        """Ask a worker again: it answered."""
        self._until.pop(instance_id, None)

    def __contains__(self, instance_id: object) -> bool:
        """Tell whether a worker was silent a moment ago."""
        until = self._until.get(str(instance_id), 0.0)
        return self._timers.monotonic() < until
