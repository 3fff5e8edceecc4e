"""Find the data centre that owns an idempotency key."""

from __future__ import annotations

from typing import Final

from ...helpers.rendezvous import rendezvous_owner
from ...state.protocols import FleetLog
from ...state.work import intent_name
from ..entry.models import RequestFacts
from ..membership.protocols import Membership

_NEVER_READ: Final = -1


class KeyLocator:
    """Distribute keys over the data centres of a request's pools.

    Each data centre has its own work stream, and a single stream has to decide on a
    key. Every entry node there may propose, since the order of the stream decides.

    :param data_centre: the data centre of this process.
    """

    def __init__(
        self, data_centre: str, fleet: FleetLog | None, membership: Membership | None
    ) -> None:
        self._data_centre = data_centre
        self._fleet = fleet
        self._membership = membership
        self._sequence = _NEVER_READ
        self._by_pool: dict[str, frozenset[str]] = {}

    @property
    def data_centre(self) -> str:
        """Return the data centre of this process."""
        return self._data_centre

    def data_centre_of(self, facts: RequestFacts) -> str:
        """Return the data centre whose stream decides on a key."""
        candidates = self._data_centres(facts)
        name = intent_name(facts.organisation, facts.idempotency_key)
        return rendezvous_owner(name, candidates) or self._data_centre

    def is_live(self, holder: str) -> bool:
        """Return whether the incarnation that opened an intent is alive.

        Only then a close of the intent can be expected. Without membership it is
        assumed to be alive.
        """
        if self._membership is None:
            return True
        members = self._membership.live()
        return holder in {
            incarnation_name(item.name, item.incarnation) for item in members
        }

    def _data_centres(self, facts: RequestFacts) -> frozenset[str]:
        self._refresh()
        found = [self._by_pool.get(pool) for pool in facts.parameters.pools]
        return frozenset().union(*(item for item in found if item))

    def _refresh(self) -> None:
        if self._fleet is None or self._fleet.sequence == self._sequence:
            return
        # Include removed instances: otherwise, when the last worker of a data centre
        # leaves, its keys would move to a stream without their intents.
        by_pool: dict[str, set[str]] = {}
        for instance in self._fleet.state.instances.values():
            by_pool.setdefault(instance.pool, set()).add(instance.data_centre)
        self._by_pool = {pool: frozenset(names) for pool, names in by_pool.items()}
        self._sequence = self._fleet.sequence


def incarnation_name(name: str, incarnation: int) -> str:
    """Return the identity of one incarnation, by which an intent names its opener."""
    return f"{name}/{incarnation}"
