"""Hold the constants of long work."""

from __future__ import annotations

from typing import Final

TICK_SECONDS: Final = 1.0
LEASE_SECONDS: Final = 90.0
RENEW_SECONDS: Final = 30.0
"""An entry may hold several hundred tasks, and each renewal is a call: a shorter lease
would cost more of a core than all of control may."""

POLL_SHARE: Final = 0.1
"""Share of its age after which a task is looked at again."""

ARRIVAL_SECONDS: Final = 10.0
"""How long a start whose answer was lost may still be on its way."""

GIVE_BACK_SECONDS: Final = 0.8
"""Longest wait for each of checkpoint, throttle and stop; the three have to fit into
the time in which urgent work must start."""

LEASE_MARGIN_SECONDS: Final = 5.0
"""Added before a lease counts as surely lapsed on a worker that does not answer."""

HOLD_AFTER_SECONDS: Final = 120.0
"""How long an unreachable worker may still tell what became of a task."""

FRESH_SECONDS: Final = 5.0
"""Oldest picture of the log's tail on which a task may be started."""

CONFIRM_SECONDS: Final = 1.0

PLACE_EACH_TICK: Final = 64
CONCURRENT_CALLS: Final = 32
CANDIDATES: Final = 8
BACKFILL_DEPTH: Final = 8
SKIP_EACH_LOOK: Final = 256
"""Most entries that ended elsewhere that one look into a queue drops."""

AGING_SECONDS: Final = 60.0
"""Waiting this long weighs as much as one running slot fewer."""

RESERVE_AFTER_SECONDS: Final = 300.0
"""After this a job that finds no room gets a worker kept free for it."""

SILENT_SECONDS: Final = 5.0
"""How long a worker that did not answer about one task is asked about no other."""

BUSY_SECONDS: Final = 5.0
VACATE_SECONDS: Final = 60.0
"""How long a worker gets no task after it was last asked to be vacated."""

HOLD_BACK_SECONDS: Final = 10.0
"""How long a slot that was given back stays free of long work."""

MANY_BACK_OFFS: Final = 10_000
RETRY_BASE_SECONDS: Final = 2.0
RETRY_MAXIMUM_SECONDS: Final = 300.0

STALL_SECONDS: Final = 60.0
"""Shortest time without progress after which a task may count as stalled."""

PROTECT_AFTER_PREEMPTIONS: Final = 3
NEARLY_DONE: Final = 0.9

MAXIMUM_PAYLOAD_BYTES: Final = 65_536
MAXIMUM_OPEN_JOBS: Final = 12_000
"""Unfinished jobs of one data centre; every entry there holds them in memory."""

MAXIMUM_OPEN_BYTES: Final = 8_388_608
"""Size of the payloads of unfinished jobs of one data centre."""

MAXIMUM_RESULT_BYTES: Final = 65_536
POOL_DUTY_PREFIX: Final = "jobs/"
"""Each pool's jobs are placed by one entry of a data centre, by rendezvous."""
