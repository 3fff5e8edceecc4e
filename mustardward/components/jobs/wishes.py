"""Gather the requests that found no slot, and take slots back for them."""

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
from .slots import SETTLE_SECONDS, SlotReturns

LONG_SHARE: Final = 0.25
"""Share of a pool's slots that long work keeps against requests that are not urgent."""

REFUSED_FOR_SLOTS: Final = frozenset({"workers-busy", "no-capacity", "overloaded"})
BUSY_WORKERS: Final = 2
"""Distinct workers that have to refuse one request before long work gives way.

One full worker says nothing while its neighbours have room, and each slot taken back
moves a job.
"""

MAXIMUM_WISHES: Final = 256

Start = Callable[..., Any]


@dataclass(slots=True, eq=False)
class _Wish:
    """Hold what one request met in a pool."""

    urgent: bool
    busy: set[str] = field(default_factory=set)
    refused: bool = False


@dataclass(slots=True, eq=False)
class SlotWishes:
    """Turn what requests meet into slots that long work gives back.

    :param pool_of: returns the pool of an organisation's service.
    :param start: starts a coroutine function in the background.
    """

    returns: SlotReturns
    pools: PoolIndex
    timers: TimerService
    pool_of: Callable[[str, str], str | None]
    start: Start
    _wishes: dict[str, dict[str, _Wish]] = field(default_factory=dict)
    _serving: set[str] = field(default_factory=set)

    def on_wanted(self, event: SlotReclaimRequested) -> None:
        """Follow urgent requests that wait to be admitted."""
        for number in range(event.slots):
            wish = self._wish(event.pool, f"waiting-{number}", True)
            wish.refused = True
        self._serve(event.pool)

    def on_busy(self, event: WorkerBusy) -> None:
        """Follow a request that a worker had no slot for."""
        if event.urgency is Urgency.LONG:
            return
        urgent = event.urgency is Urgency.URGENT
        wish = self._wish(event.pool, event.request_id, urgent)
        wish.busy.add(event.instance_id)
        if len(wish.busy) >= self._enough(event.pool):
            self._serve(event.pool)

    def on_finished(self, event: RequestFinished) -> None:
        """Follow a request that was refused because there was no slot."""
        if event.cause not in REFUSED_FOR_SLOTS or event.urgency is Urgency.LONG:
            return
        pool = self.pool_of(event.organisation, event.service)
        if pool is None:
            return
        urgent = event.urgency is Urgency.URGENT
        self._wish(pool, event.request_id, urgent).refused = True
        self._serve(pool)

    def _wish(self, pool: str, request_id: str, urgent: bool) -> _Wish:
        wishes = self._wishes.setdefault(pool, {})
        # Most requests that meet one full worker find room at the next, and their
        # wishes are never asked for.
        if request_id not in wishes and len(wishes) >= MAXIMUM_WISHES:
            del wishes[next(iter(wishes))]
        return wishes.setdefault(request_id, _Wish(urgent))

    def _serve(self, pool: str) -> None:
        if pool not in self._serving:
            self._serving.add(pool)
            self.start(self._async_serve, pool)

    async def _async_serve(self, pool: str) -> None:
        try:
            while slots := self._due(pool, self._wishes.pop(pool, {})):
                await self.returns.async_free(pool, slots)
                await self.timers.async_sleep(SETTLE_SECONDS)
        finally:
            self._serving.discard(pool)

    def _due(self, pool: str, wishes: dict[str, _Wish]) -> int:
        enough = self._enough(pool)
        due = [w for w in wishes.values() if w.refused or len(w.busy) >= enough]
        urgent = sum(wish.urgent for wish in due)
        running = sum(self.returns.scheduler.tasks_by_holder(pool).values())
        kept = int(LONG_SHARE * self._slots(pool))
        normal = min(len(due) - urgent, max(0, running - urgent - kept))
        return min(urgent + normal, running)

    def _enough(self, pool: str) -> int:
        return min(BUSY_WORKERS, max(1, len(self.pools.instances(pool))))

    def _slots(self, pool: str) -> int:
        return sum(item.slots for item in self.pools.instances(pool))
