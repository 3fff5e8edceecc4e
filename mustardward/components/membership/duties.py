"""Share duties out among live members by rendezvous hashing."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Final

from ...helpers.rendezvous import rendezvous_order
from .const import DELEGATES
from .models import Member

_DELEGATE_DUTY: Final = "membership.delegate"
MAXIMUM_REMEMBERED: Final = 4096


def duty_holders(duty: str, live: Iterable[Member], holders: int) -> list[str]:
    """Return the names of the members that hold a duty, best first."""
    return rendezvous_order(duty, [member.name for member in live])[:holders]


def delegates(live: Iterable[Member]) -> list[str]:
    """Return the members of one data centre that talk to other data centres."""
    return duty_holders(_DELEGATE_DUTY, live, DELEGATES)


class DutyBook:
    """Remember who holds which duty until the members change.

    Some duties are asked for once for each job of a data centre.
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

        :param revision: of the members; a new one makes this look again.
        """
        if revision != self._revision or len(self._holders) > MAXIMUM_REMEMBERED:
            self._revision = revision
            self._live = list(find_live())
            self._holders.clear()
        key = (duty, number)
        if key not in self._holders:
            self._holders[key] = frozenset(duty_holders(duty, self._live, number))
        return self._holders[key]
