"""Define the models and events of the membership component."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Final


class MemberStatus(StrEnum):
    """List the states of ``charts/member.yaml``."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    GONE = "gone"


FINAL_STATUSES: Final = frozenset({MemberStatus.LEAVING, MemberStatus.GONE})
"""States that a member can't leave within one incarnation."""


@dataclass(frozen=True, slots=True)
class Member:
    """Represent one entry process.

    ``incarnation`` is set anew at each start and grows; within one incarnation, leaving
    is final. ``refutations`` counts the suspicions refuted in this incarnation.
    ``fleet_offset`` is the next offset of the fleet log that the member will apply, and
    ``fleet_digest`` a prefix of its state digest at that offset, both as last reported
    by the member itself.
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
        """Return the incarnation, which is constant until the process restarts."""
        return self.incarnation


@dataclass(frozen=True, slots=True)
class MembershipChanged:
    """Represent a change of a member's status; the event bus carries it."""

    member: Member
    previous: MemberStatus | None


class ContestReason(StrEnum):
    """List how peers' records can contradict the own status of this process."""

    SUSPECTED = "suspected"
    DECLARED_GONE = "declared-gone"
    SUPERSEDED = "superseded"


@dataclass(frozen=True, slots=True)
class OwnStatusContested:
    """Represent this process's reaction to records that contradict its own status."""

    reason: ContestReason
    incarnation: int


@dataclass(frozen=True, slots=True)
class InstanceLeaving:
    """Represent that a worker instance is leaving and gets no new work."""

    instance_id: str
    source: str


@dataclass(frozen=True, slots=True)
class InstanceReturned:
    """Represent that a worker instance was confirmed to accept work again."""

    instance_id: str
    source: str


@dataclass(frozen=True, slots=True)
class InstanceBackoffStarted:
    """Represent that this entry node stops using a worker after failed attempts.

    ``seconds`` is the length of the backoff.
    """

    instance_id: str
    source: str
    failures: int
    seconds: float


@dataclass(frozen=True, slots=True)
class DataCentreReachabilityChanged:
    """Represent that a data centre became unreachable or reachable again.

    Each entry node detects this by itself.
    """

    data_centre: str
    unreachable: bool
