"""Define a small fleet that runs in one process."""

from __future__ import annotations

from dataclasses import dataclass, field

from ..core import Core
from ..standin.platform import PlatformOptions, RunningPlatform
from ..standin.worker_app import RunningWorker


@dataclass(frozen=True, slots=True)
class FleetPlan:
    """Size of a fleet.

    :param entries: entries per data centre.
    :param workers: workers per pool and data centre.
    :param rack_size: workers per rack.
    :param slots: slots per worker.
    """

    data_centres: tuple[str, ...] = ("flam", "voss")
    entries: int = 2
    pools: tuple[str, ...] = ("climate",)
    workers: int = 4
    rack_size: int = 2
    slots: int = 8
    platform: PlatformOptions = field(default_factory=PlatformOptions)


@dataclass(frozen=True, slots=True)
class PlannedWorker:
    """A worker in a fleet plan."""

    instance_id: str
    data_centre: str
    rack: str
    pool: str


def plan_workers(plan: FleetPlan) -> list[PlannedWorker]:
    """Return all workers of a fleet plan."""
    return [
        PlannedWorker(
            instance_id=f"{data_centre}-{pool}-{number + 1}",
            data_centre=data_centre,
            rack=f"{data_centre}-{pool}-rack-{number // plan.rack_size + 1}",
            pool=pool,
        )
        for data_centre in plan.data_centres
        for pool in plan.pools
        for number in range(plan.workers)
    ]


@dataclass(slots=True, eq=False)
class RunningFleet:
    """A running fleet: its platform, entries by name and workers by id."""

    plan: FleetPlan
    platform: RunningPlatform
    entries: dict[str, Core] = field(default_factory=dict)
    workers: dict[str, RunningWorker] = field(default_factory=dict)
    planned_workers: dict[str, PlannedWorker] = field(default_factory=dict)

    def first_entry(self, data_centre: str | None = None) -> Core:
        """Return the first entry, or the first one of a data centre."""
        for core in self.entries.values():
            if data_centre in (None, core.settings.entry.data_centre):
                return core
        raise KeyError(data_centre)
