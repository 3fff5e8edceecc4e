"""Tell a subject's story from the parts of all entries."""

from __future__ import annotations

from dataclasses import dataclass, field

import anyio

from ...core import Core
from ...exceptions import PeerError
from ...state.fold import RecordOutcome
from ..keys import FLEET_LOG, MEMBERSHIP, PEERS
from ..membership.models import Member, MemberStatus
from ..peers.protocols import Peers, peer_message
from .const import PART_TIMEOUT_SECONDS
from .merge import merge_lines
from .models import DecisionMade, Story, StoryLine
from .store import StoryStore


@dataclass(frozen=True, slots=True)
class StoryPart:
    """Reply with what one entry keeps of a subject."""

    entry: str
    lines: tuple[StoryLine, ...]


@peer_message("explain.story", StoryPart)
@dataclass(frozen=True, slots=True)
class AskStory:
    """Ask an entry for its part of a subject's story."""

    subject_kind: str
    subject_id: str


@dataclass(slots=True)
class _Gathered:
    """Collect the parts and the entries that did not answer."""

    parts: list[tuple[StoryLine, ...]] = field(default_factory=list)
    missing: list[Member] = field(default_factory=list)


class Explainer:
    """Note decisions and records, and tell them."""

    def __init__(self, core: Core, store: StoryStore) -> None:
        self._core = core
        self._store = store

    def note_decision(self, decision: DecisionMade) -> None:
        """Keep a decision of this process."""
        self._store.add_decision(decision, self._core.timers.wall())

    def note_outcome(self, stream: str, outcome: RecordOutcome) -> None:
        """Keep a folded record."""
        self._store.add_outcome(stream, outcome, self._core.timers.wall())

    async def async_answer(self, caller: str, message: AskStory) -> StoryPart:
        """Answer a peer with this entry's part."""
        lines = self._store.lines(message.subject_kind, message.subject_id)
        return StoryPart(self._core.settings.entry.name, lines)

    async def async_tell(self, subject_kind: str, subject_id: str) -> Story:
        """Return the merged story and say whose part is missing."""
        gathered = _Gathered([self._store.lines(subject_kind, subject_id)])
        question = AskStory(subject_kind, subject_id)
        peers = self._core.find(PEERS)
        if peers is not None:
            async with anyio.create_task_group() as group:
                for member in self._other_members():
                    group.start_soon(_async_ask, peers, member, question, gathered)
        return Story(
            subject_kind=subject_kind,
            subject_id=subject_id,
            lines=merge_lines(gathered.parts),
            missing_entries=tuple(sorted(item.name for item in gathered.missing)),
            missing_data_centres=self._silent_data_centres(gathered),
        )

    def _other_members(self) -> list[Member]:
        membership = self._core.find(MEMBERSHIP)
        if membership is None:
            return []
        own = membership.own.name
        return [
            item
            for item in membership.members()
            if item.name != own and item.status is not MemberStatus.GONE
        ]

    def _silent_data_centres(self, gathered: _Gathered) -> tuple[str, ...]:
        fleet = self._core.find(FLEET_LOG)
        if fleet is None:
            return ()
        absent = {item.name for item in gathered.missing}
        heard = {self._core.settings.entry.data_centre}
        for member in self._other_members():
            if member.name not in absent:
                heard.add(member.data_centre)
        known = {item.data_centre for item in fleet.state.instances.values()}
        return tuple(sorted(known - heard))


async def _async_ask(
    peers: Peers, member: Member, question: AskStory, gathered: _Gathered
) -> None:
    try:
        part: StoryPart = await peers.async_call(member, question, PART_TIMEOUT_SECONDS)
    except PeerError:
        gathered.missing.append(member)
        return
    gathered.parts.append(part.lines)
