"""Maintain one node's copy of a stream's state, which only ever advances."""

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
from .tail import ReadStart, TailTracker

_LOGGER = get_logger(__name__)

S = TypeVar("S")
T = TypeVar("T")

OutcomeListener = Callable[[RecordOutcome], None]
RestoredListener = Callable[[], None]


class StateDivergedError(StateError):
    """Report that two nodes have different states at the same offset."""

    code = "state-diverged"


class Replica(Generic[S]):
    """Apply entries from the log or from peers, whichever arrive first.

    :param spec: the stream.
    :param tail: updated with each applied entry.
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
    def stop_cause(self) -> StateError | None:
        """Return the error that prevents decisions from this state, if any."""
        blocked = self._fold.blocked
        return self._diverged or (StateError(blocked.code) if blocked else None)

    def listen(self, listener: OutcomeListener) -> Callable[[], None]:
        """Call ``listener`` for each applied record until unsubscribed."""
        return _subscribe(self._listeners, listener)

    def listen_restored(self, listener: RestoredListener) -> Callable[[], None]:
        """Call ``listener`` when a restore skipped records, until unsubscribed."""
        return _subscribe(self._restored_listeners, listener)

    async def async_apply_page(self, ticket: ReadStart, page: LogPage) -> None:
        """Apply the entries of a read and record its tail.

        :raises LogGapError: if an offset is missing.
        """
        for entry in page.entries:
            # A peer may have sent the entry while the read was in flight.
            if entry.offset < self._fold.next_offset:
                continue
            self._apply(entry.offset, entry.payload)
            await anyio.lowlevel.checkpoint()
        self._tail.record_read(ticket, page.tail, self._fold.next_offset)

    async def async_apply_relayed(self, response: RelayResponse) -> None:
        """Apply entries received from a peer.

        :raises LogGapError: if an offset is missing.
        """
        for entry in response.entries:
            if entry.offset < self._fold.next_offset:
                continue
            self._apply(entry.offset, entry.payload)
            if self._fold.digest != entry.digest:
                self.record_divergence(entry.offset)
                return
            await anyio.lowlevel.checkpoint()

    def adopt(self, image: Image) -> None:
        """Replace the state by that of a newer image.

        :raises SnapshotUnusableError: if the image is unusable or behind.
        """
        restore_image(self._spec, self._fold, image)
        self._recent.reset(self._fold.digest)
        for listener in list(self._restored_listeners):
            _notify(listener)
        self._tail.record_progress(self._fold.next_offset)

    def image(self) -> Image:
        """Return an image of the current state.

        :raises StateError: if this node must not make decisions from it.
        """
        if self._diverged is not None:
            raise self._diverged
        return make_image(self._spec, self._fold)

    def respond(self, request: RelayRequest) -> RelayResponse:
        """Return the response to a peer's request."""
        reached_offset = self._fold.next_offset
        age = self._tail.age_seconds
        if self.stop_cause is not None:
            return RelayResponse(RelayStatus.UNAVAILABLE)
        if reached_offset < request.next_offset:
            return RelayResponse(RelayStatus.BEHIND, reached_offset, age)
        if request.wanted is RelayRequestKind.POSITION:
            return RelayResponse(RelayStatus.POSITION, reached_offset, age)
        if request.wanted is RelayRequestKind.IMAGE:
            return RelayResponse(
                RelayStatus.IMAGE, reached_offset, age, image=self.image()
            )
        status, entries = self._entries_since(request)
        return RelayResponse(status, reached_offset, age, tuple(entries))

    def record_divergence(self, offset: int) -> None:
        """Stop making decisions, since a peer has a different state at this offset."""
        self._diverged = StateDivergedError(f"offset={offset}")
        _LOGGER.error("state_diverged", stream=self._spec.name, offset=offset)

    def _entries_since(
        self, request: RelayRequest
    ) -> tuple[RelayStatus, list[RelayedEntry]]:
        if request.next_offset < self._fold.next_offset:
            return self._recent.since(request.next_offset, request.digest)
        same = request.digest == self._fold.digest
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
                _notify(listener, outcome)
        self._tail.record_progress(self._fold.next_offset)


def _notify(listener: Callable[..., None], *arguments: RecordOutcome) -> None:
    # An exception in one listener must not end the follower, which would make this node
    # stop at a record that the others apply.
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
