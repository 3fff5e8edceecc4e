"""Apply records of pools, the instances they own, and moves between pools.

The state has one map of instances, each with its pool, and a single record changes the
pool, so an instance belongs to exactly one pool at every offset.
"""

from __future__ import annotations

from sys import intern

from returns.result import Failure, Result, Success

from ...exceptions import MustardwardError
from ..budgets import (
    BudgetExceededError,
    check_one_more_unavailable,
    check_within_budgets,
    get_budget_index,
    recount_instance,
)
from ..fleet import FleetState
from ..fold import Acceptance, FoldContext, RecordRefusedError
from ..instance_status import instance_accepts, instance_status
from ..models.pools import (
    AcknowledgeMove,
    AddInstance,
    CancelMove,
    Instance,
    Move,
    Pool,
    PutPool,
    RemoveInstance,
    RequestMove,
    TransferInstance,
)
from ..records import NO_BASE
from .fleet_registry import FLEET_HANDLERS
from .refusals import (
    SubjectExistsError,
    SubjectInUseError,
    UnknownPoolError,
    UnknownSubjectError,
    check_base_revision,
)

Outcome = Result[Acceptance, MustardwardError]


class MoveInProgressError(RecordRefusedError):
    """Report a move of an instance that is already being moved."""

    code = "move-in-progress"


class MoveUnacknowledgedError(RecordRefusedError):
    """Report a transfer before every expected entry node acknowledged the move."""

    code = "move-unacknowledged"


@FLEET_HANDLERS.register("pool.put")
def put_pool(state: FleetState, context: FoldContext, body: PutPool) -> Outcome:
    """Accept a pool; an existing one is not changed."""
    pool = state.pools.get(body.name)
    if pool is None:
        pool = Pool(intern(body.name), context.sequence)
        state.pools[pool.name] = pool
    return Success(Acceptance((f"pool:{body.name}",), pool.revision))


@FLEET_HANDLERS.register("instance.add")
def add_instance(state: FleetState, context: FoldContext, body: AddInstance) -> Outcome:
    """Accept an instance that no pool owns yet."""
    if body.pool not in state.pools:
        return Failure(UnknownPoolError(f"pools={body.pool}"))
    existing = state.instances.get(body.instance_id)
    if existing is not None:
        detail = f"instance={body.instance_id} pool={existing.pool}"
        return Failure(SubjectExistsError(detail))
    state.instances[body.instance_id] = Instance(
        instance_id=body.instance_id,
        data_centre=intern(body.data_centre),
        rack=intern(body.rack),
        address=body.address,
        pool=intern(body.pool),
        generation=context.sequence,
        cores=body.cores,
        memory_gigabytes=body.memory_gigabytes,
        accelerators=body.accelerators,
        slots=body.slots,
        connections=body.connections,
    )
    recount_instance(state, body.instance_id)
    return Success(Acceptance((f"instance:{body.instance_id}",), context.sequence))


@FLEET_HANDLERS.register("instance.remove")
def remove_instance(
    state: FleetState, context: FoldContext, body: RemoveInstance
) -> Outcome:
    """Remove an instance from the fleet, unless a wave has claimed it."""
    instance = state.instances.get(body.instance_id)
    if instance is None:
        return Failure(UnknownSubjectError(f"instance={body.instance_id}"))
    if context.base_revision != NO_BASE:
        conflict = check_base_revision(context, instance.generation)
        if conflict is not None:
            return Failure(conflict)
    if not instance_accepts(state, body.instance_id, "remove"):
        return Failure(SubjectInUseError(f"instance={body.instance_id} claimed"))
    del state.instances[body.instance_id]
    state.moves.pop(body.instance_id, None)
    state.absences.pop(body.instance_id, None)
    recount_instance(state, body.instance_id)
    return Success(Acceptance((f"instance:{body.instance_id}",), context.sequence))


@FLEET_HANDLERS.register("move.request")
def request_move(state: FleetState, context: FoldContext, body: RequestMove) -> Outcome:
    """Accept a move of an instance that is not being moved."""
    instance = state.instances.get(body.instance_id)
    if instance is None:
        return Failure(UnknownSubjectError(f"instance={body.instance_id}"))
    if body.target not in state.pools:
        return Failure(UnknownPoolError(f"pools={body.target}"))
    refusal = _move_refusal(state, instance)
    if refusal is not None:
        return Failure(refusal)
    conflict = check_base_revision(context, instance.generation)
    if conflict is not None:
        return Failure(conflict)
    if instance.pool == body.target:
        detail = f"instance={body.instance_id} pool={body.target}"
        return Failure(SubjectExistsError(detail))
    state.moves[body.instance_id] = Move(
        move_id=body.move_id,
        instance_id=body.instance_id,
        source=instance.pool,
        target=intern(body.target),
        generation=instance.generation,
        expected=frozenset(body.expected),
        requested=context.sequence,
    )
    recount_instance(state, body.instance_id)
    return _accepted(context, body.move_id, body.instance_id)


@FLEET_HANDLERS.register("move.acknowledge")
def acknowledge_move(
    state: FleetState, context: FoldContext, body: AcknowledgeMove
) -> Outcome:
    """Record the entry nodes that released the instance or have verifiably ended."""
    move = find_move(state, body.move_id)
    if move is None:
        return Failure(UnknownSubjectError(f"move={body.move_id}"))
    move.acknowledged.update(body.entries)
    move.acknowledged.update(body.gone)
    return _accepted(context, body.move_id, move.instance_id)


@FLEET_HANDLERS.register("move.transfer")
def transfer_instance(
    state: FleetState, context: FoldContext, body: TransferInstance
) -> Outcome:
    """Change the owner once every expected entry node acknowledged the move."""
    move = find_move(state, body.move_id)
    if move is None:
        return Failure(UnknownSubjectError(f"move={body.move_id}"))
    waiting = move.expected - move.acknowledged
    if waiting:
        return Failure(MoveUnacknowledgedError(f"waiting={','.join(sorted(waiting))}"))
    if move.instance_id in state.absences:
        # In the target pool it would count as one more unavailable instance.
        return Failure(SubjectInUseError(f"instance={move.instance_id} absent"))
    instance = state.instances[move.instance_id]
    budget_refusal = _transfer_within_budget(state, instance, move)
    if budget_refusal is not None:
        return Failure(budget_refusal)
    instance.generation = context.sequence
    return _accepted(context, body.move_id, move.instance_id)


def _transfer_within_budget(
    state: FleetState, instance: Instance, move: Move
) -> BudgetExceededError | None:
    """Change the owner, unless that breaks a budget of the target.

    A larger pool has a larger floor, and one more instance in a rack can enlarge the
    reserve. While an instance of the target is in maintenance, the failure of a rack
    could then violate a floor that was safe when the claim was accepted.
    """
    tightest_before = get_budget_index(state).tightest(
        state, move.target, instance.data_centre
    )
    instance.pool = move.target
    del state.moves[move.instance_id]
    recount_instance(state, move.instance_id)
    budget_error = check_within_budgets(state, instance)
    if (
        budget_error is None
        or tightest_before is None
        or budget_error.binding.margin >= tightest_before.margin
    ):
        return None
    instance.pool = move.source
    state.moves[move.instance_id] = move
    recount_instance(state, move.instance_id)
    return budget_error


@FLEET_HANDLERS.register("move.cancel")
def cancel_move(state: FleetState, context: FoldContext, body: CancelMove) -> Outcome:
    """Cancel a move; the instance stays in its source pool."""
    move = find_move(state, body.move_id)
    if move is None:
        return Failure(UnknownSubjectError(f"move={body.move_id}"))
    del state.moves[move.instance_id]
    recount_instance(state, move.instance_id)
    return _accepted(context, body.move_id, move.instance_id)


def _move_refusal(state: FleetState, instance: Instance) -> RecordRefusedError | None:
    """Return the error if an instance may not leave its pool now."""
    name = instance.instance_id
    move = state.moves.get(name)
    if move is not None:
        return MoveInProgressError(f"move={move.move_id}")
    if not instance_accepts(state, name, "request-move"):
        status = instance_status(state, name)
        return SubjectInUseError(f"instance={name} status={status}")
    if name in state.absences:
        return None
    return check_one_more_unavailable(state, instance)


def find_move(state: FleetState, move_id: str) -> Move | None:
    """Return a move in progress by its move id."""
    return next(
        (move for move in state.moves.values() if move.move_id == move_id), None
    )


def _accepted(context: FoldContext, move_id: str, instance_id: str) -> Outcome:
    subjects = (f"move:{move_id}", f"instance:{instance_id}")
    return Success(Acceptance(subjects, context.sequence))
