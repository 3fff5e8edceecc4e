"""Write the figures of docs/CAPACITY.md, and its plot."""

from __future__ import annotations

import math
from collections.abc import Iterator, Mapping
from pathlib import Path
from typing import Final

from . import target
from .fit import Fit
from .limits import Limit
from .records import RecordSizes
from .roles import LogLoad, Role, fleet_records_a_second

BEGIN: Final = "<!-- figures: written by python -m bench.capacity --write -->"
END: Final = "<!-- end of figures -->"
_PLOTTED: Final = (
    "state",
    "router index",
    "snapshot time",
    "planner",
    "budget check",
    "idle entry",
)


def slope_table(fits: Mapping[str, Fit]) -> Iterator[str]:
    """Yield the table of what was measured."""
    yield "| Measured | Unit | Sizes | Figures | Line | Residual | At target |"
    yield "|---|---|---|---|---|---|---|"
    for name, item in fits.items():
        sizes = ", ".join(f"{size:,}" for size in item.measure.sizes)
        figures = ", ".join(f"{value:.3g}" for value in item.figures)
        yield (
            f"| {name} | {item.measure.unit} | {sizes} {item.measure.size_name} | "
            f"{figures} | {item.intercept:.3g} + {item.slope:.3g} n | "
            f"{item.residual:.1%} | {item.at_target:.3g} at "
            f"{item.measure.target:,} |"
        )


def role_tables(roles: list[Role]) -> Iterator[str]:
    """Yield a table of what each role spends, with its parts."""
    yield "| Role | Memory, MB | Core, % | Bytes a second | Carried by |"
    yield "|---|---|---|---|---|"
    for role in roles:
        yield (
            f"| {role.name} | {role.memory:.1f} | {role.core * 100:.2f} | "
            f"{role.traffic:.0f} | {role.mechanism} |"
        )
    yield ""
    yield "| Role | Part | Figure |"
    yield "|---|---|---|"
    for role in roles:
        for part, megabytes in role.state_mb.items():
            yield f"| {role.name} | {part} | {megabytes:.2f} MB |"
        for part, share in role.core_share.items():
            yield f"| {role.name} | {part} | {share * 100:.4f} % of a core |"
        for part, traffic in role.bytes_a_second.items():
            yield f"| {role.name} | {part} | {traffic:.1f} bytes a second |"


def log_table(load: LogLoad, sizes: RecordSizes) -> Iterator[str]:
    """Yield the log's appends on an ordinary day."""
    yield "| Appends | A second | Bytes each |"
    yield "|---|---|---|"
    for name, rate in load.appends.items():
        size = sizes.by_cause.get(name)
        text = f"{size:.0f}" if size else "up to 262,144"
        yield f"| {name} | {rate:.4f} | {text} |"
    yield (
        f"| all | {load.total:.4f} | {load.share:.3%} of "
        f"{target.LOG_APPENDS_A_SECOND:.0f} a second |"
    )


def limit_table(limits: list[Limit]) -> Iterator[str]:
    """Yield what breaks first."""
    yield "| What breaks | At | Times the target | Why |"
    yield "|---|---|---|---|"
    for limit in sorted(limits, key=lambda item: item.factor):
        yield f"| {limit.name} | {limit.size} | {limit.factor:.1f} | {limit.why} |"


def day_table(fits: Mapping[str, Fit], sizes: RecordSizes) -> Iterator[str]:
    """Yield a day of failures, and an hour apart with its healing."""
    rate = fleet_records_a_second()
    fold = fits["fold"].at_target / 1e6
    apart = rate * 3_600.0
    yield "| Event | Records | Fold on each entry | Bytes to each entry |"
    yield "|---|---|---|---|"
    for name, count in (
        ("a day", sum(target.fleet_records_a_day().values())),
        ("170 failures", float(target.FAILURES_A_DAY * target.FAILURE_RECORDS)),
        (
            "1,300 replacements",
            float(target.REPLACEMENTS_A_DAY * target.REPLACEMENT_RECORDS),
        ),
        ("a rack of 4 lost, coalesced", 1.0),
        ("a data centre lost, coalesced by rack", target.WORKERS_EACH / target.RACK),
        ("a region apart for an hour, then healing", apart),
    ):
        seconds = count * fold
        traffic = count * sizes.mean
        yield f"| {name} | {count:,.0f} | {seconds * 1e3:.2f} ms | {traffic:,.0f} |"


def write(page: Path, lines: list[str]) -> None:
    """Replace the figures between the marks."""
    text = page.read_text(encoding="utf-8")
    head, _, rest = text.partition(BEGIN)
    _, _, tail = rest.partition(END)
    body = "\n".join(lines)
    page.write_text(f"{head}{BEGIN}\n\n{body}\n\n{END}{tail}", encoding="utf-8")


def plot(fits: Mapping[str, Fit], target_file: Path) -> None:
    """Draw the measured figures with their lines up to the target."""
    import matplotlib

    matplotlib.use("svg")
    matplotlib.rcParams["svg.hashsalt"] = "mustardward"
    from matplotlib import pyplot

    columns = 3
    rows = math.ceil(len(_PLOTTED) / columns)
    figure, axes = pyplot.subplots(rows, columns, figsize=(11, 3.2 * rows))
    for axis, name in zip(axes.flat, _PLOTTED, strict=False):
        item = fits[name]
        last = max(item.measure.target, item.measure.sizes[-1])
        axis.plot(item.measure.sizes, item.figures, "o", label="measured")
        axis.plot([0, last], [item.at(0), item.at(last)], "-", label="line")
        axis.axvline(item.measure.target, linestyle=":", label="target")
        axis.set_title(name)
        axis.set_xlabel(item.measure.size_name)
        axis.set_ylabel(item.measure.unit)
        axis.set_ylim(bottom=0)
    axes.flat[0].legend()
    figure.tight_layout()
    figure.savefig(target_file, metadata={"Date": None})
