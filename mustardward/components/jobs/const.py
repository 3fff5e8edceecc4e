"""Constants of the job component."""

from __future__ import annotations

from typing import Final

TICK_SECONDS: Final = 1.0
LEASE_SECONDS: Final = 90.0
RENEWAL_INTERVAL_SECONDS: Final = 30.0
"""Upper bound of the interval between two renewals of a task.

An entry node may hold several hundred tasks and each renewal is a call, so shorter
leases with more frequent renewals would exceed the CPU budget of the control plane.
"""

POLL_INTERVAL_SHARE: Final = 0.1
"""Interval between polls of a task, as a share of its age."""

START_ARRIVAL_SECONDS: Final = 10.0
"""How long a start whose reply was lost may still be in transit."""

EVICTION_CALL_TIMEOUT_SECONDS: Final = 0.8
"""Timeout of each of checkpoint, throttle and stop.

All three together have to fit into the time in which urgent work must start.
"""

LEASE_MARGIN_SECONDS: Final = 5.0
"""Margin before the lease of an unreachable worker counts as expired."""

UNKNOWN_OUTCOME_WAIT_SECONDS: Final = 120.0
"""Additional wait for an unreachable worker's report on a non-idempotent task."""

MAX_TAIL_AGE_SECONDS: Final = 5.0
"""Maximum age of the last read of the log's tail at which a task may be started."""

CONFIRM_TIMEOUT_SECONDS: Final = 1.0

MAX_PLACEMENTS_PER_TICK: Final = 64
MAX_CONCURRENT_CALLS: Final = 32
WORKER_SAMPLE_SIZE: Final = 8
BACKFILL_DEPTH: Final = 8
MAX_STALE_ENTRIES_PER_PEEK: Final = 256
"""Maximum number of stale entries that one peek drops from a queue."""

AGING_SECONDS: Final = 60.0
"""Waiting time that counts as much as one running job fewer per unit of weight."""

RESERVE_AFTER_SECONDS: Final = 300.0
"""Waiting time after which a worker is reserved for a job that can't be placed."""

UNRESPONSIVE_SECONDS: Final = 5.0
"""How long an unresponsive worker isn't called about its other tasks."""

BUSY_WORKER_SECONDS: Final = 5.0
VACATE_SECONDS: Final = 60.0
"""How long a worker gets no tasks after the last request to vacate it."""

SLOT_COOLDOWN_SECONDS: Final = 10.0
"""How long a slot freed for urgent work is withheld from jobs."""

BACKOFF_PRUNE_THRESHOLD: Final = 10_000
RETRY_BASE_SECONDS: Final = 2.0
RETRY_MAX_SECONDS: Final = 300.0

MIN_STALL_SECONDS: Final = 60.0
"""Minimum time without progress before a task may count as stalled."""

PROTECT_AFTER_PREEMPTIONS: Final = 3
NEARLY_DONE_PROGRESS: Final = 0.9

MAX_PAYLOAD_BYTES: Final = 65_536
MAX_OPEN_JOBS: Final = 12_000
"""Limit on unfinished jobs per data centre; every entry node holds them in memory."""

MAX_OPEN_BYTES: Final = 8_388_608
"""Limit on the total payload size of unfinished jobs per data centre."""

MAX_RESULT_BYTES: Final = 65_536
POOL_DUTY_PREFIX: Final = "jobs/"
"""Prefix of the duty to place a pool's jobs.

One entry node per data centre has it, chosen by rendezvous hashing.
"""
