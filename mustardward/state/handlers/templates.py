"""Apply records of templates and of the organisations based on them."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace
from typing import Final

from returns.result import Failure, Result, Success

from ...exceptions import MustardwardError
from ..budgets import update_organisation
from ..fleet import FleetState
from ..fold import Acceptance, FoldContext
from ..models.templates import (
    Organisation,
    Overrides,
    Parameters,
    PublishTemplate,
    PutOrganisation,
    RemoveOrganisation,
    TemplateRevision,
)
from .fleet_registry import FLEET_HANDLERS
from .refusals import UnknownPoolError, UnknownSubjectError, check_base_revision

MAX_TEMPLATE_REVISIONS: Final = 8
"""Revisions of a template kept in memory; thousands may be published a day."""


def current_revision(state: FleetState, template: str) -> TemplateRevision | None:
    """Return the revision of a template that is in force."""
    revisions = state.templates.get(template)
    return revisions[-1] if revisions else None


@FLEET_HANDLERS.register("template.publish")
def publish_template(
    state: FleetState, context: FoldContext, body: PublishTemplate
) -> Result[Acceptance, MustardwardError]:
    """Accept a template revision based on the one in force, and apply it."""
    current = current_revision(state, body.name)
    conflict = check_base_revision(context, current.revision if current else 0)
    if conflict is not None:
        return Failure(conflict)
    missing = _missing_pools(state, body.parameters.pools)
    if missing is not None:
        return Failure(missing)
    accepted = TemplateRevision(
        body.name, context.sequence, context.offset, body.parameters
    )
    revisions = state.templates.setdefault(body.name, [])
    revisions.append(accepted)
    del revisions[:-MAX_TEMPLATE_REVISIONS]
    affected = _apply_revision(state, accepted)
    subjects = (f"template:{body.name}", *affected)
    return Success(Acceptance(subjects, context.sequence))


@FLEET_HANDLERS.register("organisation.put")
def put_organisation(
    state: FleetState, context: FoldContext, body: PutOrganisation
) -> Result[Acceptance, MustardwardError]:
    """Accept an organisation or new overrides of one."""
    current = state.organisations.get(body.name)
    conflict = check_base_revision(context, current.revision if current else 0)
    if conflict is not None:
        return Failure(conflict)
    template = current_revision(state, body.template)
    if template is None:
        return Failure(UnknownSubjectError(f"template={body.template}"))
    parameters = resolve_parameters(template.parameters, body.overrides)
    missing = _missing_pools(state, parameters.pools)
    if missing is not None:
        return Failure(missing)
    state.organisations[body.name] = Organisation(
        name=body.name,
        template=body.template,
        template_revision=template.revision,
        revision=context.sequence,
        overrides=body.overrides,
        parameters=parameters,
    )
    update_organisation(state, body.name)
    return Success(Acceptance((f"organisation:{body.name}",), context.sequence))


@FLEET_HANDLERS.register("organisation.remove")
def remove_organisation(
    state: FleetState, context: FoldContext, body: RemoveOrganisation
) -> Result[Acceptance, MustardwardError]:
    """Remove an organisation if the record is based on its current revision."""
    current = state.organisations.get(body.name)
    if current is None:
        return Failure(UnknownSubjectError(f"organisation={body.name}"))
    conflict = check_base_revision(context, current.revision)
    if conflict is not None:
        return Failure(conflict)
    del state.organisations[body.name]
    update_organisation(state, body.name)
    return Success(Acceptance((f"organisation:{body.name}",), context.sequence))


def resolve_parameters(parameters: Parameters, overrides: Overrides) -> Parameters:
    """Return the effective parameters; the same object if there are no overrides."""
    if overrides == Overrides():
        return parameters
    return overrides.apply_to(parameters)


def share_parameters(
    organisation: Organisation, template: TemplateRevision
) -> Organisation:
    """Return the organisation with a template revision applied."""
    return replace(
        organisation,
        template_revision=template.revision,
        parameters=resolve_parameters(template.parameters, organisation.overrides),
    )


def _apply_revision(state: FleetState, accepted: TemplateRevision) -> list[str]:
    affected = []
    for name, organisation in state.organisations.items():
        if organisation.template == accepted.name:
            state.organisations[name] = share_parameters(organisation, accepted)
            update_organisation(state, name)
            affected.append(f"organisation:{name}")
    return affected


def _missing_pools(state: FleetState, pools: Iterable[str]) -> UnknownPoolError | None:
    missing = sorted(pool for pool in pools if pool not in state.pools)
    return UnknownPoolError(f"pools={','.join(missing)}") if missing else None
