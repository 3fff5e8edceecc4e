"""Test records of templates and organisations."""

from __future__ import annotations

import pytest

from mustardward.exceptions import MustardwardError
from mustardward.state.fold import RevisionConflictError
from mustardward.state.handlers.refusals import UnknownPoolError
from mustardward.state.handlers.templates import MAX_TEMPLATE_REVISIONS
from mustardward.state.models.templates import (
    Overrides,
    PublishTemplate,
    PutOrganisation,
    RemoveOrganisation,
)
from tests.builders import FoldBuilder, build_fleet_fold, build_parameters


def _refusal(
    builder: FoldBuilder, body: object, base_revision: int
) -> MustardwardError:
    return builder.apply(body, base_revision).result.failure()


def test_second_of_two_concurrent_publications_gets_a_conflict() -> None:
    """Guard against losing a revision.

    Two operators publish based on the same revision, and the second would overwrite a
    change that it has not read.
    """
    builder = build_fleet_fold("cellar")
    first = builder.accept(PublishTemplate("dairy", build_parameters("cellar")), 0)
    second = builder.accept(
        PublishTemplate("dairy", build_parameters("cellar", headroom=0.2)), first
    )
    refusal = _refusal(
        builder,
        PublishTemplate("dairy", build_parameters("cellar", headroom=0.4)),
        first,
    )
    assert isinstance(refusal, RevisionConflictError)
    assert refusal.current == second
    revisions = builder.fold.state.templates["dairy"]
    assert [item.revision for item in revisions] == [first, second]
    assert revisions[-1].parameters.headroom == 0.2


def test_a_revision_without_a_base_never_replaces_one_in_force() -> None:
    builder = build_fleet_fold("cellar")
    body = PublishTemplate("dairy", build_parameters("cellar"))
    builder.accept(body)
    assert isinstance(_refusal(builder, body, -1), RevisionConflictError)


def test_new_revision_applies_to_its_organisations_at_the_same_offset() -> None:
    builder = build_fleet_fold("cellar", "brine")
    first = builder.accept(PublishTemplate("dairy", build_parameters("cellar")), 0)
    builder.accept(PublishTemplate("works", build_parameters("brine")), 0)
    builder.accept(PutOrganisation("undredal", "dairy"), 0)
    builder.accept(PutOrganisation("aurland", "dairy", Overrides(headroom=0.5)), 0)
    builder.accept(PutOrganisation("derwent", "works"), 0)
    second = builder.accept(
        PublishTemplate(
            "dairy", build_parameters("brine", headroom=0.1, deadline_seconds=9.0)
        ),
        first,
    )
    organisations = builder.fold.state.organisations
    assert organisations["undredal"].parameters.headroom == 0.1
    assert organisations["undredal"].template_revision == second
    assert organisations["aurland"].parameters.headroom == 0.5
    assert organisations["aurland"].parameters.deadline_seconds == 9.0
    assert organisations["derwent"].template_revision < second


@pytest.mark.parametrize("body", ["template", "overrides"])
def test_an_unknown_pool_is_refused(body: str) -> None:
    builder = build_fleet_fold("cellar")
    builder.accept(PublishTemplate("dairy", build_parameters("cellar")), 0)
    unknown = build_parameters("attic")
    record = {
        "template": PublishTemplate("barn", unknown),
        "overrides": PutOrganisation(
            "undredal", "dairy", Overrides(services=unknown.services)
        ),
    }[body]
    assert isinstance(_refusal(builder, record, 0), UnknownPoolError)


def test_removing_an_organisation_needs_its_present_revision() -> None:
    builder = build_fleet_fold("cellar")
    builder.accept(PublishTemplate("dairy", build_parameters("cellar")), 0)
    first = builder.accept(PutOrganisation("undredal", "dairy"), 0)
    second = builder.accept(
        PutOrganisation("undredal", "dairy", Overrides(headroom=0.3)), first
    )
    refusal = _refusal(builder, RemoveOrganisation("undredal"), first)
    assert isinstance(refusal, RevisionConflictError)
    builder.accept(RemoveOrganisation("undredal"), second)
    assert builder.fold.state.organisations == {}


def test_number_of_stored_revisions_is_bounded() -> None:
    builder = build_fleet_fold("cellar")
    revision = 0
    for _ in range(MAX_TEMPLATE_REVISIONS * 3):
        body = PublishTemplate("dairy", build_parameters("cellar"))
        revision = builder.accept(body, revision)
    revisions = builder.fold.state.templates["dairy"]
    assert len(revisions) == MAX_TEMPLATE_REVISIONS
    assert revisions[-1].revision == revision
