"""Acknowledge that this entry sends no more work to an instance."""

from __future__ import annotations

from collections.abc import Callable

from ..maintenance.models import ExecutorDependencies
from .messages import Acknowledgement, AcknowledgementRequest


class Acknowledger:
    """Acknowledge moves on behalf of this process.

    Once the move is in this process's replicated state, its router no longer selects
    the instance; requests and leases from earlier selections have to end as well.
    """

    def __init__(
        self, dependencies: ExecutorDependencies, in_flight: Callable[[str], int]
    ) -> None:
        self._dependencies = dependencies
        self._in_flight = in_flight

    async def async_answer(
        self, caller: str, message: AcknowledgementRequest
    ) -> Acknowledgement:
        """Return the acknowledgement that a peer asks for."""
        return await self.async_acknowledge(message)

    async def async_acknowledge(
        self, message: AcknowledgementRequest
    ) -> Acknowledgement:
        """Return whether this entry sends no more work to the instance."""
        move = self._dependencies.log.state.moves.get(message.instance_id)
        if move is None or move.move_id != message.move_id:
            return self._report_pending("move-not-folded")
        if not await self._dependencies.vacate(message.instance_id):
            return self._report_pending("lease-open")
        # Checked last: the move is already applied, so the router selects the instance
        # no more and the count can only fall.
        if self._in_flight(message.instance_id) > 0:
            return self._report_pending("request-in-flight")
        return Acknowledgement(self._dependencies.executor, True)

    def _report_pending(self, cause: str) -> Acknowledgement:
        return Acknowledgement(self._dependencies.executor, False, cause)
