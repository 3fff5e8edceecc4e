"""Hold the times and sizes by which one log is followed."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from ..helpers.backoff import Backoff


@dataclass(frozen=True, slots=True)
class LogOptions:
    """Bound waits (seconds), reads and appends of one folded log.

    ``relay_after_seconds`` is how old the tail may get before peers are asked,
    ``relay_idle_seconds`` the time between questions while they bring nothing;
    ``snapshot_entries`` and ``snapshot_seconds`` say when a snapshot is rewritten.
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
        """Return the waits between tries against a log that fails."""
        return Backoff(
            self.backoff_initial_seconds, self.backoff_maximum_seconds, random
        )
