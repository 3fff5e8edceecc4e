"""Fold log entries into a state: the machinery that all kinds of record share.

Pure: no clock, no I/O. Every node that folds the same entries holds the same state and
the same digest, and gives each record the same outcome.
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
    """Serve as the root of refusals that the fold gives a well-formed record."""

    code = "record-refused"


class RevisionConflictError(RecordRefusedError):
    """Report that another change was accepted first.

    :param current: the revision in force, from which the author has to start again.
    """

    code = "revision-conflict"

    def __init__(self, detail: str = "", current: int | None = None) -> None:
        super().__init__(detail)
        self._current = current

    @property
    def current(self) -> int | None:
        """Return the revision in force, if the handler named it."""
        return self._current


class HandlerFailedError(StateError):
    """Report that a handler broke on a record, so that the state may be wrong."""

    code = "handler-failed"


@dataclass(frozen=True, slots=True)
class FoldContext:
    """Tell a handler where its record stands.

    ``sequence`` numbers accepted records from 1; handlers use it as revision or
    generation, since it grows along the log and is the same everywhere.
    """

    offset: int
    sequence: int
    record_id: str
    actor: str
    base_revision: int


@dataclass(frozen=True, slots=True)
class Acceptance:
    """Say what an accepted record changed; ``revision`` is for its author."""

    subjects: tuple[str, ...]
    revision: int
    note: str = ""


@dataclass(frozen=True, slots=True)
class RecordOutcome:
    """Say what became of one record, the same on every node."""

    offset: int
    envelope: Envelope
    body: Any
    result: Result[Acceptance, MustardwardError]
    duplicate: bool = False


Handler = Callable[[S, FoldContext, Any], Result[Acceptance, MustardwardError]]


@dataclass(frozen=True, slots=True)
class FoldImage(Generic[S]):
    """Hold all that a fold needs to go on from an offset.

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
    :param handlers: the function for each kind.
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
        """Return the offset of the entry wanted next."""
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
        """Return why this node must not decide any more, if so."""
        return self._blocked

    def apply(self, offset: int, payload: bytes) -> list[RecordOutcome]:
        """Fold one entry and return the outcome of each of its records.

        :raises LogGapError: if ``offset`` is not the next one.
        """
        if offset != self._next_offset:
            raise LogGapError(f"wanted={self._next_offset} got={offset}")
        outcomes = [self._apply_one(offset, item) for item in _envelopes(payload)]
        self._next_offset = offset + 1
        self._digest = xxhash.xxh3_128_hexdigest(
            self._digest.encode()
            + payload
            + b"".join(_outcome_code(item).encode() for item in outcomes)
        )
        return outcomes

    def remembered(self, record_id: str) -> Verdict | None:
        """Return what became of a record, if it is in the dedupe window."""
        return self._window.get(record_id)

    def export(self) -> FoldImage[S]:
        """Return what another fold needs to go on from here.

        The state is the live one: encode it before the next entry is folded.
        """
        keys, verdicts = self._window.export()
        return FoldImage(
            self._state, self._next_offset, self._sequence, self._digest, keys, verdicts
        )

    def restore(self, image: FoldImage[S]) -> None:
        """Go on from an image that is not behind this fold, with its state object.

        :raises SnapshotUnusableError: if the image is behind this fold.
        """
        # A stale image would put an older configuration back in force.
        if image.next_offset < self._next_offset:
            raise SnapshotUnusableError(
                f"image={image.next_offset} held={self._next_offset}"
            )
        self._state = image.state
        self._next_offset = image.next_offset
        self._sequence = image.sequence
        self._digest = image.digest
        self._window.restore(image.window_keys, image.window_verdicts)

    def _apply_one(self, offset: int, envelope: Envelope) -> RecordOutcome:
        # A lost answer makes the appender send the record again, and the first copy
        # may be delayed past the second. Whichever comes first counts.
        verdict = self._window.get(envelope.record_id)
        if verdict is not None:
            refusal = RecordRefusedError(str(verdict))
            return RecordOutcome(offset, envelope, None, Failure(refusal), True)
        outcome = self._decide(offset, envelope)
        self._window.add(envelope.record_id, _verdict(outcome))
        return outcome

    def _decide(self, offset: int, envelope: Envelope) -> RecordOutcome:
        try:
            body = decode_body(envelope)
        except UnknownRecordError as error:
            # Guessing at a newer kind would make this node's state differ from the
            # others' without a sign; so it stops deciding, and goes on serving.
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
        result = self._run(handler, context, body)
        if isinstance(result, Success):
            self._sequence += 1
        return RecordOutcome(offset, envelope, body, result)

    def _run(
        self, handler: Handler[S], context: FoldContext, body: Any
    ) -> Result[Acceptance, MustardwardError]:
        # A bug that one record brings out would otherwise end the follower at this
        # offset on every node. The state may be half changed, so the node stops
        # deciding and goes on serving.
        try:
            return handler(self._state, context, body)
        except Exception as error:
            failure = HandlerFailedError(f"{type(error).__name__}: {error}")
            self._blocked = self._blocked or failure
            return Failure(failure)


def _envelopes(payload: bytes) -> list[Envelope]:
    # Garbage in the log must not stop every node for ever at one offset.
    try:
        return decode_batch(payload)
    except CorruptRecordError:
        return []


def _outcome_code(outcome: RecordOutcome) -> str:
    if isinstance(outcome.result, Success):
        return "accepted"
    return outcome.result.failure().code


def _verdict(outcome: RecordOutcome) -> Verdict:
    if isinstance(outcome.result, Success):
        accepted: Acceptance = outcome.result.unwrap()
        return accepted.revision
    return outcome.result.failure().code
