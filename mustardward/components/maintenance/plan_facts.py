"""Gather what a plan is made from out of the folded states."""

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
    """Return, by worker, its jobs with the seconds that they are declared to run.

    Declared times are far from the truth; they only order instances and tell how much
    is at stake, and no budget rests on them.
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
    held: frozenset[str] = frozenset(),
) -> PlanInput:
    """Return the facts for maintaining the ``due`` instances of some pools.

    :param held: instances that count as available although they are out now.
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
            available=name in held or index.is_available(name),
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
    """Return the facts for the whole of a wave as if it began now.

    The paces follow from the whole and not from what is left, so that they stay the
    same from the first instance to the last.
    """
    held = frozenset(
        name for name, claim in state.claims.items() if claim.wave_id == wave.wave_id
    )
    due = frozenset(wave.pending | wave.done) | held
    return build_plan_input(state, wave.pools, due, tasks, wave.canary, held)
