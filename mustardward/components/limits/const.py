"""Define the constants of admission control."""

from __future__ import annotations

from typing import Final

SWEEP_SECONDS: Final = 0.05
"""Interval between checks of waiting requests for expired deadlines."""

CAPACITY_MAXIMUM_AGE_SECONDS: Final = 0.1
"""Age at which a cached pool capacity is read again."""

WINDOW_SECONDS: Final = 0.25
"""Minimum time between two adjustments of a limit."""

WINDOW_SAMPLES: Final = 5
"""Minimum number of responses and busy refusals between two adjustments."""

LATENCY_TOLERANCE: Final = 2.0
"""Ratio of recent to baseline latency above which a limit shrinks."""

DECREASE_FACTOR: Final = 0.9
"""Factor applied to a limit when it shrinks."""

RECOVERY_FACTOR: Final = 1.1
"""Factor by which a limit below the fair share grows, by at least one permit."""

BORROWING_FACTOR: Final = 1.03
"""Factor applied to a limit that grows beyond the fair share."""

BUSY_SHARE_HIGH: Final = 0.3
"""Share of busy refusals above which a limit may fall below the fair share."""

BUSY_SHARE_MODERATE: Final = 0.1
"""Share of busy refusals up to which a limit grows back to the fair share."""

BUSY_SHARE_LOW: Final = 0.02
"""Share of busy refusals above which a limit shrinks back to the fair share."""

MINIMUM_SHARE: Final = 0.5
"""Lower bound of a limit, as a fraction of the fair share."""

BASELINE_SMOOTHING: Final = 0.005
"""Smoothing factor of the baseline latency."""

RECENT_SMOOTHING: Final = 0.1
"""Smoothing factor of the recent latency."""

INITIAL_LATENCY_SECONDS: Final = 0.1
"""Assumed latency of a service before its first response."""

MAXIMUM_ESTIMATES: Final = 4096
"""Maximum number of services whose latency is tracked."""

MAXIMUM_WAIT_SHARE: Final = 0.5
"""Share of its remaining time that a request may be expected to wait."""

MINIMUM_SERVICE_SHARE: Final = 0.5
"""Share of the expected latency that must be left when a request starts."""

IDLE_CREDIT_SECONDS: Final = 2.0
"""Seconds of unused share for which an organisation may go first."""

DEMAND_RISE_SECONDS: Final = 2.0
"""Time constant of rising demand."""

DEMAND_FALL_SECONDS: Final = 10.0
"""Time constant of falling demand."""

DEMAND_SAMPLE_SECONDS: Final = 0.2
"""Interval between samples of demand; each sample visits all organisations."""

MINIMUM_DEMAND: Final = 0.05
"""Demand below which no permits are protected."""

HOLD_SMOOTHING: Final = 0.1
"""Smoothing factor of the time that an organisation holds a permit."""

PROTECTION_WAIT_SHARE: Final = 0.2
"""Longest wait for a permit that an unprotected request may cause.

As a share of the shortest time that any organisation with demand holds a permit.
"""

PROTECTION_DEVIATIONS: Final = 1.5
"""Standard deviations above the mean demand that are protected."""

URGENT_DRAIN_SECONDS: Final = 0.5
"""Target time in which reclaimed job slots clear the urgent backlog."""

URGENT_OVERDUE_SECONDS: Final = 1.0
"""Wait after which an urgent request is sent without a known free slot."""

URGENT_OVERCOMMIT: Final = 2
"""Maximum number of such requests in flight beyond the known slots."""

LONG_AGING_SECONDS: Final = 30.0
"""Wait after which a long request is promoted to normal urgency."""

BELOW_SHARE_FACTOR: Final = 0.5
"""Fraction of its fair share up to which an organisation may use the reserve."""

RESERVE_OVERCOMMIT: Final = 2.0
"""Factor by which an entry may exceed its equal part of the pool's reserve."""

SELECTION_SCAN: Final = 16
"""Maximum number of organisations examined for one permit."""

RETRY_BASE_SECONDS: Final = 1.0
RETRY_MAXIMUM_SECONDS: Final = 30.0
RETRY_RATE_SHARE: Final = 0.5
"""Share of the expected rate at which refused callers are invited to retry."""

PRUNE_SECONDS: Final = 60.0
"""Interval between removals of idle organisations."""
