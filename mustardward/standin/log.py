"""Simulate the platform's append-only log."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

import anyio
import msgspec
from anyio.abc import TaskGroup
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from ..exceptions import OffsetExpiredError
from ..helpers.timer import TimerService
from ..helpers.token_bucket import TokenBucket
from ..helpers.waiting import async_wait_for
from .common import ConnectionReset, async_with_faults, error_response
from .faults import FaultSwitch, LogFaults
from .protocol.models import LogPage
from .store import LogStore, Retention


@dataclass(frozen=True, slots=True)
class LogOptions:
    """Limits of the log.

    The rate limit is shared by all streams and callers: the platform's log accepts
    several hundred appends a second in total.
    """

    appends_per_second: float = 400.0
    burst: float = 100.0
    retention: Retention = field(default_factory=Retention)


class StandInLog:
    """Serve streams over HTTP.

    :param tasks: runs the delayed appends.
    """

    def __init__(
        self, timers: TimerService, tasks: TaskGroup, options: LogOptions
    ) -> None:
        self._timers = timers
        self._tasks = tasks
        self._options = options
        self._bucket = TokenBucket(options.burst, timers.monotonic())
        self._store = LogStore(timers, options.retention)
        self._append_events: dict[str, anyio.Event] = {}
        self._appends = 0
        self._refused = 0
        self.faults = FaultSwitch(LogFaults())

    @property
    def store(self) -> LogStore:
        """Return the store of the streams, for checks."""
        return self._store

    def counts(self) -> dict[str, int]:
        """Return the numbers of effective and of refused appends."""
        return {"appends": self._appends, "refused": self._refused}

    def routes(self) -> list[Route]:
        """Return the public routes."""
        path = "/log/streams/{stream}"
        return [
            Route(path, self._async_post, methods=["POST"]),
            Route(path, self._async_get, methods=["GET"]),
        ]

    def append(self, stream: str, payload: bytes) -> int:
        """Append without rate limit and notify waiting readers."""
        offset = self._store.append(stream, payload)
        self._appends += 1
        self._append_events.pop(stream, anyio.Event()).set()
        return offset

    async def _async_post(self, request: Request) -> Response:
        payload = await request.body()
        stream = request.path_params["stream"]

        async def run() -> Response:
            return self._append(stream, payload)

        return await async_with_faults(request, self.faults, self._timers, run)

    def _append(self, stream: str, payload: bytes) -> Response:
        if self.faults.active.refuse_appends or not self._try_take_token():
            self._refused += 1
            return error_response(429, "append-rate-exceeded")
        if self.faults.consume("late_appends"):
            self._tasks.start_soon(self._async_append_late, stream, payload)
            return ConnectionReset()
        return JSONResponse({"offset": self.append(stream, payload)}, status_code=201)

    def _try_take_token(self) -> bool:
        options = self._options
        now = self._timers.monotonic()
        self._bucket.refill(now, options.appends_per_second, options.burst)
        return self._bucket.try_take()

    async def _async_append_late(self, stream: str, payload: bytes) -> None:
        await self._timers.async_sleep(self.faults.active.late_seconds)
        self.append(stream, payload)

    async def _async_get(self, request: Request) -> Response:
        async def run() -> Response:
            return await self._async_read(request)

        return await async_with_faults(request, self.faults, self._timers, run)

    async def _async_read(self, request: Request) -> Response:
        stream = request.path_params["stream"]
        try:
            offset = int(request.query_params.get("offset", "0"))
            limit = int(request.query_params.get("limit", "1000"))
            wait_seconds = float(request.query_params.get("wait", "0"))
        except ValueError:
            return error_response(422, "query-invalid")
        try:
            page = self._store.read(stream, offset, limit)
            if not page.entries and wait_seconds > 0:
                appended = self._append_events.setdefault(stream, anyio.Event())
                await async_wait_for(appended, self._timers, wait_seconds)
                page = self._store.read(stream, offset, limit)
        except OffsetExpiredError as error:
            return error_response(410, error.code, oldest=error.oldest)
        if self.faults.active.outage:
            return error_response(503, "outage")
        return Response(_encode(page), media_type="application/msgpack")


def _encode(page: LogPage) -> bytes:
    body: dict[str, Any] = {
        "entries": [[entry.offset, entry.payload] for entry in page.entries],
        "oldest": page.oldest,
        "tail": page.tail,
    }
    return msgspec.msgpack.encode(body)
