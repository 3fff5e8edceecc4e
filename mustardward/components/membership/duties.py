"""Assign duties to live members by rendezvous hashing."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Final

from ...helpers.rendezvous import rendezvous_order
from .const import DELEGATES_PER_DATA_CENTRE
from .models import Member

_DELEGATE_DUTY: Final = "membership.delegate"
MAX_CACHED_DUTIES: Final = 4096


def duty_holders(duty: str, live: Iterable[Member], holders: int) -> list[str]:
    """Return the names of the members that hold a duty, best first."""
    return rendezvous_order(duty, [member.name for member in live])[:holders]


def delegates(live: Iterable[Member]) -> list[str]:
    """Return the members of one data centre that gossip with other data centres."""
    return duty_holders(_DELEGATE_DUTY, live, DELEGATES_PER_DATA_CENTRE)


class DutyAssignments:
    """Cache the holders of duties until the members change.

    Some duties are looked up once for each job of a data centre.
    """

    def __init__(self) -> None:
        self._revision = -1
        self._live: list[Member] = []
        self._holders: dict[tuple[str, int], frozenset[str]] = {}

    def holders(
        self,
        duty: str,
        number: int,
        revision: int,
        find_live: Callable[[], Iterable[Member]],
    ) -> frozenset[str]:
        """Return the names of a duty's holders.

        :param revision: revision of the member table; a new one clears the cache.
        """
        if revision != self._revision or len(self._holders) > MAX_CACHED_DUTIES:
            self._revision = revision
            self._live = list(find_live())
            self._holders.clear()
        key = (duty, number)
        if key not in self._holders:
            self._holders[key] = frozenset(duty_holders(duty, self._live, number))
        return self._holders[key]
