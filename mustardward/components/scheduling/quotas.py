"""Hold what each organisation has running, and what it may have; pure.

Load pattern: one organisation sends many times its usual, or its quota is lowered far
below what it sends. What it may have running is bounded over all pools and workers, and
the room beyond goes to the others. All that may run counts, seen or not: what is being
started or stopped, what is behind a cut until its lease is over, runs that belong to
nobody any more, and, after a takeover, what an owner before may have started.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Final

from ...platform.models import Room
from .inflow import Amount

UNLIMITED: Final = Room()

_NOTHING: Final = Amount()
"""Stands for what nothing is counted of; it is only read."""

QuotaLookup = Callable[[str], Room]


def unlimited_quota(organisation: str) -> Room:
    """Return that an organisation may have running what it likes."""
    return UNLIMITED


@dataclass(slots=True, eq=False)
class Quotas:
    """Count what runs by organisation, and say what may start beside it.

    :param quota_of: the operator's word on an organisation; 0 is no limit.
    """

    quota_of: QuotaLookup = unlimited_quota
    _used: dict[str, Amount] = field(default_factory=dict)
    _unconfirmed: dict[str, Amount] = field(default_factory=dict)

    def reserve(self, organisation: str, room: Room) -> None:
        """Count a run."""
        if organisation:
            self._used.setdefault(organisation, Amount()).add(room)

    def release(self, organisation: str, room: Room) -> None:
        """Count a run no more."""
        if organisation:
            self._used[organisation].add(room, -1)

    def used(self, organisation: str) -> Amount:
        """Return what is counted of an organisation."""
        return self._used.get(organisation, Amount())

    def unconfirmed(self, organisation: str) -> Amount:
        """Return what of an organisation may run unseen."""
        return self._unconfirmed.get(organisation, Amount())

    def set_unconfirmed(self, runs: Iterable[tuple[str, Room, int]]) -> None:
        """Say what may run unseen, as organisation, room and number of tasks."""
        self._unconfirmed = {}
        for organisation, room, count in runs:
            if organisation:
                self._unconfirmed.setdefault(organisation, Amount()).add(room, count)

    def allows(self, organisation: str, room: Room, count: int = 1) -> bool:
        """Return whether so many more tasks may run at once.

        Of an organisation that has nothing running one task may start, however large:
        it would else wait for ever.
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
        """Return which share of what waits an organisation's quota leaves room for."""
        quota = self.quota_of(organisation) if organisation else UNLIMITED
        used = self.used(organisation)
        shares = [
            max(0.0, limit - taken) / asked
            for limit, taken, asked in (
                (quota.cpu, used.cpu, waiting.cpu),
                (quota.mem_mb, used.mem_mb, waiting.mem_mb),
                (quota.gpu, used.gpu, waiting.gpu),
            )
            if limit and asked
        ]
        return min(1.0, *shares) if shares else 1.0


def _fits(taken: float, limit: int) -> bool:
    return not limit or taken <= limit
