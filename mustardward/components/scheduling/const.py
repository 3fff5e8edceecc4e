"""Constants of the scheduler."""

from __future__ import annotations

from typing import Final

RUN_BITS: Final = 20
"""Bits of the counter in a run number. The owner's epoch is in the bits above it, so
that a new owner's numbers are greater than all numbers of previous owners."""

LATE_FACTOR: Final = 3.0
"""A job that ends within this multiple of its objective is late, but still useful."""

STUCK_SECONDS: Final = 2.0
"""A run without progress for this long, and for STUCK_FACTOR times its expected run
time, counts as stuck."""

STUCK_FACTOR: Final = 1.5

MAX_OBSERVE_INTERVAL_SECONDS: Final = 0.5
"""Longest time after which a running task is compared with its estimate again. With
3,200 runs, comparing each in every scan takes longer than the scan for stuck runs."""

MAX_IDLE_SECONDS: Final = 1.0
"""A run without progress for longer shows nothing of its task's length; otherwise a
stuck run would raise its own estimate, and never count as stuck."""

MAX_CRASHES: Final = 4
"""Worker crashes under a task after which its job is given up in any case."""

CONCLUSIVE_CRASHES: Final = 3
"""Worker crashes under a task after which its job is given up, unless the last one came
together with many others or the task is long-running."""

COMMON_CAUSE_SECONDS: Final = 0.5
"""Crashes within this time of each other may have a common cause, such as a rack
failure."""

COMMON_CAUSE_SHARE: Final = 0.25
"""Share of a pool that has to crash at once for a common cause to be assumed."""

ISOLATION_CRASHES: Final = 2
"""Worker crashes under a task from which on it shares no worker with other jobs."""

ISOLATION_WAIT_SECONDS: Final = 2.5
"""A suspected task that has waited this long for an empty worker may use one whose
other tasks are no suspects; a new instance would be available within this time."""

MAX_ISOLATION_WAIT_SECONDS: Final = 4.0
"""A long-running suspect that has waited this long may share a worker with short tasks:
it must not wait longer than any other long-running task beside workers with room."""

CLEARED_AFTER_SECONDS: Final = 5.0
"""A long-running task that ran for this long is not suspected of its worker's crash."""

CLEARED_AFTER_RUNS: Final = 3
"""Runs of a long-running suspect that end before CLEARED_AFTER_SECONDS without a crash,
after which it shares workers again. Otherwise a task that always fails would occupy a
worker of its own forever."""

CHECK_INTERVAL_SECONDS: Final = 0.1
"""Interval of the scan for stuck runs, crash evidence and slowed serving tasks, which
show only after half a second or more. Scanning 3,200 runs in each plan takes 2.2 of the
2.7 ms of a plan that has nothing to place."""

QUARANTINE_SECONDS: Final = 4.0
"""Time for which a quarantined worker gets no tasks; it is on probation afterwards."""

FAILURES_TO_QUARANTINE: Final = 3
"""Distinct jobs that have to fail in a row on a worker for it to be quarantined."""

QUARANTINE_SHARE: Final = 0.34
"""Largest share of a pool in quarantine; more failing workers point to the jobs."""

MISSING_GRACE_SECONDS: Final = 2.5
"""Time for which a missing worker entry is tolerated. An entry that expired during a
store outage is back within 2 s of the store's return if the worker is alive."""

MAX_MISSED_REPORTS: Final = 2
"""Consecutive reports without a run after which it counts as lost."""

STOP_GRACE_SECONDS: Final = 0.5
"""Time that a worker may take to stop a run unless the platform's settings say so."""

MAX_LEASE_SECONDS: Final = 10.0
"""Longest lease that workers grant unless the platform's settings say so."""

START_REPEAT_SECONDS: Final = 2.0
"""Time in which an unanswered start is repeated on its worker."""

START_REPEAT_INTERVAL_SECONDS: Final = 0.3
"""Time between the failure of a repeated start and the next one."""

SAME_WORKER_SECONDS: Final = 3.0
"""Time for which a task with an unanswered start waits for room on its worker, where
the delayed start is rejected, before it may start on another one."""

RESTART_SECONDS: Final = 5.0
"""Time for which such a task waits for a worker that ended to restart under its id."""

EVACUATION_GRACE_SECONDS: Final = 1.5
"""Time that short runs get to end by themselves on a worker that is being emptied."""
