"""Exchange entries and images between peers while the platform is unreachable.

A response is only used to advance the local state, and the chained digest of each entry
shows whether the peer applied the same log.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from enum import StrEnum
from typing import Final, Protocol

from .images import Image

MAX_RECENT_ENTRIES: Final = 1024
MAX_RECENT_BYTES: Final = 1_048_576
MAX_RESPONSE_BYTES: Final = 262_144


class RelayRequestKind(StrEnum):
    """Name what is requested from a peer."""

    POSITION = "position"
    ENTRIES = "entries"
    IMAGE = "image"


class RelayStatus(StrEnum):
    """Name the result of a request to a peer."""

    POSITION = "position"
    ENTRIES = "entries"
    IMAGE = "image"
    IMAGE_NEEDED = "image-needed"
    BEHIND = "behind"
    DIVERGED = "diverged"
    UNAVAILABLE = "unavailable"


@dataclass(frozen=True, slots=True)
class RelayRequest:
    """Request a peer's position, the entries after an offset, or an image."""

    stream: str
    next_offset: int
    digest: str
    wanted: RelayRequestKind = RelayRequestKind.ENTRIES


@dataclass(frozen=True, slots=True)
class RelayedEntry:
    """Hold an entry with the chained digest after applying it."""

    offset: int
    payload: bytes
    digest: str


@dataclass(frozen=True, slots=True)
class RelayResponse:
    """Hold a peer's response.

    ``next_offset`` is the next offset of the peer's fold, also without entries, and
    ``tail_age_seconds`` is the time since the peer last confirmed the tail. An image in
    several parts has to be completed before use.
    """

    status: RelayStatus
    next_offset: int = 0
    tail_age_seconds: float = 0.0
    entries: tuple[RelayedEntry, ...] = ()
    image: Image | None = None
    image_parts: int = 1


@dataclass(frozen=True, slots=True)
class RelayPartRequest:
    """Request a further part of an image from the peer that sent the first one."""

    stream: str
    body_digest: str
    part: int


@dataclass(frozen=True, slots=True)
class RelayPart:
    """Hold one part of an image; empty if the peer no longer has the image."""

    body: bytes = b""


class RelaySource(Protocol):
    """Send requests to peers; each failure is an ``UNAVAILABLE`` response."""

    async def async_entries(self, request: RelayRequest) -> RelayResponse:
        """Request entries from one peer, preferably one that is ahead."""
        ...

    async def async_image(self, request: RelayRequest) -> RelayResponse:
        """Query several peers for their position and the newest one for its image."""
        ...


class RecentEntries:
    """Keep the latest entries for peers, bounded by count and size."""

    def __init__(self) -> None:
        self._entries: deque[RelayedEntry] = deque()
        self._bytes = 0
        self._preceding_digest = ""

    def add(self, entry: RelayedEntry) -> None:
        """Add an entry and drop the oldest ones beyond the bounds."""
        self._entries.append(entry)
        self._bytes += len(entry.payload)
        while len(self._entries) > MAX_RECENT_ENTRIES or self._bytes > MAX_RECENT_BYTES:
            dropped = self._entries.popleft()
            self._bytes -= len(dropped.payload)
            self._preceding_digest = dropped.digest

    def payload(self, offset: int) -> bytes | None:
        """Return an entry's payload, or ``None`` if the entry is not kept."""
        index = offset - self._entries[0].offset if self._entries else -1
        if not 0 <= index < len(self._entries):
            return None
        return self._entries[index].payload

    def reset(self, digest: str) -> None:
        """Drop all entries after the fold was restored to a state with this digest."""
        self._entries.clear()
        self._bytes = 0
        self._preceding_digest = digest

    def since(self, offset: int, digest: str) -> tuple[RelayStatus, list[RelayedEntry]]:
        """Return the entries from ``offset`` on if ``digest`` matches this log."""
        if not self._entries or offset < self._entries[0].offset:
            return RelayStatus.IMAGE_NEEDED, []
        index = offset - self._entries[0].offset
        preceding_digest = (
            self._entries[index - 1].digest if index else self._preceding_digest
        )
        if preceding_digest != digest:
            return RelayStatus.DIVERGED, []
        return RelayStatus.ENTRIES, self._limit_size(index)

    def _limit_size(self, index: int) -> list[RelayedEntry]:
        selected: list[RelayedEntry] = []
        size = 0
        for position in range(index, len(self._entries)):
            entry = self._entries[position]
            size += len(entry.payload)
            if selected and size > MAX_RESPONSE_BYTES:
                break
            selected.append(entry)
        return selected
