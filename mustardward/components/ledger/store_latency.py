"""Estimate how long the store takes to respond, from calls that are made anyway; pure.

Without this, a store that is 94 times slower is taken for one that loses responses: all
entries retry their appends several times a second, the log partition executes more
retries than new records, and the owner's lease renewals wait behind them.

Only reads show whether the store is slow. An append also waits in its partition's
queue, and a store that loses the responses to appends still answers reads fast.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import Final

from ...helpers.policies import switchable

SLOW_SECONDS: Final = 0.05
"""Latency from which on the store counts as slow; its usual one is 6 ms. With 0.1 s, a
store 20 times slower counted as fast, and 32 of 240 callers got 504."""

SUSPECT_SECONDS: Final = 0.03
"""Lateness of a read from which on the store may be about to count as slow."""

RECOVERED_SECONDS: Final = 0.03
"""Latency below which a slow store counts as recovered."""

EXECUTION_SHARE: Final = 0.25
"""Share of a read's latency that a partition takes to execute one append: 1 ms of 4 ms.
An append's response takes that much longer than a read's, even without a queue."""

APPEND_MAX_AGE_SECONDS: Final = 2.0
"""Time for which an append's response tells the length of the partition's queue. The
store refuses an append when more than 2 s of work is queued."""

UNDECIDED_SECONDS: Final = 0.6
"""Time after the first failed read within which a store may turn out to be slow rather
than down."""

OVERDUE_FACTOR: Final = 3.0
"""Multiple of the expected time after which a response is overdue. Appends that arrive
before the slowness is detected queue for up to twice the usual response time."""


def _not_measured(latency: StoreLatency, /, now: float) -> float:
    return 0.0


@dataclass(slots=True, eq=False)
class StoreLatency:
    """Hold the store's current latency; all times are monotonic seconds.

    :param slow_since: time since which the store is slow, or None.
    :param failed_since: time since which reads fail, or None. A store that answers
        nothing is down rather than slow.
    """

    slow_since: float | None = None
    failed_since: float | None = None
    _read_seconds: float = 0.0
    _read_limit: float = 0.0
    _read_sent_at: float = -math.inf
    _answered_at: float = -math.inf
    _append_seconds: float = 0.0
    _append_answered_at: float = -math.inf
    _outstanding: dict[int, tuple[float, float]] = field(default_factory=dict)
    _last_token: int = 0

    def record_read(
        self, sent_at: float, answered_at: float, wait_seconds: float, has_records: bool
    ) -> None:
        """Record the response to a read.

        A read that waits for a record is answered once there is one. An empty response
        therefore took the wait and the latency; one with records took between the
        latency and both. The read that was sent last counts.

        :param wait_seconds: how long the store was asked to wait for a record.
        """
        # A read that was late counts as seen, even if the next one answers first.
        self.is_slow(answered_at)
        self.failed_since = None
        self._answered_at = max(self._answered_at, answered_at)
        if sent_at < self._read_sent_at:
            return
        self._read_sent_at = sent_at
        elapsed = answered_at - sent_at
        at_least = max(0.0, elapsed - wait_seconds)
        self._read_limit = elapsed if has_records else at_least
        self._read_seconds = min(self._read_limit, max(at_least, self._read_seconds))
        self.is_slow(answered_at)

    def record_failed_read(self, sent_at: float, now: float) -> None:
        """Record that a read failed or got no response in time.

        The timeout of a read that was sent before the last response was received may
        have been too short for the latency that this response showed.
        """
        if sent_at >= self._answered_at and self.failed_since is None:
            self.failed_since = now

    def record_append(self, sent_at: float, answered_at: float) -> None:
        """Record the response to an append, which includes its wait in the queue."""
        self._append_seconds = answered_at - sent_at
        self._append_answered_at = answered_at

    def begin_call(self, now: float, wait_seconds: float = 0.0) -> int:
        """Record that a read is sent; return the token for its end.

        :param wait_seconds: how long the store was asked to wait for a record.
        """
        self._last_token += 1
        self._outstanding[self._last_token] = (now, now + wait_seconds)
        return self._last_token

    def end_call(self, token: int) -> None:
        """Record that a read has ended, with or without a response."""
        self._outstanding.pop(token, None)

    def seconds(self, now: float) -> float:
        """Return the expected time until a call's response, in seconds.

        While the store is slow, that of an append, which takes longer than a read.
        """
        if not self.is_slow(now):
            return self.read_seconds(now)
        if now - self._append_answered_at >= APPEND_MAX_AGE_SECONDS:
            return self.unqueued_seconds(now)
        return max(self.unqueued_seconds(now), self._append_seconds)

    def max_read_seconds(self, now: float) -> float:
        """Return the longest time that a read may take.

        Infinite while one is later than any response.
        """
        late = self._outstanding_seconds(now) > self._read_limit
        return math.inf if late else self._read_limit

    def unqueued_seconds(self, now: float) -> float:
        """Return the least time until an append's response, without a queue."""
        return self.read_seconds(now) * (1 + EXECUTION_SHARE)

    def overdue_seconds(self, now: float) -> float:
        """Return the time after which a response is overdue; 0 unless it is slow."""
        return OVERDUE_FACTOR * self.seconds(now) if self.is_slow(now) else 0.0

    def read_extension_seconds(self, now: float) -> float:
        """Return how much later than usual a read may be answered, in seconds.

        It follows from answered reads alone, since a read that is merely outstanding
        may never be answered.
        """
        return OVERDUE_FACTOR * self._read_seconds if self.is_slow(now) else 0.0

    def is_slow(self, now: float) -> bool:
        """Return whether the store responds to reads much later than usual."""
        if self.failed_since is not None:
            self.slow_since = None
            return False
        limit = SLOW_SECONDS if self.slow_since is None else RECOVERED_SECONDS
        if self.read_seconds(now) < limit:
            self.slow_since = None
        elif self.slow_since is None:
            self.slow_since = now
        return self.slow_since is not None

    def may_be_slow(self, now: float) -> bool:
        """Return whether the store is slow, or began to fail a moment ago.

        The responses of a very slow store arrive after the timeout of its reads, which
        therefore fail until a probe with a longer timeout is answered.
        """
        if self.failed_since is None:
            return self.is_slow(now)
        return now - self.failed_since < UNDECIDED_SECONDS

    def is_suspect(self, now: float) -> bool:
        """Return whether a read is late, but not late enough for a slow store."""
        return self._outstanding_seconds(now) >= SUSPECT_SECONDS and not (
            self.is_slow(now) or self.failed_since is not None
        )

    def was_slow(self, now: float) -> bool:
        """Return whether the store is slow, or was before it began to fail."""
        return self.may_be_slow(now) or self._read_seconds >= RECOVERED_SECONDS

    def is_overdue(self, now: float) -> bool:
        """Return whether a read is outstanding for longer than usual, or failed."""
        failing = self.failed_since is not None
        return failing or self._outstanding_seconds(now) >= SLOW_SECONDS

    @switchable(
        "store-latency",
        "a store that is slow is not taken for one that loses responses",
        without=_not_measured,
    )
    def read_seconds(self, now: float) -> float:
        """Return the expected time until a read's response, in seconds."""
        return max(self._read_seconds, self._outstanding_seconds(now))

    def _outstanding_seconds(self, now: float) -> float:
        """Return by how much the latest of the outstanding reads is late, in seconds.

        One that was sent before the newest answered read shows an earlier latency, and
        counts only as far as that read may have taken as long.
        """
        late = (
            now - due
            if sent_at >= self._read_sent_at
            else min(now - due, self._read_limit)
            for sent_at, due in self._outstanding.values()
        )
        return max(late, default=0.0)
