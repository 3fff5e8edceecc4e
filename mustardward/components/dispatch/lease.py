"""Reckon until when something may run on a worker, on its clock and the owner's."""

from __future__ import annotations

from dataclasses import dataclass, field

from .const import CLOCK_ERROR, LEASE_SECONDS, REBORN_MILLISECONDS, latest_lease_end


@dataclass(slots=True)
class WorkerClock:
    """Know a worker's steady clock by its last answer."""

    clock_ms: float = 0.0
    at: float = -1.0

    @property
    def known(self) -> bool:
        """Return whether the worker ever answered."""
        return self.at >= 0

    def take(self, clock_ms: float, at: float) -> None:
        """Take in an answer that came at ``at``."""
        if clock_ms:
            self.clock_ms = clock_ms
            self.at = at

    def is_behind(self, clock_ms: float) -> bool:
        """Return whether an answer shows a clock that began anew."""
        return self.known and 0 < clock_ms < self.clock_ms - REBORN_MILLISECONDS

    def deadline(self, now: float) -> int:
        """Return the end of a lease that begins now, on the worker's clock."""
        return int(self.clock_ms + (now - self.at + LEASE_SECONDS) * 1000)

    def lease_until(self, now: float) -> float:
        """Return when that lease is surely over, in the owner's time.

        The clock may have been slow since its last answer, too.
        """
        return latest_lease_end(now) + (now - self.at) * CLOCK_ERROR


@dataclass(slots=True, eq=False)
class Lease:
    """Hold the longest lease that one incarnation of a worker may have.

    :param until: when it is surely over, in the owner's time.
    :param deadline_ms: the last end that was sent, on the worker's clock.
    """

    until: float
    clock: WorkerClock = field(default_factory=WorkerClock)
    deadline_ms: int | None = None

    def may_renew(self, now: float) -> bool:
        """Return whether the worker's clock is known well enough for a new lease.

        After a long time without an answer it may have drifted; nothing runs there
        then.
        """
        return self.clock.known and now - self.clock.at <= LEASE_SECONDS

    def renew(self, now: float) -> int:
        """Reckon with a lease sent now; return its end on the worker's clock."""
        self.until = max(self.until, self.clock.lease_until(now))
        self.deadline_ms = self.clock.deadline(now)
        return self.deadline_ms
