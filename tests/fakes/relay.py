"""Relay entries between folded logs of one process without a network."""

from __future__ import annotations

from typing import Any

from mustardward.state.log import FoldedLog
from mustardward.state.relay import (
    RelayRequest,
    RelayRequestKind,
    RelayResponse,
    RelayStatus,
)


class DirectRelay:
    """Implement ``RelaySource`` by direct calls to other logs.

    ``peers`` may change at any time, as in network partitions.
    """

    def __init__(self, peers: list[FoldedLog[Any]] | None = None) -> None:
        self.peers = peers or []
        self._request_count = 0

    async def async_entries(self, question: RelayRequest) -> RelayResponse:
        """Request entries from the peers in round-robin order."""
        if not self.peers:
            return RelayResponse(RelayStatus.UNAVAILABLE)
        self._request_count += 1
        return self.peers[self._request_count % len(self.peers)].respond(question)

    async def async_image(self, question: RelayRequest) -> RelayResponse:
        """Request an image from the peer with the newest state."""
        probe = RelayRequest(question.stream, 0, "", RelayRequestKind.POSITION)
        answers = [(peer.respond(probe), peer) for peer in self.peers]
        usable = [
            (answer.next_offset, index)
            for index, (answer, _) in enumerate(answers)
            if answer.status is not RelayStatus.UNAVAILABLE
        ]
        if not usable:
            return RelayResponse(RelayStatus.UNAVAILABLE)
        return answers[max(usable)[1]][1].respond(question)
