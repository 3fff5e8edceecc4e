"""Answer callers: the ASGI application on the callers' listener."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any, Final

from .exchange import ApplicationDependencies, Exchange

Scope = dict[str, Any]
Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]

_HEALTH_PREFIX: Final = b"/-/"


class CallerApplication:
    """Turn ASGI calls into requests and their results into answers."""

    def __init__(self, parts: ApplicationDependencies) -> None:
        self._parts = parts

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one ASGI connection scope."""
        if scope["type"] == "http":
            await self._async_http(scope, receive, send)
        elif scope["type"] == "lifespan":
            await _async_lifespan(receive, send)
        elif scope["type"] == "websocket":
            await send({"type": "websocket.close", "code": 1008})

    async def _async_http(self, scope: Scope, receive: Receive, send: Send) -> None:
        health = self._parts.health
        if scope["raw_path"].startswith(_HEALTH_PREFIX):
            await health.async_answer(scope["raw_path"], send)
            return
        health.request_began()
        try:
            await Exchange(self._parts, scope, receive, send).async_run()
        finally:
            health.request_ended()


async def _async_lifespan(receive: Receive, send: Send) -> None:
    while True:
        message = await receive()
        await send({"type": message["type"] + ".complete"})
        if message["type"] == "lifespan.shutdown":
            return
