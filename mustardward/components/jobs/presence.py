"""Tell whether an entry that holds leases may still look after its tasks."""

from __future__ import annotations

from typing import Final

from ...helpers.timer import TimerService
from ..membership.models import MemberStatus
from ..membership.protocols import Membership
from ..retries.intents_home import home_name

HOLDER_GRACE_SECONDS: Final = 15.0
"""How long a holder may be out of sight before its tasks are taken over."""

RETENTION_SECONDS: Final = 3_600.0


class HolderLiveness:
    """Follow which holders of leases are in sight.

    A holder that is suspect may live, but to wait for proof of its death would let its
    tasks lapse: one sees jobs that were done long ago still running in the books. To
    take over is safe without proof, since the log fences the holder's records and the
    new one goes on with the same task.

    :param identity: the name of this incarnation as leases carry it.
    """

    def __init__(
        self, timers: TimerService, membership: Membership | None, identity: str
    ) -> None:
        self._timers = timers
        self._membership = membership
        self._identity = identity
        self._last_seen: dict[str, float] = {}

    def is_live(self, holder: str) -> bool:
        """Tell whether a holder was alive within the grace."""
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
            if home_name(item.name, item.incarnation) == holder:
                return item.status
        return None

    def _record_seen(self, holder: str, now: float) -> None:
        self._last_seen[holder] = now
        oldest = now - RETENTION_SECONDS
        self._last_seen = {k: v for k, v in self._last_seen.items() if v > oldest}
