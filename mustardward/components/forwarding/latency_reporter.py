"""Report in logs and metrics how slow the store is, and which entry nodes collect."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from ...helpers.instruments import (
    COLLECTING,
    STORE_LATENCY_SECONDS,
    STORE_SLOW_SECONDS,
)
from ...helpers.logging import get_logger
from ...helpers.timer import TimerService
from ..ledger.store_latency import StoreLatency

_LOGGER = get_logger(__name__)

REPORT_INTERVAL_SECONDS: Final = 0.25
"""Interval at which changes are logged and metrics are set."""


@dataclass(slots=True, eq=False)
class LatencyReporter:
    """Report the store's latency as one entry node knows it.

    :param node: name of this entry node.
    :param collecting: returns the names of the entry nodes that collect requests.
    """

    node: str
    timers: TimerService
    latency: StoreLatency
    collecting: Callable[[], list[str]]
    _slow_since: float | None = None
    _collecting: list[str] = field(default_factory=list)

    async def async_run(self) -> None:
        """Report until cancelled."""
        while True:
            self.report()
            await self.timers.async_sleep(REPORT_INTERVAL_SECONDS)

    def report(self) -> None:
        """Set the metrics, and log what has changed."""
        now = self.timers.monotonic()
        seconds = self.latency.seconds(now)
        slow = self.latency.is_slow(now)
        collecting = self.collecting() if slow else []
        STORE_LATENCY_SECONDS.set(seconds)
        COLLECTING.set(self.node in collecting)
        if slow and self._slow_since is None:
            self._slow_since = self.latency.slow_since
        if slow and collecting != self._collecting:
            _LOGGER.warning(
                "store_slow",
                node=self.node,
                latency_seconds=seconds,
                slow_seconds=now - (self._slow_since or now),
                collecting=",".join(collecting),
            )
        if not slow and self._slow_since is not None:
            slow_seconds = now - self._slow_since
            _LOGGER.info("store_recovered", node=self.node, slow_seconds=slow_seconds)
            self._slow_since = None
        self._collecting = collecting
        STORE_SLOW_SECONDS.set(now - self._slow_since if self._slow_since else 0.0)
