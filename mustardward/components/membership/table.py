"""Merge received member states into one table.

Has no side effects and reads no clock. Merging is commutative and idempotent: tables
that received the same states in any order and number of repetitions are equal.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import Final

import xxhash

from ...helpers.chart import Chart, load_chart
from .const import TOMBSTONE_SECONDS
from .counter import ChangeCounter
from .models import (
    FINAL_STATUSES,
    ContestReason,
    Member,
    MembershipChanged,
    MemberStatus,
    OwnStatusContested,
)

_CHART_EVENTS: Final = {
    MemberStatus.ALIVE: "refute",
    MemberStatus.SUSPECT: "suspect",
    MemberStatus.LEAVING: "leave",
    MemberStatus.GONE: "end",
}
_STATUS_RANKS: Final = {status: rank for rank, status in enumerate(MemberStatus)}
UNCONFIRMED: Final = 0
"""Incarnation of a member of which only the address is known; never sent to peers."""


TableEvent = MembershipChanged | OwnStatusContested


@dataclass(slots=True, eq=False)
class _Record:
    """Hold a member with the version, time and source of its last change."""

    member: Member
    version: int
    changed_at: float
    source: str = ""


class MemberTable:
    """Hold all members known, this process included.

    :param own: this process, alive.
    """

    def __init__(self, own: Member, counter: ChangeCounter, now: float) -> None:
        self._chart: Chart = load_chart("member")
        self._counter = counter
        self._own_name = own.name
        self._records = {own.name: _Record(own, counter.advance(), now)}
        self._joined = False
        self._revision = 0
        self._digests: dict[str, int] | None = None

    @property
    def revision(self) -> int:
        """Return a number that grows with each change of a status or of the members."""
        return self._revision

    @property
    def own(self) -> Member:
        """Return this process as a member."""
        return self._records[self._own_name].member

    def get(self, name: str) -> Member | None:
        """Return a member by name, gone ones included."""
        record = self._records.get(name)
        return record.member if record else None

    def members(self, data_centre: str | None = None) -> list[Member]:
        """Return the members that are not gone."""
        return [
            record.member
            for record in self._records.values()
            if record.member.status is not MemberStatus.GONE
            and data_centre in (None, record.member.data_centre)
        ]

    def changes_since(
        self, version: int, limit: int, receiver: str = ""
    ) -> list[Member]:
        """Return the last confirmed members that changed after a version.

        :param receiver: the peer whose own reports are left out.
        """
        changed = [
            record
            for record in self._records.values()
            if record.version > version
            and record.member.incarnation != UNCONFIRMED
            and (not receiver or record.source != receiver)
        ]
        changed.sort(key=lambda record: record.version)
        return [record.member for record in changed[-limit:]]

    def confirmed_members(self, data_centres: Iterable[str]) -> list[Member]:
        """Return the confirmed members of some data centres, gone ones included."""
        requested = frozenset(data_centres)
        return [
            record.member
            for record in self._records.values()
            if record.member.data_centre in requested
            and record.member.incarnation != UNCONFIRMED
        ]

    def digests(self) -> dict[str, int]:
        """Return a digest of the members of each data centre, gone ones excluded.

        Two tables with the same digests agree on the status of all members.
        """
        if self._digests is None:
            self._digests = {}
            for member in self.members():
                if member.incarnation != UNCONFIRMED:
                    centre = member.data_centre
                    combined = self._digests.get(centre, 0)
                    self._digests[centre] = combined ^ _member_digest(member)
        return self._digests

    def view(self) -> int:
        """Return one digest of all members that are not gone."""
        view = 0
        for digest in self.digests().values():
            view ^= digest
        return view

    def mark_joined(self) -> None:
        """Record that peers know this process.

        From then on, a later incarnation under its name supersedes it.
        """
        self._joined = True

    def add_address(
        self, name: str, data_centre: str, address: str, now: float
    ) -> None:
        """Add the address of a possible member, unless it is known.

        The member is suspect until it responds, so that no work is sent to an
        unconfirmed address.
        """
        if name not in self._records:
            status = MemberStatus.SUSPECT
            member = Member(name, data_centre, address, UNCONFIRMED, status)
            self._store(member, now)

    def update_vitals(
        self, name: str, fleet_offset: int, fleet_digest: str, in_flight: int
    ) -> None:
        """Update a member's report on itself, which isn't sent on to other peers."""
        record = self._records.get(name)
        if record is not None:
            record.member = replace(
                record.member,
                fleet_offset=fleet_offset,
                fleet_digest=fleet_digest,
                in_flight=in_flight,
            )

    def set_own_address(self, address: str, now: float) -> None:
        """Set the address at which this process listens."""
        self._store(replace(self.own, address=address), now)

    def apply(
        self, received: Iterable[Member], now: float, source: str = ""
    ) -> list[TableEvent]:
        """Merge received member states and return the resulting events.

        :param source: the peer that sent them.
        """
        events: list[TableEvent] = []
        for member in received:
            if member.name == self._own_name:
                events.extend(self._merge_own(member, now))
            else:
                events.extend(self._merge(member, now, source))
        return events

    def apply_evidence(
        self, member: Member, status: MemberStatus, now: float
    ) -> list[TableEvent]:
        """Apply own evidence of a member's status, unless the member changed since.

        The evidence is stale if the incarnation or the refutations have changed.
        """
        known = self.get(member.name)
        if known is None or _liveness_version(known) != _liveness_version(member):
            return []
        return self.apply([replace(known, status=status)], now)

    def set_final_status(self, status: MemberStatus, now: float) -> list[TableEvent]:
        """Set the status of this process to a final one."""
        previous = self.own.status
        event = _CHART_EVENTS[status]
        if not self._chart.accepts(previous, event):
            return []
        new_status = MemberStatus(self._chart.next_state(previous, event))
        self._store(replace(self.own, status=new_status), now)
        return [MembershipChanged(self.own, previous)]

    def remove_expired(self, now: float) -> None:
        """Remove members whose tombstone has expired."""
        for name, record in list(self._records.items()):
            gone = record.member.status is MemberStatus.GONE
            if gone and now - record.changed_at > TOMBSTONE_SECONDS:
                self._revision += 1
                del self._records[name]

    def _merge(self, received: Member, now: float, source: str) -> list[TableEvent]:
        known = self.get(received.name)
        if known is None or received.incarnation > known.incarnation:
            return self._replace(known, received, now, source)
        stale = received.incarnation < known.incarnation
        if stale or not self._advances(known, received):
            return []
        new_status = self._chart.next_state(
            known.status, _CHART_EVENTS[received.status]
        )
        refutations = max(known.refutations, received.refutations)
        merged = replace(
            known, refutations=refutations, status=MemberStatus(new_status)
        )
        self._store(merged, now, source)
        if merged.status is known.status:
            return []
        return [MembershipChanged(merged, known.status)]

    def _advances(self, known: Member, received: Member) -> bool:
        if not self._chart.accepts(known.status, _CHART_EVENTS[received.status]):
            return False
        # A suspicion and its refutation compare by the refutation count. A final status
        # overrides any refutation; otherwise two entry nodes that receive a final
        # status and an older refutation in different order would never converge.
        same = received.refutations == known.refutations
        if same or received.status in FINAL_STATUSES:
            return _STATUS_RANKS[received.status] > _STATUS_RANKS[known.status]
        return received.refutations > known.refutations

    def _replace(
        self, known: Member | None, received: Member, now: float, source: str
    ) -> list[TableEvent]:
        if received.incarnation == UNCONFIRMED:
            return []
        self._store(received, now, source)
        if known is None and received.status is MemberStatus.GONE:
            return []
        return [MembershipChanged(received, known.status if known else None)]

    def _merge_own(self, received: Member, now: float) -> list[TableEvent]:
        own = self.own
        if received.incarnation > own.incarnation:
            return self._handle_name_conflict(received, now)
        stale = received.incarnation < own.incarnation
        if stale or received.status is MemberStatus.ALIVE:
            return []
        if own.status in FINAL_STATUSES:
            return []
        if received.status in FINAL_STATUSES:
            # Peers may have acted on evidence that this process ended, though it was
            # only paused. That incarnation stays ended and the process joins again.
            return self._restart(received, ContestReason.DECLARED_GONE, now)
        if received.refutations < own.refutations:
            return []
        self._store(replace(own, refutations=received.refutations + 1), now)
        return [OwnStatusContested(ContestReason.SUSPECTED, own.incarnation)]

    def _handle_name_conflict(self, received: Member, now: float) -> list[TableEvent]:
        # Before it has joined, a later incarnation belongs to a predecessor whose clock
        # ran ahead, so this process takes a higher one. Afterwards it belongs to a
        # successor, and the two would raise their incarnations forever.
        if not self._joined:
            return self._restart(received, ContestReason.DECLARED_GONE, now)
        events = self.set_final_status(MemberStatus.LEAVING, now)
        if not events:
            return []
        return [
            *events,
            OwnStatusContested(ContestReason.SUPERSEDED, received.incarnation),
        ]

    def _restart(
        self, received: Member, reason: ContestReason, now: float
    ) -> list[TableEvent]:
        incarnation = received.incarnation + 1
        status = MemberStatus(self._chart.initial)
        restarted = replace(
            self.own, incarnation=incarnation, status=status, refutations=0
        )
        self._store(restarted, now)
        return [OwnStatusContested(reason, incarnation)]

    def _store(self, member: Member, now: float, source: str = "") -> None:
        self._digests = None
        self._revision += 1
        version = self._counter.advance()
        self._records[member.name] = _Record(member, version, now, source)


def _liveness_version(member: Member) -> tuple[int, int]:
    return (member.incarnation, member.refutations)


def _member_digest(member: Member) -> int:
    final = member.status in FINAL_STATUSES
    version_key = member.incarnation if final else _liveness_version(member)
    text = f"{member.name}\x00{version_key}\x00{member.status}"
    return xxhash.xxh3_64_intdigest(text.encode()) >> 32
