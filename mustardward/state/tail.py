"""Track how fresh the folded state is against the log's tail."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

import anyio

from ..helpers.timer import TimerService
from ..helpers.waiting import async_wait_for


@dataclass(frozen=True, slots=True)
class ReadTicket:
    """Mark the moment before a read was sent.

    ``number`` orders reads against questions even within one tick of the clock.
    """

    number: int
    began: float


@dataclass(slots=True, eq=False)
class _Question:
    """Hold a wish to know that a tail read after it was reached."""

    number: int
    target: int | None = None
    answered: anyio.Event = field(default_factory=anyio.Event)


class TailTracker:
    """Know up to when the tail was certainly reached.

    Freshness counts from before a read was sent: an answer may have waited in a socket
    for as long as the process stood still.

    :param timers: the clock.
    """

    def __init__(self, timers: TimerService) -> None:
        self._timers = timers
        self._number = 0
        self._confirmed_at = -math.inf
        self._required_at = -math.inf
        self._required_number = 0
        self._open_read: tuple[ReadTicket, int] | None = None
        self._questions: list[_Question] = []
        self._asked = anyio.Event()

    @property
    def age_seconds(self) -> float:
        """Return the time since the read began that last confirmed the tail."""
        return self._timers.monotonic() - self._confirmed_at

    @property
    def confirmed_once(self) -> bool:
        """Tell whether any tail was ever reached."""
        return self._confirmed_at > -math.inf

    @property
    def sufficient(self) -> bool:
        """Tell whether the tail was confirmed since confirmation was required."""
        return self._required_number == 0

    @property
    def has_questions(self) -> bool:
        """Tell whether somebody waits for a confirmation."""
        return bool(self._questions)

    def begin_read(self) -> ReadTicket:
        """Return the mark of a read that is about to be sent."""
        self._number += 1
        return ReadTicket(self._number, self._timers.monotonic())

    def require_confirmation(self) -> None:
        """Hold all older confirmations insufficient, as after a pause."""
        self._required_at = self._timers.monotonic()
        self._required_number = self._number + 1
        self._open_read = None

    def record_read(self, ticket: ReadTicket, tail: int, next_offset: int) -> None:
        """Take in what a read said the tail was."""
        for question in self._questions:
            if question.target is None and question.number <= ticket.number:
                question.target = tail
        if self._open_read is None:
            self._open_read = (ticket, tail)
        self.record_progress(next_offset)

    def record_progress(self, next_offset: int) -> None:
        """Take in that the fold reached ``next_offset``."""
        if self._open_read is not None and next_offset >= self._open_read[1]:
            ticket = self._open_read[0]
            self._open_read = None
            self._confirm(ticket.began, ticket.number >= self._required_number)
        for question in list(self._questions):
            if question.target is not None and next_offset >= question.target:
                self._questions.remove(question)
                question.answered.set()

    def record_peer(self, asked_at: float, peer_age_seconds: float) -> None:
        """Take in that a peer, asked at ``asked_at``, has no newer entry.

        Its own confirmation happened at least ``peer_age_seconds`` before its answer.
        """
        confirmed_at = asked_at - peer_age_seconds
        self._confirm(confirmed_at, confirmed_at > self._required_at)

    async def async_wait_for_question(self) -> None:
        """Wait until somebody wants a confirmation."""
        await self._asked.wait()
        self._asked = anyio.Event()

    async def async_confirm(self, timeout_seconds: float) -> bool:
        """Wait until a tail read after this call was reached."""
        question = _Question(self._number + 1)
        self._questions.append(question)
        self._asked.set()
        try:
            return await async_wait_for(
                question.answered, self._timers, timeout_seconds
            )
        finally:
            if question in self._questions:
                self._questions.remove(question)

    def _confirm(self, confirmed_at: float, sufficient: bool) -> None:
        self._confirmed_at = max(self._confirmed_at, confirmed_at)
        if sufficient:
            self._required_number = 0
