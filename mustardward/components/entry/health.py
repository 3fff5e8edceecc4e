"""Tell balancers and operators whether this process lives and takes requests."""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable
from typing import Any, Final

from ...core import Core
from ..keys import FLEET_LOG
from .pause import PauseGuard

Send = Callable[[dict[str, Any]], Awaitable[None]]

HEALTHY_PATH: Final = b"/-/healthy"
READY_PATH: Final = b"/-/ready"


class EntryHealth:
    """Count requests in progress and know whether new ones are welcome."""

    def __init__(self, core: Core, guard: PauseGuard | None = None) -> None:
        self._core = core
        self._guard = guard
        self._leaving = False
        self._in_progress = 0

    @property
    def leaving(self) -> bool:
        """Tell whether this process is on its way out."""
        return self._leaving

    @property
    def in_progress(self) -> int:
        """Return how many callers' requests are being served."""
        return self._in_progress

    @property
    def not_ready_cause(self) -> str:
        """Return why requests should go elsewhere; empty if they may come."""
        if self._leaving:
            return "leaving"
        log = self._core.find(FLEET_LOG)
        if log is None or not log.ready:
            return "no-state"
        if self._guard is not None and not self._guard.open:
            return "unconfirmed"
        return ""

    def leave(self) -> None:
        """Say from now on that requests should go elsewhere."""
        self._leaving = True

    def request_began(self) -> None:
        """Count a request in."""
        self._in_progress += 1

    def request_ended(self) -> None:
        """Count a request out."""
        self._in_progress -= 1

    async def async_answer(self, path: bytes, send: Send) -> None:
        """Answer a probe."""
        status, document = self.probe(path)
        body = json.dumps(document).encode()
        headers = [
            (b"content-type", b"application/json"),
            (b"content-length", b"%d" % len(body)),
            (b"cache-control", b"no-store"),
        ]
        if self._leaving:
            headers.append((b"connection", b"close"))
        await send(
            {"type": "http.response.start", "status": status, "headers": headers}
        )
        await send({"type": "http.response.body", "body": body})

    def probe(self, path: bytes) -> tuple[int, dict[str, str]]:
        """Return the status and document for a probe's path."""
        if path == HEALTHY_PATH:
            return 200, {"status": "healthy"}
        if path == READY_PATH:
            cause = self.not_ready_cause
            if cause:
                return 503, {"status": "not-ready", "cause": cause}
            return 200, {"status": "ready"}
        return 404, {"status": "unknown-path"}
