"""Provide the operators' routes for organisations."""

from __future__ import annotations

from ...state.models.templates import Organisation, PutOrganisation, RemoveOrganisation
from ..api.routes import ApiRequest, ApiResponse, api_route
from .api_models import OrganisationModel, to_json_value
from .exceptions import OrganisationUnknownError
from .proposals import (
    async_build_response,
    async_propose,
    parse_integer,
    require_ready_state,
)


@api_route("GET", "/organisations", "List the organisations")
async def async_list(request: ApiRequest) -> ApiResponse:
    """Return each organisation with its template and services."""
    organisations = require_ready_state(request.core).organisations
    return ApiResponse(
        [
            {
                "name": name,
                "template": found.template,
                "template_revision": found.template_revision,
                "revision": found.revision,
                "services": [item.service for item in found.parameters.services],
            }
            for name, found in sorted(organisations.items())
        ]
    )


@api_route("GET", "/organisations/{name}", "Show an organisation")
async def async_show(request: ApiRequest) -> ApiResponse:
    """Return an organisation with its overrides and the parameters in force."""
    return ApiResponse(to_json_value(_find(request, request.path["name"])))


@api_route("PUT", "/organisations/{name}", "Put an organisation", OrganisationModel)
async def async_put(request: ApiRequest) -> ApiResponse:
    """Propose an organisation, or new overrides based on a revision."""
    model: OrganisationModel = request.model
    record = PutOrganisation(
        request.path["name"], model.template, model.overrides.to_overrides()
    )
    acceptance = await async_propose(
        request, record, model.base_revision, model.record_id
    )
    return await async_build_response(
        request.core, acceptance, model.template, model.wait_seconds
    )


@api_route("DELETE", "/organisations/{name}", "Remove an organisation")
async def async_remove(request: ApiRequest) -> ApiResponse:
    """Propose to remove an organisation at its ``base_revision``."""
    name = request.path["name"]
    found = _find(request, name)
    base = parse_integer(request, "base_revision", found.revision)
    acceptance = await async_propose(request, RemoveOrganisation(name), base)
    return await async_build_response(request.core, acceptance, found.template, 0.0)


def _find(request: ApiRequest, name: str) -> Organisation:
    found = require_ready_state(request.core).organisations.get(name)
    if found is None:
        raise OrganisationUnknownError(name)
    return found
