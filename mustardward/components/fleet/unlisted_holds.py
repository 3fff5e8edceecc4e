"""Find workers of unanswered starts that lists have not named for a while; pure."""

from __future__ import annotations

from collections.abc import Container
from dataclasses import dataclass, field

from ..scheduling.const import RESTART_SECONDS


@dataclass(slots=True, eq=False)
class UnlistedHolds:
    """Hold since when workers without a session have not been listed.

    A worker that crashed is listed again, under its id, once it has restarted.
    """

    _unlisted_since: dict[str, float] = field(default_factory=dict)

    def update(
        self, awaited: set[str], listed: Container[str] | None, read_at: float
    ) -> list[str]:
        """Return the workers that have had the time to restart.

        :param awaited: the workers for which tasks wait.
        :param listed: the workers that the newest list names, or None if a worker that
            it does not name may be alive.
        :param read_at: when that list was requested, in monotonic seconds.
        """
        if listed is None:
            return []
        self._unlisted_since = {
            worker_id: self._unlisted_since.get(worker_id, read_at)
            for worker_id in awaited
            if worker_id not in listed
        }
        return [
            worker_id
            for worker_id, ends_at in self.ends_at().items()
            if read_at >= ends_at
        ]

    def ends_at(self) -> dict[str, float]:
        """Return until when the workers that are not listed are waited for."""
        return {
            worker_id: since + RESTART_SECONDS
            for worker_id, since in self._unlisted_since.items()
        }
