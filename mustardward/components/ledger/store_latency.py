"""Estimate how long the store takes to respond, from calls that are made anyway; pure.

Without this, a store that is 94 times slower is taken for one that loses responses: all
entries retry their appends several times a second, the log partition executes more
retries than new records, and the owner's lease renewals wait behind them.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import Final

SLOW_SECONDS: Final = 0.1
"""Latency from which on the store counts as slow; its usual one is 6 ms."""

RECOVERED_SECONDS: Final = 0.05
"""Latency below which a slow store counts as recovered."""


@dataclass(slots=True, eq=False)
class StoreLatency:
    """Hold the store's current latency; all times are monotonic seconds."""

    _latency_seconds: float = 0.0
    _slow: bool = False
    _outstanding: dict[int, float] = field(default_factory=dict)
    _last_token: int = 0

    def record_read(
        self, sent_at: float, answered_at: float, wait_seconds: float, has_records: bool
    ) -> None:
        """Record the response to a read.

        A read that waits for a record is answered once there is one. An empty response
        therefore took the wait and the latency; one with records took between the
        latency and both.

        :param wait_seconds: how long the store was asked to wait for a record.
        """
        elapsed = answered_at - sent_at
        at_least = max(0.0, elapsed - wait_seconds)
        if wait_seconds <= 0.0 or not has_records:
            self._set(at_least if wait_seconds > 0.0 else elapsed)
        else:
            self._set(min(elapsed, max(at_least, self._latency_seconds)))

    def record_append(self, sent_at: float, answered_at: float) -> None:
        """Record the response to an append, which includes its wait in the queue."""
        self._set(answered_at - sent_at)

    def begin_call(self, now: float, wait_seconds: float = 0.0) -> int:
        """Record that a call is sent; return the token for its end.

        :param wait_seconds: how long the store was asked to wait for a record.
        """
        self._last_token += 1
        self._outstanding[self._last_token] = now + wait_seconds
        return self._last_token

    def end_call(self, token: int) -> None:
        """Record that a call has ended, with or without a response."""
        self._outstanding.pop(token, None)

    def seconds(self, now: float) -> float:
        """Return the expected time until a call's response, in seconds."""
        oldest = min(self._outstanding.values(), default=math.inf)
        return max(self._latency_seconds, now - oldest)

    def is_slow(self, now: float) -> bool:
        """Return whether the store responds much later than usual."""
        limit = RECOVERED_SECONDS if self._slow else SLOW_SECONDS
        self._slow = self.seconds(now) >= limit
        return self._slow

    def _set(self, latency_seconds: float) -> None:
        self._latency_seconds = latency_seconds
