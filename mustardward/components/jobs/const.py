"""Hold the constants of long work."""

from __future__ import annotations

from typing import Final

TICK_SECONDS: Final = 1.0
LEASE_SECONDS: Final = 90.0
RENEWAL_INTERVAL_SECONDS: Final = 30.0
"""An entry may hold several hundred tasks, and each renewal is a call: a shorter lease
would cost more of a core than all of control may."""

POLL_INTERVAL_SHARE: Final = 0.1
"""Share of its age after which a task is looked at again."""

START_ARRIVAL_SECONDS: Final = 10.0
"""How long a start whose answer was lost may still be on its way."""

EVICTION_CALL_TIMEOUT_SECONDS: Final = 0.8
"""Longest wait for each of checkpoint, throttle and stop; the three have to fit into
the time in which urgent work must start."""

LEASE_MARGIN_SECONDS: Final = 5.0
"""Added before a lease counts as surely lapsed on a worker that does not answer."""

UNKNOWN_OUTCOME_WAIT_SECONDS: Final = 120.0
"""How long an unreachable worker may still tell what became of a task."""

MAX_TAIL_AGE_SECONDS: Final = 5.0
"""Oldest picture of the log's tail on which a task may be started."""

CONFIRM_TIMEOUT_SECONDS: Final = 1.0

MAX_PLACEMENTS_PER_TICK: Final = 64
MAX_CONCURRENT_CALLS: Final = 32
WORKER_SAMPLE_SIZE: Final = 8
BACKFILL_DEPTH: Final = 8
MAX_STALE_ENTRIES_PER_PEEK: Final = 256
"""Most entries that ended elsewhere that one look into a queue drops."""

AGING_SECONDS: Final = 60.0
"""Waiting this long weighs as much as one running slot fewer."""

RESERVE_AFTER_SECONDS: Final = 300.0
"""After this a job that finds no room gets a worker kept free for it."""

UNRESPONSIVE_SECONDS: Final = 5.0
"""How long a worker that did not answer about one task is asked about no other."""

BUSY_WORKER_SECONDS: Final = 5.0
VACATE_SECONDS: Final = 60.0
"""How long a worker gets no task after it was last asked to be vacated."""

SLOT_COOLDOWN_SECONDS: Final = 10.0
"""How long a slot that was given back stays free of long work."""

BACKOFF_PRUNE_THRESHOLD: Final = 10_000
RETRY_BASE_SECONDS: Final = 2.0
RETRY_MAX_SECONDS: Final = 300.0

MIN_STALL_SECONDS: Final = 60.0
"""Shortest time without progress after which a task may count as stalled."""

PROTECT_AFTER_PREEMPTIONS: Final = 3
NEARLY_DONE_PROGRESS: Final = 0.9

MAX_PAYLOAD_BYTES: Final = 65_536
MAX_OPEN_JOBS: Final = 12_000
"""Unfinished jobs of one data centre; every entry there holds them in memory."""

MAX_OPEN_BYTES: Final = 8_388_608
"""Size of the payloads of unfinished jobs of one data centre."""

MAX_RESULT_BYTES: Final = 65_536
POOL_DUTY_PREFIX: Final = "jobs/"
"""Each pool's jobs are placed by one entry of a data centre, by rendezvous."""
