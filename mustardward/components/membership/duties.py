"""Share duties out among live members by rendezvous hashing."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

from ...helpers.rendezvous import rendezvous_order
from .const import DELEGATES
from .models import Member

_DELEGATE_DUTY: Final = "membership.delegate"


def duty_holders(duty: str, live: Iterable[Member], holders: int) -> list[str]:
    """Return the names of the members that hold a duty, best first."""
    return rendezvous_order(duty, [member.name for member in live])[:holders]


def delegates(live: Iterable[Member]) -> list[str]:
    """Return the members of one data centre that talk to other data centres."""
    return duty_holders(_DELEGATE_DUTY, live, DELEGATES)
