"""Reclaim a pool's slots for urgent work from the tasks of all entry nodes."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

import anyio

from ...exceptions import PeerError
from ...helpers.logging import get_logger
from ...helpers.timer import TimerService
from ..membership.models import Member
from ..membership.protocols import Membership
from ..peers.protocols import Peers, peer_message
from ..retries.key_locator import incarnation_name
from .scheduler import JobScheduler

_LOGGER = get_logger(__name__)

SETTLE_SECONDS: Final = 0.5
"""Time for urgent work to take freed slots before more are reclaimed."""

PEER_TIMEOUT_SECONDS: Final = 2.5


@dataclass(frozen=True, slots=True)
class FreeSlotsReply:
    """Reply with the number of slots that an entry node freed."""

    slots: int


@peer_message("jobs.free-slots", FreeSlotsReply)
@dataclass(frozen=True, slots=True)
class FreeSlotsRequest:
    """Ask an entry node to free slots of the tasks whose leases it holds."""

    pool: str
    slots: int


@dataclass(slots=True, eq=False)
class SlotReclaimer:
    """Reclaim slots from the entry nodes that hold leases on tasks of the pool."""

    scheduler: JobScheduler
    timers: TimerService
    membership: Membership | None = None
    peers: Peers | None = None
    _next_reclaim_at: dict[str, float] = field(default_factory=dict)

    def start(self) -> Callable[[], None]:
        """Handle requests of other entry nodes; return the unsubscribe function."""
        if self.peers is None:
            return lambda: None
        return self.peers.handle(FreeSlotsRequest, self._async_handle_request)

    async def async_free(self, pool: str, count: int) -> int:
        """Reclaim up to ``count`` slots; return how many were freed.

        Callers repeat the request while urgent work waits. Repetitions are ignored
        until the freed slots could be used, since each would evict another task.
        """
        now = self.timers.monotonic()
        if now < self._next_reclaim_at.get(pool, 0.0):
            return 0
        self._next_reclaim_at[pool] = now + PEER_TIMEOUT_SECONDS
        freed: list[int] = []
        async with anyio.create_task_group() as group:
            for holder, slots in self._split_by_holder(pool, count).items():
                group.start_soon(
                    self._async_request, holder, FreeSlotsRequest(pool, slots), freed
                )
        self._next_reclaim_at[pool] = self.timers.monotonic() + SETTLE_SECONDS
        return sum(freed)

    def _split_by_holder(self, pool: str, count: int) -> dict[str, int]:
        counts = self.scheduler.tasks_by_holder(pool)
        own = self.scheduler.attempt_manager.identity
        shares = {}
        for holder in sorted(counts, key=lambda name: (name != own, name)):
            slots = min(count, counts[holder])
            if slots > 0:
                shares[holder] = slots
                count -= slots
        return shares

    async def _async_request(
        self, holder: str, message: FreeSlotsRequest, freed: list[int]
    ) -> None:
        if holder == self.scheduler.attempt_manager.identity:
            freed.append(
                await self.scheduler.async_free_slots(message.pool, message.slots)
            )
            return
        member = self._member(holder)
        if member is None or self.peers is None:
            return
        try:
            reply = await self.peers.async_call(member, message, PEER_TIMEOUT_SECONDS)
        except PeerError as error:
            _LOGGER.info(
                "job_slots_peer_unreachable", peer=member.name, code=error.code
            )
            return
        freed.append(reply.slots)

    def _member(self, holder: str) -> Member | None:
        if self.membership is None:
            return None
        for item in self.membership.live():
            if incarnation_name(item.name, item.incarnation) == holder:
                return item
        return None

    async def _async_handle_request(
        self, caller: str, message: FreeSlotsRequest
    ) -> FreeSlotsReply:
        freed = await self.scheduler.async_free_slots(message.pool, message.slots)
        return FreeSlotsReply(freed)
