"""Build and take in the digests that entries exchange.

Pure but for the tables it changes. A digest carries only what its receiver has not
seen, by the receiver's own word, so a lost reply is made good by the next one.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final, TypeVar

from .const import DIGEST_MEMBERS, DIGEST_NOTES, VIEW_MISMATCHES
from .counter import ChangeCounter, Changes
from .instances import InstanceTable
from .messages import InstanceNote, MemberState, News, Vitals
from .models import Member, MemberStatus
from .reporter import Event
from .silence import SilenceDetector
from .table import UNMET, MemberTable

NewsT = TypeVar("NewsT", bound=News)

_CONTESTED: Final = (MemberStatus.SUSPECT, MemberStatus.GONE)


@dataclass(slots=True, eq=False)
class _Dialogue:
    """Hold how far this process and an incarnation of a peer know of each other."""

    incarnation: int
    seen_by_peer: int = 0
    received: int = 0
    heard: float = float("-inf")


class Digests:
    """Exchange the news of three tables with peers."""

    def __init__(
        self,
        counter: ChangeCounter,
        members: MemberTable,
        instances: InstanceTable,
        silence: SilenceDetector,
    ) -> None:
        self._counter = counter
        self._members = members
        self._instances = instances
        self._silence = silence
        self._dialogues: dict[str, _Dialogue] = {}
        self._spoken: dict[str, int] = {}
        self._mismatches = {True: 0, False: 0}

    def wants_view(self, peer: str) -> bool:
        """Tell whether this process and peers near or far have differed for a while.

        The two are counted apart: a data centre whose entries agree with each other
        would else never notice that it differs from all others.
        """
        return self._mismatches[self._is_near(peer)] >= VIEW_MISMATCHES

    def heard(self, name: str) -> float:
        """Return when a peer last spoke."""
        dialogue = self._dialogues.get(name)
        return dialogue.heard if dialogue else float("-inf")

    def build(self, news_type: type[NewsT], peer: str, now: float) -> NewsT:
        """Return the news for a peer."""
        own = self._members.own
        dialogue = self._dialogues.get(peer)
        seen = dialogue.seen_by_peer if dialogue else 0
        centres, heard = self._silence.tell(now)
        members = self._member_news(peer, seen)
        instances = self._instance_news(peer, seen)
        return news_type(
            vitals=Vitals(
                own.incarnation, own.fleet_offset, own.fleet_digest, own.in_flight
            ),
            version=instances.until,
            seen=dialogue.received if dialogue else 0,
            view=self._members.view(),
            members=tuple(MemberState.of(member) for member in members),
            instances=instances.items,
            centres=centres,
            heard=heard,
        )

    def take(self, peer: str, news: News, now: float) -> list[Event]:
        """Take in a peer's news and return what changed."""
        told = [state.to_member() for state in news.members]
        events: list[Event] = list(self._members.apply(told, now, peer))
        self._spoken[peer] = news.vitals.incarnation
        member = self._members.get(peer)
        if member is None or member.incarnation == UNMET:
            return events
        if member.incarnation > news.vitals.incarnation:
            return events
        self._note_dialogue(member, news, now)
        self._members.update_vitals(
            peer,
            news.vitals.fleet_offset,
            news.vitals.fleet_digest,
            news.vitals.in_flight,
        )
        self._silence.hear(member.data_centre, now)
        self._silence.hear_of(news.centres, news.heard, now)
        near = self._is_near(peer)
        if near:
            events.extend(self._instances.merge(news.instances, peer, now))
        differs = news.view != self._members.view()
        self._mismatches[near] = self._mismatches[near] + 1 if differs else 0
        return events

    def take_view(self, peer: str, told: list[Member], now: float) -> list[Event]:
        """Take in the members of whole data centres."""
        self._mismatches[self._is_near(peer)] = 0
        return list(self._members.apply(told, now, peer))

    def forget(self) -> None:
        """Drop dialogues with peers that are no longer known."""
        for name in list(self._spoken):
            if self._members.get(name) is None:
                del self._spoken[name]
                self._dialogues.pop(name, None)

    def _note_dialogue(self, member: Member, news: News, now: float) -> None:
        dialogue = self._dialogues.get(member.name)
        if dialogue is None or dialogue.incarnation != member.incarnation:
            dialogue = _Dialogue(member.incarnation)
            self._dialogues[member.name] = dialogue
        # A number above ours was counted by an earlier start of this process.
        known = news.seen <= self._counter.value
        dialogue.seen_by_peer = news.seen if known else 0
        dialogue.received = news.version
        dialogue.heard = now

    def _member_news(self, peer: str, seen: int) -> list[Member]:
        # A peer met for the first time needs to know who speaks; the rest it fetches
        # as a whole, once, if its view differs. So it does when more changed than a
        # digest holds: where many change at once, most of the news would reach each
        # entry many times over.
        if seen:
            news = self._members.changes_since(seen, DIGEST_MEMBERS, peer)
        else:
            news = [self._members.own]
        told = self._members.get(peer)
        if told is not None and told not in news and self._is_contested(told):
            news.append(told)
        return news

    def _is_contested(self, told: Member) -> bool:
        # A peer that is suspected, or whose name has a later start, hears it in every
        # digest until it answers; else a suspicion could outlive its cause.
        spoken = self._spoken.get(told.name)
        if told.incarnation == UNMET or spoken is None:
            return False
        return told.status in _CONTESTED or told.incarnation != spoken

    def _instance_news(self, peer: str, seen: int) -> Changes[InstanceNote]:
        if not self._is_near(peer):
            return Changes((), self._counter.value)
        # A peer met for the first time may have told of some in an earlier life.
        receiver = peer if seen else ""
        return self._instances.notes_since(seen, DIGEST_NOTES, receiver)

    def _is_near(self, peer: str) -> bool:
        member = self._members.get(peer)
        centre = self._members.own.data_centre
        return member is not None and member.data_centre == centre
