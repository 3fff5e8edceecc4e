"""Track requests that were refused a slot and reclaim slots for them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Final

from ...helpers.timer import TimerService
from ...state.models.templates import Urgency
from ..entry.models import RequestFinished
from ..limits.models import SlotReclaimRequested
from ..routing.models import WorkerBusy
from .pool_view import PoolIndex
from .slot_reclaimer import SETTLE_SECONDS, SlotReclaimer

MIN_JOB_SLOT_SHARE: Final = 0.25
"""Share of a pool's slots that jobs keep against non-urgent requests."""

SLOT_REFUSAL_CAUSES: Final = frozenset({"workers-busy", "no-capacity", "overloaded"})
MIN_BUSY_WORKERS: Final = 2
"""Distinct workers that must refuse one request before slots are reclaimed for it.

A single full worker isn't a shortage while others have free slots, and each reclaimed
slot moves a job.
"""

MAX_PENDING_REQUESTS: Final = 256

Start = Callable[..., Any]


@dataclass(slots=True, eq=False)
class _PendingRequest:
    """Refusals that one request met in a pool."""

    urgent: bool
    busy_workers: set[str] = field(default_factory=set)
    refused: bool = False


@dataclass(slots=True, eq=False)
class SlotDemand:
    """Reclaim slots from jobs for requests that were refused or that wait.

    :param pool_of: returns the pool of an organisation's service.
    :param start: starts a coroutine function in the background.
    """

    reclaimer: SlotReclaimer
    pools: PoolIndex
    timers: TimerService
    pool_of: Callable[[str, str], str | None]
    start: Start
    _pending: dict[str, dict[str, _PendingRequest]] = field(default_factory=dict)
    _reclaiming: set[str] = field(default_factory=set)

    def on_reclaim_requested(self, event: SlotReclaimRequested) -> None:
        """Record urgent requests that wait for admission."""
        for number in range(event.slots):
            request = self._get_pending(event.pool, f"waiting-{number}", True)
            request.refused = True
        self._start_reclaim(event.pool)

    def on_busy(self, event: WorkerBusy) -> None:
        """Record a request for which a worker had no slot."""
        if event.urgency is Urgency.LONG:
            return
        urgent = event.urgency is Urgency.URGENT
        request = self._get_pending(event.pool, event.request_id, urgent)
        request.busy_workers.add(event.instance_id)
        if len(request.busy_workers) >= self._required_busy_workers(event.pool):
            self._start_reclaim(event.pool)

    def on_finished(self, event: RequestFinished) -> None:
        """Record a request that was refused because there was no slot."""
        if event.cause not in SLOT_REFUSAL_CAUSES or event.urgency is Urgency.LONG:
            return
        pool = self.pool_of(event.organisation, event.service)
        if pool is None:
            return
        urgent = event.urgency is Urgency.URGENT
        self._get_pending(pool, event.request_id, urgent).refused = True
        self._start_reclaim(pool)

    def _get_pending(self, pool: str, request_id: str, urgent: bool) -> _PendingRequest:
        pending = self._pending.setdefault(pool, {})
        # Most requests refused by one full worker find a slot on the next one and
        # aren't seen again, so the oldest entries are dropped.
        if request_id not in pending and len(pending) >= MAX_PENDING_REQUESTS:
            del pending[next(iter(pending))]
        return pending.setdefault(request_id, _PendingRequest(urgent))

    def _start_reclaim(self, pool: str) -> None:
        if pool not in self._reclaiming:
            self._reclaiming.add(pool)
            self.start(self._async_reclaim, pool)

    async def _async_reclaim(self, pool: str) -> None:
        try:
            while slots := self._slots_to_reclaim(pool, self._pending.pop(pool, {})):
                await self.reclaimer.async_free(pool, slots)
                await self.timers.async_sleep(SETTLE_SECONDS)
        finally:
            self._reclaiming.discard(pool)

    def _slots_to_reclaim(self, pool: str, pending: dict[str, _PendingRequest]) -> int:
        required = self._required_busy_workers(pool)
        unserved = [
            item
            for item in pending.values()
            if item.refused or len(item.busy_workers) >= required
        ]
        urgent = sum(request.urgent for request in unserved)
        running = sum(self.reclaimer.scheduler.tasks_by_holder(pool).values())
        reserved = int(MIN_JOB_SLOT_SHARE * self._slots(pool))
        normal = min(len(unserved) - urgent, max(0, running - urgent - reserved))
        return min(urgent + normal, running)

    def _required_busy_workers(self, pool: str) -> int:
        return min(MIN_BUSY_WORKERS, max(1, len(self.pools.instances(pool))))

    def _slots(self, pool: str) -> int:
        return sum(item.slots for item in self.pools.instances(pool))
