"""Hold the figures of leases and calls to workers."""

from __future__ import annotations

from typing import Final

LEASE_SECONDS: Final = 4.0
"""Outlives a takeover (2 s) and its first hold; bounds how long a silent worker's
tasks wait before they may run elsewhere."""

CLOCK_ERROR: Final = 0.03
"""A worker's clock may be 2 % slow, so its lease ends that much later."""

LEASE_SLACK_SECONDS: Final = 0.25
"""Covers the way of the order that renewed the lease last."""

LONG_HOLD_MILLISECONDS: Final = 1000
BUSY_HOLD_MILLISECONDS: Final = 250
"""Used where short tasks run: an answer that is lost then costs them less."""

SHORT_HOLD_MILLISECONDS: Final = 300
"""Used where figures have to be fresh: serving beside filling, and evacuations."""

HOLD_GAP_SECONDS: Final = 0.07
"""Shortest time between two holds of a worker: ends that come together are read
together. Each call takes about 1 ms of the owner's processor."""

UNSTORED_WAIT_SECONDS: Final = 0.25
"""While ends are not stored, a hold answers at once; this keeps it from spinning."""

DECISION_SECONDS: Final = 0.5
"""Age at which a start that has not left is withdrawn: its job may be over, its worker
full or silent, and the lease it would carry is as much shorter."""

PROOF_SECONDS: Final = 0.6
"""Time after an answer in which a worker can't have started again, taken a task and
ended it. Later an acknowledgement may reach another incarnation, whose ends count from
1 again, and would make it forget ends that nobody has read."""

ALIVE_SECONDS: Final = 1.5
"""Age of a worker's last answer up to which it is given tasks unasked. One on which
something runs answers more often: its longest poll takes LONG_HOLD_MILLISECONDS."""

ALIVE_WAIT_SECONDS: Final = 0.35
"""Longest wait for the answer of a worker that is asked first."""

REBORN_MILLISECONDS: Final = 2000
"""A worker's clock that is so much behind what it was belongs to another incarnation;
answers that overtake each other differ by less."""

FAILED_HOLD_SECONDS: Final = 0.2
STOP_RETRY_SECONDS: Final = 0.15

AUTHORITY_SECONDS: Final = 4.0
"""An owner whose renewals were not stored for so long gives no more orders: another
one may have taken over, and waits for workers it can't reach only so long."""


def latest_lease_end(now: float, seconds: float = LEASE_SECONDS) -> float:
    """Return until when a lease renewed now may last, in the owner's time."""
    return now + seconds * (1 + CLOCK_ERROR) + LEASE_SLACK_SECONDS
