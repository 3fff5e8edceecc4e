"""Decode and validate the entries that workers register in the store.

A record may come from a writer other than a worker, with missing fields, wrong types,
an unknown state, an impossible capacity or an invalid address. Used unchecked, it would
terminate the owner's loop (an address that is no URL, an id that is invalid in a
header) or place work beyond a worker's capacity. A record is therefore used only if
all of its known fields are valid; otherwise it names no usable worker.
"""

from __future__ import annotations

import ipaddress
from typing import Annotated, Final, Literal

import msgspec

from .exceptions import UnreadableRecordError
from .models import Room, WorkerEntry

MAX_ENTRY_BYTES: Final = 16_384
"""An entry takes about 300 bytes; larger ones are rejected before decoding."""

MAX_NAME_LENGTH: Final = 200
MAX_CPU: Final = 4_096_000
"""Thousandths of a core; four times the size of the largest machines."""

MAX_MEMORY_MB: Final = 256 * 1024 * 1024
MAX_ACCELERATORS: Final = 1024

MAX_STARTED_AT_MS: Final = 2**45
"""Latest valid start time, in milliseconds since 1970; about a thousand years ahead."""

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
    """Return the decoded and validated entry of a worker.

    :param key: the worker's id, under which the record is stored; sent in a header.
    :raises UnreadableRecordError: if the id or a field is invalid.
    """
    if not key or len(key) > MAX_NAME_LENGTH or not _is_header_value(key):
        raise UnreadableRecordError("the id is not valid in a header")
    if len(value) > MAX_ENTRY_BYTES:
        raise UnreadableRecordError(f"entry is too large: bytes={len(value)}")
    try:
        body = _DECODER.decode(value)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise UnreadableRecordError(str(error)) from error
    _check_address(body.address)
    capacity = body.capacity
    return WorkerEntry(
        body.service,
        body.address,
        body.zone,
        body.state,
        Room(capacity.cpu, capacity.mem_mb, capacity.gpu),
        body.labels,
        body.remaining_ms,
        body.born,
    )


def _is_header_value(text: str) -> bool:
    return text.isascii() and text.isprintable() and " " not in text


def _check_address(address: str) -> None:
    host, _, port = address.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
        usable = port.isascii() and port.isdigit() and 0 < int(port) < 65536
    except ValueError as error:
        raise UnreadableRecordError(f"address={address} is invalid") from error
    if not usable:
        raise UnreadableRecordError(f"address={address} is invalid")
