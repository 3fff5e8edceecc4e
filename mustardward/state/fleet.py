"""Define the state of the ``fleet`` stream."""

from __future__ import annotations

from dataclasses import dataclass, field

from .models.maintenance import Absence, Claim, Wave
from .models.pools import Instance, Move, Pool
from .models.templates import Organisation, TemplateRevision


@dataclass(slots=True, weakref_slot=True)
class FleetState:
    """Hold everything that the records of the ``fleet`` stream determine.

    Only record handlers change it, in offset order; all other code only reads it.
    """

    templates: dict[str, list[TemplateRevision]] = field(default_factory=dict)
    organisations: dict[str, Organisation] = field(default_factory=dict)
    pools: dict[str, Pool] = field(default_factory=dict)
    instances: dict[str, Instance] = field(default_factory=dict)
    moves: dict[str, Move] = field(default_factory=dict)
    """Moves in progress by instance id."""
    waves: dict[str, Wave] = field(default_factory=dict)
    claims: dict[str, Claim] = field(default_factory=dict)
    """Claims by instance id."""
    absences: dict[str, Absence] = field(default_factory=dict)
    """Failed or quarantined instances by instance id."""
    silent: set[str] = field(default_factory=set)
    """Data centres that are disconnected and send no reports."""
