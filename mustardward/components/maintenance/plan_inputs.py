"""Build the inputs of the planner from the replicated states."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable

from ...state.budgets import get_budget_index
from ...state.fleet import FleetState
from ...state.models.maintenance import Wave
from ...state.work import WorkState
from .const import PLANNED_DRAIN_SECONDS, PLANNED_REBOOT_SECONDS
from .plan_models import PlanInput, PlanInstance, PlanTask, PoolUnit

_RUNNING = "running"

Tasks = dict[str, list[PlanTask]]


def running_tasks(work: WorkState | None) -> Tasks:
    """Return the running jobs of each worker with their declared durations.

    Declared durations are inaccurate. They only order instances and estimate the number
    of moves; no budget depends on them.
    """
    found: Tasks = defaultdict(list)
    for job in work.jobs.values() if work else ():
        if job.worker and job.status == _RUNNING:
            task = PlanTask(job.declared_seconds, job.declared_seconds)
            found[job.worker].append(task)
    return found


def build_plan_input(
    state: FleetState,
    pools: Iterable[str],
    due: frozenset[str],
    tasks: Tasks,
    canary: int = 1,
    claimed: frozenset[str] = frozenset(),
) -> PlanInput:
    """Return the inputs for maintaining the ``due`` instances of some pools.

    :param held: claimed instances, which count as available.
    """
    wanted = frozenset(pools)
    index = get_budget_index(state)
    instances = tuple(
        PlanInstance(
            instance_id=name,
            unit=PoolUnit(item.pool, item.data_centre),
            rack=item.rack,
            tasks=tuple(tasks.get(name, ())),
            slots=item.slots,
            available=name in claimed or index.is_available(name),
        )
        for name, item in state.instances.items()
        if item.pool in wanted and not item.removed
    )
    return PlanInput(
        instances=instances,
        due=due & {item.instance_id for item in instances if item.available},
        users={pool: dict(index.users(pool)) for pool in wanted},
        canary=canary,
        reboot_seconds=PLANNED_REBOOT_SECONDS,
        drain_seconds=PLANNED_DRAIN_SECONDS,
        unreachable_data_centres=frozenset(state.silent),
    )


def build_wave_input(state: FleetState, wave: Wave, tasks: Tasks) -> PlanInput:
    """Return the inputs for a whole wave as if it started now.

    Limits derive from the whole wave and not from its remaining instances, so that they
    stay constant during the wave.
    """
    claimed = frozenset(
        name for name, claim in state.claims.items() if claim.wave_id == wave.wave_id
    )
    due = frozenset(wave.pending | wave.done) | claimed
    return build_plan_input(state, wave.pools, due, tasks, wave.canary, claimed)
