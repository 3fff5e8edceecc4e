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
from ..scheduling.scheduler_state import SchedulerState
from .const import HELD_LOOK_SECONDS

_LOGGER = get_logger(__name__)


@dataclass(slots=True, eq=False)
class Takeover:
    """Hold the jobs that an owner before had taken in, until it is known what runs.

    A worker that does not answer may still run anything that an earlier owner gave it:
    to start that elsewhere would run it twice.

    :param wake: plans anew.
    :param fleet: knows the list of instances; None where there is no such list.
    """

    epoch: int
    state: SchedulerState
    dispatcher: Dispatcher
    timers: TimerService
    wake: Callable[[], None]
    fleet: Fleet | None = None

    async def async_run(self, directory: TopicFollower) -> None:
        """Release them once all workers were heard of, or leases have run out.

        :param directory: reads workers' entries; before it did, none is known.
        """
        await directory.async_wait_loaded()
        while self.timers.monotonic() < self.state.takeover_hold_until:
            self.release()
            await self.timers.async_sleep(HELD_LOOK_SECONDS)
        self.wake()

    def release(self) -> None:
        """Start again what was held, once every worker that may run it was heard of."""
        accounted = self._accounted()
        if accounted != self.state.accounted_zones:
            self.state.accounted_zones = accounted
            zones = ",".join(sorted(accounted))
            _LOGGER.info("zones_accounted", epoch=self.epoch, zones=zones)
            self.wake()
        if not self._all_heard():
            return
        self.state.takeover_hold_until = 0.0
        _LOGGER.info("takeover_complete", epoch=self.epoch)

    def _accounted(self) -> frozenset[str]:
        """Return the data centres all of whose workers told what they run.

        One of which no worker was heard is none of them: its workers may be in neither
        entries nor list, for they are cut off from both.
        """
        listed = self.fleet.listed_workers() if self.fleet is not None else {}
        if listed is None:
            return frozenset()
        workers = self.state.workers
        heard = {worker.zone for worker in workers.values() if worker.confirmed}
        silent = {
            workers[name].zone for name in self.dispatcher.unheard() if name in workers
        }
        unknown = {
            zone
            for name, zone in listed.items()
            if name not in self.dispatcher.sessions
        }
        return frozenset(heard - silent - unknown - {""})

    def _all_heard(self) -> bool:
        """Return whether every worker that may run something told what it runs.

        A worker's entry may have lapsed while the store was away, so the fleet's list
        has to name no worker that is not known here either. All pools wait for each
        other: that a pool's own workers were all heard of says less, since one that is
        cut off may be in neither, while others that were cut off with it still are.
        """
        if self.dispatcher.unheard():
            return False
        if self.fleet is None:
            return True
        listed = self.fleet.listed_workers()
        if listed is None:
            return False
        return all(name in self.dispatcher.sessions for name in listed)


def hold(state: SchedulerState, before: OwnerRecord, now: float) -> None:
    """Hold what the owner before may have started for as long as it may run.

    One that gave the shard up gives no more orders; one that fell silent may, for as
    long as its last renewal allows. So may one before an owner that gave the shard up
    within that time, and did not hear of all workers: after two changes of owner in a
    row, the first by a cut, tasks ran twice beside leases that were still renewed.
    """
    over = not before.node and before.settled
    authority = 0.0 if over else AUTHORITY_SECONDS
    state.takeover_hold_until = lease_bound(now) + authority
    state.taken_over_at = now
