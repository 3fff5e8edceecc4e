"""Model counts of requests, parts of entries, and the report of burn."""

from __future__ import annotations

from dataclasses import dataclass, field, fields

CAUSES = ("refusal", "wave", "failure", "neighbour", "worker", "other")
"""What may spend error budget; ``other`` is an error that names no cause."""


@dataclass(slots=True)
class Counts:
    """Count requests of one organisation by what became of them.

    ``slow`` counts successes that took longer than the objective's latency.
    """

    total: int = 0
    slow: int = 0
    refusal: int = 0
    wave: int = 0
    failure: int = 0
    neighbour: int = 0
    worker: int = 0
    other: int = 0

    def add(self, other: Counts) -> None:
        """Add another count to this one."""
        for item in fields(self):
            value = getattr(self, item.name) + getattr(other, item.name)
            setattr(self, item.name, value)

    @property
    def failed(self) -> int:
        """Return how many requests spent error budget."""
        return sum(getattr(self, cause) for cause in CAUSES)


@dataclass(frozen=True, slots=True)
class OrganisationPart:
    """Hold an organisation's counts by window, and its latencies as a sketch."""

    organisation: str
    windows: dict[str, Counts]
    sketch: bytes = b""


@dataclass(frozen=True, slots=True)
class Coverage:
    """Say since how many seconds one entry has counted."""

    entry: str
    data_centre: str
    seconds: float


@dataclass(frozen=True, slots=True)
class BurnPart:
    """Hold what one entry, or several merged, counted."""

    coverage: tuple[Coverage, ...] = ()
    organisations: tuple[OrganisationPart, ...] = ()
    missing_entries: tuple[str, ...] = ()
    missing_data_centres: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class WindowBurn:
    """Hold one window of the report.

    A rate of 1 spends the budget exactly in the period it is given for. ``covered`` is
    the share of the window, over all entries asked, that was counted at all.
    """

    window: str
    covered: float
    total: int
    failed: int
    slow: int
    error_burn_rate: float
    latency_burn_rate: float
    causes: dict[str, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class OrganisationBurn:
    """Hold an organisation's burn; latencies are in seconds, of the last hour."""

    organisation: str
    success_share: float
    latency_seconds: float
    latency_share: float
    error_budget_left: float
    latency_budget_left: float
    median_seconds: float
    tail_seconds: float
    windows: tuple[WindowBurn, ...]


@dataclass(frozen=True, slots=True)
class BurnReport:
    """Hold the report, and which parts it lacks."""

    at: float
    entries: int
    complete: bool
    missing_entries: tuple[str, ...]
    missing_data_centres: tuple[str, ...]
    organisations: tuple[OrganisationBurn, ...]
