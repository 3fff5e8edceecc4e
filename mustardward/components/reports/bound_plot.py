"""Plot the instances of several planners over a day, one panel per pool."""

from __future__ import annotations

import logging
from collections.abc import Sequence
from pathlib import Path

from .bound import PlannerResult
from .workload import GRID_SECONDS


def draw(planned: Sequence[PlannerResult], path: Path) -> None:
    """Write an SVG; requires matplotlib, which is not installed on entries."""
    # Without a font cache, matplotlib logs that it builds one, amid the report's rows.
    logging.getLogger("matplotlib").setLevel(logging.WARNING)
    import matplotlib

    matplotlib.use("svg")
    from matplotlib import pyplot

    pools = sorted({pool for row in planned for pool in row.instances})
    figure, panels = pyplot.subplots(
        max(1, len(pools)), 1, squeeze=False, figsize=(8, 2.2 * max(1, len(pools)))
    )
    for pool, panel in zip(pools, panels[:, 0], strict=False):
        for row in planned:
            counts = row.instances.get(pool, [])
            times = [cell * GRID_SECONDS for cell in range(len(counts))]
            panel.step(times, counts, label=row.name, linewidth=1)
        panel.set_ylabel(f"{pool}\ninstances")
    panels[0, 0].legend(fontsize="small")
    panels[-1, 0].set_xlabel("seconds")
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
