"""Define the constants of retries and hedging."""

from __future__ import annotations

from typing import Final

MAX_ATTEMPTS: Final = 4
"""Most attempts of one request, busy refusals not counted."""

MAX_BUSY_REFUSALS: Final = 32
"""Most busy refusals of one request; each costs the worker next to nothing."""

INITIAL_TOKENS: Final = 3.0
"""Retries that an organisation may make before its first success."""

MAX_TOKENS: Final = 50.0
"""Most retries that an organisation can accumulate."""

RETRY_COST: Final = 1.0
BUSY_COST: Final = 0.0
"""Cost of a retry after a busy refusal.

A refusal costs the worker next to nothing, and the limits bound the requests in flight.
If the budget paid for it, requests would be refused while slots become free.
"""

BACKOFF_BASE_SECONDS: Final = 0.025
BACKOFF_MAX_SECONDS: Final = 1.0
BUSY_BACKOFF_MAX_SECONDS: Final = 0.1
BUSY_BACKOFF_BASE_SECONDS: Final = 0.005

MIN_ATTEMPT_SECONDS: Final = 0.005
"""Time before the deadline that another attempt needs at least."""

HEDGE_QUANTILE: Final = 0.95
"""Share of responses that arrive before a request is hedged."""

HEDGE_STEP: Final = 0.05
"""Relative step by which the estimated quantile follows each response."""

MIN_HEDGE_SECONDS: Final = 0.01
MIN_HEDGE_SAMPLES: Final = 20
"""Responses needed before requests to a service are hedged."""

MAX_TRACKED_SERVICES: Final = 4096
"""Most services with a latency quantile, and most organisations with a budget."""

RETRIABLE_STATUSES: Final = frozenset({500, 502, 503, 504})
"""Response statuses after which an idempotent request may be retried."""
