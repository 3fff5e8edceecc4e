"""Hold the constants of admission."""

from __future__ import annotations

from typing import Final

SWEEP_SECONDS: Final = 0.05
"""Interval at which waiting requests are checked for their deadlines."""

CAPACITY_SECONDS: Final = 0.1
"""Longest age of the view of workers, entries and parameters."""

WINDOW_SECONDS: Final = 0.25
"""Shortest time between two changes of a limit."""

WINDOW_SAMPLES: Final = 5
"""Fewest answers between two changes of a limit."""

LATENCY_TOLERANCE: Final = 2.0
"""Ratio of recent to usual latency at which a limit shrinks."""

BACKOFF: Final = 0.9
"""Factor by which a limit shrinks."""

RECOVERY: Final = 1.1
"""Factor by which a limit below the fair share grows, by one place at least."""

BORROWING: Final = 1.03
"""Factor by which a limit grows past the fair share."""

BUSY_MUCH: Final = 0.3
"""Share of busy refusals above which a limit shrinks even below the fair share."""

BUSY_SOME: Final = 0.1
"""Share of busy refusals up to which a limit grows back to the fair share."""

BUSY_FEW: Final = 0.02
"""Share of busy refusals above which what was borrowed is given back."""

MINIMUM_SHARE: Final = 0.5
"""Share of the fair share below which no limit shrinks."""

USUAL_SMOOTHING: Final = 0.005
"""Weight of one answer in the usual latency."""

RECENT_SMOOTHING: Final = 0.1
"""Weight of one answer in the expected latency."""

FIRST_LATENCY_SECONDS: Final = 0.1
"""Latency expected of a service that has not answered yet."""

MAXIMUM_ESTIMATES: Final = 4096
"""Services whose latency is remembered."""

WAIT_SHARE: Final = 0.5
"""Share of the time left that a request may be expected to spend in a queue."""

SERVICE_SHARE: Final = 0.5
"""Share of the expected latency that has to be left when a request is started."""

CREDIT_SECONDS: Final = 2.0
"""Time for which an organisation that used less than its share may go first."""

DEMAND_RISE_SECONDS: Final = 2.0
DEMAND_FALL_SECONDS: Final = 10.0
"""Times in which the demand that places are kept for follows up and down."""

SAMPLE_SECONDS: Final = 0.2
"""Interval at which demand is looked at; it costs a step for each organisation."""

LEAST_DEMAND: Final = 0.05
"""Demand below which nothing is kept."""

HELD_SMOOTHING: Final = 0.1
"""Weight of one request in the time that an organisation holds places."""

PROTECTION_WAIT_SHARE: Final = 0.2
"""Wait for a place, in latencies of the quickest organisation, that may be caused."""

PROTECTION_DEVIATIONS: Final = 1.5
"""Deviations above the mean demand that places are kept for."""

URGENT_DRAIN_SECONDS: Final = 0.5
"""Time in which slots taken back from long work should end urgent work's wait."""

URGENT_OVERDUE_SECONDS: Final = 1.0
"""Wait after which urgent work is sent although no slot is known to be free."""

URGENT_TRIALS: Final = 2
"""Urgent requests that may be sent so at once beyond the known slots."""

LONG_AGING_SECONDS: Final = 30.0
"""Wait after which long work competes like normal work."""

LIGHT_SHARE: Final = 0.5
"""Share of its fair share up to which an organisation may use the reserve."""

RESERVE_PARTS: Final = 2.0
"""How many times its equal part of the pool's reserve one entry may use."""

RESERVE_SCAN: Final = 16
"""Organisations looked at for one place in the reserve."""

RETRY_BASE_SECONDS: Final = 1.0
RETRY_MAXIMUM_SECONDS: Final = 30.0
RETRY_RATE_SHARE: Final = 0.5
"""Share of the pool's rate at which refused callers are asked back."""

PRUNE_SECONDS: Final = 60.0
"""Interval at which idle organisations are forgotten."""
