"""Append records in groups, exactly once, and say truly what became of them."""

from __future__ import annotations

import math
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from enum import Enum
from itertools import groupby
from typing import Final

import anyio

from ...helpers.instruments import APPEND_SECONDS, APPENDS
from ...helpers.logging import get_logger
from ...helpers.policies import switchable
from ...helpers.timer import TimerService
from ...platform.exceptions import (
    CallRefusedError,
    CallUnknownError,
    FencedError,
    SequenceError,
)
from ...platform.store import Producer
from .const import INITIAL_RETRY_DELAY_SECONDS, RETRY_DELAY_SECONDS
from .sighting import AppendWatcher, async_call_or_observe

_LOGGER = get_logger(__name__)

MAX_APPEND_BYTES: Final = 900_000
"""Stays below the store's limit for one call with room for lengths and keys."""

INITIAL_ANSWER_TIMEOUT_SECONDS: Final = 0.15
"""Time without an answer after which a try that the log does not show is repeated. A
store may leave an append for seconds and then carry it out; most repeats are carried
out at once, and the log drops the one of the two that comes second."""

ANSWER_TIMEOUT_GROWTH: Final = 1.5
MAX_ANSWER_TIMEOUT_SECONDS: Final = 0.28
"""Each try is waited for longer than the one before, up to this, so that a partition
that is short of time is not asked by all entries at once; what was sent into an outage
is repeated this soon after its end."""

Record = tuple[str, bytes]
AppendCall = Callable[[list[Record], Producer], Awaitable[int]]


class Outcome(Enum):
    """Say what became of records."""

    STORED = "stored"
    NOT_STORED = "not_stored"
    UNKNOWN = "unknown"
    FENCED = "fenced"


def _wait_for_the_call() -> float:
    return math.inf


@switchable(
    "appends-repeated",
    "an append that the log does not show is soon repeated under its number",
    without=_wait_for_the_call,
)
def initial_answer_timeout() -> float:
    """Return how long the first try of an append is waited for."""
    return INITIAL_ANSWER_TIMEOUT_SECONDS


def next_answer_timeout(answer_timeout: float) -> float:
    """Return how long the next try is waited for."""
    if answer_timeout == math.inf:
        return answer_timeout
    return min(MAX_ANSWER_TIMEOUT_SECONDS, answer_timeout * ANSWER_TIMEOUT_GROWTH)


def encoded_size(records: list[Record]) -> int:
    """Return how many bytes records take in a call."""
    return sum(len(key) + len(value) + 5 for key, value in records)


def split_records(records: list[Record]) -> list[list[Record]]:
    """Return records in pieces that a call takes, in their order.

    Neighbours of one job stay together: without its end, a job that is only a stub
    could not be carried on.
    """
    if encoded_size(records) <= MAX_APPEND_BYTES:
        return [records]
    pieces: list[list[Record]] = [[]]
    size = 0
    for _, neighbours in groupby(records, lambda record: record[0][2:]):
        group = list(neighbours)
        size += encoded_size(group)
        if pieces[-1] and size > MAX_APPEND_BYTES:
            pieces.append([])
            size = encoded_size(group)
        pieces[-1].extend(group)
    return pieces


def _outcome_of(pieces: set[Outcome]) -> Outcome:
    """Return what became of records, by what became of their pieces."""
    if len(pieces) == 1:
        return pieces.pop()
    return Outcome.FENCED if Outcome.FENCED in pieces else Outcome.UNKNOWN


@dataclass(slots=True, eq=False)
class _PendingAppend:
    """Hold records that wait, and who waits for them."""

    records: list[Record]
    deadline: float
    done: anyio.Event = field(default_factory=anyio.Event)
    outcome: Outcome = Outcome.UNKNOWN


@dataclass(slots=True, eq=False)
class GroupAppender:
    """Append what waits, one call at a time, under one producer's name.

    The symptom this prevents is a job that runs though its caller was refused, or runs
    twice: an append whose answer is lost is repeated under its own number until the log
    says what became of it, and nothing else is appended before. The log drops the
    repeat of a number it has seen.

    :param sighting: shows an append in the log though its answer does not come.
    """

    call: AppendCall
    timers: TimerService
    producer: str
    epoch: int
    sequence: int = 0
    sighting: AppendWatcher | None = None
    fenced: bool = False
    failing_since: float | None = None
    _waiting: list[_PendingAppend] = field(default_factory=list)
    _wake: anyio.Event = field(default_factory=anyio.Event)

    async def async_append(self, records: list[Record], deadline: float) -> Outcome:
        """Append records; return once their fate is known or the deadline is past.

        :param deadline: steady clock, in seconds.
        """
        entries = self._put(records, deadline)
        began = self.timers.monotonic()
        with anyio.move_on_after(max(0.0, deadline - began)):
            for entry in entries:
                await entry.done.wait()
        APPEND_SECONDS.observe(self.timers.monotonic() - began)
        for entry in entries:
            if not entry.done.is_set() and entry in self._waiting:
                # It was never sent, so nothing of it can be stored later.
                self._waiting.remove(entry)
                entry.outcome = Outcome.NOT_STORED
        return _outcome_of({entry.outcome for entry in entries})

    def post(self, records: list[Record]) -> None:
        """Append records that nobody waits for."""
        self._put(records, self.timers.monotonic() + 1.0)

    def _put(self, records: list[Record], deadline: float) -> list[_PendingAppend]:
        """Let records wait, in pieces that one call takes, behind all that waits."""
        entries = [_PendingAppend(piece, deadline) for piece in split_records(records)]
        self._waiting.extend(entries)
        self._wake.set()
        return entries

    async def async_run(self) -> None:
        """Append for as long as the producer is not fenced."""
        while not self.fenced:
            if not self._waiting:
                self._wake = anyio.Event()
                await self._wake.wait()
            batch = self._take_batch()
            if batch:
                await self._async_settle(batch)
        for entry in self._waiting:
            self._finish(entry, Outcome.FENCED)
        self._waiting.clear()

    def _take_batch(self) -> list[_PendingAppend]:
        size = 0
        batch: list[_PendingAppend] = []
        for entry in self._waiting:
            size += encoded_size(entry.records)
            if batch and size > MAX_APPEND_BYTES:
                break
            batch.append(entry)
        del self._waiting[: len(batch)]
        return batch

    async def _async_settle(self, batch: list[_PendingAppend]) -> None:
        records = [record for entry in batch for record in entry.records]
        may_be_stored = False
        pause = INITIAL_RETRY_DELAY_SECONDS
        answer_timeout = initial_answer_timeout()
        if self.sighting is not None:
            self.sighting.expect(records)
        while True:
            outcome = await self._async_try_or_see(records, answer_timeout)
            if outcome is Outcome.STORED:
                self._stored(batch)
                return
            if outcome is Outcome.FENCED:
                self.fenced = True
                for entry in batch:
                    self._finish(entry, Outcome.FENCED)
                return
            if outcome is Outcome.UNKNOWN:
                may_be_stored = True
            elif not may_be_stored and self._give_up_late(batch):
                return
            await self.timers.async_sleep(pause)
            pause = min(RETRY_DELAY_SECONDS, pause * 2)
            answer_timeout = next_answer_timeout(answer_timeout)

    async def _async_try_or_see(
        self, records: list[Record], answer_timeout: float
    ) -> Outcome:
        """Make one call; what the log shows meanwhile is as good as its answer."""
        sighting = self.sighting
        if sighting is None or not sighting.can_detect:
            return await self._async_try(records)
        if sighting.observed:
            return Outcome.STORED
        try:
            outcome = await async_call_or_observe(
                self.timers,
                lambda: self._async_try(records),
                sighting.read_log,
                lambda: sighting.observed,
                answer_timeout,
            )
        except CallUnknownError:
            outcome = Outcome.UNKNOWN
        if outcome is Outcome.UNKNOWN:
            await sighting.read_log()
        if outcome is None or (outcome is Outcome.UNKNOWN and sighting.observed):
            _LOGGER.info("append_seen", producer=self.producer, records=len(records))
            return Outcome.STORED
        return outcome

    async def _async_try(self, records: list[Record]) -> Outcome:
        """Make one call; return what it alone says of the records."""
        try:
            await self.call(records, Producer(self.producer, self.epoch, self.sequence))
        except CallRefusedError as error:
            _LOGGER.debug("append_refused", detail=error.detail)
            return Outcome.NOT_STORED
        except CallUnknownError as error:
            _LOGGER.warning(
                "append_unknown", producer=self.producer, detail=error.detail
            )
            if self.failing_since is None:
                self.failing_since = self.timers.monotonic()
            return Outcome.UNKNOWN
        except FencedError:
            _LOGGER.warning("append_fenced", producer=self.producer)
            return Outcome.FENCED
        except SequenceError as error:
            if error.expected <= self.sequence:
                raise
            # The log is past this number: the repeat found its first try stored.
        return Outcome.STORED

    def _give_up_late(self, batch: list[_PendingAppend]) -> bool:
        """Return whether nobody waits any more for a batch that is surely not stored.

        A batch is given up as a whole: its number may be used again only with all of
        its records, or with none of them.
        """
        now = self.timers.monotonic()
        if any(entry.deadline > now for entry in batch):
            return False
        for entry in batch:
            self._finish(entry, Outcome.NOT_STORED)
        return True

    def _stored(self, batch: list[_PendingAppend]) -> None:
        self.sequence += 1
        self.failing_since = None
        for entry in batch:
            self._finish(entry, Outcome.STORED)

    def _finish(self, entry: _PendingAppend, outcome: Outcome) -> None:
        APPENDS.labels(outcome.value).inc()
        entry.outcome = outcome
        entry.done.set()
