"""Read what workers say of themselves, and tell what can't be used.

A record may come from another writer than a worker: fields missing or of another type,
a state that is not known, room that no machine has, an address that is none. Taken at
its word it would end the owner's loop (an address that is no URL, an id that can't
stand in a header) or have work placed beyond a worker's room. So a record is used only
if all of it can be, and else names no worker.
"""

from __future__ import annotations

import ipaddress
from typing import Annotated, Final, Literal

import msgspec

from .exceptions import UnreadableRecordError
from .models import Room, WorkerEntry

MAX_ENTRY_BYTES: Final = 16_384
"""An entry takes some 300 bytes; a larger one is not decoded at all."""

MAX_NAME_LENGTH: Final = 200
MAX_CPU: Final = 4_096_000
"""Thousandths of a core; four times what the largest machines have."""

MAX_MEMORY_MB: Final = 256 * 1024 * 1024
MAX_ACCELERATORS: Final = 1024

MAX_STARTED_AT_MS: Final = 2**45
"""A start later than this, in milliseconds since 1970, lies a thousand years ahead."""

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_NAME_LENGTH)]


class _CapacityBody(msgspec.Struct, rename="kebab"):
    cpu: Annotated[int, msgspec.Meta(ge=1, le=MAX_CPU)]
    mem_mb: Annotated[int, msgspec.Meta(ge=1, le=MAX_MEMORY_MB)]
    gpu: Annotated[int, msgspec.Meta(ge=0, le=MAX_ACCELERATORS)] = 0


class _EntryBody(msgspec.Struct, rename="kebab"):
    service: Name
    address: Name
    zone: Name
    state: Literal["ready", "draining"]
    capacity: _CapacityBody
    labels: list[Name]
    remaining_ms: Annotated[float, msgspec.Meta(ge=0, le=1e9)] | None = None
    born: Annotated[int, msgspec.Meta(ge=0, le=MAX_STARTED_AT_MS)] = 0


_DECODER: Final = msgspec.json.Decoder(_EntryBody)


def decode_worker_entry(key: str, value: bytes) -> WorkerEntry:
    """Return a worker's entry.

    :param key: the id under which it stands; it is sent in a header.
    :raises UnreadableRecordError: if it names no worker to use.
    """
    if not key or len(key) > MAX_NAME_LENGTH or not _is_plain(key):
        raise UnreadableRecordError("the id can't be sent")
    if len(value) > MAX_ENTRY_BYTES:
        raise UnreadableRecordError(f"bytes={len(value)}")
    try:
        body = _DECODER.decode(value)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise UnreadableRecordError(str(error)) from error
    _check_address(body.address)
    room = body.capacity
    return WorkerEntry(
        body.service,
        body.address,
        body.zone,
        body.state,
        Room(room.cpu, room.mem_mb, room.gpu),
        body.labels,
        body.remaining_ms,
        body.born,
    )


def _is_plain(text: str) -> bool:
    return text.isascii() and text.isprintable() and " " not in text


def _check_address(address: str) -> None:
    host, _, port = address.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
        usable = port.isascii() and port.isdigit() and 0 < int(port) < 65536
    except ValueError as error:
        raise UnreadableRecordError(f"address={address}") from error
    if not usable:
        raise UnreadableRecordError(f"address={address}")
