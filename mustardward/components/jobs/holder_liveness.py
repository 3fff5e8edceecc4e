"""Track whether the entry nodes that hold leases are live."""

from __future__ import annotations

from typing import Final

from ...helpers.timer import TimerService
from ..membership.models import MemberStatus
from ..membership.protocols import Membership
from ..retries.key_locator import incarnation_name

HOLDER_GRACE_SECONDS: Final = 15.0
"""How long a holder may be unconfirmed before its tasks are taken over."""

RETENTION_SECONDS: Final = 3_600.0


class HolderLiveness:
    """Track which lease holders are live.

    A suspect holder may still be alive, but waiting until it is confirmed dead would
    let its leases expire and would show jobs as running long after they finished.
    Taking over without that confirmation is safe, since the log fences the old holder's
    records and the new holder continues the same task.

    :param identity: the holder name of this incarnation in leases.
    """

    def __init__(
        self, timers: TimerService, membership: Membership | None, identity: str
    ) -> None:
        self._timers = timers
        self._membership = membership
        self._identity = identity
        self._last_seen: dict[str, float] = {}

    def is_live(self, holder: str) -> bool:
        """Return whether a holder was alive within the grace period."""
        if holder == self._identity:
            return True
        now = self._timers.monotonic()
        status = self._status(holder)
        if status is MemberStatus.LEAVING:
            return False
        if status is MemberStatus.ALIVE or holder not in self._last_seen:
            self._record_seen(holder, now)
        return now - self._last_seen[holder] < HOLDER_GRACE_SECONDS

    def _status(self, holder: str) -> MemberStatus | None:
        if self._membership is None:
            return None
        for item in self._membership.members():
            if incarnation_name(item.name, item.incarnation) == holder:
                return item.status
        return None

    def _record_seen(self, holder: str, now: float) -> None:
        self._last_seen[holder] = now
        oldest = now - RETENTION_SECONDS
        self._last_seen = {k: v for k, v in self._last_seen.items() if v > oldest}
