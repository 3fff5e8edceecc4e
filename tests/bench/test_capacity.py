"""Fit lines and write the figures of the capacity page."""

from __future__ import annotations

from pathlib import Path

import pytest

from bench.capacity import target
from bench.capacity.fit import Measure, fit
from bench.capacity.page import BEGIN, END, slope_table, write
from bench.capacity.records import measure_records
from bench.capacity.roles import fleet_records_a_second, intent_homes


def test_a_line_is_recovered_with_its_residual() -> None:
    straight = Measure("m", "MB", "workers", (1, 2, 4, 8), 10, lambda n: 3.0 + 2.0 * n)
    found = fit(straight)
    assert found.slope == pytest.approx(2.0) and found.intercept == pytest.approx(3.0)
    assert found.at_target == pytest.approx(23.0)
    assert found.residual < 1e-9
    bent = Measure("m", "MB", "workers", (1, 2, 4, 8), 10, lambda n: float(n * n))
    assert fit(bent).residual > 0.05


def test_the_page_keeps_what_stands_around_the_figures(tmp_path: Path) -> None:
    page = tmp_path / "page.md"
    page.write_text(f"before\n{BEGIN}\nold\n{END}\nafter\n", encoding="utf-8")
    measure = Measure("state", "MB", "workers", (1, 2), 4, float)
    write(page, list(slope_table({"state": fit(measure)})))
    text = page.read_text(encoding="utf-8")
    assert text.startswith("before\n") and text.endswith("after\n")
    assert "old" not in text
    assert "| state | MB | 1, 2 workers | 1, 2 |" in text


def test_a_day_is_counted_from_the_sizes_asked_for() -> None:
    daily = target.fleet_records_a_day()
    assert daily["configuration"] == 6_400
    assert daily["maintenance"] == pytest.approx(12_000 / 21 * 5)
    assert fleet_records_a_second() == pytest.approx(sum(daily.values()) / 86_400)
    assert intent_homes(0.02, 0.5) == pytest.approx(4.0)
    sizes = measure_records()
    low, high = min(sizes.by_cause.values()), max(sizes.by_cause.values())
    assert low < sizes.mean < high
