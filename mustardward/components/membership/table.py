"""Merge what is told of members into one table.

Pure: news and the time go in, events come out. Two tables that heard the same news, in
whatever order and however often, hold the same.
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

_EVENTS: Final = {
    MemberStatus.ALIVE: "refute",
    MemberStatus.SUSPECT: "suspect",
    MemberStatus.LEAVING: "leave",
    MemberStatus.GONE: "end",
}
_RANKS: Final = {status: rank for rank, status in enumerate(MemberStatus)}
UNMET: Final = 0
"""Incarnation of a member known by its address only; it is never told on."""


TableEvent = MembershipChanged | OwnStatusContested


@dataclass(slots=True, eq=False)
class _Record:
    """Hold a member, when it last changed by count and by time, and who told of it."""

    member: Member
    version: int
    changed: float
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
        """Return a number that grows with each change of a state or a member."""
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
        """Return the members that changed last after a version; unmet ones never.

        :param receiver: who is told; what it told itself is left out.
        """
        changed = [
            record
            for record in self._records.values()
            if record.version > version
            and record.member.incarnation != UNMET
            and (not receiver or record.source != receiver)
        ]
        changed.sort(key=lambda record: record.version)
        return [record.member for record in changed[-limit:]]

    def all_met(self, data_centres: Iterable[str]) -> list[Member]:
        """Return all members of some data centres, gone ones included."""
        wanted = frozenset(data_centres)
        return [
            record.member
            for record in self._records.values()
            if record.member.data_centre in wanted
            and record.member.incarnation != UNMET
        ]

    def digests(self) -> dict[str, int]:
        """Return a digest of the members of each data centre; gone ones do not count.

        Two tables with the same digests agree on who is in which state.
        """
        if self._digests is None:
            self._digests = {}
            for member in self.members():
                if member.incarnation != UNMET:
                    centre = member.data_centre
                    sofar = self._digests.get(centre, 0)
                    self._digests[centre] = sofar ^ _member_digest(member)
        return self._digests

    def view(self) -> int:
        """Return one digest of all members that are not gone."""
        view = 0
        for digest in self.digests().values():
            view ^= digest
        return view

    def mark_joined(self) -> None:
        """Note that others know this process; from now on its name is taken."""
        self._joined = True

    def meet(self, name: str, data_centre: str, address: str, now: float) -> None:
        """Note where a member may be found, if nothing is known of it.

        It is suspect until it says otherwise, so that no work goes to a mere address.
        """
        if name not in self._records:
            status = MemberStatus.SUSPECT
            member = Member(name, data_centre, address, UNMET, status)
            self._put(member, now)

    def update_vitals(
        self, name: str, fleet_offset: int, fleet_digest: str, in_flight: int
    ) -> None:
        """Take over what a member says of itself; this is no change to tell on."""
        record = self._records.get(name)
        if record is not None:
            record.member = replace(
                record.member,
                fleet_offset=fleet_offset,
                fleet_digest=fleet_digest,
                in_flight=in_flight,
            )

    def set_own_address(self, address: str, now: float) -> None:
        """Note where this process listens."""
        self._put(replace(self.own, address=address), now)

    def apply(
        self, told: Iterable[Member], now: float, source: str = ""
    ) -> list[TableEvent]:
        """Merge what was told and return what that changed.

        :param source: the peer that told it.
        """
        events: list[TableEvent] = []
        for member in told:
            if member.name == self._own_name:
                events.extend(self._merge_own(member, now))
            else:
                events.extend(self._merge(member, now, source))
        return events

    def signal(
        self, member: Member, status: MemberStatus, now: float
    ) -> list[TableEvent]:
        """Take own evidence of a member into account, unless it spoke up since."""
        known = self.get(member.name)
        if known is None or _spoken_word(known) != _spoken_word(member):
            return []
        return self.apply([replace(known, status=status)], now)

    def leave(self, status: MemberStatus, now: float) -> list[TableEvent]:
        """Put this process into a state from which nothing leads back."""
        previous = self.own.status
        event = _EVENTS[status]
        if not self._chart.accepts(previous, event):
            return []
        after = MemberStatus(self._chart.next_state(previous, event))
        self._put(replace(self.own, status=after), now)
        return [MembershipChanged(self.own, previous)]

    def forget(self, now: float) -> None:
        """Drop members that are gone for so long that no peer tells of them."""
        for name, record in list(self._records.items()):
            gone = record.member.status is MemberStatus.GONE
            if gone and now - record.changed > TOMBSTONE_SECONDS:
                self._revision += 1
                del self._records[name]

    def _merge(self, told: Member, now: float, source: str) -> list[TableEvent]:
        known = self.get(told.name)
        if known is None or told.incarnation > known.incarnation:
            return self._replace(known, told, now, source)
        stale = told.incarnation < known.incarnation
        if stale or not self._advances(known, told):
            return []
        after = self._chart.next_state(known.status, _EVENTS[told.status])
        refutations = max(known.refutations, told.refutations)
        merged = replace(known, refutations=refutations, status=MemberStatus(after))
        self._put(merged, now, source)
        if merged.status is known.status:
            return []
        return [MembershipChanged(merged, known.status)]

    def _advances(self, known: Member, told: Member) -> bool:
        if not self._chart.accepts(known.status, _EVENTS[told.status]):
            return False
        # A suspicion and its refutation compare by their count. What is final for an
        # incarnation holds against any refutation; otherwise two entries that hear of
        # a leaving and of an older refutation in different order stay at odds.
        same = told.refutations == known.refutations
        if same or told.status in FINAL_STATUSES:
            return _RANKS[told.status] > _RANKS[known.status]
        return told.refutations > known.refutations

    def _replace(
        self, known: Member | None, told: Member, now: float, source: str
    ) -> list[TableEvent]:
        if told.incarnation == UNMET:
            return []
        self._put(told, now, source)
        if known is None and told.status is MemberStatus.GONE:
            return []
        return [MembershipChanged(told, known.status if known else None)]

    def _merge_own(self, told: Member, now: float) -> list[TableEvent]:
        own = self.own
        if told.incarnation > own.incarnation:
            return self._meet_namesake(told, now)
        stale = told.incarnation < own.incarnation
        if stale or told.status is MemberStatus.ALIVE:
            return []
        if own.status in FINAL_STATUSES:
            return []
        if told.status in FINAL_STATUSES:
            # Others were given proof that this process ended, and may have acted on
            # it, while it was only paused. That incarnation stays ended; it joins anew.
            return self._restart(told, ContestReason.DECLARED_GONE, now)
        if told.refutations < own.refutations:
            return []
        self._put(replace(own, refutations=told.refutations + 1), now)
        return [OwnStatusContested(ContestReason.SUSPECTED, own.incarnation)]

    def _meet_namesake(self, told: Member, now: float) -> list[TableEvent]:
        # Before it joined, this process may meet its own predecessor, whose clock ran
        # ahead: it then has to start later than that one. Afterwards, a later start
        # under its name is a successor, and the two would outbid each other for ever.
        if not self._joined:
            return self._restart(told, ContestReason.DECLARED_GONE, now)
        events = self.leave(MemberStatus.LEAVING, now)
        if not events:
            return []
        return [*events, OwnStatusContested(ContestReason.SUPERSEDED, told.incarnation)]

    def _restart(
        self, told: Member, verdict: ContestReason, now: float
    ) -> list[TableEvent]:
        incarnation = told.incarnation + 1
        status = MemberStatus(self._chart.initial)
        anew = replace(self.own, incarnation=incarnation, status=status, refutations=0)
        self._put(anew, now)
        return [OwnStatusContested(verdict, incarnation)]

    def _put(self, member: Member, now: float, source: str = "") -> None:
        self._digests = None
        self._revision += 1
        version = self._counter.advance()
        self._records[member.name] = _Record(member, version, now, source)


def _spoken_word(member: Member) -> tuple[int, int]:
    return (member.incarnation, member.refutations)


def _member_digest(member: Member) -> int:
    final = member.status in FINAL_STATUSES
    word = member.incarnation if final else _spoken_word(member)
    text = f"{member.name}\x00{word}\x00{member.status}"
    return xxhash.xxh3_64_intdigest(text.encode()) >> 32
