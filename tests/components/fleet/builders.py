"""Build fleets for the tests of the planners."""

from __future__ import annotations

from mustardward.components.fleet.models import FleetView, Load, WaveRun
from mustardward.components.pool_sizing.work_profile import WorkProfile
from mustardward.components.scheduling.demand import PoolLoad
from mustardward.components.scheduling.inflow import Amount
from mustardward.platform.models import Instance, MaintenanceWave, Room

POOL = "pool-a"
OTHER = "pool-b"
STANDBY = "off"
CORES = 8000
EMPTY = Load(0, 0)


def an_instance(number: int, pool: str = POOL, **changes: object) -> Instance:
    """Return an instance that is up; in a standby pool it has no worker."""
    values: dict[str, object] = {
        "machine": f"m-{number:02d}",
        "pool": pool,
        "state": "up",
        "labels": ["a", f"r{number // 4}"],
        "capacity": Room(cpu=CORES, mem_mb=8000),
        "id": None if pool == STANDBY else f"i-{number:02d}",
    }
    values.update(changes)
    return Instance(**values)  # type: ignore[arg-type]


def a_view(
    instances: list[Instance],
    loads: dict[str, Load] | None = None,
    read_at: float = 0.0,
    moving: frozenset[str] = frozenset(),
    blocked: frozenset[str] = frozenset(),
) -> FleetView:
    """Return a view in which workers are idle unless ``loads`` has an entry."""
    known = {i.id: EMPTY for i in instances if i.id is not None}
    known.update(loads or {})
    pools = frozenset({i.pool for i in instances} | {POOL, OTHER})
    return FleetView(
        {i.machine: i for i in instances},
        known,
        frozenset({STANDBY}),
        pools,
        read_at,
        moving | blocked,
        blocked,
    )


def a_wave(
    machines: list[str], max_count: int = 2, duration_s: float = 20.0
) -> WaveRun:
    """Return a wave that was just published."""
    return WaveRun(MaintenanceWave(1, machines, duration_s, max_count), 0.0)


def a_load(
    cores: float = 0.0, waiting: float = 0.0, seconds: float = 0.0, spread: int = 0
) -> PoolLoad:
    """Return a pool's load in cores; running tasks take three more seconds."""
    profile = WorkProfile()
    profile.add(Amount(cores * 1000), 3.0)
    if waiting:
        profile.add(Amount(waiting * 1000), seconds / waiting)
    return PoolLoad(
        running=Amount(cores * 1000),
        waiting=Amount(waiting * 1000),
        backlog=Amount(seconds * 1000),
        remaining=Amount((3.0 * cores + seconds) * 1000),
        profile=profile,
        spread_workers=spread,
    )
