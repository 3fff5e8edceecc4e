"""Provide the ASGI application of the callers' listener."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any, Final

from .exchange import ApplicationDependencies, Exchange

Scope = dict[str, Any]
Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]

_HEALTH_PREFIX: Final = b"/-/"


class CallerApplication:
    """ASGI application that serves callers' requests and health probes."""

    def __init__(self, dependencies: ApplicationDependencies) -> None:
        self._dependencies = dependencies

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one ASGI connection scope."""
        if scope["type"] == "http":
            await self._async_http(scope, receive, send)
        elif scope["type"] == "lifespan":
            await _async_lifespan(receive, send)
        elif scope["type"] == "websocket":
            await send({"type": "websocket.close", "code": 1008})

    async def _async_http(self, scope: Scope, receive: Receive, send: Send) -> None:
        health = self._dependencies.health
        if scope["raw_path"].startswith(_HEALTH_PREFIX):
            await health.async_respond(scope["raw_path"], send)
            return
        health.record_request_start()
        try:
            await Exchange(self._dependencies, scope, receive, send).async_run()
        finally:
            health.record_request_end()


async def _async_lifespan(receive: Receive, send: Send) -> None:
    while True:
        message = await receive()
        await send({"type": message["type"] + ".complete"})
        if message["type"] == "lifespan.shutdown":
            return
