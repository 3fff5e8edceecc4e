"""Choose the peers for exchanges and indirect probes.

Reads no clock; the random generator is injected.
"""

from __future__ import annotations

from random import Random

from .const import JOIN_CONTACTS, SUSPECT_RETRY_SECONDS
from .duties import delegates
from .models import Member, MemberStatus
from .table import UNCONFIRMED, MemberTable


def is_live(member: Member) -> bool:
    """Return whether a member is alive and confirmed."""
    return member.status is MemberStatus.ALIVE and member.incarnation != UNCONFIRMED


class TargetChooser:
    """Choose peers in shuffled rounds, each of which covers every peer."""

    def __init__(self, table: MemberTable, random: Random) -> None:
        self._table = table
        self._random = random
        self._peers: list[str] = []
        self._centres: list[str] = []
        self._contacted_at: dict[str, float] = {}

    def local_peers(self) -> list[Member]:
        """Return the other members of the own data centre."""
        own = self._table.own
        members = self._table.members(own.data_centre)
        return [member for member in members if member.name != own.name]

    def is_delegate(self) -> bool:
        """Return whether this process gossips with other data centres now."""
        own = self._table.own
        return own.name in self._delegates(own.data_centre)

    def remote_delegates(self) -> list[Member]:
        """Return the delegates of all other data centres."""
        found: list[Member] = []
        for centre in self._other_centres():
            names = self._delegates(centre)
            found.extend(m for m in self._table.members(centre) if m.name in names)
        return found

    def choose_join_contacts(self) -> list[Member]:
        """Return contacts for joining, local members first."""
        local = self.local_peers()
        centre = self._table.own.data_centre
        remote = [m for m in self._table.members() if m.data_centre != centre]
        self._random.shuffle(local)
        self._random.shuffle(remote)
        return local[:JOIN_CONTACTS] + remote[:JOIN_CONTACTS]

    def choose_local(self, now: float) -> list[Member]:
        """Return the next responsive peer and a suspect one due for a retry."""
        peers = {member.name: member for member in self.local_peers()}
        suspects = [m for m in peers.values() if m.status is MemberStatus.SUSPECT]
        responsive = peers.keys() - {member.name for member in suspects}
        chosen = self._draw(self._peers, responsive)
        targets = [peers[chosen]] if chosen else []
        due = [m for m in suspects if self._is_due(m.name, now)]
        if due:
            targets.append(self._random.choice(due))
        return self._record_contacts(targets, now)

    def choose_remote(self, now: float) -> list[Member]:
        """Return a member of the next remote data centre, preferably a delegate."""
        centre = self._draw(self._centres, set(self._other_centres()))
        if centre is None:
            return []
        members = self._table.members(centre)
        names = self._delegates(centre)
        choice = (
            [m for m in members if m.name in names and self._is_due(m.name, now)]
            or [m for m in members if self._is_due(m.name, now)]
            or members
        )
        return [self._random.choice(choice)]

    def choose_helpers(self, target: Member, number: int) -> list[Member]:
        """Return live members that can probe a target, local ones first."""
        local = [m for m in self.local_peers() if is_live(m) and m != target]
        remote = [m for m in self.remote_delegates() if is_live(m)]
        self._random.shuffle(local)
        self._random.shuffle(remote)
        return (local + remote)[:number]

    def record_failure(self, name: str, now: float) -> None:
        """Delay the next contact with a member."""
        self._contacted_at[name] = now

    def record_success(self, name: str) -> None:
        """Clear the delay of a member."""
        self._contacted_at.pop(name, None)

    def _is_due(self, name: str, now: float) -> bool:
        tried = self._contacted_at.get(name)
        return tried is None or now - tried >= SUSPECT_RETRY_SECONDS

    def _record_contacts(self, targets: list[Member], now: float) -> list[Member]:
        for member in targets:
            if member.status is MemberStatus.SUSPECT:
                self._contacted_at[member.name] = now
        return targets

    def _delegates(self, centre: str) -> list[str]:
        return delegates(m for m in self._table.members(centre) if is_live(m))

    def _other_centres(self) -> list[str]:
        own = self._table.own.data_centre
        found = {member.data_centre for member in self._table.members()}
        return sorted(found - {own})

    def _draw(self, queue: list[str], wanted: set[str]) -> str | None:
        while queue:
            name = queue.pop()
            if name in wanted:
                return name
        queue.extend(sorted(wanted))
        self._random.shuffle(queue)
        return queue.pop() if queue else None
