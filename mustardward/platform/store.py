"""Call the platform's store: append, read, and list the newest record of each key."""

from __future__ import annotations

import base64
import struct
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final, TypeVar

import msgspec

from ..helpers.http_connection import HttpResponse
from ..helpers.unreadable_records import report_unreadable_record
from . import names
from .bodies import (
    AppendedBody,
    AppendRefusedBody,
    GoneBody,
    ItemKey,
    NewestBody,
    NewestItem,
)
from .exceptions import (
    RECORD_ERRORS,
    CallRefusedError,
    CallRejectedError,
    CallUnknownError,
    FencedError,
    OffsetGoneError,
    SequenceError,
    UnreadableRecordError,
)
from .http import Caller, base_url
from .pages import decode_page

TOPIC_OPERATOR: Final = "keyed.op"
TOPIC_WORKERS: Final = "keyed.servers"
TOPIC_STATUS: Final = "keyed.status"
KEYED_PREFIX: Final = "keyed."
KEY_CONFIG: Final = "config"
KEY_WAVE_PREFIX: Final = "wave/"

T = TypeVar("T")

_LENGTH: Final = struct.Struct(">I")
_HEAD: Final = struct.Struct(">QQ")
CALL_TIMEOUT_SECONDS: Final = 0.7
"""A response takes about 6 ms, so a store that is 60 times slower still responds in
time. A call sent during an outage can block its caller for this long after the outage
has ended."""

LONG_POLL_SLACK_SECONDS: Final = 0.5
"""Timeout of a long poll, in addition to the requested wait."""

LARGE_RESPONSE_SECONDS: Final = 5.0
"""Additional timeout for large responses: a page of 1 MB takes 2 s over a shared link
of 10 Mbit/s. The read timeout ends a stalled connection much earlier."""

READ_KILOBYTES: Final = 264
"""Maximum size of one read, so that other responses share a slow link. It holds the
largest record of ``DEFAULT_RECORD_BYTES`` in kilobytes of 1,000 bytes."""


REJECTED_STATUSES: Final = frozenset((400, 413, 414, 422))
"""Statuses of the response to a call that will never be accepted as it is."""


@dataclass(frozen=True, slots=True)
class KeyedRecord:
    """Record of a keyed topic; an empty value removes the key."""

    offset: int
    key: str
    value: bytes


@dataclass(frozen=True, slots=True)
class Page:
    """Records of one read, the offset of the next read, and the log's end."""

    records: list[KeyedRecord]
    next_offset: int
    end: int


@dataclass(frozen=True, slots=True)
class NewestPage:
    """Page of the newest record of each key.

    :param last_key: last key of the page, including undecodable records.
    """

    records: list[KeyedRecord]
    more: bool
    end: int
    last_key: str = ""

    @property
    def after(self) -> str:
        """Return the key after which the next page starts, or an empty string."""
        return self.last_key or (self.records[-1].key if self.records else "")


@dataclass(frozen=True, slots=True)
class Producer:
    """Identify an append: its producer, the producer's epoch and a sequence number."""

    name: str
    epoch: int
    sequence: int


def encode_keyed(records: Iterable[tuple[str, bytes]]) -> bytes:
    """Return the request body of an append to a keyed topic."""
    parts: list[bytes] = []
    for key, value in records:
        name = key.encode()
        parts.append(_LENGTH.pack(1 + len(name) + len(value)))
        parts.append(bytes((len(name),)))
        parts.append(name)
        parts.append(value)
    return b"".join(parts)


def decode_keyed(body: bytes, first_offset: int) -> Page:
    """Return the page in the response body of a read."""
    end, first = _HEAD.unpack_from(body, 0)
    offset = max(first_offset, first)
    position = _HEAD.size
    records: list[KeyedRecord] = []
    while position + _LENGTH.size <= len(body):
        (length,) = _LENGTH.unpack_from(body, position)
        position += _LENGTH.size
        if position + length > len(body):
            # The response is truncated: the next read starts at this record.
            break
        record = _decode_record(offset, body[position : position + length])
        if record is not None:
            records.append(record)
        position += length
        offset += 1
    return Page(records, offset, end)


def _decode_record(offset: int, content: bytes) -> KeyedRecord | None:
    """Return a record, or None if its key can't be decoded.

    Such a record is skipped: failing its whole page would repeat the read from the
    same offset forever.
    """
    name_end = 1 + (content[0] if content else 0)
    try:
        if not content or name_end > len(content):
            raise UnreadableRecordError("key is truncated")
        key = content[1:name_end].decode()
    except (UnicodeDecodeError, UnreadableRecordError) as error:
        report_unreadable_record("key", f"offset={offset}", str(error))
        return None
    return KeyedRecord(offset, key, content[name_end:])


def _decode_item(raw: msgspec.Raw) -> KeyedRecord | None:
    """Return an item of a newest page as a record, or None if it can't be decoded."""
    try:
        item = msgspec.json.decode(raw, type=NewestItem)
        value = base64.b64decode(item.value, validate=True)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        report_unreadable_record("item", "", str(error))
        return None
    return KeyedRecord(item.offset, item.key, value)


def _decode_item_key(raw: msgspec.Raw) -> str:
    """Return an item's key even if the rest is invalid, or an empty string."""
    try:
        return msgspec.json.decode(raw, type=ItemKey).key
    except (msgspec.MsgspecError, ValueError, RecursionError):
        return ""


class StoreClient:
    """Client of the store.

    :param http: makes the HTTP calls.
    :param address: the store's ``host:port``.
    """

    def __init__(self, http: Caller, address: str) -> None:
        self._http = http
        self._base = base_url(address)

    async def async_append(
        self,
        topic: str,
        records: Iterable[tuple[str, bytes]],
        producer: Producer | None = None,
        timeout_seconds: float = CALL_TIMEOUT_SECONDS,
    ) -> int:
        """Append keyed records, all or none, and return the log's new end.

        :raises CallRejectedError: if the store will never accept these records.
        :raises CallRefusedError: if nothing was appended.
        :raises CallUnknownError: if the records may have been appended.
        :raises FencedError: if the store has seen a higher epoch of this producer.
        :raises SequenceError: if the sequence number is not the expected one.
        """
        params = {names.PARAM_TOPIC: topic, names.PARAM_PART: "0"}
        if producer is not None:
            params[names.PARAM_PRODUCER] = producer.name
            params[names.PARAM_EPOCH] = str(producer.epoch)
            params[names.PARAM_SEQUENCE] = str(producer.sequence)
        response = await self._http.async_call(
            "POST",
            self._base + names.LOG_APPEND,
            params=params,
            body=encode_keyed(records),
            timeout_seconds=timeout_seconds,
        )
        if response.status == 200:
            return _decode(response, AppendedBody).end
        if response.status == 409:
            raise _decode_append_error(response)
        if response.status in REJECTED_STATUSES:
            raise CallRejectedError(f"status={response.status}")
        raise CallRefusedError(f"status={response.status}")

    async def async_read(
        self,
        topic: str,
        from_offset: int,
        wait_ms: int,
        kilobytes: int = READ_KILOBYTES,
        slack_seconds: float = LONG_POLL_SLACK_SECONDS,
    ) -> Page:
        """Return the records from an offset on; wait for the first one if needed.

        :param slack_seconds: timeout of the response, in addition to the wait.

        :raises OffsetGoneError: if records at this offset were deleted.
        :raises CallRefusedError: if the store returned no records response.
        """
        response = await self._async_get(
            names.LOG_READ,
            {
                names.PARAM_TOPIC: topic,
                names.PARAM_PART: "0",
                names.PARAM_FROM: str(from_offset),
                names.PARAM_WAIT: str(wait_ms),
                names.PARAM_KILOBYTES: str(kilobytes),
            },
            wait_ms / 1000 + slack_seconds,
        )
        if response.status == 410:
            raise OffsetGoneError(_decode(response, GoneBody).first)
        if response.status != 200 or len(response.body) < _HEAD.size:
            raise CallRefusedError(f"status={response.status}")
        return decode_keyed(response.body, from_offset)

    async def async_is_reachable(
        self, timeout_seconds: float = LONG_POLL_SLACK_SECONDS
    ) -> bool:
        """Return whether the store responds to a read without waiting."""
        try:
            page = await self.async_read(
                TOPIC_OPERATOR, 0, 0, kilobytes=1, slack_seconds=timeout_seconds
            )
        except OffsetGoneError:
            return True
        except (CallRefusedError, CallUnknownError):
            return False
        return page.end >= 0

    async def async_read_newest(self, topic: str, after: str = "") -> NewestPage:
        """Return a page of the newest record of each key.

        :param after: key after which the page starts; empty for the first page.
        :raises CallRefusedError: if the store returned no records response.
        """
        params = {names.PARAM_TOPIC: topic, names.PARAM_PART: "0"}
        if after:
            params[names.PARAM_AFTER] = after
        response = await self._async_get(names.LOG_NEWEST, params, CALL_TIMEOUT_SECONDS)
        if response.status != 200:
            raise CallRefusedError(f"status={response.status}")
        try:
            newest = decode_page(response.body, NewestBody, "items")
        except RECORD_ERRORS as error:
            raise CallRefusedError(str(error)) from error
        decoded = [_decode_item(raw) for raw in newest.items]
        records = [record for record in decoded if record is not None]
        last_key = next(filter(None, map(_decode_item_key, reversed(newest.items))), "")
        return NewestPage(records, newest.more_pages, newest.end, last_key)

    async def _async_get(
        self, call: str, params: dict[str, str], read_timeout_seconds: float
    ) -> HttpResponse:
        """Read a possibly large response, for as long as bytes keep arriving."""
        try:
            return await self._http.async_call(
                "GET",
                self._base + call,
                params=params,
                timeout_seconds=read_timeout_seconds + LARGE_RESPONSE_SECONDS,
                read_timeout_seconds=read_timeout_seconds,
            )
        except CallUnknownError as error:
            # A read has no effect, so a lost response equals a rejected call.
            raise CallRefusedError(str(error)) from error


def _decode_append_error(response: HttpResponse) -> Exception:
    refusal = _decode(response, AppendRefusedBody)
    if refusal.reason == names.REASON_FENCED:
        return FencedError("append")
    return SequenceError(refusal.seq)


def _decode(response: HttpResponse, kind: type[T]) -> T:
    try:
        return msgspec.json.decode(response.body, type=kind)
    except RECORD_ERRORS as error:
        raise CallUnknownError(str(error)) from error
