"""Detect a log that lost entries which this node has already applied."""

from __future__ import annotations

from typing import Any

from ..exceptions import LogGapError
from ..helpers.logging import get_logger
from ..standin.protocol.models import LogPage
from ..standin.protocol.protocols import LogService
from .replica import Replica

_LOGGER = get_logger(__name__)


class LogRewrittenError(LogGapError):
    """Report that the log has, or may have, different entries at applied offsets."""

    code = "log-rewritten"


class Continuity:
    """Verify that the log continues from the applied entries.

    A log that was restored from an old copy is behind its readers and assigns the same
    offsets to other records as it grows. A reader that only waits for it to catch up
    would keep the lost entries and miss those that replaced them.

    :param replica: the local state and its latest entries.
    :param service: the platform's log.
    :param stream: the stream that is read.
    """

    def __init__(self, replica: Replica[Any], service: LogService, stream: str) -> None:
        self._replica = replica
        self._service = service
        self._stream = stream
        self._needs_comparison = False

    async def async_check(self, offset: int) -> None:
        """Compare the last applied entry with the log's, if the log was behind.

        :raises LogRewrittenError: if they differ or can't be compared.
        """
        if not self._needs_comparison:
            return
        page = await self._service.async_read(self._stream, offset - 1, 1, 0.0)
        if page.tail < offset:
            raise LogRewrittenError(f"wanted={offset} tail={page.tail}")
        payloads = [item.payload for item in page.entries if item.offset == offset - 1]
        if payloads != [self._replica.recent.payload(offset - 1)]:
            raise LogRewrittenError(f"offset={offset - 1} differs")
        self._needs_comparison = False
        _LOGGER.info("log_continuous", stream=self._stream, offset=offset)

    def check_page(self, page: LogPage, offset: int) -> None:
        """Check that a page read at ``offset`` continues the applied entries.

        :raises LogRewrittenError: if the log's tail is behind ``offset``.
        :raises LogGapError: if the entry at ``offset`` is missing.
        """
        if page.tail < offset:
            self._needs_comparison = True
            raise LogRewrittenError(f"wanted={offset} tail={page.tail}")
        if not page.entries and page.tail > offset:
            raise LogGapError(f"wanted={offset} tail={page.tail} empty")
