"""Hold one node's copy of a stream's state, and move it ahead only."""

from __future__ import annotations

from collections.abc import Callable
from typing import Generic, TypeVar

import anyio.lowlevel

from ..exceptions import StateError
from ..helpers.logging import get_logger
from ..standin.protocol.models import LogPage
from .fold import Fold, RecordOutcome
from .images import Image, make_image, restore_image
from .relay import (
    RecentEntries,
    RelayedEntry,
    RelayRequest,
    RelayRequestKind,
    RelayResponse,
    RelayStatus,
)
from .streams import StreamSpec
from .tail import ReadTicket, TailTracker

_LOGGER = get_logger(__name__)

S = TypeVar("S")
T = TypeVar("T")

OutcomeListener = Callable[[RecordOutcome], None]
RestoredListener = Callable[[], None]


class StateDivergedError(StateError):
    """Report that two nodes folded one offset to different states."""

    code = "state-diverged"


class Replica(Generic[S]):
    """Fold entries from the log or a peer, whichever comes first.

    :param spec: the stream.
    :param tail: told of each step ahead.
    """

    def __init__(self, spec: StreamSpec[S], tail: TailTracker) -> None:
        self._spec = spec
        self._tail = tail
        self._fold = spec.new_fold()
        self._recent = RecentEntries()
        self._diverged: StateDivergedError | None = None
        self._listeners: list[OutcomeListener] = []
        self._restored_listeners: list[RestoredListener] = []

    @property
    def fold(self) -> Fold[S]:
        """Return the fold; only this class changes it."""
        return self._fold

    @property
    def recent(self) -> RecentEntries:
        """Return the latest entries."""
        return self._recent

    @property
    def stopped(self) -> StateError | None:
        """Return why this node must not decide from its state, if so."""
        blocked = self._fold.blocked
        return self._diverged or (StateError(blocked.code) if blocked else None)

    def listen(self, listener: OutcomeListener) -> Callable[[], None]:
        """Call ``listener`` for each folded record until unsubscribed."""
        return _subscribe(self._listeners, listener)

    def listen_restored(self, listener: RestoredListener) -> Callable[[], None]:
        """Call ``listener`` when the state jumped past records nobody heard of."""
        return _subscribe(self._restored_listeners, listener)

    async def async_apply_page(self, ticket: ReadTicket, page: LogPage) -> None:
        """Fold what a read brought, and note the tail it saw.

        :raises LogGapError: if an offset is missing.
        """
        for entry in page.entries:
            # A peer may have been quicker while the read was under way.
            if entry.offset < self._fold.next_offset:
                continue
            self._apply(entry.offset, entry.payload)
            await anyio.lowlevel.checkpoint()
        self._tail.record_read(ticket, page.tail, self._fold.next_offset)

    async def async_apply_relayed(self, answer: RelayResponse) -> None:
        """Fold what a peer relayed.

        :raises LogGapError: if an offset is missing.
        """
        for entry in answer.entries:
            if entry.offset < self._fold.next_offset:
                continue
            self._apply(entry.offset, entry.payload)
            if self._fold.digest != entry.digest:
                self.note_divergence(entry.offset)
                return
            await anyio.lowlevel.checkpoint()

    def adopt(self, image: Image) -> None:
        """Jump ahead to an image.

        :raises SnapshotUnusableError: if it is unusable or behind.
        """
        restore_image(self._spec, self._fold, image)
        self._recent.start_after(self._fold.digest)
        for listener in list(self._restored_listeners):
            _call(listener)
        self._tail.record_progress(self._fold.next_offset)

    def image(self) -> Image:
        """Return the image of the present state.

        :raises StateError: if this node must not decide from it.
        """
        if self._diverged is not None:
            raise self._diverged
        return make_image(self._spec, self._fold)

    def answer(self, question: RelayRequest) -> RelayResponse:
        """Return what this node can tell a peer."""
        held = self._fold.next_offset
        age = self._tail.age_seconds
        if self.stopped is not None:
            return RelayResponse(RelayStatus.UNAVAILABLE)
        if held < question.next_offset:
            return RelayResponse(RelayStatus.BEHIND, held, age)
        if question.wanted is RelayRequestKind.POSITION:
            return RelayResponse(RelayStatus.POSITION, held, age)
        if question.wanted is RelayRequestKind.IMAGE:
            return RelayResponse(RelayStatus.IMAGE, held, age, image=self.image())
        status, entries = self._entries_since(question)
        return RelayResponse(status, held, age, tuple(entries))

    def note_divergence(self, offset: int) -> None:
        """Stop deciding, as a peer came to another state at the same offset."""
        self._diverged = StateDivergedError(f"offset={offset}")
        _LOGGER.error("state_diverged", stream=self._spec.name, offset=offset)

    def _entries_since(
        self, question: RelayRequest
    ) -> tuple[RelayStatus, list[RelayedEntry]]:
        if question.next_offset < self._fold.next_offset:
            return self._recent.since(question.next_offset, question.digest)
        same = question.digest == self._fold.digest
        return (RelayStatus.ENTRIES if same else RelayStatus.DIVERGED), []

    def _apply(self, offset: int, payload: bytes) -> None:
        was_blocked = self._fold.blocked
        outcomes = self._fold.apply(offset, payload)
        self._recent.add(RelayedEntry(offset, payload, self._fold.digest))
        blocked = self._fold.blocked
        if blocked is not None and was_blocked is None:
            _LOGGER.error(
                "deciding_stopped",
                stream=self._spec.name,
                offset=offset,
                cause=blocked.code,
                detail=blocked.detail,
            )
        for outcome in outcomes:
            for listener in list(self._listeners):
                _call(listener, outcome)
        self._tail.record_progress(self._fold.next_offset)


def _call(listener: Callable[..., None], *arguments: RecordOutcome) -> None:
    # One part's bug must not end the follower of all parts; it would show as an entry
    # that dies on a record which the others fold.
    try:
        listener(*arguments)
    except Exception as error:
        _LOGGER.error(
            "listener_failed",
            listener=getattr(listener, "__qualname__", "-"),
            error=type(error).__name__,
            detail=str(error),
        )


def _subscribe(listeners: list[T], listener: T) -> Callable[[], None]:
    listeners.append(listener)

    def unsubscribe() -> None:
        if listener in listeners:
            listeners.remove(listener)

    return unsubscribe
