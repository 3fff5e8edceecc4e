"""Make the records that renew an ownership, and name what it orders."""

from __future__ import annotations

from dataclasses import dataclass, field

from ...helpers.policies import switchable
from ...helpers.timer import TimerService
from ..ledger.appender import GroupAppender, Outcome, Record
from ..ledger.const import KEY_OWNER
from ..ledger.ledger import encode
from ..ledger.models import OwnerRecord
from .const import ANNOUNCE_SECONDS, BEAT_SECONDS, RELEASE_SECONDS


def barred_until(
    before: OwnerRecord, now: float, wall: float, lease_seconds: float
) -> dict[str, float]:
    """Return until when a new owner leaves instances alone, in steady seconds.

    Two holders that order the same instance within a lease look like two owners that
    take turns. An owner's renewals name what it ordered lately, before it does.
    """
    passed = max(0.0, wall - before.renewed_at)
    until = now + max(0.0, lease_seconds - passed)
    return dict.fromkeys(before.ordered, until)


async def _async_name_nothing(renewals: Renewals, /, machine: str) -> bool:
    return True


@dataclass(slots=True, eq=False)
class Renewals:
    """Renew one ownership until it is given up.

    :param lease_seconds: how long an order's instance is named.
    """

    epoch: int
    claim: str
    node: str
    timers: TimerService
    appender: GroupAppender
    lease_seconds: float
    _beat: int = 0
    _sent_at: float = 0.0
    _released: bool = False
    _ordered: dict[str, float] = field(default_factory=dict)

    def due(self, with_others: bool) -> list[Record]:
        """Return the renewal that should go now, or nothing.

        :param with_others: whether other records go anyway.
        """
        now = self.timers.monotonic()
        if self._released or not (with_others or now - self._sent_at >= BEAT_SECONDS):
            return []
        self._sent_at = now
        return [self._record(self.node)]

    @switchable(
        "named-orders",
        "an instance is named in the log before it is ordered",
        without=_async_name_nothing,
    )
    async def async_announce(self, machine: str) -> bool:
        """Name an instance in the log before it is ordered; return whether it is."""
        if self._released:
            return False
        self._ordered[machine] = self.timers.wall()
        until = self.timers.monotonic() + ANNOUNCE_SECONDS
        outcome = await self.appender.async_append([self._record(self.node)], until)
        return outcome is Outcome.STORED and not self._released

    async def async_release(self, settled: bool) -> None:
        """Give the ownership up.

        :param settled: whether all that an owner before may have started is known.
        """
        # A renewal behind the release would take it back, and others would wait as
        # for an owner that died.
        self._released = True
        until = self.timers.monotonic() + RELEASE_SECONDS
        await self.appender.async_append([self._record("", settled)], until)

    def _record(self, node: str, settled: bool = False) -> Record:
        self._beat += 1
        wall = self.timers.wall()
        self._ordered = {
            machine: at
            for machine, at in self._ordered.items()
            if wall - at < self.lease_seconds
        }
        ordered = sorted(self._ordered)
        owner = OwnerRecord(
            self.epoch, self.claim, node, self._beat, wall, ordered, settled
        )
        return (KEY_OWNER, encode(owner))
