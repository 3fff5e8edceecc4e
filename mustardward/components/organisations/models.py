"""Hold what is known of organisations and of those who call for them."""

from __future__ import annotations

from dataclasses import dataclass

from ...platform.models import Room


@dataclass(frozen=True, slots=True)
class Organisation:
    """Hold one organisation of the configuration in force.

    :param weight: its share where all is full, in jobs a second.
    :param quota: most of each resource that it may have running; 0 for no limit.
    """

    name: str
    weight: float = 1.0
    quota: Room = Room()


@dataclass(frozen=True, slots=True)
class Caller:
    """Hold who calls.

    :param organisation: empty for a caller of a public queue who shows no known key.
    """

    organisation: str = ""


ANYBODY = Caller()
