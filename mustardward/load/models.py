"""Define load plans, their requests and their results."""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any, Final

from hdrh.histogram import HdrHistogram

from ..state.models.templates import Urgency

LOWEST_MICROSECONDS: Final = 1
HIGHEST_MICROSECONDS: Final = 600_000_000
SIGNIFICANT_DIGITS: Final = 3
PERCENTILES: Final = (50.0, 90.0, 99.0, 99.9)


@dataclass(frozen=True, slots=True)
class Target:
    """A service of an organisation."""

    organisation: str
    service: str


@dataclass(frozen=True, slots=True)
class LoadPlan:
    """Parameters of a load.

    :param rate: requests per second.
    :param urgent_share: fraction of all requests; what neither share covers is
        normal work.
    :param long_share: fraction of all requests.
    :param long_seconds: processing time of a long request on its worker.
    :param max_in_flight: limit of requests awaiting a response.
    """

    entries: tuple[str, ...]
    targets: tuple[Target, ...]
    rate: float = 50.0
    seconds: float = 10.0
    urgent_share: float = 0.7
    long_share: float = 0.1
    long_seconds: float = 0.5
    timeout_seconds: float = 30.0
    max_in_flight: int = 500
    seed: int = 1


@dataclass(frozen=True, slots=True)
class PlannedRequest:
    """One request; ``due`` is in seconds since the start of the load."""

    number: int
    due: float
    entry: str
    target: Target
    urgency: Urgency


def plan_requests(plan: LoadPlan) -> Iterator[PlannedRequest]:
    """Yield the requests of a plan in order, determined by its seed."""
    rng = random.Random(plan.seed)
    for number in range(int(plan.rate * plan.seconds)):
        draw = rng.random()
        urgency = Urgency.NORMAL
        if draw < plan.urgent_share:
            urgency = Urgency.URGENT
        elif draw < plan.urgent_share + plan.long_share:
            urgency = Urgency.LONG
        yield PlannedRequest(
            number=number,
            due=number / plan.rate,
            entry=plan.entries[number % len(plan.entries)],
            target=rng.choice(plan.targets),
            urgency=urgency,
        )


def _histogram() -> HdrHistogram:
    return HdrHistogram(LOWEST_MICROSECONDS, HIGHEST_MICROSECONDS, SIGNIFICANT_DIGITS)


@dataclass(slots=True, eq=False)
class ClassResult:
    """Response counts and latencies of one request class.

    ``refused_unknown`` counts refused requests that may have run, ``mixed_up``
    responses that name another request.
    """

    answered: int = 0
    refused_not_run: int = 0
    refused_unknown: int = 0
    failed: int = 0
    unreachable: int = 0
    mixed_up: int = 0
    latency: Any = field(default_factory=_histogram)

    def record(self, seconds: float) -> None:
        """Record the latency of a response."""
        self.latency.record_value(max(LOWEST_MICROSECONDS, int(seconds * 1e6)))

    def summary(self) -> dict[str, float | int]:
        """Return counts, and latencies in milliseconds."""
        percentiles = {
            f"p{percentile:g}_ms": _milliseconds(self.latency, percentile)
            for percentile in PERCENTILES
        }
        return {
            "answered": self.answered,
            "refused_not_run": self.refused_not_run,
            "refused_unknown": self.refused_unknown,
            "failed": self.failed,
            "unreachable": self.unreachable,
            "mixed_up": self.mixed_up,
            **percentiles,
            "max_ms": round(self.latency.get_max_value() / 1000, 3),
        }


def _milliseconds(histogram: HdrHistogram, percentile: float) -> float:
    return round(float(histogram.get_value_at_percentile(percentile)) / 1000, 3)


@dataclass(slots=True, eq=False)
class LoadResult:
    """Result of a load.

    ``held_back`` counts requests that were not sent because of the in-flight limit.
    """

    seconds: float = 0.0
    held_back: int = 0
    classes: dict[str, ClassResult] = field(
        default_factory=lambda: {str(urgency): ClassResult() for urgency in Urgency}
    )

    def summary(self) -> dict[str, Any]:
        """Return the duration, throughput and per-class results."""
        answered = sum(result.answered for result in self.classes.values())
        return {
            "seconds": round(self.seconds, 3),
            "held_back": self.held_back,
            "answered_a_second": round(answered / self.seconds, 1)
            if self.seconds
            else 0.0,
            "classes": {name: item.summary() for name, item in self.classes.items()},
        }
