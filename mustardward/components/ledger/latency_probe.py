"""Tell a store that responds later than its reads' timeout from one that is down.

A store that is 200 times slower responds to each read after the read has timed out. It
would be taken for a store that is down, and all callers would be refused.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from ...helpers.timer import TimerService
from ...platform.store import StoreClient
from .store_latency import StoreLatency

PROBE_POLL_SECONDS: Final = 0.1
"""Interval of checks whether a read is overdue."""

PROBE_TIMEOUT_SECONDS: Final = 2.0
"""Timeout of a probe; a store 200 times slower responds to a read after 0.8 s."""

PROBE_PAUSE_SECONDS: Final = 0.5
"""Pause after a failed probe, so that a store that is down gets few of them."""


@dataclass(slots=True, eq=False)
class LatencyProbe:
    """Read once with a long timeout while other reads are overdue.

    :param store: calls the store directly rather than through a peer.
    """

    store: StoreClient
    timers: TimerService
    latency: StoreLatency

    async def async_run(self) -> None:
        """Probe the store, whenever reads are overdue, until cancelled."""
        while True:
            await self.timers.async_sleep(PROBE_POLL_SECONDS)
            if not self.latency.is_overdue(self.timers.monotonic()):
                continue
            if not await self._async_probe():
                await self.timers.async_sleep(PROBE_PAUSE_SECONDS)

    async def _async_probe(self) -> bool:
        sent_at = self.timers.monotonic()
        reachable = await self.store.async_is_reachable(PROBE_TIMEOUT_SECONDS)
        if reachable:
            now = self.timers.monotonic()
            self.latency.record_read(sent_at, now, 0.0, has_records=False)
        return reachable
