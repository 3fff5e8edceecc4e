"""Hold the constants of maintenance waves."""

from __future__ import annotations

from typing import Final

STEP_INTERVAL_SECONDS: Final = 0.5
"""Time between two looks at waves and claims."""

REPORT_INTERVAL_SECONDS: Final = 1.0
"""Time between two looks for failed and returned instances."""

MAX_START_TAIL_AGE_SECONDS: Final = 5.0
"""Age of the confirmed tail up to which a drain may begin."""

MAX_DRAIN_TAIL_AGE_SECONDS: Final = 15.0
"""Age of the confirmed tail from which drained instances go back to serve."""

CONFIRM_TIMEOUT_SECONDS: Final = 2.0
"""Longest wait for the tail right before a reboot."""

REBOOT_TIMEOUT_SECONDS: Final = 900.0
"""Time after which an instance that did not come back counts as failed."""

DRAIN_START_TIMEOUT_SECONDS: Final = 60.0
"""Time after which an instance whose drain cannot even begin is given back."""

EXCLUSION_SECONDS: Final = 600.0
"""Time for which such an instance is not taken again."""

DOWN_AFTER_SECONDS: Final = 3.0
"""Time for which an instance has to look down before it is reported."""

UP_AFTER_SECONDS: Final = 3.0
"""Time for which an absent instance has to look up before it is reported."""

CLAIM_PRIORITY: Final = 0
"""Claims go into the log before all else: the margin they saw does not last."""

MAX_CLAIMS_PER_STEP: Final = 64
"""Claims proposed in one step by one data centre."""

UNREACHABLE_AFTER_SECONDS: Final = 10.0
"""Time after which an instance that the platform calls serving counts as failed."""

LIST_INTERVAL_SECONDS: Final = 10.0
"""Least time between two readings of the platform's list."""

LIST_INTERVAL_SECONDS_PER_INSTANCE: Final = 0.2
"""What each listed instance adds to that time, so that the list stays cheap."""

MAX_CHECKS_PER_STEP: Final = 16
"""Instances whose power state is asked for in one step."""

RETURN_BACKOFF_SECONDS: Final = 10.0
MAX_RETURN_BACKOFF_SECONDS: Final = 600.0

REACHABLE_HOLD_SECONDS: Final = 600.0
"""Time for which a data centre that said it speaks is not called silent again."""

PROBE_TIMEOUT_SECONDS: Final = 0.5
"""Longest wait for one sign of life."""

PROBE_ATTEMPTS: Final = 2
"""A worker counts as down after this many looks without an answer."""

MAX_CONCURRENT_PROBES: Final = 16

PROBE_TTL_SECONDS: Final = 1.0
"""Time for which a look at a pool serves the next claim too."""

PEER_PROBE_TIMEOUT_SECONDS: Final = 2.5
"""Longest wait for another data centre's look."""

DUTY_ABSENCES: Final = "absences"
DUTY_REACHABILITY: Final = "silence"

PLANNED_REBOOT_SECONDS: Final = 180.0
"""What a plan takes a reboot to last."""

PLANNED_DRAIN_SECONDS: Final = 5.0
"""What a plan takes the quick requests of an instance to need."""

RESELECT_INTERVAL_SECONDS: Final = 10.0
"""Time after which a choice that took nothing is made again though nothing changed."""

LIMITS_TTL_SECONDS: Final = 300.0
"""Time for which the chosen paces hold; to choose them for a whole fleet is dear."""

TASK_COUNT_TTL_SECONDS: Final = 30.0
"""Time for which the count of running jobs by worker holds."""

DEFAULT_GRACE_SECONDS: Final = 0.0
