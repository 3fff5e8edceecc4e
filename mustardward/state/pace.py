"""Pace appends, so that all entries together stay within the log's budget."""

from __future__ import annotations

from typing import Final

_WIDEN: Final = 2.0
_NARROW: Final = 0.95


class AppendPace:
    """Widen the window of group commits at each refusal, and narrow it slowly.

    Several entries share one budget that none of them sees. Trying again after a
    while alone would keep them all at its edge, where a snapshot's append takes the
    place of a claim's; a wider window carries the same records in fewer appends.

    :param least_seconds: window while the log refuses nothing.
    :param most_seconds: window that is never passed.
    """

    def __init__(self, least_seconds: float, most_seconds: float) -> None:
        self._least_seconds = least_seconds
        self._most_seconds = max(least_seconds, most_seconds)
        self._window_seconds = least_seconds

    @property
    def window_seconds(self) -> float:
        """Return how long to gather records before the next append."""
        return self._window_seconds

    def note_refused(self) -> None:
        """Take in that the log's budget was used up."""
        widened = max(self._window_seconds, 0.01) * _WIDEN
        self._window_seconds = min(widened, self._most_seconds)

    def note_appended(self) -> None:
        """Take in that an append was within the budget."""
        narrowed = self._window_seconds * _NARROW
        self._window_seconds = max(narrowed, self._least_seconds)
