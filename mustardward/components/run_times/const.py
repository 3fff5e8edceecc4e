"""Constants of run-time estimates."""

from __future__ import annotations

from typing import Final

ESTIMATE_WEIGHT: Final = 0.1
"""Weight of the newest run in the moving average of a queue's run times."""

ESTIMATE_FLOOR: Final = 0.2
ESTIMATE_CEILING: Final = 8.0
"""Bounds of one run's ratio of actual to declared run time."""

UNKNOWN_ESTIMATE_SECONDS: Final = 1.0
"""Expected run time of a step that declares none."""

MIN_DECLARED_SECONDS: Final = 0.001
MAX_DECLARED_SECONDS: Final = 10 * 365 * 86_400.0
"""Bounds of a declared run time."""

MAX_LOG_ERROR: Final = 3.0
"""Bound of one step's logarithm of actual to declared run time, a factor of 20."""

MAX_FIGURE: Final = 30.0
"""Bound of a stored logarithm or variance; e to the power of 30 is a million years."""

MIN_STEPS: Final = 12
"""Completed steps of a queue from which on its declarations' reliability is used."""

MEMORY_STEPS: Final = 64
"""Completed steps over which a queue's figures are averaged."""

PRIOR_STEPS: Final = 4.0
"""Weight of the assumption that declarations are right, in completed steps."""

MIN_DECLARED_VARIANCE: Final = 0.01
"""Variance of declared times (as logarithms) below which they hardly differ, so that
their reliability can't be learned."""

MIN_SLOPE: Final = 0.02
"""Smallest weight of declared times; the variance of their errors follows from it."""

HIGH_DEVIATIONS: Final = 2.0
"""Standard deviations up to ``high_seconds``, which 2 of 100 runs exceed."""

MIN_GROWTH: Final = 0.05
"""Smallest growth of the logarithm of a running task's time that is evidence again."""

MIN_CHANGE: Final = 0.02
"""Smallest change of a queue's figures after which estimates are computed again. Each
completed step changes them a little, and a plan reads the estimates of all jobs."""

STEPS_PER_CHANGE: Final = 100
"""Steps of a job for each of which one change of run times may be missing in its
estimates. With 10,000 steps, computing them after each run takes 60 ms a run."""

MIN_STORED_CHANGE: Final = 0.1
"""Smallest change of a queue's figures after which they are stored again."""

STORE_INTERVAL_SECONDS: Final = 5.0

MAX_ORGANISATIONS: Final = 32
"""Most organisations of a queue whose mean errors are learned."""

MAX_QUEUES: Final = 64
"""Most queues whose figures are exported."""

MAX_QUEUE_BYTES: Final = 250
"""Longest name of an exported queue; a key of the store has up to 255 bytes."""
