"""Hold the constants of worker choice."""

from __future__ import annotations

from typing import Final

CANDIDATES: Final = 2
"""Workers compared for one choice."""

RANDOM_PROBES: Final = 8
"""Workers drawn at random before a scan begins."""

SCAN_PROBES: Final = 64
"""Most workers scanned, so that the cost of a choice does not grow with a pool."""

ENTRIES_SECONDS: Final = 0.25
"""Longest age of the view of the entries that share the workers."""

AVOID_SECONDS: Final = 1.0
"""How long a worker that said it is draining, or not ours, is left alone."""

UNREACHABLE_SECONDS: Final = 0.25
UNREACHABLE_MAXIMUM_SECONDS: Final = 2.0
"""How long a worker that could not be reached is left alone, at first and at most.

It is no matter for quarantine: it fails nothing, and comes back from one moment to the
next."""

BUSY_MEMORY_SECONDS: Final = 0.1
"""How long a busy refusal counts as knowledge of what other entries do there."""

USAGE_MEMORY_SECONDS: Final = 5.0
"""Age at which a usage report says nothing any more."""

FAILURE_PENALTY: Final = 4.0
"""Weight of a worker's failure share against the share of its slots in use."""

PENALTY_SECONDS: Final = 2.0
"""Time in which the penalty of the last failure fades, so that it is tried again."""

FAILURE_SMOOTHING: Final = 0.15
"""Weight of the newest verdict in a worker's failure share."""

OUTLIER_VERDICTS: Final = 5
"""Distinct requests needed before a worker is judged."""

OUTLIER_SHARE: Final = 0.5
"""Failure share below which no worker is an outlier."""

OUTLIER_MARGIN: Final = 0.4
"""How far an outlier's failure share is above the mean of its trusted peers."""

ABANDONED_RATIO: Final = 4.0
"""Usual latencies for which a worker must have had an abandoned attempt to blame it."""

LATENCY_SMOOTHING: Final = 0.02
"""Weight of one answer in a pool's usual latency."""

QUARANTINED_SHARE: Final = 1 / 3
"""Largest share of a data centre's part of a pool that may be in quarantine."""

CAPPED_LOG_SECONDS: Final = 30.0
"""Shortest time between two log lines that the cap was reached."""

QUARANTINE_SECONDS: Final = 5.0
"""First term of quarantine; each further one doubles."""

QUARANTINE_MAXIMUM_SECONDS: Final = 300.0
"""Longest term of quarantine."""

TERMS_FORGOTTEN_SECONDS: Final = 600.0
"""Time after which earlier terms of quarantine do not lengthen a new one."""

PROBE_SECONDS: Final = 0.05
"""Shortest time between two probes of one worker."""

PROBATION_SUCCESSES: Final = 3
"""Answers in a row that end a probation."""

BLAME_MEMORY: Final = 1024
"""Failed requests remembered, to tell a bad request from a bad worker."""

QUARANTINE_CAUSE: Final = "quarantined"
"""Cause of the absence that a quarantine is folded as."""

REPORT_SECONDS: Final = 0.5
"""Interval at which quarantines are reported to the log."""

REMOTE_MINIMUM_SECONDS: Final = 0.05
"""Time that must be left before a request is sent to another data centre."""

MAXIMUM_HOPS: Final = 1
"""Entries that may forward one request; more could send it in a circle."""

REFUSAL_BASE_SECONDS: Final = 1.0
REFUSAL_SPREAD_SECONDS: Final = 3.0
