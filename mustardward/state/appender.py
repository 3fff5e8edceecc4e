"""Append proposed records in group commits and wait for their outcome."""

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

PRIORITY_COUNT: Final = 3
_ENVELOPE_OVERHEAD_BYTES: Final = 160

Outcome = Result[Acceptance, MustardwardError]


@dataclass(slots=True, eq=False)
class Proposal:
    """Hold a record until its outcome is known.

    ``sent`` is true if the record may already be in the log.
    """

    envelope: Envelope
    priority: int
    done: anyio.Event = field(default_factory=anyio.Event)
    result: Any = None
    sent: bool = False
    waiters: int = 0

    @property
    def is_abandoned(self) -> bool:
        """Return whether no caller waits for the outcome."""
        return self.waiters == 0

    @property
    def size(self) -> int:
        """Return the approximate size of the record in a batch."""
        return len(self.envelope.body) + _ENVELOPE_OVERHEAD_BYTES

    def resolve(self, result: Outcome) -> None:
        """Set the outcome and wake the waiters; later outcomes are ignored."""
        if self.result is None:
            self.result = result
            self.done.set()


class Appender:
    """Append proposals to one stream.

    :param service: the platform's log.
    :param stream: the stream to append to.
    :param timers: the clock.
    :param options: window and size of a group commit, and the backoff.
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
            deque() for _ in range(PRIORITY_COUNT)
        )
        self._proposals: dict[str, Proposal] = {}
        self._submitted = anyio.Event()

    async def async_propose(
        self, envelope: Envelope, priority: int, timeout_seconds: float
    ) -> Outcome:
        """Append a record and return its outcome."""
        proposal = self._submit(envelope, priority)
        proposal.waiters += 1
        try:
            await async_wait_for(proposal.done, self._timers, timeout_seconds)
        finally:
            proposal.waiters -= 1
            if proposal.is_abandoned:
                self._proposals.pop(envelope.record_id, None)
        if proposal.result is not None:
            result: Outcome = proposal.result
            return result
        return Failure(_timeout_error(proposal, timeout_seconds))

    def resolve_outcome(self, outcome: RecordOutcome) -> None:
        """Resolve the proposal of an applied record, if one is pending."""
        proposal = self._proposals.get(outcome.envelope.record_id)
        if proposal is not None and not outcome.duplicate:
            proposal.resolve(outcome.result)

    def resolve_from_window(self, record_id: str, verdict: Verdict) -> None:
        """Resolve a proposal from the dedupe window after a restore skipped it."""
        proposal = self._proposals.get(record_id)
        if proposal is not None:
            proposal.resolve(outcome_from_verdict(verdict))

    def pending_record_ids(self) -> tuple[str, ...]:
        """Return the ids of the records whose outcome is awaited."""
        return tuple(self._proposals)

    async def async_run(self) -> None:
        """Append batches until cancelled."""
        while True:
            await self._submitted.wait()
            self._submitted = anyio.Event()
            await self._timers.async_sleep(self._pace.window_seconds)
            while batch := self._take_batch():
                await self._async_append(batch)

    def _submit(self, envelope: Envelope, priority: int) -> Proposal:
        pending = self._proposals.get(envelope.record_id)
        if pending is not None:
            return pending
        proposal = Proposal(envelope, min(max(priority, 0), PRIORITY_COUNT - 1))
        self._proposals[envelope.record_id] = proposal
        self._queues[proposal.priority].append(proposal)
        self._submitted.set()
        return proposal

    def _take_batch(self) -> list[Proposal]:
        batch: list[Proposal] = []
        size = 0
        for queue in self._queues:
            while queue and len(batch) < self._options.batch_records:
                if batch and size + queue[0].size > self._options.batch_bytes:
                    return batch
                proposal = queue.popleft()
                if not proposal.is_abandoned and proposal.result is None:
                    batch.append(proposal)
                    size += proposal.size
        return batch

    async def _async_append(self, batch: list[Proposal]) -> None:
        payload = encode_batch([proposal.envelope for proposal in batch])
        previously_sent = [proposal.sent for proposal in batch]
        # Set before the call: a waiter that times out during the call must not get an
        # error saying that nothing was appended.
        _set_sent(batch, [True] * len(batch))
        try:
            await self._service.async_append(self._stream, payload)
        except PlatformRefusedError as error:
            _set_sent(batch, previously_sent)
            for proposal in batch:
                proposal.resolve(Failure(_refusal_error(proposal, error)))
        except PlatformUnavailableError as error:
            _set_sent(batch, previously_sent)
            await self._async_retry(batch, error)
        except PlatformError as error:
            await self._async_retry(batch, error)
        else:
            self._pace.record_append()
            self._backoff.reset()

    async def _async_retry(self, batch: list[Proposal], error: PlatformError) -> None:
        delay = self._backoff.next_seconds()
        event = "append_failed"
        if isinstance(error, AppendRateError):
            event = "append_rate_exceeded"
            self._pace.record_refusal()
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


def outcome_from_verdict(verdict: Verdict) -> Outcome:
    """Return the outcome of a record that is in the dedupe window."""
    if isinstance(verdict, int):
        return Success(Acceptance((), verdict, "accepted before"))
    return Failure(RecordRefusedError(f"refused before: {verdict}"))


def _set_sent(batch: list[Proposal], sent_flags: list[bool]) -> None:
    for proposal, is_sent in zip(batch, sent_flags, strict=True):
        proposal.sent = is_sent


def _refusal_error(proposal: Proposal, error: PlatformRefusedError) -> MustardwardError:
    # An earlier copy whose response was lost may still be accepted.
    return PlatformOutcomeUnknownError(error.detail) if proposal.sent else error


def _timeout_error(proposal: Proposal, timeout_seconds: float) -> MustardwardError:
    detail = f"record_id={proposal.envelope.record_id} after={timeout_seconds:g}"
    if proposal.sent:
        return PlatformOutcomeUnknownError(detail)
    return PlatformUnavailableError(detail)
