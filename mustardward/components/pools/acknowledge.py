"""Say whether this entry gave an instance up."""

from __future__ import annotations

from collections.abc import Callable

from ..maintenance.models import ExecutorDependencies
from .messages import Acknowledgement, AskAcknowledgement


class Acknowledger:
    """Answer for this process.

    Once its fold holds the move, its router chooses the instance no more; what it had
    chosen before has to be over as well.
    """

    def __init__(
        self, parts: ExecutorDependencies, in_flight: Callable[[str], int]
    ) -> None:
        self._parts = parts
        self._in_flight = in_flight

    async def async_answer(
        self, caller: str, message: AskAcknowledgement
    ) -> Acknowledgement:
        """Answer a peer."""
        return await self.async_acknowledge(message)

    async def async_acknowledge(self, message: AskAcknowledgement) -> Acknowledgement:
        """Return whether the instance gets no more work from here."""
        move = self._parts.log.state.moves.get(message.instance_id)
        if move is None or move.move_id != message.move_id:
            return self._not_yet("move-not-folded")
        if not await self._parts.vacate(message.instance_id):
            return self._not_yet("lease-open")
        # Looked at last: the move stands in the fold since before, so the count can
        # only fall.
        if self._in_flight(message.instance_id) > 0:
            return self._not_yet("request-in-flight")
        return Acknowledgement(self._parts.executor, True)

    def _not_yet(self, cause: str) -> Acknowledgement:
        return Acknowledgement(self._parts.executor, False, cause)
