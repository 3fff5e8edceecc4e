"""Fold log entries into a state, independently of the kinds of record.

Folding is deterministic and uses neither a clock nor I/O: every node that applies the
same entries has the same state and digest, and the same outcome for each record.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Generic, TypeVar

import xxhash
from returns.result import Failure, Result, Success

from ..exceptions import (
    CorruptRecordError,
    LogGapError,
    MustardwardError,
    SnapshotUnusableError,
    StateError,
    UnknownRecordError,
)
from ..helpers.registry import Registry
from .records import Envelope, decode_batch, decode_body
from .window import DedupeWindow, Verdict

S = TypeVar("S")


class RecordRefusedError(MustardwardError):
    """Serve as the base of errors that reject a well-formed record."""

    code = "record-refused"


class RevisionConflictError(RecordRefusedError):
    """Report that another change was accepted first.

    :param current: the revision in force, on which a new change has to be based.
    """

    code = "revision-conflict"

    def __init__(self, detail: str = "", current: int | None = None) -> None:
        super().__init__(detail)
        self._current = current

    @property
    def current(self) -> int | None:
        """Return the revision in force, if the handler provided it."""
        return self._current


class HandlerFailedError(StateError):
    """Report that a handler raised an exception, so that the state may be wrong."""

    code = "handler-failed"


@dataclass(frozen=True, slots=True)
class FoldContext:
    """Hold the position and metadata of the record that a handler processes.

    ``sequence`` numbers accepted records from 1; handlers use it as revision or
    generation, since it increases along the log and is the same on every node.
    """

    offset: int
    sequence: int
    record_id: str
    actor: str
    base_revision: int


@dataclass(frozen=True, slots=True)
class Acceptance:
    """Describe what an accepted record changed.

    ``revision`` is returned to the caller that proposed the record.
    """

    subjects: tuple[str, ...]
    revision: int
    note: str = ""


@dataclass(frozen=True, slots=True)
class RecordOutcome:
    """Hold the outcome of one record, which is the same on every node."""

    offset: int
    envelope: Envelope
    body: Any
    result: Result[Acceptance, MustardwardError]
    duplicate: bool = False


Handler = Callable[[S, FoldContext, Any], Result[Acceptance, MustardwardError]]


@dataclass(frozen=True, slots=True)
class FoldImage(Generic[S]):
    """Hold everything that a fold needs to continue from an offset.

    ``window_keys`` and ``window_verdicts`` are the dedupe window, oldest first.
    """

    state: S
    next_offset: int
    sequence: int
    digest: str
    window_keys: bytes
    window_verdicts: list[Verdict]


class Fold(Generic[S]):
    """Apply entries in offset order to one state.

    :param state: the state to change.
    :param handlers: the handler of each kind of record.
    """

    def __init__(self, state: S, handlers: Registry[str, Handler[S]]) -> None:
        self._state = state
        self._handlers = handlers
        self._next_offset = 0
        self._sequence = 0
        self._digest = ""
        self._window = DedupeWindow()
        self._blocked: MustardwardError | None = None

    @property
    def state(self) -> S:
        """Return the state after the last entry."""
        return self._state

    @property
    def next_offset(self) -> int:
        """Return the offset of the next entry to apply."""
        return self._next_offset

    @property
    def sequence(self) -> int:
        """Return the number of records accepted so far."""
        return self._sequence

    @property
    def digest(self) -> str:
        """Return the chained digest of all entries and outcomes so far."""
        return self._digest

    @property
    def blocked(self) -> MustardwardError | None:
        """Return the error that prevents this node from making decisions, if any."""
        return self._blocked

    def apply(self, offset: int, payload: bytes) -> list[RecordOutcome]:
        """Apply one entry and return the outcome of each of its records.

        :raises LogGapError: if ``offset`` is not the next one.
        """
        if offset != self._next_offset:
            raise LogGapError(f"wanted={self._next_offset} got={offset}")
        outcomes = [
            self._apply_record(offset, item) for item in _decode_envelopes(payload)
        ]
        self._next_offset = offset + 1
        self._digest = xxhash.xxh3_128_hexdigest(
            self._digest.encode()
            + payload
            + b"".join(_get_outcome_code(item).encode() for item in outcomes)
        )
        return outcomes

    def get_verdict(self, record_id: str) -> Verdict | None:
        """Return the verdict on a record, if it is in the dedupe window."""
        return self._window.get(record_id)

    def export(self) -> FoldImage[S]:
        """Return what another fold needs to continue from here.

        The image holds the live state: encode it before the next entry is applied.
        """
        keys, verdicts = self._window.export()
        return FoldImage(
            self._state, self._next_offset, self._sequence, self._digest, keys, verdicts
        )

    def restore(self, image: FoldImage[S]) -> None:
        """Continue from an image that is not behind this fold.

        The fold takes over the state object of the image.

        :raises SnapshotUnusableError: if the image is behind this fold.
        """
        # A stale image would restore an older configuration.
        if image.next_offset < self._next_offset:
            raise SnapshotUnusableError(
                f"image={image.next_offset} held={self._next_offset}"
            )
        self._state = image.state
        self._next_offset = image.next_offset
        self._sequence = image.sequence
        self._digest = image.digest
        self._window.restore(image.window_keys, image.window_verdicts)

    def _apply_record(self, offset: int, envelope: Envelope) -> RecordOutcome:
        # The appender sends a record again after a lost response, and the first copy
        # may arrive after the second. Only the first copy in the log is applied.
        verdict = self._window.get(envelope.record_id)
        if verdict is not None:
            refusal = RecordRefusedError(str(verdict))
            return RecordOutcome(offset, envelope, None, Failure(refusal), True)
        outcome = self._apply_new_record(offset, envelope)
        self._window.add(envelope.record_id, _get_verdict(outcome))
        return outcome

    def _apply_new_record(self, offset: int, envelope: Envelope) -> RecordOutcome:
        try:
            body = decode_body(envelope)
        except UnknownRecordError as error:
            # Skipping an unknown kind makes this node's state differ silently from the
            # others', so it stops making decisions but keeps serving.
            self._blocked = self._blocked or error
            return RecordOutcome(offset, envelope, None, Failure(error))
        except CorruptRecordError as error:
            return RecordOutcome(offset, envelope, None, Failure(error))
        context = FoldContext(
            offset,
            self._sequence + 1,
            envelope.record_id,
            envelope.actor,
            envelope.base_revision,
        )
        handler = self._handlers.get(envelope.kind)
        if handler is None:
            refusal = RecordRefusedError(f"kind={envelope.kind} not for this stream")
            return RecordOutcome(offset, envelope, body, Failure(refusal))
        result = self._run_handler(handler, context, body)
        if isinstance(result, Success):
            self._sequence += 1
        return RecordOutcome(offset, envelope, body, result)

    def _run_handler(
        self, handler: Handler[S], context: FoldContext, body: Any
    ) -> Result[Acceptance, MustardwardError]:
        # An exception would otherwise end the follower at this offset on every node.
        # The state may be partly changed, so the node stops making decisions but keeps
        # serving.
        try:
            return handler(self._state, context, body)
        except Exception as error:
            failure = HandlerFailedError(f"{type(error).__name__}: {error}")
            self._blocked = self._blocked or failure
            return Failure(failure)


def _decode_envelopes(payload: bytes) -> list[Envelope]:
    # An undecodable entry must not stop every node at its offset forever.
    try:
        return decode_batch(payload)
    except CorruptRecordError:
        return []


def _get_outcome_code(outcome: RecordOutcome) -> str:
    if isinstance(outcome.result, Success):
        return "accepted"
    return outcome.result.failure().code


def _get_verdict(outcome: RecordOutcome) -> Verdict:
    if isinstance(outcome.result, Success):
        accepted: Acceptance = outcome.result.unwrap()
        return accepted.revision
    return outcome.result.failure().code
