"""Define organisations and the callers that act for them."""

from __future__ import annotations

from dataclasses import dataclass

from ...platform.models import Room


@dataclass(frozen=True, slots=True)
class Organisation:
    """Describe an organisation of the current configuration.

    :param weight: its share of a full system, in jobs per second.
    :param quota: upper limit of each resource for its running tasks; 0 for no limit.
    """

    name: str
    weight: float = 1.0
    quota: Room = Room()


@dataclass(frozen=True, slots=True)
class Caller:
    """Identify the sender of a request.

    :param organisation: empty for a caller of a public queue without a known API key.
    """

    organisation: str = ""


ANONYMOUS = Caller()
