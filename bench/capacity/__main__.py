"""Measure slopes and work out each role's cost: ``python -m bench.capacity``.

``--write`` renews the figures and the plot of docs/CAPACITY.md.
"""

from __future__ import annotations

import argparse
import sys
from pathlib import Path
from typing import Final

from . import target
from .fit import Fit, fit
from .limits import find_limits
from .measures import MEASURES
from .page import (
    day_table,
    limit_table,
    log_table,
    plot,
    role_tables,
    slope_table,
    write,
)
from .records import measure_records
from .roles import Role, delegate_role, duty_role, entry_role, list_role, log_load

_DOCS: Final = Path(__file__).parents[2] / "docs"


def main() -> int:
    """Measure, print, and tell by the exit code whether each aim is met."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--write", action="store_true")
    arguments = parser.parse_args()
    fits = _measure()
    sizes = measure_records()
    entry = entry_role(fits, sizes)
    roles = [entry, duty_role(fits), delegate_role(fits), list_role(fits)]
    load = log_load(fits)
    limits = find_limits(fits, roles, load)
    lines = [
        *slope_table(fits),
        "",
        *role_tables(roles),
        "",
        *log_table(load, sizes),
        "",
        *day_table(fits, sizes),
        "",
        *limit_table(limits),
    ]
    print("\n".join(lines))
    if arguments.write:
        write(_DOCS / "CAPACITY.md", lines)
        plot(fits, _DOCS / "capacity.svg")
    return _report(roles, load.share)


def _measure() -> dict[str, Fit]:
    fits: dict[str, Fit] = {}
    for measure in MEASURES:
        fits[measure.name] = fit(measure)
        print(f"measured={measure.name.replace(' ', '-')}", file=sys.stderr)
    return fits


def _report(roles: list[Role], log_share: float) -> int:
    memory = sum(role.memory for role in roles)
    core = sum(role.core for role in roles)
    traffic = sum(role.traffic for role in roles)
    met = (
        memory <= target.NODE_MEMORY_MB
        and core <= target.NODE_CORE_SHARE
        and traffic <= target.NODE_BYTES_A_SECOND
        and log_share <= 1.0
    )
    print(
        f"memory_mb={memory:.1f} memory_aim_mb={target.NODE_MEMORY_MB:.0f} "
        f"memory_ratio={memory / target.NODE_MEMORY_MB:.3f} core={core:.5f} "
        f"core_aim={target.NODE_CORE_SHARE} "
        f"core_ratio={core / target.NODE_CORE_SHARE:.3f} "
        f"bytes_a_second={traffic:.0f} bytes_aim={target.NODE_BYTES_A_SECOND:.0f} "
        f"bytes_ratio={traffic / target.NODE_BYTES_A_SECOND:.3f} "
        f"log_share={log_share:.5f} met={str(met).lower()}"
    )
    return 0 if met else 1


if __name__ == "__main__":
    sys.exit(main())
