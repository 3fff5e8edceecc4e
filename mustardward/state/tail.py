"""Track when the state last reached the log's tail."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

import anyio

from ..helpers.timer import TimerService
from ..helpers.waiting import async_wait_for


@dataclass(frozen=True, slots=True)
class ReadStart:
    """Identify a read by the time before it was sent.

    ``sequence`` orders reads and confirmation requests within one clock tick.
    """

    sequence: int
    started_at: float


@dataclass(slots=True, eq=False)
class _ConfirmationRequest:
    """Hold a request to confirm a tail that is read after the request."""

    sequence: int
    target: int | None = None
    completed: anyio.Event = field(default_factory=anyio.Event)


class TailTracker:
    """Track the latest time at which the state had certainly reached the tail.

    That time is taken before a read is sent, since the response may have been buffered
    in a socket while the process was paused.

    :param timers: the clock.
    """

    def __init__(self, timers: TimerService) -> None:
        self._timers = timers
        self._sequence = 0
        self._confirmed_at = -math.inf
        self._required_at = -math.inf
        self._required_sequence = 0
        self._pending_read: tuple[ReadStart, int] | None = None
        self._requests: list[_ConfirmationRequest] = []
        self._requested = anyio.Event()

    @property
    def age_seconds(self) -> float:
        """Return the time since the start of the read that last confirmed the tail."""
        return self._timers.monotonic() - self._confirmed_at

    @property
    def was_confirmed(self) -> bool:
        """Return whether a tail was ever reached."""
        return self._confirmed_at > -math.inf

    @property
    def sufficient(self) -> bool:
        """Return whether the tail was confirmed since this was last required."""
        return self._required_sequence == 0

    @property
    def has_requests(self) -> bool:
        """Return whether a confirmation request is pending."""
        return bool(self._requests)

    def begin_read(self) -> ReadStart:
        """Return the start of a read that is about to be sent."""
        self._sequence += 1
        return ReadStart(self._sequence, self._timers.monotonic())

    def require_confirmation(self) -> None:
        """Invalidate all earlier confirmations, as after a pause."""
        self._required_at = self._timers.monotonic()
        self._required_sequence = self._sequence + 1
        self._pending_read = None

    def record_read(self, read: ReadStart, tail: int, next_offset: int) -> None:
        """Record the tail that a read returned."""
        for request in self._requests:
            if request.target is None and request.sequence <= read.sequence:
                request.target = tail
        if self._pending_read is None:
            self._pending_read = (read, tail)
        self.record_progress(next_offset)

    def record_progress(self, next_offset: int) -> None:
        """Record that the fold reached ``next_offset``."""
        if self._pending_read is not None and next_offset >= self._pending_read[1]:
            read = self._pending_read[0]
            self._pending_read = None
            self._confirm(read.started_at, read.sequence >= self._required_sequence)
        for request in list(self._requests):
            if request.target is not None and next_offset >= request.target:
                self._requests.remove(request)
                request.completed.set()

    def record_peer(self, requested_at: float, peer_age_seconds: float) -> None:
        """Record that a peer, queried at ``requested_at``, has no newer entry.

        The peer confirmed the tail at least ``peer_age_seconds`` before its response.
        """
        confirmed_at = requested_at - peer_age_seconds
        self._confirm(confirmed_at, confirmed_at > self._required_at)

    async def async_wait_for_request(self) -> None:
        """Wait until a confirmation is requested."""
        await self._requested.wait()
        self._requested = anyio.Event()

    async def async_confirm(self, timeout_seconds: float) -> bool:
        """Wait until a tail read after this call is reached."""
        request = _ConfirmationRequest(self._sequence + 1)
        self._requests.append(request)
        self._requested.set()
        try:
            return await async_wait_for(
                request.completed, self._timers, timeout_seconds
            )
        finally:
            if request in self._requests:
                self._requests.remove(request)

    def _confirm(self, confirmed_at: float, sufficient: bool) -> None:
        self._confirmed_at = max(self._confirmed_at, confirmed_at)
        if sufficient:
            self._required_sequence = 0
