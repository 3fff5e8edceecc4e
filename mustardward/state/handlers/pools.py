"""Fold pools, the instances they own, and moves between pools.

An instance stands in one map under one pool, and one record changes it, so at every
offset it belongs to exactly one pool.
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
    """Report a move of an instance that another move already holds."""

    code = "move-in-progress"


class MoveUnacknowledgedError(RecordRefusedError):
    """Report a transfer before every expected entry gave the instance up."""

    code = "move-unacknowledged"


@FLEET_HANDLERS.register("pool.put")
def put_pool(state: FleetState, context: FoldContext, body: PutPool) -> Outcome:
    """Accept a pool; one that exists stays as it is."""
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
    owned = state.instances.get(body.instance_id)
    if owned is not None:
        detail = f"instance={body.instance_id} pool={owned.pool}"
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
    """Accept that an instance leaves the fleet, unless a wave holds it."""
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
    """Accept a move of an instance that no other move holds."""
    instance = state.instances.get(body.instance_id)
    if instance is None:
        return Failure(UnknownSubjectError(f"instance={body.instance_id}"))
    if body.target not in state.pools:
        return Failure(UnknownPoolError(f"pools={body.target}"))
    refusal = _hindrance(state, instance)
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
    """Note the entries that gave the instance up or are proven gone."""
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
    """Change the owner once every expected entry gave the instance up."""
    move = find_move(state, body.move_id)
    if move is None:
        return Failure(UnknownSubjectError(f"move={body.move_id}"))
    waiting = move.expected - move.acknowledged
    if waiting:
        return Failure(MoveUnacknowledgedError(f"waiting={','.join(sorted(waiting))}"))
    if move.instance_id in state.absences:
        # In its target it would count as one more instance that is not available.
        return Failure(SubjectInUseError(f"instance={move.instance_id} absent"))
    instance = state.instances[move.instance_id]
    crowded = _put_into_target(state, instance, move)
    if crowded is not None:
        return Failure(crowded)
    instance.generation = context.sequence
    return _accepted(context, body.move_id, move.instance_id)


def _put_into_target(
    state: FleetState, instance: Instance, move: Move
) -> BudgetExceededError | None:
    """Change the owner, unless that breaks a budget of the target.

    A larger pool has a larger floor, and one more instance in a rack makes for a larger
    reserve. With an instance of the target out for maintenance, the rack that fails
    next would break a floor that was safe when the claim was admitted.
    """
    before = get_budget_index(state).tightest(state, move.target, instance.data_centre)
    instance.pool = move.target
    del state.moves[move.instance_id]
    recount_instance(state, move.instance_id)
    after = check_within_budgets(state, instance)
    if after is None or before is None or after.binding.margin >= before.margin:
        return None
    instance.pool = move.source
    state.moves[move.instance_id] = move
    recount_instance(state, move.instance_id)
    return after


@FLEET_HANDLERS.register("move.cancel")
def cancel_move(state: FleetState, context: FoldContext, body: CancelMove) -> Outcome:
    """Leave the instance in its source pool."""
    move = find_move(state, body.move_id)
    if move is None:
        return Failure(UnknownSubjectError(f"move={body.move_id}"))
    del state.moves[move.instance_id]
    recount_instance(state, move.instance_id)
    return _accepted(context, body.move_id, move.instance_id)


def _hindrance(state: FleetState, instance: Instance) -> RecordRefusedError | None:
    """Return why an instance may not leave its pool now, or nothing."""
    name = instance.instance_id
    held = state.moves.get(name)
    if held is not None:
        return MoveInProgressError(f"move={held.move_id}")
    if not instance_accepts(state, name, "request-move"):
        status = instance_status(state, name)
        return SubjectInUseError(f"instance={name} status={status}")
    if name in state.absences:
        return None
    return check_one_more_unavailable(state, instance)


def find_move(state: FleetState, move_id: str) -> Move | None:
    """Return a move in progress by its own id."""
    return next(
        (move for move in state.moves.values() if move.move_id == move_id), None
    )


def _accepted(context: FoldContext, move_id: str, instance_id: str) -> Outcome:
    subjects = (f"move:{move_id}", f"instance:{instance_id}")
    return Success(Acceptance(subjects, context.sequence))
