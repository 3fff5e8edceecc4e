"""Call the platform's log."""

from __future__ import annotations

from typing import Any

import msgspec

from ...exceptions import (
    AppendRateError,
    OffsetExpiredError,
    PlatformOutcomeUnknownError,
    PlatformUnavailableError,
)
from .http import PlatformHttp, refused
from .models import LogEntry, LogPage


class _Page(msgspec.Struct, frozen=True):
    """Hold a page as the log sends it."""

    entries: list[tuple[int, bytes]]
    oldest: int
    tail: int


class _Appended(msgspec.Struct, frozen=True):
    """Hold the answer to an append."""

    offset: int


class _Expired(msgspec.Struct, frozen=True):
    """Hold the refusal of an offset that was dropped."""

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

        :raises AppendRateError: if the rate limit was reached; nothing was appended.
        """
        answer = await self._http.async_send(
            "POST", f"/log/streams/{stream}", content=payload
        )
        if answer.status_code == 429:
            raise AppendRateError(f"stream={stream}")
        if answer.status_code != 201:
            raise refused(answer)
        try:
            appended: _Appended = _APPENDED_DECODER.decode(answer.content)
        except msgspec.MsgspecError as error:
            raise PlatformOutcomeUnknownError(str(error)) from error
        return appended.offset

    async def async_read(
        self, stream: str, offset: int, limit: int, wait_seconds: float
    ) -> LogPage:
        """Return entries from ``offset`` on, waiting for a first one if at the tail.

        :raises OffsetExpiredError: if ``offset`` is older than retention.
        """
        answer = await self._http.async_read(
            f"/log/streams/{stream}",
            wait_seconds,
            offset=offset,
            limit=limit,
            wait=wait_seconds,
        )
        try:
            if answer.status_code == 410:
                expired: _Expired = _EXPIRED_DECODER.decode(answer.content)
                raise OffsetExpiredError(expired.oldest)
            if answer.status_code != 200:
                raise refused(answer)
            page: _Page = _PAGE_DECODER.decode(answer.content)
        except msgspec.MsgspecError as error:
            raise PlatformUnavailableError(str(error)) from error
        entries = tuple(LogEntry(number, payload) for number, payload in page.entries)
        return LogPage(entries, page.oldest, page.tail)
