"""Take entries and state from a peer while the platform is out of reach.

Monotone: an answer is used only to move ahead, and every entry's chained digest shows
whether the peer folded the same log.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from enum import StrEnum
from typing import Final, Protocol

from .images import Image

KEPT_ENTRIES: Final = 1024
KEPT_BYTES: Final = 1_048_576
ANSWER_BYTES: Final = 262_144


class RelayRequestKind(StrEnum):
    """Say what is asked of a peer."""

    POSITION = "position"
    ENTRIES = "entries"
    IMAGE = "image"


class RelayStatus(StrEnum):
    """Say what a peer's answer is."""

    POSITION = "position"
    ENTRIES = "entries"
    IMAGE = "image"
    IMAGE_NEEDED = "image-needed"
    BEHIND = "behind"
    DIVERGED = "diverged"
    UNAVAILABLE = "unavailable"


@dataclass(frozen=True, slots=True)
class RelayRequest:
    """Ask a peer how far it is, for what follows an offset, or for its state."""

    stream: str
    next_offset: int
    digest: str
    wanted: RelayRequestKind = RelayRequestKind.ENTRIES


@dataclass(frozen=True, slots=True)
class RelayedEntry:
    """Hold an entry with the chained digest after it."""

    offset: int
    payload: bytes
    digest: str


@dataclass(frozen=True, slots=True)
class RelayResponse:
    """Hold a peer's answer; ``tail_age_seconds`` is how old its own tail is.

    ``next_offset`` is what the peer's fold wants next, also when it sends no entry.
    An image of more than one part has to be completed before it is used.
    """

    status: RelayStatus
    next_offset: int = 0
    tail_age_seconds: float = 0.0
    entries: tuple[RelayedEntry, ...] = ()
    image: Image | None = None
    image_parts: int = 1


@dataclass(frozen=True, slots=True)
class RelayPartRequest:
    """Ask a peer for a further part of the image that it began to send."""

    stream: str
    body_digest: str
    part: int


@dataclass(frozen=True, slots=True)
class RelayPart:
    """Hold one part of an image; empty if the peer does not hold it any more."""

    body: bytes = b""


class RelaySource(Protocol):
    """Ask peers; every failure of a peer is an ``UNAVAILABLE`` answer."""

    async def async_entries(self, question: RelayRequest) -> RelayResponse:
        """Ask one peer, by preference one that is ahead."""
        ...

    async def async_image(self, question: RelayRequest) -> RelayResponse:
        """Ask several peers how far they are, and the furthest for its state."""
        ...


class RecentEntries:
    """Keep the latest entries for peers, within a count and a size."""

    def __init__(self) -> None:
        self._entries: deque[RelayedEntry] = deque()
        self._bytes = 0
        self._before = ""

    def add(self, entry: RelayedEntry) -> None:
        """Keep one entry, and drop the oldest ones beyond the bounds."""
        self._entries.append(entry)
        self._bytes += len(entry.payload)
        while len(self._entries) > KEPT_ENTRIES or self._bytes > KEPT_BYTES:
            dropped = self._entries.popleft()
            self._bytes -= len(dropped.payload)
            self._before = dropped.digest

    def payload(self, offset: int) -> bytes | None:
        """Return an entry that is still kept."""
        index = offset - self._entries[0].offset if self._entries else -1
        if not 0 <= index < len(self._entries):
            return None
        return self._entries[index].payload

    def start_after(self, digest: str) -> None:
        """Drop everything, as the fold has jumped to a state with this digest."""
        self._entries.clear()
        self._bytes = 0
        self._before = digest

    def since(self, offset: int, digest: str) -> tuple[RelayStatus, list[RelayedEntry]]:
        """Return the entries from ``offset`` on, if that state is of the same log."""
        if not self._entries or offset < self._entries[0].offset:
            return RelayStatus.IMAGE_NEEDED, []
        index = offset - self._entries[0].offset
        before = self._entries[index - 1].digest if index else self._before
        if before != digest:
            return RelayStatus.DIVERGED, []
        return RelayStatus.ENTRIES, self._bounded(index)

    def _bounded(self, index: int) -> list[RelayedEntry]:
        taken: list[RelayedEntry] = []
        size = 0
        for position in range(index, len(self._entries)):
            entry = self._entries[position]
            size += len(entry.payload)
            if taken and size > ANSWER_BYTES:
                break
            taken.append(entry)
        return taken
