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
    """Serve requests from callers and from other entries.

    :param tasks: the task group that makes outcomes durable after the response.
    """

    def __init__(
        self, dependencies: EntryDependencies, timers: TimerService, tasks: TaskGroup
    ) -> None:
        self._context = HandlerContext(
            dependencies, timers, self._run_in_background, self._record_end
        )
        self._tasks = tasks
        self._pending_close_count = 0
        self._in_progress = 0

    @property
    def unfinished(self) -> int:
        """Return the number of requests in progress or not yet durable."""
        return self._in_progress + self._pending_close_count

    def start_request(
        self, facts: RequestFacts, request: OutgoingRequest
    ) -> RequestHandler:
        """Count a request as in progress and return its handler, which must be run."""
        self._in_progress += 1
        return RequestHandler(self._context, facts, request)

    async def async_serve(
        self, facts: RequestFacts, request: OutgoingRequest
    ) -> Result[WorkerResponse, RequestRefusal]:
        """Return a worker's response, or the refusal that ends the request.

        The receiver must read the response's body to its end or close it with
        ``response.async_close_response``; until then its permit stays in use.
        """
        return await self.start_request(facts, request).async_run()

    def _record_end(self) -> None:
        self._in_progress -= 1

    def _run_in_background(self, function: Callable[[], Awaitable[None]]) -> None:
        self._pending_close_count += 1
        self._tasks.start_soon(self._async_run, function)

    async def _async_run(self, function: Callable[[], Awaitable[None]]) -> None:
        # An uncaught error would cancel the process's task group.
        try:
            await function()
        except MustardwardError as error:
            _LOGGER.warning("outcome_not_durable", error=error.code)
        finally:
            self._pending_close_count -= 1
