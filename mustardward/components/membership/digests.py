"""Build and apply the digests that entry nodes exchange.

Has no side effects except on the tables. A digest carries only what the receiver hasn't
acknowledged, so that the next digest makes up for a lost one.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final, TypeVar

from .const import MAX_DIGEST_MEMBERS, MAX_DIGEST_NOTES, VIEW_MISMATCH_LIMIT
from .counter import ChangeCounter, Changes
from .failure_detector import DataCentreFailureDetector
from .instances import InstanceTable
from .messages import GossipDigest, InstanceNote, MemberState, Vitals
from .models import Member, MemberStatus
from .reporter import Event
from .table import UNCONFIRMED, MemberTable

NewsT = TypeVar("NewsT", bound=GossipDigest)

_DISPUTED_STATUSES: Final = (MemberStatus.SUSPECT, MemberStatus.GONE)


@dataclass(slots=True, eq=False)
class _PeerProgress:
    """Hold which versions this process and one incarnation of a peer have exchanged."""

    incarnation: int
    acknowledged: int = 0
    received: int = 0
    last_contact: float = float("-inf")


class Digests:
    """Build digests of the membership tables and apply those of peers."""

    def __init__(
        self,
        counter: ChangeCounter,
        members: MemberTable,
        instances: InstanceTable,
        failure_detector: DataCentreFailureDetector,
    ) -> None:
        self._counter = counter
        self._members = members
        self._instances = instances
        self._failure_detector = failure_detector
        self._progress: dict[str, _PeerProgress] = {}
        self._received_incarnations: dict[str, int] = {}
        self._mismatches = {True: 0, False: 0}

    def needs_view(self, peer: str) -> bool:
        """Return whether the member views have differed for several exchanges.

        Local and remote peers are counted separately: otherwise a data centre whose
        entry nodes agree with each other would never detect that it differs from all
        others.
        """
        return self._mismatches[self._is_local(peer)] >= VIEW_MISMATCH_LIMIT

    def last_contact(self, name: str) -> float:
        """Return when a peer last sent a digest, in monotonic seconds."""
        progress = self._progress.get(name)
        return progress.last_contact if progress else float("-inf")

    def build(self, digest_type: type[NewsT], peer: str, now: float) -> NewsT:
        """Return the digest for a peer."""
        own = self._members.own
        progress = self._progress.get(peer)
        seen = progress.acknowledged if progress else 0
        centres, heard = self._failure_detector.encode_ages(now)
        members = self._select_members(peer, seen)
        instances = self._select_notes(peer, seen)
        return digest_type(
            vitals=Vitals(
                own.incarnation, own.fleet_offset, own.fleet_digest, own.in_flight
            ),
            version=instances.until,
            seen=progress.received if progress else 0,
            view=self._members.view(),
            members=tuple(MemberState.of(member) for member in members),
            instances=instances.items,
            centres=centres,
            heard=heard,
        )

    def apply(self, peer: str, digest: GossipDigest, now: float) -> list[Event]:
        """Apply a peer's digest and return the resulting events."""
        received = [state.to_member() for state in digest.members]
        events: list[Event] = list(self._members.apply(received, now, peer))
        self._received_incarnations[peer] = digest.vitals.incarnation
        member = self._members.get(peer)
        if member is None or member.incarnation == UNCONFIRMED:
            return events
        if member.incarnation > digest.vitals.incarnation:
            return events
        self._record_progress(member, digest, now)
        self._members.update_vitals(
            peer,
            digest.vitals.fleet_offset,
            digest.vitals.fleet_digest,
            digest.vitals.in_flight,
        )
        self._failure_detector.record_contact(member.data_centre, now)
        self._failure_detector.merge_ages(digest.centres, digest.heard, now)
        is_local = self._is_local(peer)
        if is_local:
            events.extend(self._instances.apply_notes(digest.instances, peer, now))
        differs = digest.view != self._members.view()
        self._mismatches[is_local] = self._mismatches[is_local] + 1 if differs else 0
        return events

    def apply_view(self, peer: str, received: list[Member], now: float) -> list[Event]:
        """Apply the members of whole data centres and return the resulting events."""
        self._mismatches[self._is_local(peer)] = 0
        return list(self._members.apply(received, now, peer))

    def remove_expired(self) -> None:
        """Remove the progress of peers that are no longer known."""
        for name in list(self._received_incarnations):
            if self._members.get(name) is None:
                del self._received_incarnations[name]
                self._progress.pop(name, None)

    def _record_progress(
        self, member: Member, digest: GossipDigest, now: float
    ) -> None:
        progress = self._progress.get(member.name)
        if progress is None or progress.incarnation != member.incarnation:
            progress = _PeerProgress(member.incarnation)
            self._progress[member.name] = progress
        # A version above the counter belongs to an earlier run of this process.
        known = digest.seen <= self._counter.value
        progress.acknowledged = digest.seen if known else 0
        progress.received = digest.version
        progress.last_contact = now

    def _select_members(self, peer: str, seen: int) -> list[Member]:
        # A new peer only needs the sender; it fetches the rest once as a view if its
        # own differs. The same holds if more changed than a digest holds: when many
        # members change at once, each entry node would receive most changes many times.
        if seen:
            selected = self._members.changes_since(seen, MAX_DIGEST_MEMBERS, peer)
        else:
            selected = [self._members.own]
        candidate = self._members.get(peer)
        if (
            candidate is not None
            and candidate not in selected
            and self._is_disputed(candidate)
        ):
            selected.append(candidate)
        return selected

    def _is_disputed(self, candidate: Member) -> bool:
        # Every digest to a peer that is suspect, or whose name has a later incarnation,
        # says so until the peer reacts; otherwise a suspicion could outlive its cause.
        received_incarnation = self._received_incarnations.get(candidate.name)
        if candidate.incarnation == UNCONFIRMED or received_incarnation is None:
            return False
        return (
            candidate.status in _DISPUTED_STATUSES
            or candidate.incarnation != received_incarnation
        )

    def _select_notes(self, peer: str, seen: int) -> Changes[InstanceNote]:
        if not self._is_local(peer):
            return Changes((), self._counter.value)
        # A peer without acknowledged versions may have sent notes before its restart
        # and lost them since, so it gets its own notes too.
        receiver = peer if seen else ""
        return self._instances.notes_since(seen, MAX_DIGEST_NOTES, receiver)

    def _is_local(self, peer: str) -> bool:
        member = self._members.get(peer)
        centre = self._members.own.data_centre
        return member is not None and member.data_centre == centre
