"""Let operators publish, revise and look at templates."""

from __future__ import annotations

from typing import Any

from ...core import Core
from ...state.models.templates import PublishTemplate, TemplateRevision
from ..api.routes import ApiAnswer, ApiRequest, api_route
from .border import PublishModel, plain
from .exceptions import TemplateUnknownError
from .progress import async_progress
from .proposing import async_accepted, async_propose, ready_state, whole_number


@api_route("GET", "/templates", "List the templates in force")
async def async_list(request: ApiRequest) -> ApiAnswer:
    """Return the revision in force of each template."""
    templates = ready_state(request.core).templates
    return ApiAnswer(
        [
            {"name": name, "revision": revisions[-1].revision}
            for name, revisions in sorted(templates.items())
            if revisions
        ]
    )


@api_route("GET", "/templates/{name}", "Show a template's revision in force")
async def async_show(request: ApiRequest) -> ApiAnswer:
    """Return one revision, the one in force unless ``revision`` is asked for."""
    revisions = _revisions(request.core, request.path["name"])
    wanted = whole_number(request, "revision", revisions[-1].revision)
    for revision in revisions:
        if revision.revision == wanted:
            return ApiAnswer(plain(revision))
    raise TemplateUnknownError(f"{request.path['name']} revision={wanted}")


@api_route("GET", "/templates/{name}/history", "List the revisions still kept")
async def async_history(request: ApiRequest) -> ApiAnswer:
    """Return the revisions that are kept, the newest first."""
    revisions = _revisions(request.core, request.path["name"])
    return ApiAnswer([plain(revision) for revision in reversed(revisions)])


@api_route("GET", "/templates/{name}/status", "Show where a template is in force")
async def async_status(request: ApiRequest) -> ApiAnswer:
    """Return what each entry that is not gone has folded."""
    name = request.path["name"]
    revision = _revisions(request.core, name)[-1].revision
    wanted = whole_number(request, "revision", revision)
    entries: list[dict[str, Any]] = []
    for item in await async_progress(request.core, name):
        entries.append(
            {
                "entry": item.entry,
                "data_centre": item.data_centre,
                "member": str(item.member),
                "answered": item.answered,
                "fleet_offset": item.fleet_offset,
                "revision": item.revision,
                "in_force": item.revision >= wanted,
            }
        )
    return ApiAnswer(
        {
            "name": name,
            "revision": wanted,
            "in_force_everywhere": all(entry["in_force"] for entry in entries),
            "entries": entries,
        }
    )


@api_route("POST", "/templates/{name}", "Publish a template's revision", PublishModel)
async def async_publish(request: ApiRequest) -> ApiAnswer:
    """Propose a revision; a base that is not in force any more is a conflict."""
    model: PublishModel = request.model
    name = request.path["name"]
    record = PublishTemplate(name, model.parameters.parameters())
    acceptance = await async_propose(
        request, record, model.base_revision, model.record_id
    )
    return await async_accepted(request.core, acceptance, name, model.wait_seconds)


def _revisions(core: Core, name: str) -> list[TemplateRevision]:
    revisions = ready_state(core).templates.get(name)
    if not revisions:
        raise TemplateUnknownError(name)
    return revisions
