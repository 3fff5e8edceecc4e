"""Let entries take the log's entries and state from each other."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any, Final

import anyio

from ...core import Core
from ...exceptions import PeerError, PeerOutcomeUnknownError
from ...state.log import FoldedLog
from ...state.relay import RelayAnswer, RelayQuestion, RelayStatus, RelayWanted
from ..keys import MEMBERSHIP, PEERS
from ..membership.models import Member
from ..peers.protocols import Peers, peer_message

PROBED_PEERS: Final = 12
"""Peers asked how far they are before a whole state is taken."""
_PROBE_SECONDS: Final = 1.0
_IMAGE_SECONDS: Final = 10.0
_UNAVAILABLE: Final = RelayAnswer(RelayStatus.UNAVAILABLE)

peer_message("log.relay", RelayAnswer)(RelayQuestion)


class PeerRelay:
    """Ask other entries over the peers' transport; implements ``RelaySource``.

    :param core: where membership and transport are found once they are set up.
    :param random: spreads the questions over peers.
    """

    def __init__(self, core: Core, random: Random) -> None:
        self._core = core
        self._random = random

    async def async_entries(self, question: RelayQuestion) -> RelayAnswer:
        """Ask one peer, by preference one that is known to be ahead."""
        members = self._others(question.stream)
        ahead = [
            member for member in members if member.fleet_offset > question.next_offset
        ]
        candidates = ahead or members
        if not candidates:
            return _UNAVAILABLE
        return await self._async_ask(
            self._random.choice(candidates), question, _PROBE_SECONDS
        )

    async def async_image(self, question: RelayQuestion) -> RelayAnswer:
        """Ask several peers how far they are, and the furthest for its state."""
        # Taking the first answer could take a stale peer's state, and this entry would
        # serve a configuration that the others have already left behind.
        members = self._others(question.stream)
        members.sort(key=lambda member: -member.fleet_offset)
        furthest: tuple[int, Member] | None = None
        answers = await self._async_probe(members[:PROBED_PEERS], question.stream)
        for member, answer in answers:
            if answer.status is RelayStatus.UNAVAILABLE:
                continue
            if furthest is None or answer.next_offset > furthest[0]:
                furthest = (answer.next_offset, member)
        if furthest is None:
            return _UNAVAILABLE
        return await self._async_ask(furthest[1], question, _IMAGE_SECONDS)

    async def _async_probe(
        self, members: list[Member], stream: str
    ) -> list[tuple[Member, RelayAnswer]]:
        answers: list[tuple[Member, RelayAnswer]] = []
        probe = RelayQuestion(stream, 0, "", RelayWanted.POSITION)

        async def ask(member: Member) -> None:
            answers.append(
                (member, await self._async_ask(member, probe, _PROBE_SECONDS))
            )

        async with anyio.create_task_group() as group:
            for member in members:
                group.start_soon(ask, member)
        return answers

    async def _async_ask(
        self, member: Member, question: RelayQuestion, timeout_seconds: float
    ) -> RelayAnswer:
        peers = self._core.find(PEERS)
        if peers is None:
            return _UNAVAILABLE
        try:
            answer = await peers.async_call(member, question, timeout_seconds)
        except (PeerError, PeerOutcomeUnknownError):
            return _UNAVAILABLE
        return answer if isinstance(answer, RelayAnswer) else _UNAVAILABLE

    def _others(self, stream: str) -> list[Member]:
        membership = self._core.find(MEMBERSHIP)
        if membership is None:
            return []
        own = membership.own
        # Only the entries of a data centre fold its stream of work.
        centre = own.data_centre if stream.startswith("work.") else None
        return [member for member in membership.live(centre) if member.name != own.name]


def serve_relay(peers: Peers, logs: list[FoldedLog[Any]]) -> Callable[[], None]:
    """Answer peers' questions about some logs until unsubscribed."""
    by_stream = {log.spec.name: log for log in logs}

    async def async_answer(caller: str, question: RelayQuestion) -> RelayAnswer:
        log = by_stream.get(question.stream)
        return _UNAVAILABLE if log is None else log.answer(question)

    return peers.handle(RelayQuestion, async_answer)
