"""Hold the constants of retries and hedging."""

from __future__ import annotations

from typing import Final

MAXIMUM_ATTEMPTS: Final = 4
"""Attempts of one request that may cost a worker something."""

MAXIMUM_BUSY: Final = 32
"""Busy refusals of one request; each costs next to nothing."""

FIRST_TOKENS: Final = 3.0
"""Retries that an organisation may make before it had a success."""

MAXIMUM_TOKENS: Final = 50.0
"""Retries that an organisation may save up."""

RETRY_COST: Final = 1.0
BUSY_COST: Final = 0.0
"""Cost of trying again after a busy refusal.

It cost its worker next to nothing, and the limits bound how many requests are on their
way at once; paid for out of the budget it would end in refusals while slots fall free.
"""

BACKOFF_BASE_SECONDS: Final = 0.025
BACKOFF_MAXIMUM_SECONDS: Final = 1.0
BUSY_MAXIMUM_SECONDS: Final = 0.1
BUSY_BASE_SECONDS: Final = 0.005

LEAST_ATTEMPT_SECONDS: Final = 0.005
"""Time that must be left for another attempt to make sense."""

HEDGE_QUANTILE: Final = 0.95
"""Share of answers that come before a request is hedged."""

HEDGE_STEP: Final = 0.05
"""Relative step by which the learnt quantile follows each answer."""

HEDGE_MINIMUM_SECONDS: Final = 0.01
HEDGE_SAMPLES: Final = 20
"""Answers needed before a service is hedged."""

MAXIMUM_SERVICES: Final = 4096
"""Services whose quantile is remembered."""

RETRIED_STATUSES: Final = frozenset({500, 502, 503, 504})
"""Answers after which an idempotent request may be tried elsewhere."""
