"""Model the entries as their peers know them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Final


class MemberStatus(StrEnum):
    """Name the states of ``charts/member.yaml``."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    GONE = "gone"


FINAL_STATUSES: Final = frozenset({MemberStatus.LEAVING, MemberStatus.GONE})
"""States from which nothing leads back within one incarnation."""


@dataclass(frozen=True, slots=True)
class Member:
    """Hold one entry process.

    ``incarnation`` is drawn anew at each start and grows; leaving is final for it.
    ``refutations`` counts the suspicions that it has refuted since.
    ``fleet_offset`` is the next offset its fold wants, ``fleet_digest`` the beginning
    of its digest there, both as last told by the member itself.
    """

    name: str
    data_centre: str
    address: str
    incarnation: int
    status: MemberStatus
    fleet_offset: int = 0
    fleet_digest: str = ""
    in_flight: int = 0
    refutations: int = 0

    @property
    def start(self) -> int:
        """Return the incarnation: what stays the same until the process starts anew."""
        return self.incarnation


@dataclass(frozen=True, slots=True)
class MembershipChanged:
    """Announce on the event bus that a member's status changed."""

    member: Member
    previous: MemberStatus | None


class OwnVerdict(StrEnum):
    """Say what others believe of this process that is not so."""

    SUSPECTED = "suspected"
    DECLARED_GONE = "declared-gone"
    SUPERSEDED = "superseded"


@dataclass(frozen=True, slots=True)
class OwnContested:
    """Announce that this process had to answer what others believe of it."""

    verdict: OwnVerdict
    incarnation: int


@dataclass(frozen=True, slots=True)
class InstanceLeaving:
    """Announce that a worker instance is leaving and gets no new work."""

    instance_id: str
    source: str


@dataclass(frozen=True, slots=True)
class InstanceReturned:
    """Announce that a worker instance was positively seen to take work again."""

    instance_id: str
    source: str


@dataclass(frozen=True, slots=True)
class InstanceHeldBack:
    """Announce that this entry's attempts fail and a worker gets none for a while."""

    instance_id: str
    source: str
    failures: int
    seconds: float


@dataclass(frozen=True, slots=True)
class DataCentreSilent:
    """Announce that a data centre gives no sign any more, or (``silent`` false) again.

    Every entry that hears of other data centres comes to this by itself.
    """

    data_centre: str
    silent: bool
