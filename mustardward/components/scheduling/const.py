"""Hold the scheduler's limits, each with its unit and reason."""

from __future__ import annotations

from typing import Final

RUN_BITS: Final = 20
"""A run's number is its owner's epoch and a counter of so many bits, so that a new
owner's numbers lie above all that an old one may have given."""

ESTIMATE_WEIGHT: Final = 0.1
"""Weight of the newest run in what is learned of a queue's run times."""

ESTIMATE_FLOOR: Final = 0.2
ESTIMATE_CEILING: Final = 8.0
"""Bounds of the learned ratio of run time to declared run time."""

UNKNOWN_ESTIMATE_SECONDS: Final = 1.0
"""Used where a step declares no run time."""

LATE_FACTOR: Final = 3.0
"""A job is of some use until this many times its objective."""

STUCK_SECONDS: Final = 2.0
"""A run that makes no progress for this long, and for STUCK_FACTOR times its
estimate, stands still."""

STUCK_FACTOR: Final = 1.5

MAX_CRASHES: Final = 4
"""Workers that may crash under a task before its job is given up."""

CONCLUSIVE_CRASHES: Final = 3
"""The same where the last one crashed by itself, not together with others."""

COMMON_CAUSE_SECONDS: Final = 0.5
"""Workers that crash within this time may have a common cause, such as their rack."""

COMMON_CAUSE_SHARE: Final = 0.25
"""Share of a pool that has to crash so for a common cause to be likelier."""

ISOLATION_CRASHES: Final = 2
"""Workers that crashed under a task from which on its job shares no worker."""

ISOLATION_WAIT_SECONDS: Final = 2.5
"""A suspected job that has waited for so long for an empty worker takes one with runs
that are not suspects: a new instance would have come meanwhile."""

CLEARED_AFTER_SECONDS: Final = 5.0
"""A lasting task that ran for so long is not suspected of its worker's crash."""

CLEARED_AFTER_RUNS: Final = 3
"""Runs of a lasting suspect that may end without a crash, before CLEARED_AFTER_SECONDS,
until it shares workers again: one that always fails would else have a worker for
good."""

CHECK_INTERVAL_SECONDS: Final = 0.1
"""Interval at which all that runs is looked over for runs that stand still and for
serving tasks that are harmed: both show after half a second or more. Looked over in
each plan, 3,200 runs took 2.2 of 2.7 ms of a plan that had nothing to place."""

QUARANTINE_SECONDS: Final = 4.0
"""A worker that fails what others carry out gets nothing for so long, then a trial."""

FAILURES_TO_QUARANTINE: Final = 3
"""Distinct jobs that have to fail on a worker, with none done since, to condemn it."""

QUARANTINE_SHARE: Final = 0.34
"""Most of a pool that may be in quarantine; beyond it the jobs are at fault."""

MISSING_GRACE_SECONDS: Final = 2.5
"""A worker's entry that lapsed while the store was away is back within 2 s of its
return, if the worker lives."""

MISSED_HOLDS_LIMIT: Final = 2
"""Answers in a row that have to miss a run before it counts as lost."""

EVACUATION_GRACE_SECONDS: Final = 1.5
"""Runs shorter than this may end by themselves before an instance is maintained."""
