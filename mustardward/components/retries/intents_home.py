"""Find the home of an idempotency key."""

from __future__ import annotations

from typing import Final

from ...helpers.rendezvous import rendezvous_owner
from ...state.protocols import FleetLog
from ...state.work import intent_name
from ..entry.models import RequestFacts
from ..membership.protocols import Membership

_STALE: Final = -1


class KeyLocator:
    """Share keys out over an organisation's data centres.

    Each data centre has a stream of its own, and one of them has to decide on a key
    alone. Within it every entry may propose, since the stream's order decides.

    :param data_centre: the data centre of this process.
    """

    def __init__(
        self, data_centre: str, fleet: FleetLog | None, membership: Membership | None
    ) -> None:
        self._data_centre = data_centre
        self._fleet = fleet
        self._membership = membership
        self._sequence = _STALE
        self._by_pool: dict[str, frozenset[str]] = {}

    @property
    def data_centre(self) -> str:
        """Return the data centre of this process."""
        return self._data_centre

    def data_centre_of(self, facts: RequestFacts) -> str:
        """Return the one data centre whose stream decides on a key."""
        candidates = self._data_centres(facts)
        name = intent_name(facts.organisation, facts.idempotency_key)
        return rendezvous_owner(name, candidates) or self._data_centre

    def is_live(self, home: str) -> bool:
        """Tell whether the incarnation that opened an intent may still close it."""
        if self._membership is None:
            return True
        members = self._membership.live()
        return home in {
            incarnation_name(item.name, item.incarnation) for item in members
        }

    def _data_centres(self, facts: RequestFacts) -> frozenset[str]:
        self._refresh()
        found = [self._by_pool.get(pool) for pool in facts.parameters.pools]
        return frozenset().union(*(item for item in found if item))

    def _refresh(self) -> None:
        if self._fleet is None or self._fleet.sequence == self._sequence:
            return
        # Removed instances count too: a data centre whose last worker leaves would
        # else hand its keys to a stream that knows none of their intents.
        by_pool: dict[str, set[str]] = {}
        for instance in self._fleet.state.instances.values():
            by_pool.setdefault(instance.pool, set()).add(instance.data_centre)
        self._by_pool = {pool: frozenset(names) for pool, names in by_pool.items()}
        self._sequence = self._fleet.sequence


def incarnation_name(name: str, incarnation: int) -> str:
    """Return how an intent names its home: a restarted process is another home."""
    return f"{name}/{incarnation}"
