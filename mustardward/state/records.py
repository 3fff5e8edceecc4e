"""Define the envelope of a record, its codec, and the registry of kinds.

An append to the log proposes a record. Its ``record_id`` is the same in every retry, so
that the fold can ignore late duplicates.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any, Final, TypeVar

import msgspec
import xxhash

from ..exceptions import CorruptRecordError, UnknownRecordError
from ..helpers.registry import Registry

NO_BASE: Final = -1
"""Base revision of a record that is not based on an earlier revision."""

BodyT = TypeVar("BodyT", bound=type)


@dataclass(frozen=True, slots=True)
class Envelope:
    """Hold one record as it is stored in the log.

    ``stamp`` is in seconds since the epoch and only informational: no decision
    depends on it.
    """

    record_id: str
    kind: str
    version: int
    actor: str
    stamp: float
    base_revision: int
    body: bytes
    digest: str


@dataclass(frozen=True, slots=True)
class RecordKind:
    """Describe one kind of record."""

    kind: str
    version: int
    body_type: type


RECORD_KINDS: Registry[str, RecordKind] = Registry("record kinds")
_KIND_BY_TYPE: dict[type, RecordKind] = {}
_ENCODER = msgspec.msgpack.Encoder()
_BATCH_DECODER = msgspec.msgpack.Decoder(list[Envelope])


def record_kind(kind: str, version: int = 1) -> Callable[[BodyT], BodyT]:
    """Return a decorator that registers a data class as the body of a record kind."""

    def decorate(body_type: BodyT) -> BodyT:
        description = RecordKind(kind, version, body_type)
        RECORD_KINDS.register(kind)(description)
        _KIND_BY_TYPE[body_type] = description
        return body_type

    return decorate


def body_digest(kind: str, version: int, body: bytes) -> str:
    """Return the digest of a body together with its kind and version."""
    return xxhash.xxh3_128_hexdigest(f"{kind}\x00{version}\x00".encode() + body)


def make_record(
    body: Any,
    *,
    record_id: str,
    actor: str,
    stamp: float,
    base_revision: int = NO_BASE,
) -> Envelope:
    """Return the envelope for a body whose type is registered with ``record_kind``.

    :raises UnknownRecordError: if the type is not registered.
    """
    description = _KIND_BY_TYPE.get(type(body))
    if description is None:
        raise UnknownRecordError(type(body).__name__)
    encoded = _ENCODER.encode(body)
    return Envelope(
        record_id=record_id,
        kind=description.kind,
        version=description.version,
        actor=actor,
        stamp=stamp,
        base_revision=base_revision,
        body=encoded,
        digest=body_digest(description.kind, description.version, encoded),
    )


def decode_body(envelope: Envelope) -> Any:
    """Return the body as its data class.

    :raises UnknownRecordError: if this build does not know the kind or version.
    :raises CorruptRecordError: if the digest or the schema does not match.
    """
    description = RECORD_KINDS.get(envelope.kind)
    if description is None or envelope.version > description.version:
        raise UnknownRecordError(f"kind={envelope.kind} version={envelope.version}")
    expected = body_digest(envelope.kind, envelope.version, envelope.body)
    if expected != envelope.digest:
        raise CorruptRecordError(f"record_id={envelope.record_id} digest differs")
    try:
        return msgspec.msgpack.decode(envelope.body, type=description.body_type)
    except msgspec.MsgspecError as error:
        raise CorruptRecordError(f"record_id={envelope.record_id} {error}") from error


def encode_batch(envelopes: Sequence[Envelope]) -> bytes:
    """Return the payload of one append with ``envelopes`` in order."""
    return _ENCODER.encode(list(envelopes))


def decode_batch(payload: bytes) -> list[Envelope]:
    """Return the envelopes of one log entry.

    :raises CorruptRecordError: if the payload is not a batch.
    """
    try:
        return _BATCH_DECODER.decode(payload)
    except msgspec.MsgspecError as error:
        raise CorruptRecordError(str(error)) from error
