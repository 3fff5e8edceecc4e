"""Provide an event loop with virtual time, which jumps to the next due timer."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Callable
from typing import Any

import anyio

INITIAL_SECONDS = 1_000_000.0


class _EmptySelector(selectors.SelectSelector):
    """Select no sockets, since the walks open none."""

    def select(self, timeout: float | None = None) -> list[Any]:
        """Return at once, since the loop advances the time itself."""
        if timeout is None:
            raise RuntimeError("deadlock: no timer is scheduled")
        return []


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Advance the time to the next due timer instead of waiting for it."""

    def __init__(self) -> None:
        super().__init__(_EmptySelector())
        self._now = INITIAL_SECONDS

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._now

    def _run_once(self) -> None:
        loop: Any = self
        if not loop._ready and loop._scheduled:
            self._now = max(self._now, loop._scheduled[0]._when)
        run_once: Callable[[], None] = super()._run_once  # type: ignore[misc]
        run_once()


class LoopTimers:
    """Provide the virtual time as the timer service of the code under test."""

    def monotonic(self) -> float:
        return asyncio.get_running_loop().time()

    boottime = monotonic
    wall = monotonic

    def paused_seconds_since(self, since: float) -> float:
        return 0.0

    async def async_sleep(self, seconds: float) -> None:
        await anyio.sleep(seconds)
