"""Merge the counts of entries and compute burn rates from them; pure."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from itertools import chain

from ...state.models.templates import Objectives
from .const import BUDGET_WINDOW, WINDOW_SECONDS
from .models import (
    CAUSES,
    BurnPart,
    BurnReport,
    Counts,
    Coverage,
    OrganisationBurn,
    OrganisationPart,
    WindowBurn,
)
from .sketch import merge_sketches, quantile_seconds


def merge_parts(parts: Iterable[BurnPart]) -> BurnPart:
    """Return the sum of what several entries counted."""
    all_parts = list(parts)
    by_name: dict[str, list[OrganisationPart]] = {}
    for item in chain.from_iterable(part.organisations for part in all_parts):
        by_name.setdefault(item.organisation, []).append(item)
    return BurnPart(
        coverage=tuple(chain.from_iterable(part.coverage for part in all_parts)),
        organisations=tuple(
            _merge_organisation(by_name[name]) for name in sorted(by_name)
        ),
        missing_entries=tuple(
            sorted(set(chain.from_iterable(part.missing_entries for part in all_parts)))
        ),
        missing_data_centres=tuple(
            sorted(
                set(
                    chain.from_iterable(part.missing_data_centres for part in all_parts)
                )
            )
        ),
    )


def _merge_organisation(parts: list[OrganisationPart]) -> OrganisationPart:
    windows: dict[str, Counts] = {name: Counts() for name in WINDOW_SECONDS}
    for part in parts:
        for name, counts in part.windows.items():
            windows[name].add(counts)
    sketch: bytes = merge_sketches(part.sketch for part in parts).encode()
    return OrganisationPart(parts[0].organisation, windows, sketch)


def compute_report(
    part: BurnPart, objectives: Mapping[str, Objectives], at: float
) -> BurnReport:
    """Return the report on all organisations that have objectives or traffic."""
    by_name = {item.organisation: item for item in part.organisations}
    names = sorted(by_name.keys() | objectives.keys())
    burns = tuple(
        _compute_organisation(
            by_name.get(name, _empty_part(name)),
            objectives.get(name, Objectives()),
            part.coverage,
        )
        for name in names
    )
    return BurnReport(
        at=at,
        entries=len(part.coverage),
        complete=not (part.missing_entries or part.missing_data_centres),
        missing_entries=part.missing_entries,
        missing_data_centres=part.missing_data_centres,
        organisations=burns,
    )


def _empty_part(name: str) -> OrganisationPart:
    return OrganisationPart(name, {window: Counts() for window in WINDOW_SECONDS})


def _compute_organisation(
    part: OrganisationPart, objectives: Objectives, coverage: tuple[Coverage, ...]
) -> OrganisationBurn:
    windows = tuple(
        _compute_window(name, part.windows[name], objectives, coverage)
        for name in WINDOW_SECONDS
    )
    budget = next(item for item in windows if item.window == BUDGET_WINDOW)
    sketch = merge_sketches([part.sketch])
    return OrganisationBurn(
        organisation=part.organisation,
        success_share=objectives.success_share,
        latency_seconds=objectives.latency_seconds,
        latency_share=objectives.latency_share,
        error_budget_left=1.0 - budget.error_burn_rate,
        latency_budget_left=1.0 - budget.latency_burn_rate,
        median_seconds=quantile_seconds(sketch, 50.0),
        tail_seconds=quantile_seconds(sketch, 99.0),
        windows=windows,
    )


def _compute_window(
    name: str, counts: Counts, objectives: Objectives, coverage: tuple[Coverage, ...]
) -> WindowBurn:
    answered = counts.total - counts.failed
    return WindowBurn(
        window=name,
        covered=_covered_share(coverage, WINDOW_SECONDS[name]),
        total=counts.total,
        failed=counts.failed,
        slow=counts.slow,
        error_burn_rate=burn_rate(
            counts.failed, counts.total, objectives.success_share
        ),
        latency_burn_rate=burn_rate(counts.slow, answered, objectives.latency_share),
        causes={cause: getattr(counts, cause) for cause in CAUSES},
    )


def burn_rate(spent: int, total: int, share: float) -> float:
    """Return how fast a budget was spent, as a multiple of the allowed rate.

    :param share: the share of ``total`` that has to succeed.
    """
    if not spent or not total:
        return 0.0
    allowed = (1.0 - share) * total
    return spent / allowed if allowed > 0 else float(spent)


def _covered_share(coverage: tuple[Coverage, ...], window_seconds: float) -> float:
    if not coverage:
        return 0.0
    covered_seconds = sum(min(item.seconds, window_seconds) for item in coverage)
    return covered_seconds / (window_seconds * len(coverage))
