"""Define the constants of routing."""

from __future__ import annotations

from typing import Final

CANDIDATES: Final = 2
"""Number of random candidates compared for one choice."""

RANDOM_PROBES: Final = 8
"""Number of workers drawn at random before a linear scan starts."""

SCAN_PROBES: Final = 64
"""Maximum number of workers scanned; bounds the cost of a choice in a large pool."""

ENTRIES_MAXIMUM_AGE_SECONDS: Final = 0.25
"""Age at which the list of entries that share the workers is read again."""

REFUSED_AVOID_SECONDS: Final = 1.0
"""Time to avoid a worker that refused for another cause than being busy."""

UNREACHABLE_AVOID_SECONDS: Final = 0.25
UNREACHABLE_AVOID_MAXIMUM_SECONDS: Final = 2.0
"""Initial and maximum time to avoid an unreachable worker.

An unreachable worker is not quarantined: no request fails because of it, and it can
return at any moment.
"""

BUSY_MAXIMUM_AGE_SECONDS: Final = 0.1
"""Time for which a busy refusal counts as evidence of other entries' load."""

USAGE_MAXIMUM_AGE_SECONDS: Final = 5.0
"""Age from which a usage report is ignored."""

FAILURE_PENALTY: Final = 4.0
"""Weight of a worker's failure share relative to the share of its slots in use."""

PENALTY_FADE_SECONDS: Final = 2.0
"""Time over which the penalty of the last failure fades, to allow a retry."""

FAILURE_SMOOTHING: Final = 0.15
"""Smoothing factor of a worker's failure share."""

OUTLIER_MINIMUM_SAMPLES: Final = 5
"""Number of distinct requests required to judge a worker."""

OUTLIER_SHARE: Final = 0.5
"""Minimum failure share of an outlier."""

OUTLIER_MARGIN: Final = 0.4
"""Minimum excess of an outlier's failure share over the mean of its trusted peers."""

ABANDONED_RATIO: Final = 4.0
"""Duration from which an abandoned attempt counts as a failure of its worker.

In multiples of the baseline latency.
"""

LATENCY_SMOOTHING: Final = 0.02
"""Smoothing factor of a pool's baseline latency."""

QUARANTINE_MAXIMUM_SHARE: Final = 1 / 3
"""Maximum share of a pool's workers in a data centre in quarantine."""

CAP_LOG_INTERVAL_SECONDS: Final = 30.0
"""Minimum time between two log lines about the quarantine cap."""

QUARANTINE_SECONDS: Final = 5.0
"""Duration of the first quarantine; each further one doubles."""

QUARANTINE_MAXIMUM_SECONDS: Final = 300.0
"""Maximum duration of a quarantine."""

QUARANTINE_RESET_SECONDS: Final = 600.0
"""Time after which earlier quarantines no longer lengthen a new one."""

PROBE_INTERVAL_SECONDS: Final = 0.05
"""Minimum time between two probes of one worker."""

PROBATION_SUCCESSES: Final = 3
"""Number of consecutive successes that end a probation."""

MAXIMUM_TRACKED_FAILURES: Final = 1024
"""Number of failed requests remembered to tell bad requests from bad workers."""

QUARANTINE_CAUSE: Final = "quarantined"
"""Cause of the absence record that represents a quarantine."""

REPORT_INTERVAL_SECONDS: Final = 0.5
"""Interval at which quarantines are reported to the log."""

REMOTE_MINIMUM_SECONDS: Final = 0.05
"""Minimum time to the deadline for forwarding to another data centre."""

MAXIMUM_HOPS: Final = 1
"""Maximum number of times a request is forwarded; prevents forwarding loops."""

RETRY_AFTER_BASE_SECONDS: Final = 1.0
RETRY_AFTER_JITTER_SECONDS: Final = 3.0
