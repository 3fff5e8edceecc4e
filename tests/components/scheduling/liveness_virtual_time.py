"""Drive the product on a clock that jumps to what falls due next."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Callable
from typing import Any

import anyio

START_SECONDS = 1_000_000.0


class _NoSelector(selectors.SelectSelector):
    """Find nothing to read or write, since nothing in a walk has a socket."""

    def select(self, timeout: float | None = None) -> list[Any]:
        """Return at once; time is driven by the loop."""
        if timeout is None:
            raise RuntimeError("nothing will ever happen")
        return []


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Jump ahead to what falls due next, instead of waiting for it."""

    def __init__(self) -> None:
        super().__init__(_NoSelector())
        self._driven = START_SECONDS

    def time(self) -> float:
        """Return the driven time in seconds."""
        return self._driven

    def _run_once(self) -> None:
        loop: Any = self
        if not loop._ready and loop._scheduled:
            self._driven = max(self._driven, loop._scheduled[0]._when)
        loop_once: Callable[[], None] = super()._run_once  # type: ignore[misc]
        loop_once()


class LoopTimers:
    """Tell the driven time to the product."""

    def monotonic(self) -> float:
        return asyncio.get_running_loop().time()

    wall = monotonic

    async def async_sleep(self, seconds: float) -> None:
        await anyio.sleep(seconds)
