"""Calculate when leases end, on the worker's clock and on the owner's."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from ..scheduling.lost_starts import MAX_DELAY_SECONDS
from .const import (
    CLOCK_DRIFT_RATIO,
    CLOCK_RESET_THRESHOLD_MS,
    LEASE_SECONDS,
    latest_lease_end,
)


@dataclass(slots=True)
class WorkerClock:
    """Estimate a worker's monotonic clock from its last answer."""

    clock_ms: float = 0.0
    read_at: float = -1.0

    @property
    def is_known(self) -> bool:
        """Return whether the worker has ever reported its clock."""
        return self.read_at >= 0

    def seconds_since_read(self, now: float) -> float:
        """Return the age of the last answer with a clock, infinite if there is none."""
        return now - self.read_at if self.is_known else math.inf

    def update(self, clock_ms: float, at: float) -> None:
        """Record the clock of an answer that was received at ``at``.

        An answer that a newer one has overtaken says nothing about the clock now.
        """
        if clock_ms and clock_ms >= self.clock_ms:
            self.clock_ms = clock_ms
            self.read_at = at

    def minimum_ms(self, now: float) -> float:
        """Return the least that the clock can show from now on, unless it is reset.

        It may be slow since its last answer.
        """
        if not self.is_known:
            return 0.0
        elapsed_ms = 1000 * (now - self.read_at)
        return self.clock_ms + elapsed_ms * (1 - CLOCK_DRIFT_RATIO)

    @staticmethod
    def has_reset(clock_ms: float, minimum_ms: float) -> bool:
        """Return whether the clock of an answer shows that the worker restarted.

        :param minimum_ms: the minimum when the call was sent. An answer may arrive
            after newer ones, but was given after the call was sent.
        """
        return 0 < clock_ms < minimum_ms - CLOCK_RESET_THRESHOLD_MS

    def lease_deadline_ms(self, now: float) -> int:
        """Return the end of a lease that begins now, on the worker's clock in ms."""
        return int(self.clock_ms + (now - self.read_at + LEASE_SECONDS) * 1000)

    def lease_end(self, now: float) -> float:
        """Return the latest end of that lease, on the owner's clock.

        The worker's clock may also have been slow since its last answer.
        """
        return latest_lease_end(now) + (now - self.read_at) * CLOCK_DRIFT_RATIO


@dataclass(slots=True, eq=False)
class Lease:
    """Hold the longest lease that one incarnation of a worker may have.

    :param ends_at: its latest end, on the owner's clock.
    :param max_seconds: the longest lease that workers grant.
    :param inherited: whether earlier calls may have granted the incarnation a lease.
    :param deadline_ms: the last end that was sent, on the worker's clock.
    """

    ends_at: float
    max_seconds: float = LEASE_SECONDS
    inherited: bool = False
    clock: WorkerClock = field(default_factory=WorkerClock)
    deadline_ms: int | None = None
    _unanswered_at: float = -math.inf

    @property
    def unanswered_until(self) -> float:
        """Return when the lease ends that the last unanswered call may have granted.

        It may be carried out late, and by the next incarnation, whose clock is behind
        the deadline that was sent.
        """
        carried_out_at = self._unanswered_at + MAX_DELAY_SECONDS
        return latest_lease_end(carried_out_at, self.max_seconds)

    def record_unanswered(self, now: float) -> None:
        """Record that a call with a deadline got no response."""
        self._unanswered_at = max(self._unanswered_at, now)

    def inherit_unanswered(self, previous: Lease) -> None:
        """Take over the unanswered calls to the previous incarnation."""
        self.record_unanswered(previous._unanswered_at)

    def record_answer(self, clock_ms: float, now: float) -> None:
        """Record the clock of an answer.

        The first one ends what earlier calls may still grant. They may have granted the
        longest lease, since they were meant for a previous incarnation.
        """
        if self.inherited and not self.clock.is_known:
            self.ends_at = max(self.ends_at, latest_lease_end(now, self.max_seconds))
        self.clock.update(clock_ms, now)

    def may_renew(self, now: float) -> bool:
        """Return whether the worker's clock is known precisely enough for a renewal.

        Without an answer for longer than a lease it may have drifted; nothing runs on
        the worker by then.
        """
        return self.clock.is_known and now - self.clock.read_at <= LEASE_SECONDS

    def renew(self, now: float) -> int:
        """Extend the lease from now; return its end on the worker's clock."""
        self.ends_at = max(self.ends_at, self.clock.lease_end(now))
        self.deadline_ms = self.clock.lease_deadline_ms(now)
        return self.deadline_ms
