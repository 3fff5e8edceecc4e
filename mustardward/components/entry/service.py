"""Serve requests: admit, open intents, choose workers, try and try again."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from anyio.abc import TaskGroup
from returns.result import Result

from ...helpers.timer import TimerService
from .models import RequestFacts, RequestRefusal
from .parts import EntryParts
from .protocols import OutgoingRequest, WorkerAnswer
from .serving import Serving


class EntryService:
    """Serve requests whose organisation is known.

    :param tasks: the group that makes outcomes durable after the answer.
    """

    def __init__(
        self, parts: EntryParts, timers: TimerService, tasks: TaskGroup
    ) -> None:
        self._parts = parts
        self._timers = timers
        self._tasks = tasks
        self._closing = 0

    @property
    def closing(self) -> int:
        """Return how many outcomes are still being made durable."""
        return self._closing

    def start(self, facts: RequestFacts, request: OutgoingRequest) -> Serving:
        """Return the serving of one request, not yet begun."""
        return Serving(self._parts, self._timers, self._in_background, facts, request)

    async def async_serve(
        self, facts: RequestFacts, request: OutgoingRequest
    ) -> Result[WorkerAnswer, RequestRefusal]:
        """Return a worker's answer, or the refusal that ends the request."""
        return await self.start(facts, request).async_run()

    def _in_background(self, function: Callable[[], Awaitable[None]]) -> None:
        self._closing += 1
        self._tasks.start_soon(self._async_run, function)

    async def _async_run(self, function: Callable[[], Awaitable[None]]) -> None:
        try:
            await function()
        finally:
            self._closing -= 1
