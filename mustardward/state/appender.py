"""Append proposals in group commits and wait for what the fold says of them."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from random import Random
from typing import Any, Final

import anyio
from returns.result import Failure, Result, Success

from ..exceptions import (
    AppendRateError,
    MustardwardError,
    PlatformError,
    PlatformOutcomeUnknownError,
    PlatformRefusedError,
    PlatformUnavailableError,
)
from ..helpers.logging import get_logger
from ..helpers.timer import TimerService
from ..helpers.waiting import async_wait_for
from ..standin.protocol.protocols import LogService
from .fold import Acceptance, RecordOutcome, RecordRefusedError
from .options import LogOptions
from .pace import AppendPace
from .records import Envelope, encode_batch
from .window import Verdict

_LOGGER = get_logger(__name__)

PRIORITIES: Final = 3
_ENVELOPE_OVERHEAD_BYTES: Final = 160

Outcome = Result[Acceptance, MustardwardError]


@dataclass(slots=True, eq=False)
class Proposal:
    """Hold a record on its way; ``sent`` says that it may stand in the log."""

    envelope: Envelope
    priority: int
    done: anyio.Event = field(default_factory=anyio.Event)
    result: Any = None
    sent: bool = False
    authors: int = 0

    @property
    def abandoned(self) -> bool:
        """Tell whether nobody waits for the outcome any more."""
        return self.authors == 0

    @property
    def size(self) -> int:
        """Return about how many bytes the record takes in a batch."""
        return len(self.envelope.body) + _ENVELOPE_OVERHEAD_BYTES

    def resolve(self, result: Outcome) -> None:
        """Give the author the outcome; only the first one counts."""
        if self.result is None:
            self.result = result
            self.done.set()


class Appender:
    """Carry proposals into one stream.

    :param service: the platform's log.
    :param stream: the stream to append to.
    :param timers: the clock.
    :param options: window and size of a group commit, and the back-off.
    :param random: source of jitter.
    """

    def __init__(
        self,
        service: LogService,
        stream: str,
        timers: TimerService,
        options: LogOptions,
        random: Random,
    ) -> None:
        self._service = service
        self._stream = stream
        self._timers = timers
        self._options = options
        self._backoff = options.backoff(random)
        self._pace = AppendPace(
            options.append_interval_seconds, options.append_interval_maximum_seconds
        )
        self._queues: tuple[deque[Proposal], ...] = tuple(
            deque() for _ in range(PRIORITIES)
        )
        self._proposals: dict[str, Proposal] = {}
        self._wanted = anyio.Event()

    async def async_propose(
        self, envelope: Envelope, priority: int, timeout_seconds: float
    ) -> Outcome:
        """Append a record and return what the fold says of it."""
        proposal = self._submit(envelope, priority)
        proposal.authors += 1
        try:
            await async_wait_for(proposal.done, self._timers, timeout_seconds)
        finally:
            proposal.authors -= 1
            if proposal.abandoned:
                self._proposals.pop(envelope.record_id, None)
        if proposal.result is not None:
            result: Outcome = proposal.result
            return result
        return Failure(_timeout_failure(proposal, timeout_seconds))

    def note_outcome(self, outcome: RecordOutcome) -> None:
        """Give the fold's answer to the author who waits for it."""
        proposal = self._proposals.get(outcome.envelope.record_id)
        if proposal is not None and not outcome.duplicate:
            proposal.resolve(outcome.result)

    def note_remembered(self, record_id: str, verdict: Verdict) -> None:
        """Answer from the dedupe window what was folded out of this process's sight."""
        proposal = self._proposals.get(record_id)
        if proposal is not None:
            proposal.resolve(remembered_outcome(verdict))

    def waiting(self) -> tuple[str, ...]:
        """Return the record ids whose authors wait."""
        return tuple(self._proposals)

    async def async_run(self) -> None:
        """Append batches until cancelled."""
        while True:
            await self._wanted.wait()
            self._wanted = anyio.Event()
            await self._timers.async_sleep(self._pace.window_seconds)
            while batch := self._take_batch():
                await self._async_append(batch)

    def _submit(self, envelope: Envelope, priority: int) -> Proposal:
        pending = self._proposals.get(envelope.record_id)
        if pending is not None:
            return pending
        proposal = Proposal(envelope, min(max(priority, 0), PRIORITIES - 1))
        self._proposals[envelope.record_id] = proposal
        self._queues[proposal.priority].append(proposal)
        self._wanted.set()
        return proposal

    def _take_batch(self) -> list[Proposal]:
        batch: list[Proposal] = []
        size = 0
        for queue in self._queues:
            while queue and len(batch) < self._options.batch_records:
                if batch and size + queue[0].size > self._options.batch_bytes:
                    return batch
                proposal = queue.popleft()
                if not proposal.abandoned and proposal.result is None:
                    batch.append(proposal)
                    size += proposal.size
        return batch

    async def _async_append(self, batch: list[Proposal]) -> None:
        payload = encode_batch([proposal.envelope for proposal in batch])
        before = [proposal.sent for proposal in batch]
        # Marked before the call: an author who gives up while it is under way must
        # not be told that nothing was appended.
        _mark_sent(batch, [True] * len(batch))
        try:
            await self._service.async_append(self._stream, payload)
        except PlatformRefusedError as error:
            _mark_sent(batch, before)
            for proposal in batch:
                proposal.resolve(Failure(_refused(proposal, error)))
        except PlatformUnavailableError as error:
            _mark_sent(batch, before)
            await self._async_retry(batch, error)
        except PlatformError as error:
            await self._async_retry(batch, error)
        else:
            self._pace.note_appended()
            self._backoff.reset()

    async def _async_retry(self, batch: list[Proposal], error: PlatformError) -> None:
        delay = self._backoff.next_seconds()
        event = "append_failed"
        if isinstance(error, AppendRateError):
            event = "append_rate_exceeded"
            self._pace.note_refused()
        _LOGGER.warning(
            event,
            stream=self._stream,
            records=len(batch),
            error=error.code,
            delay_seconds=delay,
        )
        for proposal in reversed(batch):
            self._queues[proposal.priority].appendleft(proposal)
        await self._timers.async_sleep(delay)


def remembered_outcome(verdict: Verdict) -> Outcome:
    """Return the outcome of a record that the dedupe window remembers."""
    if isinstance(verdict, int):
        return Success(Acceptance((), verdict, "accepted before"))
    return Failure(RecordRefusedError(f"refused before: {verdict}"))


def _mark_sent(batch: list[Proposal], marks: list[bool]) -> None:
    for proposal, mark in zip(batch, marks, strict=True):
        proposal.sent = mark


def _refused(proposal: Proposal, error: PlatformRefusedError) -> MustardwardError:
    # An earlier copy, whose answer was lost, may still be accepted.
    return PlatformOutcomeUnknownError(error.detail) if proposal.sent else error


def _timeout_failure(proposal: Proposal, timeout_seconds: float) -> MustardwardError:
    detail = f"record_id={proposal.envelope.record_id} after={timeout_seconds:g}"
    if proposal.sent:
        return PlatformOutcomeUnknownError(detail)
    return PlatformUnavailableError(detail)
