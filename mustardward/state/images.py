"""Encode and decode folds for snapshots and for peers."""

from __future__ import annotations

import zlib
from dataclasses import dataclass
from typing import Any, Final, TypeVar

import msgspec
import xxhash

from ..exceptions import SnapshotUnusableError, UnknownRecordError
from .fold import Fold, FoldImage
from .records import RECORD_KINDS
from .streams import StreamSpec
from .window import Verdict

IMAGE_SCHEMA: Final = 1
_COMPRESSION_LEVEL: Final = 1

S = TypeVar("S")


@dataclass(frozen=True, slots=True)
class ImageHeader:
    """Describe the stream, position and format of an image.

    ``kinds`` holds the version of each record kind that the writer knew: a reader that
    knows an older version could silently misread the state.
    """

    stream: str
    schema: int
    kinds: dict[str, int]
    next_offset: int
    sequence: int
    fold_digest: str
    body_digest: str


@dataclass(frozen=True, slots=True)
class Image:
    """Hold the header and the compressed body of an encoded fold."""

    header: ImageHeader
    body: bytes


@dataclass(frozen=True, slots=True)
class _Body:
    """Define the layout of the body; the state is decoded separately by its type."""

    state: msgspec.Raw
    window_keys: bytes
    window_verdicts: list[Verdict]


_ENCODER: Final = msgspec.msgpack.Encoder()
_BODY_DECODER: Final = msgspec.msgpack.Decoder(_Body)


def known_kinds(spec: StreamSpec[Any]) -> dict[str, int]:
    """Return the version of each record kind that this build handles on a stream."""
    return {kind: RECORD_KINDS[kind].version for kind in spec.handlers}


def make_image(spec: StreamSpec[S], fold: Fold[S]) -> Image:
    """Return an image of the current state of a fold.

    :raises UnknownRecordError: if the fold is blocked by a record it can't apply.
    """
    if fold.blocked is not None:
        raise UnknownRecordError(fold.blocked.detail)
    exported = fold.export()
    state = msgspec.Raw(_ENCODER.encode(exported.state))
    body = _Body(state, exported.window_keys, exported.window_verdicts)
    compressed = zlib.compress(_ENCODER.encode(body), _COMPRESSION_LEVEL)
    header = ImageHeader(
        stream=spec.name,
        schema=IMAGE_SCHEMA,
        kinds=known_kinds(spec),
        next_offset=exported.next_offset,
        sequence=exported.sequence,
        fold_digest=exported.digest,
        body_digest=xxhash.xxh3_128_hexdigest(compressed),
    )
    return Image(header, compressed)


def restore_image(spec: StreamSpec[S], fold: Fold[S], image: Image) -> None:
    """Restore a fold from an image.

    :raises SnapshotUnusableError: if the image is corrupt, from a newer build, of
        another stream, or behind the fold.
    """
    check_header(spec, image.header, fold.next_offset)
    if xxhash.xxh3_128_hexdigest(image.body) != image.header.body_digest:
        raise SnapshotUnusableError("body does not match its digest")
    try:
        body = _BODY_DECODER.decode(zlib.decompress(image.body))
        state = msgspec.msgpack.decode(body.state, type=spec.state_type)
    except (msgspec.MsgspecError, zlib.error) as error:
        raise SnapshotUnusableError(str(error)) from error
    spec.compact(state)
    header = image.header
    fold.restore(
        FoldImage(
            state,
            header.next_offset,
            header.sequence,
            header.fold_digest,
            body.window_keys,
            body.window_verdicts,
        )
    )


def check_header(spec: StreamSpec[Any], header: ImageHeader, least_offset: int) -> None:
    """Check that an image is of this stream, readable by this build, and not behind.

    :raises SnapshotUnusableError: if one of these does not hold.
    """
    if header.stream != spec.name:
        raise SnapshotUnusableError(f"stream={header.stream} wanted={spec.name}")
    if header.schema > IMAGE_SCHEMA:
        raise SnapshotUnusableError(f"schema={header.schema} known={IMAGE_SCHEMA}")
    known = known_kinds(spec)
    newer = [
        kind for kind, version in header.kinds.items() if version > known.get(kind, 0)
    ]
    if newer:
        raise SnapshotUnusableError(f"newer_kinds={','.join(sorted(newer))}")
    if header.next_offset < least_offset:
        detail = f"image={header.next_offset} held={least_offset}"
        raise SnapshotUnusableError(detail)
