"""Give the platform orders for instances, one at a time for each."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from enum import Enum

from ...helpers.instruments import FLEET_ORDERS
from ...helpers.logging import get_logger
from ...platform.exceptions import CallRefusedError, CallUnknownError, FencedError
from ...platform.fleet import FleetClient
from .models import Maintain, Move

_LOGGER = get_logger(__name__)

Announce = Callable[[str], Awaitable[bool]]


class OrderOutcome(Enum):
    """Say what became of an order."""

    BEGUN = "begun"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    SKIPPED = "skipped"


@dataclass(slots=True, eq=False)
class Ordering:
    """Carry orders out under an owner's token.

    :param announce: names an instance in the log before it is ordered, so that the
        next owner leaves it alone for as long as this one may still order it.
    :param on_fenced: called when the platform has seen a newer owner.
    """

    client: FleetClient
    token: int
    announce: Announce
    on_fenced: Callable[[], None]
    _busy: set[str] = field(default_factory=set)

    async def async_give(self, order: Maintain | Move) -> OrderOutcome:
        """Give an order; one is skipped while another of its instance is under way."""
        if order.machine in self._busy:
            return OrderOutcome.SKIPPED
        self._busy.add(order.machine)
        try:
            outcome, detail = await self._async_try(order)
        finally:
            self._busy.discard(order.machine)
        kind = "maintenance" if isinstance(order, Maintain) else "move"
        FLEET_ORDERS.labels(kind, outcome.value).inc()
        level = _LOGGER.info if outcome is OrderOutcome.BEGUN else _LOGGER.warning
        level(
            f"{kind}_{outcome.value}",
            machine=order.machine,
            wave=order.wave if isinstance(order, Maintain) else None,
            pool=order.pool if isinstance(order, Move) else None,
            detail=detail,
        )
        return outcome

    async def _async_try(self, order: Maintain | Move) -> tuple[OrderOutcome, str]:
        try:
            if not await self.announce(order.machine):
                return OrderOutcome.REFUSED, "not announced"
            await self._async_call(order)
        except FencedError:
            self.on_fenced()
            return OrderOutcome.SKIPPED, "fenced"
        except CallRefusedError as error:
            return OrderOutcome.REFUSED, error.detail
        except CallUnknownError as error:
            return OrderOutcome.UNKNOWN, error.detail
        return OrderOutcome.BEGUN, ""

    async def _async_call(self, order: Maintain | Move) -> None:
        if isinstance(order, Maintain):
            await self.client.async_maintain(order.machine, order.wave, self.token)
        else:
            await self.client.async_move(order.machine, order.pool, self.token)
