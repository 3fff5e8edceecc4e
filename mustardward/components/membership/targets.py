"""Choose whom to exchange digests with.

Pure: the table, the time and a seeded generator go in, members come out.
"""

from __future__ import annotations

from random import Random

from .const import FIRST_CONTACTS, SUSPECT_RETRY_SECONDS
from .duties import delegates
from .models import Member, MemberStatus
from .table import UNMET, MemberTable


def is_live(member: Member) -> bool:
    """Tell whether a member is alive and was met."""
    return member.status is MemberStatus.ALIVE and member.incarnation != UNMET


class TargetChooser:
    """Go through peers in shuffled rounds, so that each is met within one round."""

    def __init__(self, table: MemberTable, random: Random) -> None:
        self._table = table
        self._random = random
        self._peers: list[str] = []
        self._centres: list[str] = []
        self._tried: dict[str, float] = {}

    def local_peers(self) -> list[Member]:
        """Return the other members of the own data centre."""
        own = self._table.own
        members = self._table.members(own.data_centre)
        return [member for member in members if member.name != own.name]

    def is_delegate(self) -> bool:
        """Tell whether this process talks to other data centres now."""
        own = self._table.own
        return own.name in self._delegates(own.data_centre)

    def remote_delegates(self) -> list[Member]:
        """Return the delegates of all other data centres."""
        found: list[Member] = []
        for centre in self._other_centres():
            names = self._delegates(centre)
            found.extend(m for m in self._table.members(centre) if m.name in names)
        return found

    def first_contacts(self) -> list[Member]:
        """Return members to try before this process has joined, near ones first."""
        local = self.local_peers()
        centre = self._table.own.data_centre
        remote = [m for m in self._table.members() if m.data_centre != centre]
        self._random.shuffle(local)
        self._random.shuffle(remote)
        return local[:FIRST_CONTACTS] + remote[:FIRST_CONTACTS]

    def next_local(self, now: float) -> list[Member]:
        """Return a peer that speaks, and a suspect one whose turn it is."""
        peers = {member.name: member for member in self.local_peers()}
        suspects = [m for m in peers.values() if m.status is MemberStatus.SUSPECT]
        speaking = peers.keys() - {member.name for member in suspects}
        chosen = self._next(self._peers, speaking)
        targets = [peers[chosen]] if chosen else []
        due = [m for m in suspects if self._is_due(m.name, now)]
        if due:
            targets.append(self._random.choice(due))
        return self._note(targets, now)

    def next_remote(self, now: float) -> list[Member]:
        """Return a member of the next other data centre, best a delegate of it."""
        centre = self._next(self._centres, set(self._other_centres()))
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

    def helpers(self, doubted: Member, number: int) -> list[Member]:
        """Return members to ask whether they reach another one."""
        local = [m for m in self.local_peers() if is_live(m) and m != doubted]
        remote = [m for m in self.remote_delegates() if is_live(m)]
        self._random.shuffle(local)
        self._random.shuffle(remote)
        return (local + remote)[:number]

    def note_failure(self, name: str, now: float) -> None:
        """Leave a member alone for a while."""
        self._tried[name] = now

    def note_success(self, name: str) -> None:
        """Let a member be chosen at any time."""
        self._tried.pop(name, None)

    def _is_due(self, name: str, now: float) -> bool:
        tried = self._tried.get(name)
        return tried is None or now - tried >= SUSPECT_RETRY_SECONDS

    def _note(self, targets: list[Member], now: float) -> list[Member]:
        for member in targets:
            if member.status is MemberStatus.SUSPECT:
                self._tried[member.name] = now
        return targets

    def _delegates(self, centre: str) -> list[str]:
        return delegates(m for m in self._table.members(centre) if is_live(m))

    def _other_centres(self) -> list[str]:
        own = self._table.own.data_centre
        found = {member.data_centre for member in self._table.members()}
        return sorted(found - {own})

    def _next(self, queue: list[str], wanted: set[str]) -> str | None:
        while queue:
            name = queue.pop()
            if name in wanted:
                return name
        queue.extend(sorted(wanted))
        self._random.shuffle(queue)
        return queue.pop() if queue else None
