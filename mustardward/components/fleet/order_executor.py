"""Issue orders to the platform, one at a time for each instance."""

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
    """Define the outcome of an order."""

    BEGUN = "begun"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    SKIPPED = "skipped"


@dataclass(slots=True, eq=False)
class OrderExecutor:
    """Issue orders under an owner's fencing token.

    :param announce: records an instance in the log before its order is issued, so that
        the next owner doesn't order it for as long as this owner's order may take
        effect; returns whether that succeeded.
    :param on_fenced: called if the platform rejects the token as outdated.
    :param authorised: whether this owner may still issue orders. The announcement takes
        time, and its timeout doesn't count a suspension of the machine.
    """

    client: FleetClient
    token: int
    announce: Announce
    on_fenced: Callable[[], None]
    authorised: Callable[[], bool]
    _in_progress: set[str] = field(default_factory=set)

    async def async_execute(self, order: Maintain | Move) -> OrderOutcome:
        """Issue an order; skip it while another one of its instance is in progress."""
        if order.machine in self._in_progress:
            return OrderOutcome.SKIPPED
        self._in_progress.add(order.machine)
        try:
            outcome, detail = await self._async_try(order)
        finally:
            self._in_progress.discard(order.machine)
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
            if not self.authorised():
                return OrderOutcome.SKIPPED, "not authorised"
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
