"""Call the platform's store: appends, reads, and the newest record of each key."""

from __future__ import annotations

import base64
import struct
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final, TypeVar

import msgspec

from ..helpers.http_connection import HttpResponse
from ..helpers.unreadable import report_unreadable_record
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
    CallRefusedError,
    CallUnknownError,
    FencedError,
    OffsetGoneError,
    SequenceError,
    UnreadableRecordError,
)
from .http import Caller, base_url

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
"""An answer takes some 6 ms; a store that is 60 times slower still answers. A call that
was sent into an outage hangs so long after it."""

LONG_POLL_SLACK_SECONDS: Final = 0.5
"""The same, beyond the time that the store was asked to wait."""

LARGE_ANSWER_SECONDS: Final = 5.0
"""Added where an answer may hold much: a page of 1 MB takes 2 s over a link of
10 Mbit/s that others use too. A silent connection is given up long before."""

READ_KILOBYTES: Final = 256
"""Most of one read of the tail, so that a narrow link carries other answers between."""


@dataclass(frozen=True, slots=True)
class KeyedRecord:
    """Hold one record of a keyed topic; an empty value removes the key."""

    offset: int
    key: str
    value: bytes


@dataclass(frozen=True, slots=True)
class Page:
    """Hold the records of one read, and where reading goes on."""

    records: list[KeyedRecord]
    next_offset: int
    end: int


@dataclass(frozen=True, slots=True)
class NewestPage:
    """Hold one page of the newest record of each key.

    :param last_key: the last key, where its record could not be read.
    """

    records: list[KeyedRecord]
    more: bool
    end: int
    last_key: str = ""

    @property
    def after(self) -> str:
        """Return the key that the next page begins behind, or nothing."""
        return self.last_key or (self.records[-1].key if self.records else "")


@dataclass(frozen=True, slots=True)
class Producer:
    """Name who appends, under which epoch, and the append's number."""

    name: str
    epoch: int
    sequence: int


def encode_keyed(records: Iterable[tuple[str, bytes]]) -> bytes:
    """Return the body of an append to a keyed topic."""
    parts: list[bytes] = []
    for key, value in records:
        name = key.encode()
        parts.append(_LENGTH.pack(1 + len(name) + len(value)))
        parts.append(bytes((len(name),)))
        parts.append(name)
        parts.append(value)
    return b"".join(parts)


def decode_keyed(body: bytes, first_offset: int) -> Page:
    """Return the records of a read's body."""
    end, first = _HEAD.unpack_from(body, 0)
    offset = max(first_offset, first)
    position = _HEAD.size
    records: list[KeyedRecord] = []
    while position + _LENGTH.size <= len(body):
        (length,) = _LENGTH.unpack_from(body, position)
        position += _LENGTH.size
        if position + length > len(body):
            # The answer was cut off: the rest is read again from here.
            break
        record = _decode_record(offset, body[position : position + length])
        if record is not None:
            records.append(record)
        position += length
        offset += 1
    return Page(records, offset, end)


def _decode_record(offset: int, content: bytes) -> KeyedRecord | None:
    """Return a record, or None if its key can't be read: it names nothing then.

    One such record must not spoil the others of its page: the tail would be read from
    the same offset for ever.
    """
    name_end = 1 + (content[0] if content else 0)
    try:
        if not content or name_end > len(content):
            raise UnreadableRecordError("key is cut off")
        key = content[1:name_end].decode()
    except (UnicodeDecodeError, UnreadableRecordError) as error:
        report_unreadable_record("key", f"offset={offset}", str(error))
        return None
    return KeyedRecord(offset, key, content[name_end:])


def _decode_item(raw: msgspec.Raw) -> KeyedRecord | None:
    """Return a record of a page of newest ones, or None if it can't be read."""
    try:
        item = msgspec.json.decode(raw, type=NewestItem)
        value = base64.b64decode(item.value, validate=True)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        report_unreadable_record("item", "", str(error))
        return None
    return KeyedRecord(item.offset, item.key, value)


def _key_of(raw: msgspec.Raw) -> str:
    """Return the key of an item that may be unreadable otherwise, or nothing."""
    try:
        return msgspec.json.decode(raw, type=ItemKey).key
    except (msgspec.MsgspecError, ValueError, RecursionError):
        return ""


class StoreClient:
    """Call the store.

    :param http: carries the calls.
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

        :raises CallRefusedError: if nothing was appended.
        :raises CallUnknownError: if that is not known.
        :raises FencedError: if a higher epoch of this producer was seen.
        :raises SequenceError: if the number does not follow the producer's last.
        """
        params = {names.PARAM_TOPIC: topic, names.PARAM_PART: "0"}
        if producer is not None:
            params[names.PARAM_PRODUCER] = producer.name
            params[names.PARAM_EPOCH] = str(producer.epoch)
            params[names.PARAM_SEQUENCE] = str(producer.sequence)
        answer = await self._http.async_call(
            "POST",
            self._base + names.LOG_APPEND,
            params=params,
            body=encode_keyed(records),
            timeout_seconds=timeout_seconds,
        )
        if answer.status == 200:
            return _decode(answer, AppendedBody).end
        if answer.status == 409:
            raise _append_refusal(answer)
        raise CallRefusedError(f"status={answer.status}")

    async def async_read(
        self,
        topic: str,
        from_offset: int,
        wait_ms: int,
        kilobytes: int = READ_KILOBYTES,
    ) -> Page:
        """Return the records from an offset on, waiting for the first.

        :raises OffsetGoneError: if records from there on were deleted.
        :raises CallRefusedError: if the store did not answer with records.
        """
        answer = await self._async_get(
            names.LOG_READ,
            {
                names.PARAM_TOPIC: topic,
                names.PARAM_PART: "0",
                names.PARAM_FROM: str(from_offset),
                names.PARAM_WAIT: str(wait_ms),
                names.PARAM_KILOBYTES: str(kilobytes),
            },
            wait_ms / 1000 + LONG_POLL_SLACK_SECONDS,
        )
        if answer.status == 410:
            raise OffsetGoneError(_decode(answer, GoneBody).first)
        if answer.status != 200 or len(answer.body) < _HEAD.size:
            raise CallRefusedError(f"status={answer.status}")
        return decode_keyed(answer.body, from_offset)

    async def async_is_reachable(self) -> bool:
        """Return whether the store answers reads at once."""
        try:
            page = await self.async_read(TOPIC_OPERATOR, 0, 0, kilobytes=1)
        except OffsetGoneError:
            return True
        except (CallRefusedError, CallUnknownError):
            return False
        return page.end >= 0

    async def async_read_newest(self, topic: str, after: str = "") -> NewestPage:
        """Return a page of the newest record of each key.

        :raises CallRefusedError: if the store did not answer with records.
        """
        params = {names.PARAM_TOPIC: topic, names.PARAM_PART: "0"}
        if after:
            params[names.PARAM_AFTER] = after
        answer = await self._async_get(names.LOG_NEWEST, params, CALL_TIMEOUT_SECONDS)
        if answer.status != 200:
            raise CallRefusedError(f"status={answer.status}")
        newest = _decode(answer, NewestBody)
        found = [_decode_item(raw) for raw in newest.items]
        records = [record for record in found if record is not None]
        last_key = next(filter(None, map(_key_of, reversed(newest.items))), "")
        return NewestPage(records, newest.more_pages, newest.end, last_key)

    async def _async_get(
        self, call: str, params: dict[str, str], read_timeout_seconds: float
    ) -> HttpResponse:
        """Read what may be large, for as long as bytes of it come."""
        try:
            return await self._http.async_call(
                "GET",
                self._base + call,
                params=params,
                timeout_seconds=read_timeout_seconds + LARGE_ANSWER_SECONDS,
                read_timeout_seconds=read_timeout_seconds,
            )
        except CallUnknownError as error:
            # A read has no effect, so a lost answer is as good as a refusal.
            raise CallRefusedError(str(error)) from error


def _append_refusal(answer: HttpResponse) -> Exception:
    refusal = _decode(answer, AppendRefusedBody)
    if refusal.reason == names.REASON_FENCED:
        return FencedError("append")
    return SequenceError(refusal.seq)


def _decode(answer: HttpResponse, kind: type[T]) -> T:
    try:
        return msgspec.json.decode(answer.body, type=kind)
    except msgspec.MsgspecError as error:
        raise CallUnknownError(str(error)) from error
