"""Test printing histories and reports."""

from __future__ import annotations

import json
from dataclasses import asdict
from pathlib import Path
from typing import Any
from xml.etree import ElementTree

import pytest
from click.testing import CliRunner

from mustardward.cli.client import OperatorClient
from mustardward.cli.main import main
from mustardward.components.explain.models import HistoryLine, SubjectHistory
from mustardward.components.reports.burn import compute_report
from mustardward.components.reports.const import WINDOW_SECONDS
from mustardward.components.reports.models import (
    BurnPart,
    Counts,
    Coverage,
    OrganisationPart,
)
from mustardward.state.models.templates import Objectives


def build_report(missing: tuple[str, ...] = ()) -> dict[str, Any]:
    windows = {name: Counts(total=1000, wave=3, worker=2) for name in WINDOW_SECONDS}
    part = BurnPart(
        (Coverage("entry-1", "bergen", 4000.0),),
        (OrganisationPart("dairy <b>", windows),),
        missing_data_centres=missing,
    )
    report = compute_report(part, {"dairy <b>": Objectives()}, 0.0)
    body: dict[str, Any] = json.loads(json.dumps(asdict(report)))
    return body


def fake_response(monkeypatch: pytest.MonkeyPatch, body: Any) -> list[str]:
    requests: list[str] = []

    def call(self: OperatorClient, method: str, path: str, **_: Any) -> Any:
        requests.append(f"{method} {path}")
        return body

    monkeypatch.setattr(OperatorClient, "call", call)
    return requests


def test_table_shows_rates_causes_and_missing_parts(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    requests = fake_response(monkeypatch, build_report(("voss",)))
    result = CliRunner().invoke(main, ["report", "burn"])
    assert result.exit_code == 0, result.output
    assert requests == ["GET /reports/burn"]
    assert "5.00" in result.output and "wave=3 worker=2" in result.output
    assert "error_budget_left=-400.0%" in result.output
    assert "complete=false" in result.output
    assert "missing data_centre=voss" in result.output


def test_page_is_well_formed_and_escapes_names(
    monkeypatch: pytest.MonkeyPatch, tmp_path: Path
) -> None:
    fake_response(monkeypatch, build_report(("voss",)))
    target = tmp_path / "burn.html"
    arguments = ["report", "burn", "--output", "html", "--output-file", str(target)]
    assert CliRunner().invoke(main, arguments).exit_code == 0
    page = target.read_text(encoding="utf-8")
    plot = ElementTree.fromstring(page[page.index("<svg") : page.index("</svg>") + 6])
    bars = plot.findall("rect")
    assert len(bars) == 2 * len(WINDOW_SECONDS)
    assert float(bars[0].attrib["width"]) == pytest.approx(
        1.5 * float(bars[1].attrib["width"]), rel=0.01
    )
    assert "dairy &lt;b&gt;" in page and "<b>" not in page
    assert "no counts from data centre voss" in page
    assert "width=device-width" in page and "http" not in page


def test_history_is_printed_line_by_line(monkeypatch: pytest.MonkeyPatch) -> None:
    line = HistoryLine(
        0.0,
        "entry-1",
        "claim.take refused",
        "budget",
        ("pool=casting",),
        "fleet",
        7,
        "r",
    )
    history = asdict(SubjectHistory("instance", "w", (line,), ("entry-2",), ("voss",)))
    requests = fake_response(monkeypatch, history)
    result = CliRunner().invoke(main, ["explain", "instance", "w"])
    assert requests == ["GET /explain/instance/w"]
    event, *missing = result.output.splitlines()
    assert event.startswith("1970-01-01 00:00:00 claim.take refused")
    assert event.endswith("by=entry-1 cause=budget offset=7 pool=casting")
    assert missing == ["missing entry=entry-2", "missing data_centre=voss"]


def test_unreachable_entry_is_reported() -> None:
    arguments = ["explain", "job", "j", "--server", "http://127.0.0.1:9"]
    result = CliRunner().invoke(main, arguments)
    assert result.exit_code == 3
    assert "unreachable http://127.0.0.1:9" in result.output
