"""Model a small fleet that runs in one process."""

from __future__ import annotations

from dataclasses import dataclass, field

from ..core import Core
from ..standin.platform import PlatformOptions, RunningPlatform
from ..standin.worker_app import RunningWorker


@dataclass(frozen=True, slots=True)
class FleetPlan:
    """Size a fleet: each pool has ``workers`` in each data centre.

    ``rack_size`` workers stand in one rack.
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
    """Hold a worker of a plan before it runs."""

    instance_id: str
    data_centre: str
    rack: str
    pool: str


def plan_workers(plan: FleetPlan) -> list[PlannedWorker]:
    """Return all workers of a plan."""
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
    """Hold a fleet that runs: its platform, entries by name, workers by id."""

    plan: FleetPlan
    platform: RunningPlatform
    entries: dict[str, Core] = field(default_factory=dict)
    workers: dict[str, RunningWorker] = field(default_factory=dict)
    planned: dict[str, PlannedWorker] = field(default_factory=dict)

    def first_entry(self, data_centre: str | None = None) -> Core:
        """Return an entry, of one data centre if so asked."""
        for core in self.entries.values():
            if data_centre in (None, core.settings.entry.data_centre):
                return core
        raise KeyError(data_centre)
