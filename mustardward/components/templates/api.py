"""Provide the operators' routes for templates."""

from __future__ import annotations

from typing import Any

from ...core import Core
from ...state.models.templates import PublishTemplate, TemplateRevision
from ..api.routes import ApiRequest, ApiResponse, api_route
from .api_models import PublishModel, to_json_value
from .exceptions import TemplateUnknownError
from .progress import async_fetch_progress
from .proposals import (
    async_build_response,
    async_propose,
    parse_integer,
    require_ready_state,
)


@api_route("GET", "/templates", "List the templates in force")
async def async_list(request: ApiRequest) -> ApiResponse:
    """Return the revision in force of each template."""
    templates = require_ready_state(request.core).templates
    return ApiResponse(
        [
            {"name": name, "revision": revisions[-1].revision}
            for name, revisions in sorted(templates.items())
            if revisions
        ]
    )


@api_route("GET", "/templates/{name}", "Show a template's revision in force")
async def async_show(request: ApiRequest) -> ApiResponse:
    """Return one revision, by default the one in force."""
    revisions = _revisions(request.core, request.path["name"])
    expected = parse_integer(request, "revision", revisions[-1].revision)
    for revision in revisions:
        if revision.revision == expected:
            return ApiResponse(to_json_value(revision))
    raise TemplateUnknownError(f"{request.path['name']} revision={expected}")


@api_route("GET", "/templates/{name}/history", "List the revisions still kept")
async def async_history(request: ApiRequest) -> ApiResponse:
    """Return the retained revisions, newest first."""
    revisions = _revisions(request.core, request.path["name"])
    return ApiResponse([to_json_value(revision) for revision in reversed(revisions)])


@api_route("GET", "/templates/{name}/status", "Show where a template is in force")
async def async_status(request: ApiRequest) -> ApiResponse:
    """Return the log offset and the revision of each entry that is not gone."""
    name = request.path["name"]
    revision = _revisions(request.core, name)[-1].revision
    expected = parse_integer(request, "revision", revision)
    entries: list[dict[str, Any]] = []
    for item in await async_fetch_progress(request.core, name):
        entries.append(
            {
                "entry": item.entry,
                "data_centre": item.data_centre,
                "member": str(item.member),
                "answered": item.answered,
                "fleet_offset": item.fleet_offset,
                "revision": item.revision,
                "in_force": item.revision >= expected,
            }
        )
    return ApiResponse(
        {
            "name": name,
            "revision": expected,
            "in_force_everywhere": all(entry["in_force"] for entry in entries),
            "entries": entries,
        }
    )


@api_route("POST", "/templates/{name}", "Publish a template's revision", PublishModel)
async def async_publish(request: ApiRequest) -> ApiResponse:
    """Propose a revision; an outdated base revision is a conflict."""
    model: PublishModel = request.model
    name = request.path["name"]
    record = PublishTemplate(name, model.parameters.to_parameters())
    acceptance = await async_propose(
        request, record, model.base_revision, model.record_id
    )
    return await async_build_response(
        request.core, acceptance, name, model.wait_seconds
    )


def _revisions(core: Core, name: str) -> list[TemplateRevision]:
    revisions = require_ready_state(core).templates.get(name)
    if not revisions:
        raise TemplateUnknownError(name)
    return revisions
