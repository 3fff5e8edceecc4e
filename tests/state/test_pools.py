"""Test records of pools, ownership of instances, and moves."""

from __future__ import annotations

import pytest

from mustardward.helpers.chart import load_chart
from mustardward.state.budgets import BudgetExceededError, BudgetIndex, get_budget_index
from mustardward.state.fold import RevisionConflictError
from mustardward.state.handlers.pools import (
    MoveInProgressError,
    MoveUnacknowledgedError,
)
from mustardward.state.handlers.refusals import (
    SubjectExistsError,
    SubjectInUseError,
    UnknownPoolError,
    UnknownSubjectError,
)
from mustardward.state.instance_status import instance_status
from mustardward.state.models.maintenance import (
    Absence,
    AbsenceChange,
    Claim,
    ReportAbsences,
)
from mustardward.state.models.pools import (
    AcknowledgeMove,
    CancelMove,
    PutPool,
    RemoveInstance,
    RequestMove,
    TransferInstance,
)
from mustardward.state.models.templates import (
    Parameters,
    PublishTemplate,
    PutOrganisation,
    ServiceBinding,
)
from tests.builders import FoldBuilder, build_fleet_fold, build_instance


@pytest.fixture
def builder() -> FoldBuilder:
    """Return two pools, the first with two instances."""
    built = build_fleet_fold("etching", "casting")
    for name in ("one", "two"):
        built.accept(build_instance(name, "etching"))
    return built


def _generation(builder: FoldBuilder, instance: str) -> int:
    generation: int = builder.fold.state.instances[instance].generation
    return generation


def _request(builder: FoldBuilder, move: str, target: str = "casting") -> None:
    builder.accept(
        RequestMove(move, "one", target, ("entry-a", "entry-b")),
        _generation(builder, "one"),
    )


def test_move_changes_the_owner_in_one_record(builder: FoldBuilder) -> None:
    before = _generation(builder, "one")
    _request(builder, "move-1")
    builder.accept(AcknowledgeMove("move-1", ("entry-a",)))
    early = builder.apply(TransferInstance("move-1")).result.failure()
    assert isinstance(early, MoveUnacknowledgedError)
    assert builder.fold.state.instances["one"].pool == "etching"
    builder.accept(AcknowledgeMove("move-1", (), gone=("entry-b",)))
    builder.accept(TransferInstance("move-1"))
    moved = builder.fold.state.instances["one"]
    assert (moved.pool, moved.generation > before) == ("casting", True)
    assert builder.fold.state.moves == {}


def test_the_second_of_two_operators_moving_one_instance_is_refused(
    builder: FoldBuilder,
) -> None:
    """Guard against an instance that serves two pools.

    Two operators request moves of it based on the same generation.
    """
    base_generation = _generation(builder, "one")
    _request(builder, "move-1")
    second = builder.apply(RequestMove("move-2", "one", "casting"), base_generation)
    assert isinstance(second.result.failure(), MoveInProgressError)
    builder.accept(AcknowledgeMove("move-1", ("entry-a", "entry-b")))
    builder.accept(TransferInstance("move-1"))
    outdated = builder.apply(RequestMove("move-2", "one", "etching"), base_generation)
    assert isinstance(outdated.result.failure(), RevisionConflictError)


def test_a_cancelled_move_leaves_the_owner(builder: FoldBuilder) -> None:
    _request(builder, "move-1")
    builder.accept(CancelMove("move-1"))
    outdated = builder.apply(TransferInstance("move-1")).result.failure()
    assert isinstance(outdated, UnknownSubjectError)
    assert builder.fold.state.instances["one"].pool == "etching"


def test_an_instance_is_added_once(builder: FoldBuilder) -> None:
    duplicate_refusal = builder.apply(build_instance("one", "casting")).result.failure()
    pool_refusal = builder.apply(build_instance("three", "attic")).result.failure()
    assert isinstance(duplicate_refusal, SubjectExistsError)
    assert isinstance(pool_refusal, UnknownPoolError)


def test_a_claimed_instance_is_neither_removed_nor_moved(builder: FoldBuilder) -> None:
    claim = Claim("one", "wave-1", "entry-a", 1, "claimed", 1)
    builder.fold.state.claims["one"] = claim
    held = builder.apply(RemoveInstance("one")).result.failure()
    assert isinstance(held, SubjectInUseError)
    generation = builder.fold.state.instances["one"].generation
    request = RequestMove("move-0", "one", "casting", ("entry-a",))
    claimed = builder.apply(request, generation).result.failure()
    assert isinstance(claimed, SubjectInUseError)
    assert builder.fold.state.moves == {}
    del builder.fold.state.claims["one"]
    _request(builder, "move-1")
    builder.accept(RemoveInstance("one"))
    assert "one" not in builder.fold.state.instances
    assert builder.fold.state.moves == {}


def test_a_pool_proposed_again_keeps_its_revision(builder: FoldBuilder) -> None:
    before = builder.fold.state.pools["etching"].revision
    assert builder.accept(PutPool("etching")) == before


def test_a_move_that_would_break_a_budget_is_refused(builder: FoldBuilder) -> None:
    parameters = Parameters(
        services=(ServiceBinding("print", "etching"),), minimum_available=1.0
    )
    builder.accept(PublishTemplate("base", parameters), 0)
    builder.accept(PutOrganisation("club", "base"), 0)
    generation = builder.fold.state.instances["one"].generation
    request = RequestMove("move-1", "one", "casting", ("entry-a",))
    refused = builder.apply(request, generation).result.failure()
    assert isinstance(refused, BudgetExceededError)
    assert refused.binding.organisation == "club"


def test_an_instance_that_failed_while_draining_is_not_transferred(
    builder: FoldBuilder,
) -> None:
    _request(builder, "move-1")
    builder.accept(AcknowledgeMove("move-1", ("entry-a", "entry-b")))
    builder.accept(ReportAbsences("bergen", (AbsenceChange("one", up=False, boot=1),)))
    held = builder.apply(TransferInstance("move-1")).result.failure()
    assert isinstance(held, SubjectInUseError)
    builder.accept(ReportAbsences("bergen", (AbsenceChange("one", up=True, boot=1),)))
    builder.accept(TransferInstance("move-1"))


def test_transfer_is_refused_while_it_would_violate_a_budget_of_the_target(
    builder: FoldBuilder,
) -> None:
    """Guard against a pool that falls below its floor when a rack fails during a wave.

    One of four instances is in maintenance when a fifth arrives in a rack that holds
    another one. The arrival enlarges floor and reserve, so the transfer has to check
    that they are still met.
    """
    parameters = Parameters(services=(ServiceBinding("cast", "casting"),))
    builder.accept(PublishTemplate("base", parameters), 0)
    builder.accept(PutOrganisation("club", "base"), 0)
    for number in range(1, 5):
        rack = f"rack-{number}"
        builder.accept(build_instance(f"cast-{number}", "casting", rack))
    _request(builder, "move-1")
    builder.accept(AcknowledgeMove("move-1", ("entry-a", "entry-b")))
    state = builder.fold.state
    builder.accept(
        ReportAbsences("bergen", (AbsenceChange("cast-2", up=False, boot=1),))
    )
    refused = builder.apply(TransferInstance("move-1")).result.failure()
    assert isinstance(refused, BudgetExceededError)
    assert (state.instances["one"].pool, "one" in state.moves) == ("etching", True)
    assert get_budget_index(state).snapshot() == BudgetIndex(state).snapshot()
    builder.accept(
        ReportAbsences("bergen", (AbsenceChange("cast-2", up=True, boot=1),))
    )
    builder.accept(TransferInstance("move-1"))
    assert state.instances["one"].pool == "casting"


def test_budget_counters_follow_every_change_of_owner(
    builder: FoldBuilder,
) -> None:
    _request(builder, "move-1")
    builder.accept(AcknowledgeMove("move-1", ("entry-a", "entry-b")))
    builder.accept(TransferInstance("move-1"))
    builder.accept(build_instance("three", "casting"))
    builder.accept(RemoveInstance("two"))
    state = builder.fold.state
    assert get_budget_index(state).snapshot() == BudgetIndex(state).snapshot()
    assert get_budget_index(state).count(state, "casting", "bergen").total == 2


@pytest.mark.parametrize(
    ("held", "wanted"),
    [
        ({}, "serving"),
        ({"absences": Absence("one", "failed", "e", 1)}, "absent"),
        ({"absences": Absence("one", "quarantined", "e", 1)}, "quarantined"),
        ({"claims": Claim("one", "w", "e#1", 1, "claimed", 1)}, "maintained"),
    ],
)
def test_instance_status_is_a_state_of_the_chart(
    builder: FoldBuilder, held: dict[str, object], wanted: str
) -> None:
    state = builder.fold.state
    for name, value in held.items():
        getattr(state, name)["one"] = value
    assert instance_status(state, "one") == wanted
    assert wanted in load_chart("instance").transitions
    assert instance_status(state, "nobody") == "removed"
