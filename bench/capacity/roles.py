"""Work out each role's cost at the target size from measured slopes."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Final

from mustardward.components.membership.const import (
    LIST_INTERVAL_SECONDS,
    LIST_INTERVAL_SECONDS_PER_INSTANCE,
)

from . import target
from .fit import Fit
from .records import RecordSizes

DUTY_ROUND_SECONDS: Final = 1.0
SNAPSHOT_SECONDS: Final = 1_800.0
EXCHANGES_A_SECOND: Final = 2.0
"""One that the entry begins and one that it answers."""


@dataclass(slots=True)
class Role:
    """Hold one role's figures; each part is named with what carries it."""

    name: str
    state_mb: dict[str, float] = field(default_factory=dict)
    core_share: dict[str, float] = field(default_factory=dict)
    bytes_a_second: dict[str, float] = field(default_factory=dict)
    mechanism: str = ""

    @property
    def memory(self) -> float:
        """Return all megabytes."""
        return sum(self.state_mb.values())

    @property
    def core(self) -> float:
        """Return the share of a core."""
        return sum(self.core_share.values())

    @property
    def traffic(self) -> float:
        """Return bytes a second."""
        return sum(self.bytes_a_second.values())


def fleet_records_a_second() -> float:
    """Return the rate of records in the fleet's stream."""
    return sum(target.fleet_records_a_day().values()) / target.DAY_SECONDS


def entry_role(fits: dict[str, Fit], sizes: RecordSizes) -> Role:
    """Return what every entry spends."""
    rate = fleet_records_a_second()
    role = Role("entry", mechanism="fold of one stream, index by pool, delta digests")
    role.state_mb = {
        "idle process": fits["idle memory"].at_target,
        "folded state": fits["state"].at_target,
        "router index": fits["router index"].at_target,
        "burn accounts": fits["burn accounts"].at_target,
        "stories": fits["stories"].at_target,
        "10,000 waiting jobs": fits["jobs"].at_target,
        "10,000 open intents": fits["intents"].at_target,
    }
    role.core_share = {
        "fold": rate * fits["fold"].at_target / 1e6,
        "polls, digests, timers": fits["idle entry"].at_target / 100.0,
    }
    digest = fits["digest"]
    # News of an instance spreads once to each entry of its data centre.
    changes = _changes_a_second() / target.DATA_CENTRES
    role.bytes_a_second = {
        "idle: polls, digests, the list": fits["idle bytes"].at_target,
        "records": rate * sizes.mean,
        "news": 2 * changes * digest.slope,
    }
    return role


def _changes_a_second() -> float:
    leaving = target.WORKERS * target.DAY_SECONDS / target.MAINTENANCE_SECONDS
    daily = 2 * (leaving + target.REPLACEMENTS_A_DAY + target.FAILURES_A_DAY)
    return daily / target.DAY_SECONDS


def duty_role(fits: dict[str, Fit]) -> Role:
    """Return what the holder of wave and snapshot duties spends besides."""
    claims = target.WORKERS / target.MAINTENANCE_SECONDS
    role = Role(
        "duty holder, besides",
        mechanism="rendezvous shares duties; counters by pool, rack and data centre",
    )
    role.core_share = {
        "planning rounds": fits["planner"].at_target / 1e3 / DUTY_ROUND_SECONDS,
        "budget checks": claims * fits["budget check"].at_target / 1e6,
        "snapshots": fits["snapshot time"].at_target / 1e3 / SNAPSHOT_SECONDS,
    }
    role.bytes_a_second = {
        "snapshots": fits["snapshot size"].at_target * 1e3 / SNAPSHOT_SECONDS,
    }
    return role


def list_role(fits: dict[str, Fit]) -> Role:
    """Return what a reader of the platform's list spends besides."""
    workers = target.WORKERS / target.DATA_CENTRES
    interval = max(LIST_INTERVAL_SECONDS, LIST_INTERVAL_SECONDS_PER_INSTANCE * workers)
    role = Role(
        "list reader, besides",
        mechanism="two a data centre; its part of the list is read the more rarely "
        "the longer it is",
    )
    size = fits["list"].at_target * 1e3 / target.DATA_CENTRES
    role.bytes_a_second = {f"the list, each {interval:.0f} s": size / interval}
    return role


def delegate_role(fits: dict[str, Fit]) -> Role:
    """Return what a delegate between data centres spends besides."""
    digest = fits["digest"]
    role = Role(
        "delegate, besides", mechanism="two delegates a data centre, one round robin"
    )
    role.bytes_a_second = {
        "digests": 2 * EXCHANGES_A_SECOND * digest.intercept,
        "entries' news": 2 * digest.slope * _entry_changes_a_second(),
    }
    return role


def _entry_changes_a_second() -> float:
    # Entries are replaced as often as any other instance.
    entries = target.ENTRIES_EACH * target.DATA_CENTRES
    share = entries / target.WORKERS
    daily = 2 * share * (target.REPLACEMENTS_A_DAY + target.FAILURES_A_DAY)
    return daily / target.DAY_SECONDS


@dataclass(frozen=True, slots=True)
class LogLoad:
    """Hold the log's appends a second by cause, with nothing coalesced."""

    appends: dict[str, float]

    @property
    def total(self) -> float:
        """Return all appends a second."""
        return sum(self.appends.values())

    @property
    def share(self) -> float:
        """Return the share of what the service takes."""
        return self.total / target.LOG_APPENDS_A_SECOND


def log_load(fits: dict[str, Fit], chunk_bytes: float = 262_144.0) -> LogLoad:
    """Return the appends of an ordinary day, one for each record."""
    appends = {
        name: count / target.DAY_SECONDS
        for name, count in target.fleet_records_a_day().items()
    }
    chunks = fits["snapshot size"].at_target * 1e3 / chunk_bytes + 1
    appends["snapshots"] = chunks / SNAPSHOT_SECONDS
    return LogLoad(appends)


def intent_homes(window_seconds: float, share: float) -> float:
    """Return how many homes may append all the time within a share of the log.

    :param window_seconds: the group-commit window.
    """
    return share * target.LOG_APPENDS_A_SECOND * window_seconds
