"""Serve requests whose organisation is known."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from anyio.abc import TaskGroup
from returns.result import Result

from ...exceptions import MustardwardError
from ...helpers.logging import get_logger
from ...helpers.timer import TimerService
from .dependencies import EntryDependencies
from .models import RequestFacts, RequestRefusal
from .protocols import OutgoingRequest, WorkerResponse
from .request_handler import HandlerContext, RequestHandler

_LOGGER = get_logger(__name__)


class EntryService:
    """Serve requests, from callers and from other entries.

    :param tasks: the group that makes outcomes durable after the answer.
    """

    def __init__(
        self, parts: EntryDependencies, timers: TimerService, tasks: TaskGroup
    ) -> None:
        self._host = HandlerContext(parts, timers, self._in_background, self._ended)
        self._tasks = tasks
        self._closing = 0
        self._in_progress = 0

    @property
    def unfinished(self) -> int:
        """Return how many requests are in progress or not yet durable."""
        return self._in_progress + self._closing

    def start(self, facts: RequestFacts, request: OutgoingRequest) -> RequestHandler:
        """Return the serving of one request, which has to be run."""
        self._in_progress += 1
        return RequestHandler(self._host, facts, request)

    async def async_serve(
        self, facts: RequestFacts, request: OutgoingRequest
    ) -> Result[WorkerResponse, RequestRefusal]:
        """Return a worker's answer, or the refusal that ends the request.

        Whoever takes the answer reads its body to the end or closes it with
        ``response.async_close_response``; until then its places are held.
        """
        return await self.start(facts, request).async_run()

    def _ended(self) -> None:
        self._in_progress -= 1

    def _in_background(self, function: Callable[[], Awaitable[None]]) -> None:
        self._closing += 1
        self._tasks.start_soon(self._async_run, function)

    async def _async_run(self, function: Callable[[], Awaitable[None]]) -> None:
        # An error here would end the group that carries the whole process.
        try:
            await function()
        except MustardwardError as error:
            _LOGGER.warning("outcome_not_durable", error=error.code)
        finally:
            self._closing -= 1
