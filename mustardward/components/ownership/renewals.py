"""Create the records that renew an ownership and announce its orders."""

from __future__ import annotations

from dataclasses import dataclass, field

from ...helpers.policies import switchable
from ...helpers.timer import TimerService
from ..ledger.appender import GroupAppender, Outcome, Record
from ..ledger.const import KEY_OWNER
from ..ledger.ledger import encode
from ..ledger.models import OwnerRecord, UnansweredStart
from .const import (
    ANNOUNCE_TIMEOUT_SECONDS,
    RELEASE_TIMEOUT_SECONDS,
    RENEWAL_INTERVAL_SECONDS,
)


def blocked_until(
    previous: OwnerRecord,
    now: float,
    wall: float,
    lease_seconds: float,
    read_at: float | None = None,
) -> dict[str, float]:
    """Return until when a new owner may not order instances, in monotonic seconds.

    Two owners that order the same instance within one lease look as if they alternated.
    An owner's renewals therefore name each instance before it is ordered, for the time
    of a lease.

    :param read_at: when this entry read the previous owner's last renewal, in monotonic
        seconds, which is no earlier than it was stored. None if this entry has started
        since; only then are the wall clocks of two machines compared.
    """
    elapsed = max(0.0, wall - previous.renewed_at if read_at is None else now - read_at)
    until = now + max(0.0, lease_seconds - elapsed)
    return dict.fromkeys(previous.ordered, until)


async def _async_skip_announcement(renewals: Renewals, /, machine: str) -> bool:
    return True


@dataclass(slots=True, eq=False)
class Renewals:
    """Renew one ownership until it is released.

    :param lease_seconds: how long renewals name an ordered instance.
    """

    epoch: int
    claim: str
    node: str
    timers: TimerService
    appender: GroupAppender
    lease_seconds: float
    _renewal_count: int = 0
    _sent_at: float = 0.0
    _released: bool = False
    _ordered: dict[str, float] = field(default_factory=dict)

    def carry_over(self, previous: OwnerRecord) -> None:
        """Name the previous owner's instances too; this one may end within the lease.

        The lease counts from now, since the clocks of two entries may differ.
        """
        self._ordered = dict.fromkeys(previous.ordered, self.timers.boottime())

    def due_records(self, with_others: bool) -> list[Record]:
        """Return the renewal that is due, or nothing.

        :param with_others: whether other records are appended anyway.
        """
        now = self.timers.monotonic()
        if self._released or not (
            with_others or now - self._sent_at >= RENEWAL_INTERVAL_SECONDS
        ):
            return []
        self._sent_at = now
        return [self._record(self.node)]

    @switchable(
        "named-orders",
        "an instance is named in the log before it is ordered",
        without=_async_skip_announcement,
    )
    async def async_announce(self, machine: str) -> bool:
        """Name an instance in the log before it is ordered; return whether stored."""
        if self._released:
            return False
        self._ordered[machine] = self.timers.boottime()
        until = self.timers.monotonic() + ANNOUNCE_TIMEOUT_SECONDS
        outcome = await self.appender.async_append([self._record(self.node)], until)
        return outcome is Outcome.STORED and not self._released

    async def async_release(
        self,
        settled: bool,
        lease_seconds: float = 0.0,
        unanswered: list[UnansweredStart] | None = None,
    ) -> None:
        """Release the ownership.

        :param settled: whether all runs that previous owners may have started are
            known.
        :param lease_seconds: for how long the leases of known runs may last.
        :param unanswered: the starts that may have begun unknown runs, if known.
        """
        # A renewal after the release would revoke it, and the other entries would wait
        # for the timeout of a lost owner.
        self._released = True
        until = self.timers.monotonic() + RELEASE_TIMEOUT_SECONDS
        record = self._record("", settled, lease_seconds, unanswered)
        await self.appender.async_append([record], until)

    def _record(
        self,
        node: str,
        settled: bool = False,
        lease_seconds: float = 0.0,
        unanswered: list[UnansweredStart] | None = None,
    ) -> Record:
        self._renewal_count += 1
        now = self.timers.boottime()
        self._ordered = {
            machine: at
            for machine, at in self._ordered.items()
            if now - at < self.lease_seconds
        }
        owner = OwnerRecord(
            self.epoch,
            self.claim,
            node,
            self._renewal_count,
            self.timers.wall(),
            sorted(self._ordered),
            settled,
            lease_seconds,
            unanswered,
        )
        return (KEY_OWNER, encode(owner))
