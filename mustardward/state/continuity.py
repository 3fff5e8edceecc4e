"""Notice a log that lost entries which were folded here already."""

from __future__ import annotations

from typing import Any

from ..exceptions import LogGapError
from ..helpers.logging import get_logger
from ..standin.protocol.models import LogPage
from ..standin.protocol.protocols import LogService
from .replica import Replica

_LOGGER = get_logger(__name__)


class LogRewrittenError(LogGapError):
    """Report that the log holds, or may hold, other entries at folded offsets."""

    code = "log-rewritten"


class Continuity:
    """Make sure that the log goes on from what was folded.

    A log that is restored from an old copy stands behind its readers, and gives the
    same offsets to other records once it grows. A reader that simply waits for it to
    catch up would keep what the log lost and miss what took its place.

    :param replica: what was folded.
    :param service: the platform's log.
    :param stream: the stream that is read.
    """

    def __init__(self, replica: Replica[Any], service: LogService, stream: str) -> None:
        self._replica = replica
        self._service = service
        self._stream = stream
        self._suspect = False

    async def async_check(self, offset: int) -> None:
        """Compare the last folded entry with the log's, if the log was ever behind.

        :raises LogRewrittenError: if it is another one, or can't be compared.
        """
        if not self._suspect:
            return
        page = await self._service.async_read(self._stream, offset - 1, 1, 0.0)
        if page.tail < offset:
            raise LogRewrittenError(f"wanted={offset} tail={page.tail}")
        payloads = [item.payload for item in page.entries if item.offset == offset - 1]
        if payloads != [self._replica.recent.payload(offset - 1)]:
            raise LogRewrittenError(f"offset={offset - 1} differs")
        self._suspect = False
        _LOGGER.info("log_continuous", stream=self._stream, offset=offset)

    def check_page(self, page: LogPage, offset: int) -> None:
        """Check that a log that was asked for ``offset`` still stands where it stood.

        :raises LogRewrittenError: if its tail is behind.
        :raises LogGapError: if the wanted entry was skipped.
        """
        if page.tail < offset:
            self._suspect = True
            raise LogRewrittenError(f"wanted={offset} tail={page.tail}")
        if not page.entries and page.tail > offset:
            raise LogGapError(f"wanted={offset} tail={page.tail} empty")
