"""Remember the starts to which a lost worker did not respond."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Final

from ...platform.workers import TaskName

UnansweredStart = tuple[TaskName, int]
"""A task, and the number of the run that was to start."""

MAX_DELAY_SECONDS: Final = 30.0
"""Time after which a start that got no response is not carried out any more."""


@dataclass(frozen=True, slots=True)
class _Lost:
    """Hold the unanswered starts of a worker that was lost at a time."""

    starts: tuple[UnansweredStart, ...]
    at: float


@dataclass(slots=True, eq=False)
class LostStarts:
    """Hold the unanswered starts of lost workers by worker id.

    A worker may start again under its id. The new incarnation has seen no fencing
    token, so that it would carry out a start that was delayed on its way.
    """

    _lost: dict[str, _Lost] = field(default_factory=dict)

    def add(
        self, worker_id: str, starts: Iterable[UnansweredStart], now: float
    ) -> None:
        """Remember the starts of a worker that is lost."""
        self._lost = {
            name: lost
            for name, lost in self._lost.items()
            if now - lost.at < MAX_DELAY_SECONDS
        }
        found = tuple(starts)
        if found:
            self._lost[worker_id] = _Lost(found, now)

    def take(self, worker_id: str, now: float) -> tuple[UnansweredStart, ...]:
        """Return the starts that may still reach a worker, and forget them."""
        lost = self._lost.pop(worker_id, None)
        if lost is None or now - lost.at >= MAX_DELAY_SECONDS:
            return ()
        return lost.starts
