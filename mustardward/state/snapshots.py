"""Store snapshots of a fold in streams of the log itself.

The body is appended in chunks to one stream, then a manifest with their offsets to
another. A snapshot without a manifest is ignored, so a writer that fails half way
leaves no partial snapshot, and concurrent writers don't interfere.
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random
from typing import Any, Final, Generic, TypeVar

import msgspec
import xxhash

from ..const import SNAPSHOT_STREAM_SUFFIX
from ..exceptions import (
    OffsetExpiredError,
    PlatformError,
    PlatformRefusedError,
    SnapshotUnusableError,
)
from ..helpers.backoff import Backoff
from ..helpers.logging import get_logger
from ..helpers.timer import TimerService
from ..standin.protocol.models import LogPage
from ..standin.protocol.protocols import LogService
from .images import Image, ImageHeader, check_header
from .streams import StreamSpec

_LOGGER = get_logger(__name__)

CHUNK_BYTES: Final = 131_072
CHUNK_STREAM_SUFFIX: Final = ".chunks"
MAX_MANIFESTS_READ: Final = 16
"""Latest manifests to consider; concurrent writers append them out of order."""
_APPEND_ATTEMPTS: Final = 8
_CHUNK_PAUSE_SECONDS: Final = 0.1
"""Delay between chunks, to leave the log's rate limit to claims and intents."""

S = TypeVar("S")


@dataclass(frozen=True, slots=True)
class Chunk:
    """Identify one chunk by its offset and the digest of its bytes."""

    offset: int
    digest: str


@dataclass(frozen=True, slots=True)
class Manifest:
    """Describe a complete snapshot: its header and its chunks in order.

    ``written_at`` (seconds since the epoch) only determines when the next one is due.
    """

    header: ImageHeader
    chunks: tuple[Chunk, ...]
    written_at: float


@dataclass(frozen=True, slots=True)
class _ManifestEntry:
    """Hold an encoded manifest with its digest."""

    body: bytes
    digest: str


_ENCODER: Final = msgspec.msgpack.Encoder()
_MANIFEST_DECODER: Final = msgspec.msgpack.Decoder(Manifest)
_MANIFEST_ENTRY_DECODER: Final = msgspec.msgpack.Decoder(_ManifestEntry)


class SnapshotStore(Generic[S]):
    """Write and read the snapshots of one stream.

    :param service: the platform's log.
    :param spec: the stream that the snapshots are of.
    :param timers: the clock, for delays between attempts.
    :param random: source of jitter.
    """

    def __init__(
        self,
        service: LogService,
        spec: StreamSpec[S],
        timers: TimerService,
        random: Random,
    ) -> None:
        self._service = service
        self._spec = spec
        self._timers = timers
        self._random = random
        self._manifests = spec.name + SNAPSHOT_STREAM_SUFFIX
        self._chunks = self._manifests + CHUNK_STREAM_SUFFIX

    async def async_write(self, image: Image) -> Manifest:
        """Append an image, chunks first.

        :raises PlatformError: if the log refused it; no partial snapshot remains.
        """
        chunks = []
        for start in range(0, len(image.body), CHUNK_BYTES):
            part = image.body[start : start + CHUNK_BYTES]
            offset = await self._async_append(self._chunks, part)
            await self._timers.async_sleep(_CHUNK_PAUSE_SECONDS)
            chunks.append(Chunk(offset, xxhash.xxh3_128_hexdigest(part)))
        manifest = Manifest(image.header, tuple(chunks), self._timers.wall())
        await self._async_append(self._manifests, encode_manifest(manifest))
        return manifest

    async def async_manifests(self, count: int = MAX_MANIFESTS_READ) -> list[Manifest]:
        """Return the latest readable manifests, the newest state first.

        :param count: number of manifests to read, up to the tail.
        :raises PlatformError: if the log can't be read.
        """
        bounds = await self._async_read_bounds(self._manifests)
        start = max(bounds.oldest, bounds.tail - count)
        if start >= bounds.tail:
            return []
        page = await self._service.async_read(self._manifests, start, count, 0.0)
        found = []
        for entry in page.entries:
            try:
                found.append(decode_manifest(entry.payload))
            except SnapshotUnusableError as error:
                self._log_refusal(f"manifest:{entry.offset}", error)
        return sorted(found, key=lambda item: -item.header.next_offset)

    async def async_load(self, least_offset: int) -> Image:
        """Return the newest complete image that is not behind ``least_offset``.

        :raises SnapshotUnusableError: if there is none.
        :raises PlatformError: if the log can't be read.
        """
        for manifest in await self.async_manifests():
            try:
                check_header(self._spec, manifest.header, least_offset)
                return Image(manifest.header, await self._async_body(manifest))
            except SnapshotUnusableError as error:
                self._log_refusal(f"offset:{manifest.header.next_offset}", error)
        raise SnapshotUnusableError(f"stream={self._spec.name} none usable")

    async def _async_body(self, manifest: Manifest) -> bytes:
        parts = [await self._async_chunk(chunk) for chunk in manifest.chunks]
        return b"".join(parts)

    async def _async_chunk(self, chunk: Chunk) -> bytes:
        try:
            page = await self._service.async_read(self._chunks, chunk.offset, 1, 0.0)
        except OffsetExpiredError as error:
            raise SnapshotUnusableError(f"chunk expired {error.detail}") from error
        if not page.entries or page.entries[0].offset != chunk.offset:
            raise SnapshotUnusableError(f"chunk={chunk.offset} missing")
        payload = page.entries[0].payload
        if xxhash.xxh3_128_hexdigest(payload) != chunk.digest:
            raise SnapshotUnusableError(f"chunk={chunk.offset} digest differs")
        return payload

    async def _async_read_bounds(self, stream: str) -> LogPage:
        try:
            return await self._service.async_read(stream, 0, 1, 0.0)
        except OffsetExpiredError as error:
            return await self._service.async_read(stream, error.oldest, 1, 0.0)

    async def _async_append(self, stream: str, payload: bytes) -> int:
        # A chunk whose response was lost stays unreferenced, since the manifest refers
        # to the copy whose offset is known. A duplicate manifest is harmless.
        backoff = Backoff(0.2, 5.0, self._random)
        for _ in range(_APPEND_ATTEMPTS - 1):
            try:
                return await self._service.async_append(stream, payload)
            except PlatformRefusedError:
                raise
            except PlatformError:
                await self._timers.async_sleep(backoff.next_seconds())
        return await self._service.async_append(stream, payload)

    def _log_refusal(self, subject: str, error: SnapshotUnusableError) -> None:
        _LOGGER.warning(
            "snapshot_refused",
            stream=self._spec.name,
            subject=subject,
            detail=error.detail,
        )


def furthest_readable(
    manifests: list[Manifest], spec: StreamSpec[Any]
) -> Manifest | None:
    """Return the manifest of the newest state that this build can read."""
    for manifest in manifests:
        try:
            check_header(spec, manifest.header, 0)
        except SnapshotUnusableError:
            continue
        return manifest
    return None


def encode_manifest(manifest: Manifest) -> bytes:
    """Return the payload of an entry with a manifest and its digest."""
    body = _ENCODER.encode(manifest)
    return _ENCODER.encode(_ManifestEntry(body, xxhash.xxh3_128_hexdigest(body)))


def decode_manifest(payload: bytes) -> Manifest:
    """Return the manifest in the payload of an entry.

    :raises SnapshotUnusableError: if it is corrupt.
    """
    try:
        entry_body = _MANIFEST_ENTRY_DECODER.decode(payload)
        if xxhash.xxh3_128_hexdigest(entry_body.body) != entry_body.digest:
            raise SnapshotUnusableError("manifest does not match its digest")
        return _MANIFEST_DECODER.decode(entry_body.body)
    except msgspec.MsgspecError as error:
        raise SnapshotUnusableError(str(error)) from error
