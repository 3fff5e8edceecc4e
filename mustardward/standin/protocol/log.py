"""Client of the platform's log."""

from __future__ import annotations

from typing import Any

import msgspec

from ...exceptions import (
    AppendRateError,
    OffsetExpiredError,
    PlatformOutcomeUnknownError,
    PlatformUnavailableError,
)
from .http import PlatformHttp, build_refusal_error
from .models import LogEntry, LogPage


class _Page(msgspec.Struct, frozen=True):
    """Wire format of a page of entries."""

    entries: list[tuple[int, bytes]]
    oldest: int
    tail: int


class _Appended(msgspec.Struct, frozen=True):
    """Wire format of the response to an append."""

    offset: int


class _Expired(msgspec.Struct, frozen=True):
    """Wire format of the refusal of an expired offset."""

    oldest: int


_PAGE_DECODER: Any = msgspec.msgpack.Decoder(_Page)
_APPENDED_DECODER: Any = msgspec.json.Decoder(_Appended)
_EXPIRED_DECODER: Any = msgspec.json.Decoder(_Expired)


class HttpLogService:
    """Append to and read from streams over HTTP."""

    def __init__(self, http: PlatformHttp) -> None:
        self._http = http

    async def async_append(self, stream: str, payload: bytes) -> int:
        """Append one entry and return its offset.

        :raises AppendRateError: if the rate limit was exceeded; nothing was appended.
        """
        response = await self._http.async_send(
            "POST", f"/log/streams/{stream}", content=payload
        )
        if response.status_code == 429:
            raise AppendRateError(f"stream={stream}")
        if response.status_code != 201:
            raise build_refusal_error(response)
        try:
            appended: _Appended = _APPENDED_DECODER.decode(response.content)
        except msgspec.MsgspecError as error:
            raise PlatformOutcomeUnknownError(str(error)) from error
        return appended.offset

    async def async_read(
        self, stream: str, offset: int, limit: int, wait_seconds: float
    ) -> LogPage:
        """Return entries from ``offset`` on; at the tail, wait for the next one.

        :raises OffsetExpiredError: if ``offset`` is older than the retention.
        """
        response = await self._http.async_read(
            f"/log/streams/{stream}",
            wait_seconds,
            offset=offset,
            limit=limit,
            wait=wait_seconds,
        )
        try:
            if response.status_code == 410:
                expired: _Expired = _EXPIRED_DECODER.decode(response.content)
                raise OffsetExpiredError(expired.oldest)
            if response.status_code != 200:
                raise build_refusal_error(response)
            page: _Page = _PAGE_DECODER.decode(response.content)
        except msgspec.MsgspecError as error:
            raise PlatformUnavailableError(str(error)) from error
        entries = tuple(LogEntry(number, payload) for number, payload in page.entries)
        return LogPage(entries, page.oldest, page.tail)
