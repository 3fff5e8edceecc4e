"""Merge a subject's history from the parts of all entries."""

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
from .models import DecisionMade, HistoryLine, SubjectHistory
from .store import HistoryStore


@dataclass(frozen=True, slots=True)
class HistoryPart:
    """Hold the lines that one entry keeps of a subject."""

    entry: str
    lines: tuple[HistoryLine, ...]


@peer_message("explain.story", HistoryPart)
@dataclass(frozen=True, slots=True)
class HistoryRequest:
    """Request an entry's part of a subject's history."""

    subject_kind: str
    subject_id: str


@dataclass(slots=True)
class _Responses:
    """Collect the parts, and the members that did not respond."""

    parts: list[tuple[HistoryLine, ...]] = field(default_factory=list)
    missing: list[Member] = field(default_factory=list)


class Explainer:
    """Record decisions and applied records, and return the history of a subject."""

    def __init__(self, core: Core, store: HistoryStore) -> None:
        self._core = core
        self._store = store

    def record_decision(self, decision: DecisionMade) -> None:
        """Record a decision of this process."""
        self._store.add_decision(decision, self._core.timers.wall())

    def record_outcome(self, stream: str, outcome: RecordOutcome) -> None:
        """Record the outcome of an applied record."""
        self._store.add_outcome(stream, outcome, self._core.timers.wall())

    async def async_handle_request(
        self, caller: str, message: HistoryRequest
    ) -> HistoryPart:
        """Return this entry's part to a peer."""
        lines = self._store.lines(message.subject_kind, message.subject_id)
        return HistoryPart(self._core.settings.entry.name, lines)

    async def async_get_history(
        self, subject_kind: str, subject_id: str
    ) -> SubjectHistory:
        """Return the merged history, including whose parts are missing."""
        responses = _Responses([self._store.lines(subject_kind, subject_id)])
        request = HistoryRequest(subject_kind, subject_id)
        peers = self._core.find(PEERS)
        if peers is not None:
            async with anyio.create_task_group() as group:
                for member in self._other_members():
                    group.start_soon(
                        _async_request_part, peers, member, request, responses
                    )
        return SubjectHistory(
            subject_kind=subject_kind,
            subject_id=subject_id,
            lines=merge_lines(responses.parts),
            missing_entries=tuple(sorted(item.name for item in responses.missing)),
            missing_data_centres=self._missing_data_centres(responses),
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

    def _missing_data_centres(self, responses: _Responses) -> tuple[str, ...]:
        fleet = self._core.find(FLEET_LOG)
        if fleet is None:
            return ()
        missing_names = {item.name for item in responses.missing}
        reached = {self._core.settings.entry.data_centre}
        for member in self._other_members():
            if member.name not in missing_names:
                reached.add(member.data_centre)
        known = {item.data_centre for item in fleet.state.instances.values()}
        return tuple(sorted(known - reached))


async def _async_request_part(
    peers: Peers, member: Member, request: HistoryRequest, responses: _Responses
) -> None:
    try:
        part: HistoryPart = await peers.async_call(
            member, request, PART_TIMEOUT_SECONDS
        )
    except PeerError:
        responses.missing.append(member)
        return
    responses.parts.append(part.lines)
