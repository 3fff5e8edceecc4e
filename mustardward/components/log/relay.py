"""Relay log records and state images between entries."""

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

MAX_PROBED_PEERS: Final = 12
"""Maximum number of peers probed for their offset before an image is fetched."""
MAX_PART_BYTES: Final = 1_048_576
"""Largest part of an image in one response."""
_PROBE_TIMEOUT_SECONDS: Final = 1.0
_IMAGE_TIMEOUT_SECONDS: Final = 10.0
_UNAVAILABLE: Final = RelayResponse(RelayStatus.UNAVAILABLE)

peer_message("log.relay", RelayResponse)(RelayRequest)
peer_message("log.relay.part", RelayPart)(RelayPartRequest)


class PeerRelay:
    """Fetch log records and images from other entries; implements ``RelaySource``.

    :param core: provides membership and peers once they are set up.
    :param random: distributes the requests over the peers.
    """

    def __init__(self, core: Core, random: Random) -> None:
        self._core = core
        self._random = random

    async def async_entries(self, request: RelayRequest) -> RelayResponse:
        """Fetch log records from one peer, preferably one known to be ahead."""
        members = self._get_other_members(request.stream)
        ahead = [
            member
            for member in members
            if _get_known_offset(member, request.stream) > request.next_offset
        ]
        candidates = ahead or members
        if not candidates:
            return _UNAVAILABLE
        return await self._async_request(
            self._random.choice(candidates), request, _PROBE_TIMEOUT_SECONDS
        )

    async def async_image(self, request: RelayRequest) -> RelayResponse:
        """Probe several peers for their offsets and fetch the image of the latest."""
        # The image of the first peer to respond could be stale, and this entry would
        # serve a configuration that other entries have already replaced.
        members = self._get_other_members(request.stream)
        members.sort(key=lambda member: -_get_known_offset(member, request.stream))
        latest: tuple[int, Member] | None = None
        responses = await self._async_probe(members[:MAX_PROBED_PEERS], request.stream)
        for member, response in responses:
            if response.status is RelayStatus.UNAVAILABLE:
                continue
            if latest is None or response.next_offset > latest[0]:
                latest = (response.next_offset, member)
        if latest is None:
            return _UNAVAILABLE
        member = latest[1]
        response = await self._async_request(member, request, _IMAGE_TIMEOUT_SECONDS)
        return await self._async_fetch_parts(member, request.stream, response)

    async def _async_fetch_parts(
        self, member: Member, stream: str, response: RelayResponse
    ) -> RelayResponse:
        image = response.image
        if image is None or response.image_parts == 1:
            return response
        parts = [image.body]
        for number in range(1, response.image_parts):
            part_request = RelayPartRequest(stream, image.header.body_digest, number)
            part = await self._async_call(member, part_request, _IMAGE_TIMEOUT_SECONDS)
            if not isinstance(part, RelayPart) or not part.body:
                return _UNAVAILABLE
            parts.append(part.body)
        complete = Image(image.header, b"".join(parts))
        return replace(response, image=complete, image_parts=1)

    async def _async_probe(
        self, members: list[Member], stream: str
    ) -> list[tuple[Member, RelayResponse]]:
        responses: list[tuple[Member, RelayResponse]] = []
        probe = RelayRequest(stream, 0, "", RelayRequestKind.POSITION)

        async def probe_member(member: Member) -> None:
            responses.append(
                (
                    member,
                    await self._async_request(member, probe, _PROBE_TIMEOUT_SECONDS),
                )
            )

        async with anyio.create_task_group() as group:
            for member in members:
                group.start_soon(probe_member, member)
        return responses

    async def _async_request(
        self, member: Member, request: RelayRequest, timeout_seconds: float
    ) -> RelayResponse:
        response = await self._async_call(member, request, timeout_seconds)
        return response if isinstance(response, RelayResponse) else _UNAVAILABLE

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

    def _get_other_members(self, stream: str) -> list[Member]:
        membership = self._core.find(MEMBERSHIP)
        if membership is None:
            return []
        own = membership.own
        # Only the entries of a data centre follow its work stream.
        data_centre = None if stream == FLEET_STREAM else own.data_centre
        return [
            member for member in membership.live(data_centre) if member.name != own.name
        ]


def _get_known_offset(member: Member, stream: str) -> int:
    """Return a member's reported offset; it is reported for the fleet stream only."""
    return member.fleet_offset if stream == FLEET_STREAM else 0


class RelayServer:
    """Serve the records and images of this entry's logs to peers.

    The latest image that needs several parts is kept until its last part is sent, so
    that all parts belong to the same state.
    """

    def __init__(self, logs: list[FoldedLog[Any]]) -> None:
        self._logs = {log.spec.name: log for log in logs}
        self._pending_images: dict[str, Image] = {}

    def subscribe(self, peers: Peers) -> Callable[[], None]:
        """Handle relay requests until unsubscribed."""
        undo = [
            peers.handle(RelayRequest, self._async_respond),
            peers.handle(RelayPartRequest, self._async_respond_part),
        ]

        def unsubscribe() -> None:
            for stop in undo:
                stop()

        return unsubscribe

    async def _async_respond(self, caller: str, request: RelayRequest) -> RelayResponse:
        log = self._logs.get(request.stream)
        if log is None:
            return _UNAVAILABLE
        response = log.respond(request)
        if response.image is None or len(response.image.body) <= MAX_PART_BYTES:
            return response
        self._pending_images[request.stream] = response.image
        first = Image(response.image.header, response.image.body[:MAX_PART_BYTES])
        parts = -(-len(response.image.body) // MAX_PART_BYTES)
        return replace(response, image=first, image_parts=parts)

    async def _async_respond_part(
        self, caller: str, request: RelayPartRequest
    ) -> RelayPart:
        image = self._pending_images.get(request.stream)
        if image is None or image.header.body_digest != request.body_digest:
            return RelayPart()
        start = request.part * MAX_PART_BYTES
        body = image.body[start : start + MAX_PART_BYTES]
        if start + MAX_PART_BYTES >= len(image.body):
            del self._pending_images[request.stream]
        return RelayPart(body)
