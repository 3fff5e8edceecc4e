"""Work out what breaks first when the fleet grows past the target."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

from . import target
from .fit import Fit
from .roles import LogLoad, Role, intent_homes

ROUND_BUDGET_MILLISECONDS: Final = 20.0
"""Longest time for which a planning round may hold the loop."""

SNAPSHOT_BUDGET_MILLISECONDS: Final = 250.0
"""Longest time for which a snapshot may hold the loop."""

GROUP_COMMIT_SECONDS: Final = 0.02
HOMES_SHARE: Final = 0.5
"""Share of the log that intents may use."""


@dataclass(frozen=True, slots=True)
class Limit:
    """Say what stops at which size, as a multiple of the target."""

    name: str
    size: str
    factor: float
    why: str


def find_limits(
    fits: Mapping[str, Fit], roles: list[Role], load: LogLoad
) -> list[Limit]:
    """Return every limit worked out from a line."""
    entry, *besides = roles
    fixed = entry.memory - fits["state"].at_target - fits["router index"].at_target
    by_worker = fits["state"].slope + fits["router index"].slope
    workers = (target.NODE_MEMORY_MB - fixed) / by_worker
    homes = intent_homes(GROUP_COMMIT_SECONDS, HOMES_SHARE)
    all_entries = target.ENTRIES_EACH * target.DATA_CENTRES
    return [
        _limit("memory of an entry", "workers", workers, target.WORKERS, "128 MB"),
        _crossing(
            fits["planner"],
            ROUND_BUDGET_MILLISECONDS,
            "a planning round holds the loop",
        ),
        _crossing(
            fits["snapshot time"],
            SNAPSHOT_BUDGET_MILLISECONDS,
            "writing and reading a snapshot holds the loop",
        ),
        _crossing(
            fits["idle entry"],
            target.NODE_CORE_SHARE * 100.0,
            "digests and polls reach 2.6 % of a core",
        ),
        *[
            Limit(
                f"bytes of {role.name}",
                f"{role.traffic:,.0f} bytes a second at the target",
                target.NODE_BYTES_A_SECOND / (entry.traffic + role.traffic),
                "with an entry's own traffic, against 4 KB a second",
            )
            for role in besides
        ],
        Limit(
            "records of the fleet in the log",
            f"{load.total / load.share:.0f} appends a second",
            1.0 / load.share,
            "the log's rate, if nothing were coalesced",
        ),
        Limit(
            "homes of idempotency keys that append all the time",
            f"{homes:.0f} homes",
            homes / all_entries,
            "a group commit each 20 ms from every entry passes half of the log's rate; "
            "the window has to grow, or homes be fewer than entries",
        ),
    ]


def _limit(name: str, size_name: str, size: float, wanted: float, why: str) -> Limit:
    return Limit(name, f"{size:,.0f} {size_name}", size / wanted, why)


def _crossing(item: Fit, most: float, why: str) -> Limit:
    measure = item.measure
    if item.slope <= 0:
        return Limit(measure.name, "not by growth", float("inf"), why)
    size = (most - item.intercept) / item.slope
    return _limit(measure.name, measure.size_name, size, measure.target, why)
