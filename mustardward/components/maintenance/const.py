"""Define the constants of maintenance waves."""

from __future__ import annotations

from typing import Final

STEP_INTERVAL_SECONDS: Final = 0.5
"""Interval at which waves and claims are processed."""

REPORT_INTERVAL_SECONDS: Final = 1.0
"""Interval at which failed and returned instances are reported."""

MAX_START_TAIL_AGE_SECONDS: Final = 5.0
"""Maximum age of the confirmed log tail at which a drain may start."""

MAX_DRAIN_TAIL_AGE_SECONDS: Final = 15.0
"""Age of the confirmed log tail beyond which drained instances return to service."""

CONFIRM_TIMEOUT_SECONDS: Final = 2.0
"""Timeout for confirming the log tail right before a reboot."""

REBOOT_TIMEOUT_SECONDS: Final = 900.0
"""Time after which an instance that has not returned from a reboot has failed."""

DRAIN_START_TIMEOUT_SECONDS: Final = 60.0
"""Time after which a claim whose drain cannot start is aborted."""

EXCLUSION_SECONDS: Final = 600.0
"""Time for which an instance that could not be drained is not claimed again."""

DOWN_AFTER_SECONDS: Final = 3.0
"""Time for which an instance has to be suspected before it is reported absent."""

UP_AFTER_SECONDS: Final = 3.0
"""Time for which an absent instance has to be up before it is reported returned."""

CLAIM_PRIORITY: Final = 0
"""Claims are appended first, since the margin they rely on may soon be used up."""

MAX_CLAIMS_PER_STEP: Final = 64
"""Maximum number of claims that a data centre proposes in one step."""

UNREACHABLE_AFTER_SECONDS: Final = 10.0
"""Time after which an unreachable instance has failed, even if listed as serving."""

LIST_INTERVAL_SECONDS: Final = 10.0
"""Minimum interval between two reads of the platform's instance list."""

LIST_INTERVAL_SECONDS_PER_INSTANCE: Final = 0.2
"""Minimum interval per listed instance, which bounds the cost of large lists."""

MAX_CHECKS_PER_STEP: Final = 16
"""Maximum number of suspects, and of absent instances, checked in one step."""

RETURN_BACKOFF_SECONDS: Final = 10.0
MAX_RETURN_BACKOFF_SECONDS: Final = 600.0

REACHABLE_HOLD_SECONDS: Final = 600.0
"""Time for which a data centre that reported itself reachable stays reachable."""

PROBE_TIMEOUT_SECONDS: Final = 0.5
"""Timeout of one probe of a worker."""

PROBE_ATTEMPTS: Final = 2
"""Number of failed probes after which a worker counts as down."""

MAX_CONCURRENT_PROBES: Final = 16

PROBE_TTL_SECONDS: Final = 1.0
"""Time for which the probe of a pool is reused by further claims."""

PEER_PROBE_TIMEOUT_SECONDS: Final = 2.5
"""Timeout of the probe that another data centre runs."""

DUTY_ABSENCES: Final = "absences"
DUTY_REACHABILITY: Final = "silence"

PLANNED_REBOOT_SECONDS: Final = 180.0
"""Duration of a reboot that plans assume."""

PLANNED_DRAIN_SECONDS: Final = 5.0
"""Duration that plans assume for the short requests of an instance to complete."""

RESELECT_INTERVAL_SECONDS: Final = 10.0
"""Time after which an empty selection is retried although its inputs are unchanged."""

LIMITS_TTL_SECONDS: Final = 300.0
"""Lifetime of rollout limits, which are expensive to compute for a whole fleet."""

RUNNING_TASKS_TTL_SECONDS: Final = 30.0
"""Lifetime of the cached list of running jobs by worker."""

DEFAULT_GRACE_SECONDS: Final = 0.0
