"""Serve the histories of subjects to operators."""

from __future__ import annotations

from dataclasses import asdict

from ...exceptions import MustardwardError
from ..api.routes import ApiRequest, ApiResponse, api_route
from ..keys import EXPLAINER
from .models import SubjectKind


class UnknownSubjectKindError(MustardwardError):
    """Report a kind of subject that has no history."""

    code = "subject-kind-unknown"


@api_route("GET", "/explain/{kind}/{subject_id}", "Tell the story of a subject")
async def async_get_history(request: ApiRequest) -> ApiResponse:
    """Return the history, with the entries and data centres that did not respond.

    :raises UnknownSubjectKindError: if the kind is not a :class:`SubjectKind`.
    """
    kind = request.path["kind"]
    if kind not in set(SubjectKind):
        raise UnknownSubjectKindError(kind)
    explainer = request.core.get(EXPLAINER)
    history = await explainer.async_get_history(kind, request.path["subject_id"])
    return ApiResponse(asdict(history))
