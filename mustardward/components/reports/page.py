"""Render the burn report as one HTML page with inline plots.

Commands render it, not the serving process. Plots are inline SVG that scales with the
screen; the page loads no other resources, so it can be opened from a file on a phone.
"""

from __future__ import annotations

from html import escape
from math import log10
from string import Template
from typing import Any, Final

CAUSE_COLOURS: Final = {
    "refusal": "#c98a00",
    "wave": "#3b6fb6",
    "failure": "#b3383f",
    "neighbour": "#7a4fa3",
    "worker": "#4c8c4a",
    "other": "#777777",
}
_RATE_TICKS: Final = (0.1, 1.0, 10.0, 100.0)
_LOWEST_RATE: Final = 0.01
_HIGHEST_RATE: Final = 1000.0
_ROW_HEIGHT: Final = 22
_LABEL_WIDTH: Final = 34
_PLOT_WIDTH: Final = 320

_PAGE: Final = Template("""<!doctype html>
<html lang="en"><head><meta charset="utf-8">
<meta name="viewport" content="width=device-width, initial-scale=1">
<title>Service-level burn</title><style>
body{font:16px/1.4 system-ui,sans-serif;margin:0 auto;padding:12px;max-width:720px}
section{border-top:1px solid #ccc;padding:8px 0}
h1{font-size:1.3em}h2{font-size:1.1em;margin:.4em 0}
svg{width:100%;height:auto;max-width:560px}svg text{font-size:11px}
.missing{background:#b3383f;color:#fff;padding:8px}
.key span{display:inline-block;margin-right:10px;white-space:nowrap}
.key i{display:inline-block;width:10px;height:10px;margin-right:4px}
.low{color:#b3383f;font-weight:bold}
</style></head><body>
<h1>Service-level burn</h1>
$notice
<p class="key">$key</p>
$sections
</body></html>
""")


def render_page(report: dict[str, Any]) -> str:
    """Return the HTML page of a report, given as the body of the API response."""
    key = "".join(
        f'<span><i style="background:{colour}"></i>{cause}</span>'
        for cause, colour in CAUSE_COLOURS.items()
    )
    sections = "\n".join(_render_one(item) for item in report["organisations"])
    return _PAGE.substitute(notice=_render_notice(report), key=key, sections=sections)


def _render_notice(report: dict[str, Any]) -> str:
    missing = [
        *(f"data centre {name}" for name in report["missing_data_centres"]),
        *(f"entry {name}" for name in report["missing_entries"]),
    ]
    if not missing:
        return f"<p>Counted by {report['entries']} entries; no part is missing.</p>"
    names = escape(", ".join(missing))
    return f'<p class="missing">Incomplete: no counts from {names}.</p>'


def _render_one(item: dict[str, Any]) -> str:
    left = item["error_budget_left"]
    low = ' class="low"' if left <= 0.0 else ""
    return (
        f"<section><h2>{escape(item['organisation'])}</h2>"
        f"<p>Objective {item['success_share']:.3%} good, "
        f"{item['latency_share']:.1%} within {item['latency_seconds'] * 1000:.0f} ms. "
        f"<span{low}>Error budget left {left:.1%}</span>, "
        f"latency budget left {item['latency_budget_left']:.1%}. "
        f"Median {item['median_seconds'] * 1000:.1f} ms, "
        f"99th percentile {item['tail_seconds'] * 1000:.1f} ms.</p>"
        f"{_render_plot(item['windows'])}</section>"
    )


def _render_plot(windows: list[dict[str, Any]]) -> str:
    height = _ROW_HEIGHT * len(windows) + 18
    width = _LABEL_WIDTH + _PLOT_WIDTH + 76
    rows = "".join(
        _render_row(index * _ROW_HEIGHT, window) for index, window in enumerate(windows)
    )
    return (
        f'<svg viewBox="0 0 {width} {height}" role="img" '
        f'aria-label="Burn rate by window, logarithmic">'
        f"{_render_ticks(height)}{rows}</svg>"
    )


def _render_ticks(height: int) -> str:
    return "".join(
        f'<line x1="{x:.1f}" y1="0" x2="{x:.1f}" y2="{height - 14}" '
        f'stroke="{"#b3383f" if rate == 1.0 else "#ddd"}"/>'
        f'<text x="{x:.1f}" y="{height - 3}" text-anchor="middle">{rate:g}</text>'
        for rate in _RATE_TICKS
        for x in [_LABEL_WIDTH + _scale(rate)]
    )


def _render_row(top: int, window: dict[str, Any]) -> str:
    rate = window["error_burn_rate"]
    end = _LABEL_WIDTH + _scale(rate)
    return (
        f'<text x="0" y="{top + 15}">{escape(window["window"])}</text>'
        f"{_render_bar(top + 4, window)}"
        f'<text x="{end + 4:.1f}" y="{top + 15}">{rate:.2f} '
        f"({window['covered']:.0%})</text>"
    )


def _render_bar(top: int, window: dict[str, Any]) -> str:
    """Return the bar of a burn rate, divided by cause."""
    length = _scale(window["error_burn_rate"])
    left = float(_LABEL_WIDTH)
    bars = []
    for cause, count in window["causes"].items():
        if not count:
            continue
        width = length * count / window["failed"]
        bars.append(
            f'<rect x="{left:.1f}" y="{top}" width="{width:.1f}" height="14" '
            f'fill="{CAUSE_COLOURS.get(cause, "#777777")}">'
            f"<title>{escape(cause)} {count}</title></rect>"
        )
        left += width
    return "".join(bars)


def _scale(rate: float) -> float:
    if rate <= _LOWEST_RATE:
        return 0.0
    bounded = min(rate, _HIGHEST_RATE)
    span = log10(_HIGHEST_RATE) - log10(_LOWEST_RATE)
    return _PLOT_WIDTH * (log10(bounded) - log10(_LOWEST_RATE)) / span
