"""Define the timings and limits of fleet management."""

from __future__ import annotations

from typing import Final

TICK_SECONDS: Final = 0.1
LIST_INTERVAL_SECONDS: Final = 2.0
"""Poll interval of the instance list unless ACTIVE_LIST_INTERVAL_SECONDS applies."""

PROGRESS_LOG_SECONDS: Final = 1.0
"""Interval of the log lines with the progress of maintenance waves."""

MAX_LOGGED_INSTANCES: Final = 3
"""Most instances that a progress line names of those that a wave still waits for."""

ACTIVE_LIST_INTERVAL_SECONDS: Final = 0.4
"""Poll interval of the instance list while a wave is unfinished, a move is in progress
or a worker is unresponsive."""

MAINTENANCE_CYCLE_SECONDS: Final = 4.5
"""Typical time from choosing an instance until it is up again: draining, maintenance,
and the next poll of the list."""

MAX_DRAINED_POOL_SHARE: Final = 0.25
"""Largest share of a pool that a wave drains or maintains at once."""

PACE_FACTOR: Final = 1.5
"""Factor by which a wave exceeds the concurrency that its remaining time requires, so
that it has slack for instances that take longer."""

MIN_CONCURRENT_INSTANCES: Final = 2
"""Instances that a wave processes at once if its limit allows: one that can't be
drained yet must not block the next one."""

UNCHANGED_INCARNATION_SECONDS: Final = 3.0
"""Time after an order's maintenance at which an instance that is still listed with the
same incarnation counts as maintained earlier; the list lags by up to a second."""

UNLISTED_TIMEOUT_SECONDS: Final = 3.0
"""Time after which an instance missing from the list, for example because its row is
unreadable, is no longer drained: its worker would stay idle until the row is back."""

ORDER_RETRY_SECONDS: Final = 0.3
"""Delay before an order of unknown outcome is repeated; orders are idempotent."""

TARGET_UTILISATION: Final = 0.85
"""Share of a pool's capacity that its work may use before it requests another instance:
a move takes seconds, and demand rises to five times its mean within one."""

BACKLOG_START_SECONDS: Final = 2.0
"""Time in which waiting work should start; a quick job's objective is about 2 s."""

ORDER_OVERHEAD_SECONDS: Final = 0.4
"""Time from an order to an instance's first task in addition to the move itself: the
announcement, the tick, and the first response of its worker."""

LATER_BACKLOG_START_SECONDS: Final = 1.0
"""Time in which work that still waits once an instance has arrived should start."""

MIN_POOL_INSTANCES: Final = 2
"""Instances that a pool keeps without any work, on two racks if possible: a first task
must not wait for a move, and the loss of a rack must not leave the pool empty."""

MAX_ISOLATED_WORKERS: Final = 4
"""Most instances that a pool requests to run suspected jobs in isolation."""

UNRESPONSIVE_SECONDS: Final = 1.5
"""Time without a response after which a worker no longer counts for its pool: a
replacement takes as long to arrive, and single lost responses cause shorter gaps."""

FIRST_CONTACT_SECONDS: Final = 3.0
"""Time that a new worker, or one of the previous owner, has for its first response."""

FIRST_CONTACT_SECONDS_PER_WORKER: Final = 0.006
"""Additional time for each worker: a new owner polls them in turn, and an unreachable
worker holds one of 96 concurrent calls for 0.6 s."""

IDLE_TIMEOUT_SECONDS: Final = 2.5
"""Idle time after which an instance goes to standby: switching it off and on again
costs about as much as keeping it on for 2.3 s."""

MOVE_TIMEOUT_SECONDS: Final = 6.0
"""Time after which an accepted move that the list doesn't show counts as finished."""
