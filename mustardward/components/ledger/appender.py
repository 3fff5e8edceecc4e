"""Append records in batches, exactly once, and report the outcome of each append."""

from __future__ import annotations

import math
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field
from enum import Enum
from itertools import groupby
from typing import Final

import anyio

from ...helpers.instruments import APPEND_SECONDS, APPENDS
from ...helpers.logging import get_logger
from ...helpers.policies import switchable
from ...helpers.timer import TimerService
from ...platform.boot import DEFAULT_RECORD_BYTES
from ...platform.exceptions import (
    CallRefusedError,
    CallRejectedError,
    CallUnknownError,
    FencedError,
    SequenceError,
)
from ...platform.store import Producer
from .append_watcher import AppendWatcher, async_call_or_observe
from .const import INITIAL_RETRY_DELAY_SECONDS, RETRY_DELAY_SECONDS
from .store_latency import StoreLatency

_LOGGER = get_logger(__name__)

LENGTH_BYTES: Final = 4
"""Size of a record's length in a call."""

MAX_APPEND_BYTES: Final = 900_000
"""Below the store's limit for one call, with room for lengths and keys."""

INITIAL_ANSWER_TIMEOUT_SECONDS: Final = 0.15
"""Delay after which an unanswered append that the log does not show is repeated. A
store may delay an append for seconds and then perform it. Most repeats are performed at
once, and the log drops whichever of the two comes second."""

ANSWER_TIMEOUT_GROWTH: Final = 1.5
MAX_ANSWER_TIMEOUT_SECONDS: Final = 0.28
"""Limit of the answer timeout, which grows with each attempt so that the entry nodes do
not overload a log partition that is short of processor time. An append sent during an
outage is repeated this soon after its end."""

POST_TIMEOUT_SECONDS: Final = 1.0

Record = tuple[str, bytes]
AppendCall = Callable[[list[Record], Producer], Awaitable[int]]


@dataclass(frozen=True, slots=True)
class AppendLimits:
    """Hold the sizes that the store accepts, in bytes.

    :param record_bytes: of one record, without its length.
    :param call_bytes: of all records of one call.
    """

    record_bytes: int = DEFAULT_RECORD_BYTES
    call_bytes: int = MAX_APPEND_BYTES

    @property
    def max_record_bytes(self) -> int:
        """Return the largest size of a record that fits a call, without its length."""
        return min(self.record_bytes, self.call_bytes - LENGTH_BYTES)

    def accept(self, records: Iterable[Record]) -> bool:
        """Return whether the store accepts each of some records by its size."""
        sizes = [encoded_size([record]) - LENGTH_BYTES for record in records]
        return max(sizes, default=0) <= self.max_record_bytes


class Outcome(Enum):
    """Outcome of an append.

    Rejected records are not stored, and would not be if the append was repeated.
    """

    STORED = "stored"
    NOT_STORED = "not_stored"
    REJECTED = "rejected"
    UNKNOWN = "unknown"
    FENCED = "fenced"


def _always_allowed() -> bool:
    return True


def _no_answer_timeout() -> float:
    return math.inf


@switchable(
    "appends-repeated",
    "an append that the log does not show is repeated early, with the same number",
    without=_no_answer_timeout,
)
def initial_answer_timeout() -> float:
    """Return how long the first attempt of an append may take, in seconds."""
    return INITIAL_ANSWER_TIMEOUT_SECONDS


def next_answer_timeout(answer_timeout: float) -> float:
    """Return how long the next attempt may take, in seconds."""
    if answer_timeout == math.inf:
        return answer_timeout
    return min(MAX_ANSWER_TIMEOUT_SECONDS, answer_timeout * ANSWER_TIMEOUT_GROWTH)


def encoded_size(records: list[Record]) -> int:
    """Return the size of records in a call, in bytes."""
    return sum(
        len(key.encode()) + len(value) + LENGTH_BYTES + 1 for key, value in records
    )


def group_records(records: list[Record]) -> list[list[Record]]:
    """Return adjacent records of one job together, keeping their order.

    They are stored together: a job whose record was reduced to a stub could not
    continue if its final progress were missing.
    """
    groups = groupby(records, lambda record: record[0][2:])
    return [list(adjacent) for _, adjacent in groups]


def split_records(
    records: list[Record], max_bytes: int = MAX_APPEND_BYTES
) -> list[list[Record]]:
    """Split records into chunks that fit one call, keeping their order.

    :param max_bytes: the size of a call.
    """
    if encoded_size(records) <= max_bytes:
        return [records]
    chunks: list[list[Record]] = [[]]
    size = 0
    for group in group_records(records):
        size += encoded_size(group)
        if chunks[-1] and size > max_bytes:
            chunks.append([])
            size = encoded_size(group)
        chunks[-1].extend(group)
    return chunks


def _combined_outcome(outcomes: set[Outcome]) -> Outcome:
    """Combine the outcomes of all parts of one append.

    Rejected parts are reported by themselves, so that the others determine it.
    """
    outcomes = outcomes - {Outcome.REJECTED} or {Outcome.REJECTED}
    if len(outcomes) == 1:
        return outcomes.pop()
    return Outcome.FENCED if Outcome.FENCED in outcomes else Outcome.UNKNOWN


@dataclass(slots=True, eq=False)
class _PendingAppend:
    """Hold records that are queued for an append, and their outcome.

    :param is_allowed: returns whether the records may still be sent.
    """

    records: list[Record]
    deadline: float
    is_allowed: Callable[[], bool]
    done: anyio.Event = field(default_factory=anyio.Event)
    outcome: Outcome = Outcome.UNKNOWN


@dataclass(slots=True, eq=False)
class GroupAppender:
    """Append queued records, one call at a time, under one producer name.

    An append whose answer is lost is repeated with the same sequence number until its
    outcome is known, and nothing else is appended before. The log drops a repeated
    sequence number. Otherwise a job could run although its caller was refused, or run
    twice.

    Records that the store rejects are left out, and the others are stored without them.
    Otherwise one record that is too large would stop all that is appended here.

    :param sighting: detects an append in the log when its answer does not arrive.
    :param failing_since: steady clock since which calls go unanswered, in seconds.
    :param latency: the store's latency. While the store is slow, an append is repeated
        only once its response is overdue by it.
    :param limits: the sizes that the store accepts.
    :param on_rejected: called with records that are rejected, before the outcome of
        their append is known.
    """

    call: AppendCall
    timers: TimerService
    producer: str
    epoch: int
    sequence: int = 0
    sighting: AppendWatcher | None = None
    fenced: bool = False
    failing_since: float | None = None
    latency: StoreLatency = field(default_factory=StoreLatency)
    limits: AppendLimits = AppendLimits()
    on_rejected: Callable[[list[Record]], None] | None = None
    _sent_at: float | None = None
    _batch: list[_PendingAppend] = field(default_factory=list)
    _queue: list[_PendingAppend] = field(default_factory=list)
    _wake: anyio.Event = field(default_factory=anyio.Event)

    async def async_append(
        self,
        records: list[Record],
        deadline: float,
        is_allowed: Callable[[], bool] = _always_allowed,
    ) -> Outcome:
        """Append records; return once the outcome is known or the deadline has passed.

        :param deadline: steady clock, in seconds.
        :param is_allowed: returns whether records that were not sent yet still may be.
        """
        records = self._reject_oversized(records)
        if not records:
            return Outcome.REJECTED
        pending_appends = self._enqueue(records, deadline, is_allowed)
        started = self.timers.monotonic()
        with anyio.move_on_after(max(0.0, deadline - started)):
            for pending in pending_appends:
                await pending.done.wait()
        APPEND_SECONDS.observe(self.timers.monotonic() - started)
        for pending in pending_appends:
            if not pending.done.is_set() and pending in self._queue:
                # It was never sent, so it can't be stored later.
                self._queue.remove(pending)
                pending.outcome = Outcome.NOT_STORED
        return _combined_outcome({pending.outcome for pending in pending_appends})

    def expected_seconds(self) -> float:
        """Return how long an append would take if it was queued now, in seconds.

        Zero unless the store is slow; only then can it exceed what a caller has left.
        """
        now = self.timers.monotonic()
        if not self.latency.is_slow(now):
            return 0.0
        # What was queued when the last append was sent has been executed since.
        seconds = self.latency.unqueued_seconds(now)
        remaining = 0.0
        if self._sent_at is not None:
            # One that is late already is likely to take as long again.
            remaining = abs(self._sent_at + seconds - now)
        queued = sum(encoded_size(pending.records) for pending in self._queue)
        return remaining + seconds * (1 + queued // self.limits.call_bytes)

    def holds(self, key: str) -> bool:
        """Return whether a record with this key is queued or may be in flight."""
        pending_appends = self._batch + self._queue
        return any(key == record[0] for p in pending_appends for record in p.records)

    def post(
        self, records: list[Record], timeout_seconds: float = POST_TIMEOUT_SECONDS
    ) -> None:
        """Queue records for an append without waiting for the outcome.

        :param timeout_seconds: time after which they are dropped if the store refuses
            them; infinite for records that are posted only once.
        """
        records = self._reject_oversized(records)
        if records:
            self._enqueue(records, self.timers.monotonic() + timeout_seconds)

    def _enqueue(
        self,
        records: list[Record],
        deadline: float,
        is_allowed: Callable[[], bool] = _always_allowed,
    ) -> list[_PendingAppend]:
        """Queue records, in chunks that fit one call."""
        pending_appends = [
            _PendingAppend(chunk, deadline, is_allowed)
            for chunk in split_records(records, self.limits.call_bytes)
        ]
        self._queue.extend(pending_appends)
        self._wake.set()
        return pending_appends

    async def async_run(self) -> None:
        """Append queued records until the producer is fenced."""
        while not self.fenced:
            if not self._queue:
                self._wake = anyio.Event()
                await self._wake.wait()
            batch = self._take_batch()
            if batch:
                self._batch = batch
                await self._async_append_batch(batch)
                self._batch = []
        for pending in self._queue:
            self._finish(pending, Outcome.FENCED)
        self._queue.clear()

    def _take_batch(self) -> list[_PendingAppend]:
        self._drop_disallowed()
        size = 0
        batch: list[_PendingAppend] = []
        for pending in self._queue:
            size += encoded_size(pending.records)
            if batch and size > self.limits.call_bytes:
                break
            batch.append(pending)
        del self._queue[: len(batch)]
        return batch

    def _drop_disallowed(self) -> None:
        """Drop queued records that may not be sent any more."""
        disallowed = [pending for pending in self._queue if not pending.is_allowed()]
        for pending in disallowed:
            self._queue.remove(pending)
            self._finish(pending, Outcome.NOT_STORED)

    async def _async_append_batch(self, batch: list[_PendingAppend]) -> None:
        records = [record for pending in batch for record in pending.records]
        may_be_stored = False
        delay = INITIAL_RETRY_DELAY_SECONDS
        answer_timeout = initial_answer_timeout()
        if self.sighting is not None:
            self.sighting.expect(records)
        while True:
            self._sent_at = self.timers.monotonic()
            outcome = await self._async_attempt_or_observe(records, answer_timeout)
            if outcome is Outcome.STORED:
                self.latency.record_append(self._sent_at, self.timers.monotonic())
            self._sent_at = None
            if outcome is Outcome.STORED:
                self._mark_stored(batch)
                return
            if outcome is Outcome.FENCED:
                self.fenced = True
                for pending in batch:
                    self._finish(pending, Outcome.FENCED)
                return
            if outcome is Outcome.REJECTED:
                await self._async_append_parts(batch)
                return
            if outcome is Outcome.UNKNOWN:
                may_be_stored = True
            elif not may_be_stored and self._drop_expired(batch):
                return
            await self.timers.async_sleep(delay)
            delay = min(RETRY_DELAY_SECONDS, delay * 2)
            answer_timeout = next_answer_timeout(answer_timeout)

    async def _async_append_parts(self, batch: list[_PendingAppend]) -> None:
        """Append the parts of a rejected batch by themselves, as far as possible.

        None of them is stored, also if earlier attempts were not answered: the store
        would have rejected these too.
        """
        if len(batch) > 1:
            for pending in batch:
                await self._async_append_batch([pending])
            return
        (pending,) = batch
        groups = group_records(pending.records)
        if len(groups) == 1:
            self._reject(pending.records)
            self._finish(pending, Outcome.REJECTED)
            return
        outcomes: set[Outcome] = set()
        for group in groups:
            part = _PendingAppend(group, pending.deadline, pending.is_allowed)
            await self._async_append_batch([part])
            outcomes.add(part.outcome)
        self._finish(pending, _combined_outcome(outcomes))

    def _reject_oversized(self, records: list[Record]) -> list[Record]:
        """Return the records that may be sent, without those too large to be stored."""
        if self.limits.accept(records):
            return records
        accepted: list[Record] = []
        for group in group_records(records):
            if self.limits.accept(group):
                accepted.extend(group)
            else:
                APPENDS.labels(Outcome.REJECTED.value).inc()
                self._reject(group)
        return accepted

    def _reject(self, records: list[Record]) -> None:
        """Report records that the store does not accept."""
        _LOGGER.warning(
            "append_rejected",
            producer=self.producer,
            key=records[0][0],
            records=len(records),
            bytes=encoded_size(records),
            most=self.limits.max_record_bytes,
        )
        if self.on_rejected is not None:
            self.on_rejected(records)

    async def _async_attempt_or_observe(
        self, records: list[Record], answer_timeout: float
    ) -> Outcome:
        """Make one call; return its outcome from its answer or from the log."""
        watcher = self.sighting
        if watcher is None or not watcher.can_detect:
            return await self._async_attempt(records)
        if watcher.observed:
            return Outcome.STORED
        try:
            outcome = await async_call_or_observe(
                self.timers,
                lambda: self._async_attempt(records),
                watcher.read_log,
                lambda: watcher.observed,
                lambda: max(answer_timeout, self._overdue_seconds()),
            )
        except CallUnknownError:
            outcome = Outcome.UNKNOWN
        if outcome is Outcome.UNKNOWN:
            await watcher.read_log()
        if outcome is None or (outcome is Outcome.UNKNOWN and watcher.observed):
            _LOGGER.info(
                "append_observed", producer=self.producer, records=len(records)
            )
            return Outcome.STORED
        return outcome

    def _overdue_seconds(self) -> float:
        return self.latency.overdue_seconds(self.timers.monotonic())

    async def _async_attempt(self, records: list[Record]) -> Outcome:
        """Make one call; return its outcome from its answer alone."""
        try:
            await self.call(records, Producer(self.producer, self.epoch, self.sequence))
        except CallRejectedError as error:
            _LOGGER.debug("append_refused", detail=error.detail)
            self.failing_since = None
            return Outcome.REJECTED
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
            # The log expects a later number: an earlier attempt was stored.
        return Outcome.STORED

    def _drop_expired(self, batch: list[_PendingAppend]) -> bool:
        """Drop a batch known not to be stored if all its deadlines have passed.

        A batch is dropped as a whole: its sequence number may be reused either with all
        of its records or with none of them.

        :return: whether the batch was dropped.
        """
        now = self.timers.monotonic()
        if any(pending.deadline > now for pending in batch):
            return False
        for pending in batch:
            self._finish(pending, Outcome.NOT_STORED)
        return True

    def _mark_stored(self, batch: list[_PendingAppend]) -> None:
        self.sequence += 1
        self.failing_since = None
        for pending in batch:
            self._finish(pending, Outcome.STORED)

    def _finish(self, pending: _PendingAppend, outcome: Outcome) -> None:
        APPENDS.labels(outcome.value).inc()
        pending.outcome = outcome
        pending.done.set()
