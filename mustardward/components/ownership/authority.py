"""Track whether an owner may still send commands."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field

from ..dispatch.const import AUTHORITY_SECONDS
from .const import PAUSE_THRESHOLD_SECONDS


@dataclass(slots=True, eq=False)
class Authority:
    """Limit the time in which commands may be sent without a stored renewal.

    After a takeover, the new owner waits no longer than this time plus a lease for
    workers that it can't reach. It is created and ticked from the sending of the claim
    on, so that a pause of the process while the claim is outstanding is detected, and a
    claim that a slow store answers late is not taken for a pause.

    :param clock: a monotonic clock that also counts suspensions, in seconds.
    :param claimed_at: when the claim was sent, on that clock; counts as a renewal.
    """

    clock: Callable[[], float]
    claimed_at: float
    _renewed_at: float = field(init=False)
    _ticked_at: float = field(init=False)
    _paused_until: float = field(init=False)
    _confirmed_at: float = field(init=False)
    _newest_renewal_at: float = field(init=False)
    _paused_seconds: float = 0.0

    def __post_init__(self) -> None:
        """Count from the claim as from a renewal."""
        self._renewed_at = self.claimed_at
        self._ticked_at = self.claimed_at
        self._paused_until = self.claimed_at
        self._confirmed_at = self.claimed_at
        self._newest_renewal_at = self.claimed_at

    @property
    def is_confirmed(self) -> bool:
        """Return whether the newest owner was read since the process last paused."""
        return self._confirmed_at >= self._paused_until

    @property
    def newest_renewal_at(self) -> float:
        """Return when the newest stored renewal was sent, also once revoked."""
        return self._newest_renewal_at

    def paused_seconds(self) -> float:
        """Return how long the process was paused since the newest stored renewal."""
        elapsed = self.clock() - self._ticked_at
        unnoticed = elapsed if elapsed > PAUSE_THRESHOLD_SECONDS else 0.0
        return self._paused_seconds + unnoticed

    def is_valid(self) -> bool:
        """Return whether commands may be sent now."""
        now = self.clock()
        if now - self._ticked_at > PAUSE_THRESHOLD_SECONDS or not self.is_confirmed:
            return False
        return now - self._renewed_at < AUTHORITY_SECONDS

    def renewal_age_seconds(self) -> float:
        """Return how long ago the newest stored renewal was sent."""
        return self.clock() - self._renewed_at

    def record_renewal(self, sent_at: float) -> None:
        """Record a stored renewal; it counts from the time at which it was sent."""
        if sent_at > self._newest_renewal_at:
            self._newest_renewal_at = sent_at
            if sent_at >= self._paused_until:
                self._paused_seconds = 0.0
        if not math.isinf(self._renewed_at):
            self._renewed_at = max(self._renewed_at, sent_at)

    def revoke(self) -> None:
        """End the authority at once; another entry has taken over."""
        self._renewed_at = -math.inf

    def tick(self) -> float:
        """Record that the process is running; return how long it was paused, or 0."""
        now = self.clock()
        elapsed = now - self._ticked_at
        self._ticked_at = now
        if elapsed <= PAUSE_THRESHOLD_SECONDS:
            return 0.0
        self._paused_until = now
        self._paused_seconds += elapsed
        return elapsed

    def confirm(self, sent_at: float) -> None:
        """Record that a read of the log's end named no newer owner.

        :param sent_at: when the read was sent. A response that was on its way during a
            pause confirms nothing.
        """
        self._confirmed_at = max(self._confirmed_at, sent_at)
