"""Track each organisation's resource usage and enforce its quota.

An organisation may submit many times its usual load, or its quota may be lowered far
below its load. Its usage is bounded over all pools and workers, so that the remaining
resources are available to others. Everything that may run counts: runs being started or
stopped, runs behind a network partition until their lease expires, orphan runs, and,
after a takeover, tasks that a previous owner may have started.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Final

from ...platform.models import Room
from .inflow import Amount

UNLIMITED: Final = Room()

_NOTHING: Final = Amount()
"""Shared usage of organisations without any; never modified."""

QuotaLookup = Callable[[str], Room]


def unlimited_quota(organisation: str) -> Room:
    """Return a quota without limits."""
    return UNLIMITED


@dataclass(slots=True, eq=False)
class Quotas:
    """Count the usage of each organisation and check it against the quota.

    :param quota_of: returns the configured quota of an organisation; 0 is no limit.
    """

    quota_of: QuotaLookup = unlimited_quota
    _used: dict[str, Amount] = field(default_factory=dict)
    _unconfirmed: dict[str, Amount] = field(default_factory=dict)

    def reserve(self, organisation: str, room: Room) -> None:
        """Add a run to an organisation's usage."""
        if organisation:
            self._used.setdefault(organisation, Amount()).add(room)

    def release(self, organisation: str, room: Room) -> None:
        """Remove a run from an organisation's usage."""
        if organisation:
            self._used[organisation].add(room, -1)

    def used(self, organisation: str) -> Amount:
        """Return the usage of an organisation by known runs."""
        return self._used.get(organisation, Amount())

    def unconfirmed(self, organisation: str) -> Amount:
        """Return the usage of an organisation by runs that may exist unconfirmed."""
        return self._unconfirmed.get(organisation, Amount())

    def set_unconfirmed(self, runs: Iterable[tuple[str, Room, int]]) -> None:
        """Replace the unconfirmed runs, as organisation, room and number of tasks."""
        self._unconfirmed = {}
        for organisation, room, count in runs:
            if organisation:
                self._unconfirmed.setdefault(organisation, Amount()).add(room, count)

    def allows(self, organisation: str, room: Room, count: int = 1) -> bool:
        """Return whether a number of further tasks may run within the quota.

        An organisation without usage may start one task of any size, which would
        otherwise wait forever.
        """
        if not organisation:
            return True
        quota = self.quota_of(organisation)
        used = self._used.get(organisation, _NOTHING)
        unconfirmed = self._unconfirmed.get(organisation, _NOTHING)
        cpu = used.cpu + unconfirmed.cpu
        mem_mb = used.mem_mb + unconfirmed.mem_mb
        gpu = used.gpu + unconfirmed.gpu
        if count == 1 and not (cpu or mem_mb or gpu):
            return True
        return (
            _fits(cpu + count * room.cpu, quota.cpu)
            and _fits(mem_mb + count * room.mem_mb, quota.mem_mb)
            and _fits(gpu + count * room.gpu, quota.gpu)
        )

    def share_that_may_start(self, organisation: str, waiting: Amount) -> float:
        """Return the share of an organisation's waiting work that its quota admits."""
        quota = self.quota_of(organisation) if organisation else UNLIMITED
        used = self.used(organisation)
        shares = [
            max(0.0, limit - taken) / requested
            for limit, taken, requested in (
                (quota.cpu, used.cpu, waiting.cpu),
                (quota.mem_mb, used.mem_mb, waiting.mem_mb),
                (quota.gpu, used.gpu, waiting.gpu),
            )
            if limit and requested
        ]
        return min(1.0, *shares) if shares else 1.0


def _fits(taken: float, limit: int) -> bool:
    return not limit or taken <= limit
