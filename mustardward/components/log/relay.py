"""Let entries take the log's entries and state from each other."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from random import Random
from typing import Any, Final

import anyio

from ...const import FLEET_STREAM
from ...core import Core
from ...exceptions import PeerError, PeerOutcomeUnknownError
from ...state.images import Image
from ...state.log import FoldedLog
from ...state.relay import (
    RelayPart,
    RelayPartRequest,
    RelayRequest,
    RelayRequestKind,
    RelayResponse,
    RelayStatus,
)
from ..keys import MEMBERSHIP, PEERS
from ..membership.models import Member
from ..peers.protocols import Peers, peer_message

PROBED_PEERS: Final = 12
"""Peers asked how far they are before a whole state is taken."""
PART_BYTES: Final = 1_048_576
"""Largest part of an image in one answer."""
_PROBE_SECONDS: Final = 1.0
_IMAGE_SECONDS: Final = 10.0
_UNAVAILABLE: Final = RelayResponse(RelayStatus.UNAVAILABLE)

peer_message("log.relay", RelayResponse)(RelayRequest)
peer_message("log.relay.part", RelayPart)(RelayPartRequest)


class PeerRelay:
    """Ask other entries over the peers' transport; implements ``RelaySource``.

    :param core: where membership and transport are found once they are set up.
    :param random: spreads the questions over peers.
    """

    def __init__(self, core: Core, random: Random) -> None:
        self._core = core
        self._random = random

    async def async_entries(self, question: RelayRequest) -> RelayResponse:
        """Ask one peer, by preference one that is known to be ahead."""
        members = self._others(question.stream)
        ahead = [
            member
            for member in members
            if _known_offset(member, question.stream) > question.next_offset
        ]
        candidates = ahead or members
        if not candidates:
            return _UNAVAILABLE
        return await self._async_ask(
            self._random.choice(candidates), question, _PROBE_SECONDS
        )

    async def async_image(self, question: RelayRequest) -> RelayResponse:
        """Ask several peers how far they are, and the furthest for its state."""
        # Taking the first answer could take a stale peer's state, and this entry would
        # serve a configuration that the others have already left behind.
        members = self._others(question.stream)
        members.sort(key=lambda member: -_known_offset(member, question.stream))
        furthest: tuple[int, Member] | None = None
        answers = await self._async_probe(members[:PROBED_PEERS], question.stream)
        for member, answer in answers:
            if answer.status is RelayStatus.UNAVAILABLE:
                continue
            if furthest is None or answer.next_offset > furthest[0]:
                furthest = (answer.next_offset, member)
        if furthest is None:
            return _UNAVAILABLE
        member = furthest[1]
        answer = await self._async_ask(member, question, _IMAGE_SECONDS)
        return await self._async_complete(member, question.stream, answer)

    async def _async_complete(
        self, member: Member, stream: str, answer: RelayResponse
    ) -> RelayResponse:
        image = answer.image
        if image is None or answer.image_parts == 1:
            return answer
        parts = [image.body]
        for number in range(1, answer.image_parts):
            wanted = RelayPartRequest(stream, image.header.body_digest, number)
            part = await self._async_call(member, wanted, _IMAGE_SECONDS)
            if not isinstance(part, RelayPart) or not part.body:
                return _UNAVAILABLE
            parts.append(part.body)
        whole = Image(image.header, b"".join(parts))
        return replace(answer, image=whole, image_parts=1)

    async def _async_probe(
        self, members: list[Member], stream: str
    ) -> list[tuple[Member, RelayResponse]]:
        answers: list[tuple[Member, RelayResponse]] = []
        probe = RelayRequest(stream, 0, "", RelayRequestKind.POSITION)

        async def ask(member: Member) -> None:
            answers.append(
                (member, await self._async_ask(member, probe, _PROBE_SECONDS))
            )

        async with anyio.create_task_group() as group:
            for member in members:
                group.start_soon(ask, member)
        return answers

    async def _async_ask(
        self, member: Member, question: RelayRequest, timeout_seconds: float
    ) -> RelayResponse:
        answer = await self._async_call(member, question, timeout_seconds)
        return answer if isinstance(answer, RelayResponse) else _UNAVAILABLE

    async def _async_call(
        self, member: Member, message: Any, timeout_seconds: float
    ) -> Any:
        peers = self._core.find(PEERS)
        if peers is None:
            return None
        try:
            return await peers.async_call(member, message, timeout_seconds)
        except (PeerError, PeerOutcomeUnknownError):
            return None

    def _others(self, stream: str) -> list[Member]:
        membership = self._core.find(MEMBERSHIP)
        if membership is None:
            return []
        own = membership.own
        # Only the entries of a data centre fold its stream of work.
        centre = None if stream == FLEET_STREAM else own.data_centre
        return [member for member in membership.live(centre) if member.name != own.name]


def _known_offset(member: Member, stream: str) -> int:
    """Return how far a member said it is; members only tell of the fleet's stream."""
    return member.fleet_offset if stream == FLEET_STREAM else 0


class RelayServer:
    """Answer peers' questions about some logs.

    The last image that took more than one part is held until its last part is sent, so
    that all parts are of one state.
    """

    def __init__(self, logs: list[FoldedLog[Any]]) -> None:
        self._logs = {log.spec.name: log for log in logs}
        self._held: dict[str, Image] = {}

    def subscribe(self, peers: Peers) -> Callable[[], None]:
        """Answer until unsubscribed."""
        undo = [
            peers.handle(RelayRequest, self._async_answer),
            peers.handle(RelayPartRequest, self._async_part),
        ]

        def unsubscribe() -> None:
            for stop in undo:
                stop()

        return unsubscribe

    async def _async_answer(self, caller: str, question: RelayRequest) -> RelayResponse:
        log = self._logs.get(question.stream)
        if log is None:
            return _UNAVAILABLE
        answer = log.respond(question)
        if answer.image is None or len(answer.image.body) <= PART_BYTES:
            return answer
        self._held[question.stream] = answer.image
        first = Image(answer.image.header, answer.image.body[:PART_BYTES])
        parts = -(-len(answer.image.body) // PART_BYTES)
        return replace(answer, image=first, image_parts=parts)

    async def _async_part(self, caller: str, question: RelayPartRequest) -> RelayPart:
        held = self._held.get(question.stream)
        if held is None or held.header.body_digest != question.body_digest:
            return RelayPart()
        start = question.part * PART_BYTES
        body = held.body[start : start + PART_BYTES]
        if start + PART_BYTES >= len(held.body):
            del self._held[question.stream]
        return RelayPart(body)
