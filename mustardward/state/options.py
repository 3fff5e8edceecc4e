"""Define the intervals and limits of following one log."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from ..helpers.backoff import Backoff


@dataclass(frozen=True, slots=True)
class LogOptions:
    """Hold the intervals (seconds) and limits of reads and appends of one log.

    ``relay_after_seconds`` is the age of the tail after which peers are queried, and
    ``relay_idle_seconds`` the interval of queries that return no new entries.
    ``snapshot_entries`` and ``snapshot_seconds`` define when a snapshot is due.
    """

    poll_seconds: float = 1.0
    page_entries: int = 256
    append_interval_seconds: float = 0.02
    append_interval_maximum_seconds: float = 0.5
    batch_records: int = 512
    batch_bytes: int = 262_144
    backoff_initial_seconds: float = 0.1
    backoff_maximum_seconds: float = 2.0
    relay_interval_seconds: float = 0.5
    relay_idle_seconds: float = 1.0
    relay_after_seconds: float = 2.5
    snapshot_check_seconds: float = 30.0
    snapshot_entries: int = 10_000
    snapshot_seconds: float = 1800.0

    def backoff(self, random: Random) -> Backoff:
        """Return the backoff between attempts on a failing log."""
        return Backoff(
            self.backoff_initial_seconds, self.backoff_maximum_seconds, random
        )
