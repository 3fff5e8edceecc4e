"""Define templates, their parameters and the organisations based on them."""

from __future__ import annotations

from dataclasses import dataclass, field, fields, replace
from enum import StrEnum

from ..records import record_kind


class Urgency(StrEnum):
    """Say how soon work has to start."""

    URGENT = "urgent"
    NORMAL = "normal"
    LONG = "long"


@dataclass(frozen=True, slots=True)
class MaintenanceWindow:
    """Allow maintenance on some weekdays, starting at a second of the day (UTC).

    ``weekdays`` counts from 0 for Monday; the window may extend past midnight.
    """

    start_second: int
    length_seconds: int
    weekdays: tuple[int, ...] = (0, 1, 2, 3, 4, 5, 6)


@dataclass(frozen=True, slots=True)
class Quota:
    """Limit what an organisation may use at a time in one data centre."""

    concurrency: int = 64
    queue: int = 256
    weight: float = 1.0
    long_jobs: int = 1000


@dataclass(frozen=True, slots=True)
class PlanWeights:
    """Hold the relative weights of the three criteria of a maintenance plan."""

    buffer: float = 1.0
    rollout: float = 1.0
    moves: float = 1.0


@dataclass(frozen=True, slots=True)
class Objectives:
    """Hold the service level objectives of an organisation.

    ``latency_share`` of its responses have to arrive within ``latency_seconds``, and
    ``success_share`` of its requests have to succeed.
    """

    success_share: float = 0.999
    latency_seconds: float = 0.5
    latency_share: float = 0.99


@dataclass(frozen=True, slots=True)
class ServiceBinding:
    """Assign one service of an organisation to a pool."""

    service: str
    pool: str
    urgency: Urgency = Urgency.NORMAL


@dataclass(frozen=True, slots=True)
class Parameters:
    """Hold parameters that a template sets and an organisation may override.

    ``minimum_available`` and ``headroom`` are shares of a pool's instances that apply
    both in each data centre and over the fleet.
    """

    services: tuple[ServiceBinding, ...] = ()
    minimum_available: float = 0.5
    headroom: float = 0.0
    reserve_largest_rack: bool = True
    urgency: Urgency = Urgency.NORMAL
    urgent_reserve: float = 0.1
    windows: tuple[MaintenanceWindow, ...] = ()
    quota: Quota = field(default_factory=Quota)
    weights: PlanWeights = field(default_factory=PlanWeights)
    objectives: Objectives = field(default_factory=Objectives)
    deadline_seconds: float = 30.0
    retry_share: float = 0.1

    @property
    def pools(self) -> frozenset[str]:
        """Return the pools that the services may use."""
        return frozenset(binding.pool for binding in self.services)


@dataclass(frozen=True, slots=True)
class Overrides:
    """Replace some of a template's parameters for one organisation.

    A field left at ``None`` keeps the template's value.
    """

    services: tuple[ServiceBinding, ...] | None = None
    minimum_available: float | None = None
    headroom: float | None = None
    reserve_largest_rack: bool | None = None
    urgency: Urgency | None = None
    urgent_reserve: float | None = None
    windows: tuple[MaintenanceWindow, ...] | None = None
    quota: Quota | None = None
    weights: PlanWeights | None = None
    objectives: Objectives | None = None
    deadline_seconds: float | None = None
    retry_share: float | None = None

    def apply_to(self, parameters: Parameters) -> Parameters:
        """Return the parameters with these overrides applied."""
        changes = {
            item.name: value
            for item in fields(self)
            if (value := getattr(self, item.name)) is not None
        }
        return replace(parameters, **changes)


@dataclass(frozen=True, slots=True)
class TemplateRevision:
    """Hold one accepted revision; ``offset`` is its offset in the log."""

    name: str
    revision: int
    offset: int
    parameters: Parameters


@dataclass(frozen=True, slots=True)
class Organisation:
    """Hold one accepted organisation; ``parameters`` are the effective ones."""

    name: str
    template: str
    template_revision: int
    revision: int
    overrides: Overrides
    parameters: Parameters


# Records. ``base_revision`` of the envelope is the revision that the operator read, 0
# for a name that did not exist.


@record_kind("template.publish")
@dataclass(frozen=True, slots=True)
class PublishTemplate:
    """Propose a new revision of a template."""

    name: str
    parameters: Parameters


@record_kind("organisation.put")
@dataclass(frozen=True, slots=True)
class PutOrganisation:
    """Propose an organisation, or new overrides for one."""

    name: str
    template: str
    overrides: Overrides = field(default_factory=Overrides)


@record_kind("organisation.remove")
@dataclass(frozen=True, slots=True)
class RemoveOrganisation:
    """Propose to remove an organisation."""

    name: str
