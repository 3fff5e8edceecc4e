"""Remember which incarnations of workers are gone, while their entries still stand."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Final

CLOSED_SECONDS: Final = 5.0
"""Time in which no session is opened with an incarnation that was gone: its entry
lapses after three missed heartbeats."""


@dataclass(frozen=True, slots=True)
class _Closed:
    """Hold an incarnation that is gone, and until when that is remembered."""

    born: int
    until: float


@dataclass(slots=True, eq=False)
class ClosedWorkers:
    """Hold the incarnations that were gone lately, by the worker's id."""

    _closed: dict[str, _Closed] = field(default_factory=dict)

    def close(self, worker_id: str, born: int, now: float) -> None:
        """Take in that an incarnation is gone; 0 stands for a birth not known."""
        self._closed[worker_id] = _Closed(born, now + CLOSED_SECONDS)

    def holds(self, worker_id: str, born: int, now: float) -> bool:
        """Return whether an entry may be of the incarnation that is gone."""
        closed = self._closed.get(worker_id)
        if closed is None or now >= closed.until:
            return False
        return not (closed.born and born > closed.born)
