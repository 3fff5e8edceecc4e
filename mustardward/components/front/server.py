"""Serve callers and the balancer over HTTP."""

from __future__ import annotations

import math
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from aiohttp import web

from ...helpers.instruments import REQUEST_SECONDS, REQUESTS, render
from ...helpers.logging import get_logger
from ...helpers.timer import TimerService
from ...platform import callers
from ..forwarding.answering import FailoverHandler
from .const import (
    CLOSE_IDLE_SECONDS,
    CLOSE_POLL_SECONDS,
    DEFAULT_DEADLINE_SECONDS,
    JSON_CONTENT_TYPE,
    SHUTDOWN_TIMEOUT_SECONDS,
)
from .models import Reply, Request

_LOGGER = get_logger(__name__)

BACKLOG = 512
Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


@dataclass(slots=True, eq=False)
class FrontServer:
    """Listen for callers and for questions whether this entry is ready.

    :param is_ready: whether new callers should come here.
    """

    failover: FailoverHandler
    timers: TimerService
    is_ready: Callable[[], bool]
    _runners: list[web.ServerRunner] = field(default_factory=list)
    _in_flight: int = 0
    _idle_since: float = -math.inf
    _drain_deadline: float = math.inf

    @property
    def draining(self) -> bool:
        """Return whether callers are sent elsewhere."""
        return self._drain_deadline < math.inf

    @property
    def addresses(self) -> list[str]:
        """Return what is listened on, as host and port."""
        names = [name for runner in self._runners for name in runner.addresses]
        return [f"{name[0]}:{name[1]}" for name in names]

    def drain_within(self, seconds: float) -> None:
        """Send callers elsewhere, and answer those that still come within a time."""
        self._drain_deadline = self.timers.monotonic() + seconds

    async def async_listen(self, front: str, ready: str) -> None:
        """Begin to listen on both addresses."""
        await self._async_serve(front, self._async_front)
        await self._async_serve(ready, self._async_ready)

    async def async_close(self, max_wait_seconds: float) -> None:
        """Stop listening, answer what still comes, and close all connections.

        Nothing in work says nothing of what is on its way: a request that was received
        while connections are closed ends without an answer. So an entry listens no
        more, and closes once nothing came for a while.

        :param patience: longest wait for that, in seconds.
        """
        for runner in self._runners:
            for site in list(runner.sites):
                await site.stop()
        until = self.timers.monotonic() + max_wait_seconds
        while self.timers.monotonic() < until and not self._is_idle():
            await self.timers.async_sleep(CLOSE_POLL_SECONDS)
        for runner in self._runners:
            await runner.cleanup()

    def _is_idle(self) -> bool:
        quiet = self.timers.monotonic() - self._idle_since
        return self._in_flight == 0 and quiet >= CLOSE_IDLE_SECONDS

    async def _async_serve(self, address: str, handler: Handler) -> None:
        server = web.Server(
            handler, access_log=None, keepalive_timeout=15.0, lingering_time=0.5
        )
        runner = web.ServerRunner(
            server, handle_signals=False, shutdown_timeout=SHUTDOWN_TIMEOUT_SECONDS
        )
        await runner.setup()
        self._runners.append(runner)
        host, _, port = address.rpartition(":")
        await web.TCPSite(runner, host, int(port), backlog=BACKLOG).start()

    async def _async_ready(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path != callers.READINESS_PATH:
            return web.Response(status=404)
        return web.Response(status=200 if self.is_ready() else 503)

    async def _async_front(self, request: web.BaseRequest) -> web.StreamResponse:
        self._in_flight += 1
        began = self.timers.monotonic()
        try:
            reply = await self._async_reply(request)
        finally:
            self._in_flight -= 1
            self._idle_since = self.timers.monotonic()
        REQUESTS.labels(request.method, reply.status).inc()
        seconds = self.timers.monotonic() - began
        if request.transport is None or request.transport.is_closing():
            _LOGGER.info(
                "caller_left",
                method=request.method,
                path=request.path,
                status=reply.status,
                seconds=seconds,
            )
        REQUEST_SECONDS.labels(request.method).observe(seconds)
        headers = {}
        if reply.retry_after is not None:
            headers["Retry-After"] = str(reply.retry_after)
        response = web.Response(
            status=reply.status,
            body=reply.body,
            content_type=JSON_CONTENT_TYPE,
            headers=headers,
        )
        if self.draining or reply.status in (503, 504):
            # The caller's next request then opens a connection to another entry.
            response.force_close()
        return response

    async def _async_reply(self, request: web.BaseRequest) -> Reply:
        now = self.timers.monotonic()
        config = self.failover.front.configuration.config
        most = config.limits.max_body_bytes if config else 0
        body = b""
        if request.can_read_body:
            if most and (request.content_length or 0) > most:
                detail = f"most={most}"
                return Reply(413, callers.encode_error("body-too-large", detail))
            body = await request.content.read(-1)
            if most and len(body) > most:
                detail = f"most={most}"
                return Reply(413, callers.encode_error("body-too-large", detail))
        host = request.headers.get("Host", "").lower().partition(":")[0]
        deadline = min(now + _requested_deadline_seconds(request), self._drain_deadline)
        return await self.failover.async_answer(
            Request(
                request.method,
                host,
                request.path,
                body,
                deadline,
                callers.decode_key(request.headers.get(callers.HEADER_KEY, "")),
            )
        )


async def async_serve_metrics(host: str, port: int) -> None:
    """Serve counters and histograms as text; without them if the port is taken."""

    async def async_answer(_: web.BaseRequest) -> web.StreamResponse:
        return web.Response(body=render(), content_type="text/plain")

    server = web.Server(async_answer, access_log=None)
    runner = web.ServerRunner(server, handle_signals=False, shutdown_timeout=0.1)
    await runner.setup()
    try:
        await web.TCPSite(runner, host, port).start()
    except OSError as error:
        _LOGGER.warning("metrics_not_served", port=port, detail=str(error))
        await runner.cleanup()


def _requested_deadline_seconds(request: web.BaseRequest) -> float:
    text = request.headers.get(callers.HEADER_DEADLINE_MS, "")
    try:
        return max(0.0, float(text) / 1000)
    except ValueError:
        return DEFAULT_DEADLINE_SECONDS
