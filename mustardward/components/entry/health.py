"""Answer the health probes of load balancers and operators."""

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
    """Track requests in progress and readiness for new ones."""

    def __init__(self, core: Core, guard: PauseGuard | None = None) -> None:
        self._core = core
        self._guard = guard
        self._draining = False
        self._in_progress = 0

    @property
    def draining(self) -> bool:
        """Return whether this process is draining before its shutdown."""
        return self._draining

    @property
    def in_progress(self) -> int:
        """Return the number of callers' requests in progress."""
        return self._in_progress

    @property
    def not_ready_reason(self) -> str:
        """Return why this entry is not ready; empty if it is."""
        if self._draining:
            return "leaving"
        log = self._core.find(FLEET_LOG)
        if log is None or not log.ready:
            return "no-state"
        if self._guard is not None and not self._guard.dispatch_allowed:
            return "unconfirmed"
        return ""

    def start_draining(self) -> None:
        """Report this entry as not ready from now on."""
        self._draining = True

    def record_request_start(self) -> None:
        """Count a request as in progress."""
        self._in_progress += 1

    def record_request_end(self) -> None:
        """Count a request as finished."""
        self._in_progress -= 1

    async def async_respond(self, path: bytes, send: Send) -> None:
        """Respond to a probe."""
        status, document = self.build_probe_response(path)
        body = json.dumps(document).encode()
        headers = [
            (b"content-type", b"application/json"),
            (b"content-length", b"%d" % len(body)),
            (b"cache-control", b"no-store"),
        ]
        if self._draining:
            headers.append((b"connection", b"close"))
        await send(
            {"type": "http.response.start", "status": status, "headers": headers}
        )
        await send({"type": "http.response.body", "body": body})

    def build_probe_response(self, path: bytes) -> tuple[int, dict[str, str]]:
        """Return the status and document for a probe's path."""
        if path == HEALTHY_PATH:
            return 200, {"status": "healthy"}
        if path == READY_PATH:
            reason = self.not_ready_reason
            if reason:
                return 503, {"status": "not-ready", "cause": reason}
            return 200, {"status": "ready"}
        return 404, {"status": "unknown-path"}
