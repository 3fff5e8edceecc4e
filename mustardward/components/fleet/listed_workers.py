"""Determine from instance lists which workers may be alive; pure.

A list of several pages is no snapshot: a row may move to a page that was read already
when another instance leaves. Its rows are therefore complete only together with those
of the list before.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Final

from ...platform.models import INSTANCE_MOVING, INSTANCE_UPKEEP, Instance
from .instance_list import InstanceListing

LIST_LAG_SECONDS: Final = 1.0
"""How old a list may be when it is requested, so that it lacks a new worker."""

_ENDED_STATES: Final = (INSTANCE_MOVING, INSTANCE_UPKEEP)
"""States whose order has ended all runs of the instance."""

Rows = dict[str, Instance]


@dataclass(slots=True, eq=False)
class ListedWorkers:
    """Hold the rows of the last lists by machine.

    :param started_at: when the newest list was requested, in monotonic seconds.
    """

    started_at: float = -1.0
    _zones: dict[str, str] | None = None
    _newest: Rows = field(default_factory=dict)
    _newest_complete: bool = False

    @property
    def needs_another(self) -> bool:
        """Return whether another list is needed to know which workers are missing."""
        return self._newest_complete and self._zones is None

    def update(self, listing: InstanceListing) -> None:
        """Apply the next list."""
        rows = {row.machine: row for row in listing.instances}
        is_snapshot = listing.page_count == 1
        conclusive = listing.complete and (is_snapshot or self._newest_complete)
        all_rows = rows if is_snapshot else self._newest | rows
        self._zones = _zones_of(all_rows) if conclusive else None
        self._newest = rows
        self._newest_complete = listing.complete
        self.started_at = listing.started_at

    def zones(self) -> dict[str, str] | None:
        """Return the data centres of the workers that may be alive.

        :returns: None if a worker that is not named may be alive too.
        """
        return self._zones

    def is_gone(
        self, worker_id: str, was_listed: bool, unresponsive_since: float
    ) -> bool:
        """Return whether an unresponsive worker is certainly gone.

        :param was_listed: whether an earlier list named it.
        """
        if self._zones is None or worker_id in self._zones:
            return False
        lag = 0.0 if was_listed else LIST_LAG_SECONDS
        return self.started_at > unresponsive_since + lag


def _zones_of(rows: Rows) -> dict[str, str]:
    return {
        row.id: row.zone
        for row in rows.values()
        if row.id and row.state not in _ENDED_STATES
    }
