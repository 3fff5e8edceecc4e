"""Find out after a takeover what the owner before may have left running."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from ...helpers.logging import get_logger
from ...helpers.timer import TimerService
from ..dispatch.const import AUTHORITY_SECONDS, lease_bound
from ..dispatch.dispatcher import Dispatcher
from ..fleet.services import Fleet
from ..ledger.follower import TopicFollower
from ..ledger.models import OwnerRecord
from ..scheduling.board import Board
from .const import HELD_LOOK_SECONDS

_LOGGER = get_logger(__name__)


@dataclass(slots=True, eq=False)
class Takeover:
    """Hold the jobs that an owner before had taken in, until it is known what runs.

    A worker that does not answer may still run anything of its pool that an earlier
    owner gave it: to start that elsewhere would run it twice.

    :param wake: plans anew.
    :param fleet: knows the list of instances; None where there is no such list.
    """

    epoch: int
    board: Board
    dispatcher: Dispatcher
    timers: TimerService
    wake: Callable[[], None]
    fleet: Fleet | None = None

    async def async_run(self, directory: TopicFollower) -> None:
        """Release pool after pool; all of them once leases have run out.

        :param directory: reads workers' entries; before it did, none is known.
        """
        await directory.async_wait_loaded()
        while self.timers.monotonic() < self.board.held_until:
            self.release_pools()
            await self.timers.async_sleep(HELD_LOOK_SECONDS)
        self.wake()

    def release_pools(self) -> None:
        """Start again what was held of the pools whose workers were all heard of."""
        unheard = self._unheard_pools()
        if unheard is None:
            return
        board = self.board
        if not unheard:
            board.held_until = 0.0
            _LOGGER.info("takeover_complete", epoch=self.epoch)
            return
        released = {job.policy.service for job in board.jobs.values()} - unheard
        for pool in released - board.released:
            _LOGGER.info("pool_released", epoch=self.epoch, pool=pool)
            board.released.add(pool)
            self.wake()

    def _unheard_pools(self) -> set[str] | None:
        """Return the pools of workers that may run something nobody told here.

        A worker's entry may have lapsed while the store was away, so the fleet's
        list has to name no worker that is not known here either.

        :returns: None if that can't be told yet.
        """
        workers = self.board.workers
        pools = {
            workers[worker_id].service
            for worker_id in self.dispatcher.unheard()
            if worker_id in workers
        }
        if self.fleet is None:
            return pools
        listed = self.fleet.listed_workers()
        if listed is None:
            return None
        sessions = self.dispatcher.sessions
        return pools | {pool for name, pool in listed.items() if name not in sessions}


def hold(board: Board, before: OwnerRecord, now: float) -> None:
    """Hold what the owner before may have started for as long as it may run.

    One that gave the shard up gives no more orders; one that fell silent may, for as
    long as its last renewal allows.
    """
    authority = AUTHORITY_SECONDS if before.node else 0.0
    board.held_until = lease_bound(now) + authority
    board.taken_over_at = now
