"""Check that an ownership still holds, also after pauses of the process."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from ...helpers.logging import get_logger
from ...helpers.timer import TimerService
from ..ledger.follower import TopicFollower
from ..ledger.ledger import Ledger
from .authority import Authority
from .const import CONFIRM_RETRY_SECONDS, SELF_CHECK_SECONDS

_LOGGER = get_logger(__name__)


async def async_tick(authority: Authority, epoch: int, timers: TimerService) -> None:
    """Notice pauses of the process, also while the log is read."""
    while True:
        pause_seconds = authority.tick()
        if pause_seconds:
            _LOGGER.warning("owner_paused", epoch=epoch, pause_seconds=pause_seconds)
        await timers.async_sleep(SELF_CHECK_SECONDS)


@dataclass(slots=True, eq=False)
class OwnerCheck:
    """Notice a newer owner, also after pauses of the process.

    :param claim: the id of the claim that won the epoch.
    :param depose: called if another entry owns the shard.
    """

    epoch: int
    claim: str
    authority: Authority
    ledger: Ledger
    follower: TopicFollower
    timers: TimerService
    depose: Callable[[], None]

    async def async_is_owner(self) -> bool:
        """Return whether the log names no other owner; depose this one if it does.

        After a pause the log is read up to its end, until no pause falls into the read.
        """
        while not self.authority.is_confirmed:
            sent_at = self.timers.boottime()
            if await self.follower.async_catch_up():
                self.authority.confirm(sent_at)
            else:
                await self.timers.async_sleep(CONFIRM_RETRY_SECONDS)
        owner = self.ledger.owner
        if owner.epoch > self.epoch or owner.claim != self.claim:
            self.depose()
            return False
        return True
