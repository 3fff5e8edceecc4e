"""Define the timing of leases and of calls to workers."""

from __future__ import annotations

from typing import Final

LEASE_SECONDS: Final = 4.0
"""Longer than a takeover (2 s) and its first poll; bounds how long the tasks of an
unresponsive worker wait before they may run elsewhere."""

CLOCK_DRIFT_RATIO: Final = 0.03
"""A worker's clock may be 2 % slow, in which case its lease ends that much later."""

LEASE_SLACK_SECONDS: Final = 0.25
"""Covers the latency of the call that last renewed the lease."""

LONG_POLL_MS: Final = 1000
BUSY_POLL_MS: Final = 250
"""Used where short tasks run, so that a lost answer delays them less."""

SHORT_POLL_MS: Final = 300
"""Used where the figures of tasks must be fresh: on workers with both serving and
filling tasks, and during evacuations."""

MIN_POLL_INTERVAL_SECONDS: Final = 0.07
"""Minimum time between two polls of a worker, so that runs that end close together are
reported in one answer. Each call takes about 1 ms of the owner's processor."""

UNSTORED_POLL_DELAY_SECONDS: Final = 0.25
"""While reported ends are not stored, polls return at once; this delay keeps them from
looping without a pause."""

START_MAX_AGE_SECONDS: Final = 0.5
"""Age at which a start that was not sent is withdrawn: its job may be over, its worker
full or unresponsive, and its lease would be shorter by this time."""

ACKNOWLEDGE_MAX_AGE_SECONDS: Final = 0.6
"""Time after an answer in which a worker can't have restarted, accepted a task and
finished it. A later acknowledgement may reach a new incarnation, which numbers its ends
from 1 again, and would make it discard ends that were never read."""

LIVENESS_MAX_AGE_SECONDS: Final = 1.5
"""Maximum age of a worker's last answer for a start without a liveness check. A worker
with runs answers more often: its longest poll takes LONG_POLL_MS."""

LIVENESS_TIMEOUT_SECONDS: Final = 0.35
"""Timeout of the liveness check before a start."""

CLOCK_RESET_THRESHOLD_MS: Final = 50
"""A worker's clock that lags by more than this belongs to another incarnation."""

POLL_RETRY_SECONDS: Final = 0.2
STOP_RETRY_SECONDS: Final = 0.15

TOKENS_PER_EPOCH: Final = 256
"""Fencing tokens of one owner: its epoch, and one more for each session with another
incarnation of the same worker. The next owner's epoch is above all of them."""

AUTHORITY_SECONDS: Final = 4.0
"""An owner whose renewals were not stored for this long sends no more commands: another
entry may have taken over, and waits no longer than this, plus a lease, for workers that
it can't reach."""


def latest_lease_end(now: float, seconds: float = LEASE_SECONDS) -> float:
    """Return the latest end of a lease renewed now, on the owner's clock."""
    return now + seconds * (1 + CLOCK_DRIFT_RATIO) + LEASE_SLACK_SECONDS
