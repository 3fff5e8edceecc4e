"""Relay between folded logs of one process, without a transport."""

from __future__ import annotations

from typing import Any

from mustardward.state.log import FoldedLog
from mustardward.state.relay import (
    RelayAnswer,
    RelayQuestion,
    RelayStatus,
    RelayWanted,
)


class DirectRelay:
    """Ask other logs by call; implements ``RelaySource``.

    ``peers`` may be changed at any time, as partitions come and go.
    """

    def __init__(self, peers: list[FoldedLog[Any]] | None = None) -> None:
        self.peers = peers or []
        self._turn = 0

    async def async_entries(self, question: RelayQuestion) -> RelayAnswer:
        """Ask the peers in turn."""
        if not self.peers:
            return RelayAnswer(RelayStatus.UNAVAILABLE)
        self._turn += 1
        return self.peers[self._turn % len(self.peers)].answer(question)

    async def async_image(self, question: RelayQuestion) -> RelayAnswer:
        """Ask the furthest peer."""
        probe = RelayQuestion(question.stream, 0, "", RelayWanted.POSITION)
        answers = [(peer.answer(probe), peer) for peer in self.peers]
        usable = [
            (answer.next_offset, index)
            for index, (answer, _) in enumerate(answers)
            if answer.status is not RelayStatus.UNAVAILABLE
        ]
        if not usable:
            return RelayAnswer(RelayStatus.UNAVAILABLE)
        return answers[max(usable)[1]][1].answer(question)
