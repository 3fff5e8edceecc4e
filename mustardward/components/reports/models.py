"""Define request counts, the parts of entries and the burn report."""

from __future__ import annotations

from dataclasses import dataclass, field, fields

CAUSES = ("refusal", "wave", "failure", "neighbour", "worker", "other")
"""Causes that spend error budget; ``other`` is an error without a known cause."""


@dataclass(slots=True)
class Counts:
    """Count requests of one organisation by outcome.

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
    """Hold an organisation's counts by window and its encoded latency sketch."""

    organisation: str
    windows: dict[str, Counts]
    sketch: bytes = b""


@dataclass(frozen=True, slots=True)
class Coverage:
    """Hold for how many seconds one entry has been counting."""

    entry: str
    data_centre: str
    seconds: float


@dataclass(frozen=True, slots=True)
class BurnPart:
    """Hold the counts of one entry, or the merged counts of several."""

    coverage: tuple[Coverage, ...] = ()
    organisations: tuple[OrganisationPart, ...] = ()
    missing_entries: tuple[str, ...] = ()
    missing_data_centres: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class WindowBurn:
    """Hold one window of the report.

    A rate of 1 spends the budget exactly within its period. ``covered`` is the share of
    the window, over all responding entries, in which requests were counted.
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
    """Hold an organisation's burn, with latencies of about the last hour in seconds."""

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
    """Hold the report and the names of missing parts."""

    at: float
    entries: int
    complete: bool
    missing_entries: tuple[str, ...]
    missing_data_centres: tuple[str, ...]
    organisations: tuple[OrganisationBurn, ...]
