"""Serve callers and the load balancer over HTTP."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field

from aiohttp import web

from ...helpers.instruments import REQUEST_SECONDS, REQUESTS, render
from ...helpers.logging import get_logger
from ...helpers.timer import TimerService
from ...platform import callers
from ...platform.models import CallerLimits
from ..forwarding.failover import FailoverHandler
from .body import (
    BodyTimeoutError,
    BodyTooLargeError,
    async_read_body,
    body_timeout_seconds,
)
from .connections import ConnectionTable, build_connections
from .const import (
    CLOSE_IDLE_SECONDS,
    CLOSE_POLL_SECONDS,
    DEFAULT_DEADLINE_SECONDS,
    JSON_CONTENT_TYPE,
    KEEP_ALIVE_SECONDS,
    SHUTDOWN_TIMEOUT_SECONDS,
)
from .http_server import Handler, LimitedServer, site_of
from .models import Reply, Request, error_reply

_LOGGER = get_logger(__name__)


@dataclass(slots=True, eq=False)
class FrontServer:
    """Listen for callers and for the load balancer's readiness checks.

    :param is_ready: returns whether new callers should be sent to this entry node.
    :param connections: connections to all listeners of this process.
    """

    failover: FailoverHandler
    timers: TimerService
    is_ready: Callable[[], bool]
    connections: ConnectionTable = field(default_factory=build_connections)
    _runners: list[web.ServerRunner] = field(default_factory=list)
    _in_flight: int = 0
    _idle_since: float = -math.inf
    _drain_deadline: float = math.inf

    @property
    def draining(self) -> bool:
        """Return whether callers are being moved to other entry nodes."""
        return self._drain_deadline < math.inf

    @property
    def addresses(self) -> list[str]:
        """Return the listening addresses, as host and port."""
        names = [name for runner in self._runners for name in runner.addresses]
        return [f"{name[0]}:{name[1]}" for name in names]

    def drain_within(self, seconds: float) -> None:
        """Start draining; answer requests that still arrive within ``seconds``."""
        self._drain_deadline = self.timers.monotonic() + seconds

    async def async_listen(self, front: str, ready: str) -> None:
        """Start listening for callers (``front``) and readiness checks (``ready``)."""
        await self._async_serve(front, self._async_front)
        await self._async_serve(ready, self._async_ready)

    async def async_close(self, max_wait_seconds: float) -> None:
        """Stop listening, answer requests that still arrive, and close all connections.

        Requests may be on their way even if none is in flight, and one that arrives
        while connections are being closed would go unanswered. Connections are
        therefore closed only after a time without requests.

        :param max_wait_seconds: maximum wait for that.
        """
        for runner in self._runners:
            for site in list(runner.sites):
                await site.stop()
        deadline = self.timers.monotonic() + max_wait_seconds
        while self.timers.monotonic() < deadline and not self._is_idle():
            await self.timers.async_sleep(CLOSE_POLL_SECONDS)
        for runner in self._runners:
            await runner.cleanup()

    def _is_idle(self) -> bool:
        idle_seconds = self.timers.monotonic() - self._idle_since
        return self._in_flight == 0 and idle_seconds >= CLOSE_IDLE_SECONDS

    async def _async_serve(self, address: str, handler: Handler) -> None:
        server = LimitedServer(
            handler,
            self.connections,
            self._caller_limits,
            keepalive_timeout=KEEP_ALIVE_SECONDS,
            lingering_time=0.5,
        )
        runner = web.ServerRunner(
            server, handle_signals=False, shutdown_timeout=SHUTDOWN_TIMEOUT_SECONDS
        )
        await runner.setup()
        self._runners.append(runner)
        host, _, port = address.rpartition(":")
        await site_of(runner, host, int(port), self.connections).start()

    async def _async_ready(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path != callers.READINESS_PATH:
            return web.Response(status=404)
        return web.Response(status=200 if self.is_ready() else 503)

    async def _async_front(self, request: web.BaseRequest) -> web.StreamResponse:
        self._in_flight += 1
        started = self.timers.monotonic()
        try:
            reply = await self._async_reply(request)
        finally:
            self._in_flight -= 1
            self._idle_since = self.timers.monotonic()
        REQUESTS.labels(request.method, reply.status).inc()
        seconds = self.timers.monotonic() - started
        if request.transport is None or request.transport.is_closing():
            _LOGGER.info(
                "caller_disconnected",
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
            # The caller's next request then opens a connection to another entry node.
            response.force_close()
        return response

    async def _async_reply(self, request: web.BaseRequest) -> Reply:
        now = self.timers.monotonic()
        limits = self._caller_limits()
        try:
            body = await async_read_body(
                request,
                limits.max_body_bytes,
                body_timeout_seconds(limits.max_body_bytes),
            )
        except BodyTooLargeError as error:
            return self._body_too_large_reply(request, error)
        except BodyTimeoutError as error:
            return error_reply(408, error.code, error.detail)
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

    def _caller_limits(self) -> CallerLimits:
        config = self.failover.front.configuration.config
        return config.limits if config is not None else CallerLimits()

    def _body_too_large_reply(
        self, request: web.BaseRequest, error: BodyTooLargeError
    ) -> Reply:
        front = self.failover.front
        if front.configuration.config is None:
            # The operator's limit, which is not read yet, may be higher.
            return front.refusals.reject(request.path, "no-configuration", error.detail)
        return error_reply(413, error.code, error.detail)


async def async_serve_metrics(
    host: str, port: int, connections: ConnectionTable
) -> None:
    """Serve metrics as text; log a warning and continue if the port is in use."""

    async def async_answer(_: web.BaseRequest) -> web.StreamResponse:
        return web.Response(body=render(), content_type="text/plain")

    server = LimitedServer(
        async_answer, connections, CallerLimits, keepalive_timeout=KEEP_ALIVE_SECONDS
    )
    runner = web.ServerRunner(server, handle_signals=False, shutdown_timeout=0.1)
    await runner.setup()
    try:
        await site_of(runner, host, port, connections).start()
    except OSError as error:
        _LOGGER.warning("metrics_listener_failed", port=port, detail=str(error))
        await runner.cleanup()


def _requested_deadline_seconds(request: web.BaseRequest) -> float:
    header = request.headers.get(callers.HEADER_DEADLINE_MS, "")
    try:
        return max(0.0, float(header) / 1000)
    except ValueError:
        return DEFAULT_DEADLINE_SECONDS
