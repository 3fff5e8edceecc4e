"""Define the envelope of a record, its codec, and the registry of kinds.

An append to the log is a proposal. Its ``record_id`` stays the same over every retry,
so the fold drops a second copy however late it arrives.
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
"""Base revision of a record that does not compare with an earlier one."""

BodyT = TypeVar("BodyT", bound=type)


@dataclass(frozen=True, slots=True)
class Envelope:
    """Carry one record through the log.

    ``stamp`` is in seconds since the epoch, for people only: no decision reads it.
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
    """Return a decorator that files a data class as the body of a kind."""

    def decorate(body_type: BodyT) -> BodyT:
        description = RecordKind(kind, version, body_type)
        RECORD_KINDS.register(kind)(description)
        _KIND_BY_TYPE[body_type] = description
        return body_type

    return decorate


def body_digest(kind: str, version: int, body: bytes) -> str:
    """Return the digest that binds a body to its kind and version."""
    return xxhash.xxh3_128_hexdigest(f"{kind}\x00{version}\x00".encode() + body)


def make_record(
    body: Any,
    *,
    record_id: str,
    actor: str,
    stamp: float,
    base_revision: int = NO_BASE,
) -> Envelope:
    """Return the envelope for a body whose type was filed with ``record_kind``.

    :raises UnknownRecordError: if the type was not filed.
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

    :raises UnknownRecordError: for a kind or newer version this build does not know.
    :raises CorruptRecordError: if digest or schema do not match.
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
    """Return the payload of one append that carries ``envelopes`` in order."""
    return _ENCODER.encode(list(envelopes))


def decode_batch(payload: bytes) -> list[Envelope]:
    """Return the envelopes of one log entry.

    :raises CorruptRecordError: if the payload is not a batch.
    """
    try:
        return _BATCH_DECODER.decode(payload)
    except msgspec.MsgspecError as error:
        raise CorruptRecordError(str(error)) from error
