"""Track lost incarnations of workers whose entries have not expired yet."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Final

REMEMBER_SECONDS: Final = 5.0
"""Time in which no session is opened with a lost incarnation: its entry expires after
three missed heartbeats."""


@dataclass(frozen=True, slots=True)
class _LostIncarnation:
    """Identify a lost incarnation by the start time of its process."""

    started_at_ms: int
    remembered_until: float


@dataclass(slots=True, eq=False)
class LostIncarnations:
    """Hold the recently lost incarnations by worker id."""

    _lost: dict[str, _LostIncarnation] = field(default_factory=dict)

    def add(self, worker_id: str, started_at_ms: int, now: float) -> None:
        """Record a lost incarnation.

        :param started_at_ms: start time of its process, 0 if unknown.
        """
        self._lost[worker_id] = _LostIncarnation(started_at_ms, now + REMEMBER_SECONDS)

    def includes(self, worker_id: str, started_at_ms: int, now: float) -> bool:
        """Return whether an entry may belong to a lost incarnation."""
        lost = self._lost.get(worker_id)
        if lost is None or now >= lost.remembered_until:
            return False
        return not (lost.started_at_ms and started_at_ms > lost.started_at_ms)
