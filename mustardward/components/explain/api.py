"""Serve stories to operators."""

from __future__ import annotations

from dataclasses import asdict

from ...exceptions import MustardwardError
from ..api.routes import ApiAnswer, ApiRequest, api_route
from ..keys import EXPLAINER
from .models import SubjectKind


class UnknownSubjectKindError(MustardwardError):
    """Report a kind of subject that has no stories."""

    code = "subject-kind-unknown"


@api_route("GET", "/explain/{kind}/{subject_id}", "Tell the story of a subject")
async def async_get_story(request: ApiRequest) -> ApiAnswer:
    """Return the story with the parts that are missing.

    :raises UnknownSubjectKindError: for any other than the four kinds.
    """
    kind = request.path["kind"]
    if kind not in set(SubjectKind):
        raise UnknownSubjectKindError(kind)
    explainer = request.core.get(EXPLAINER)
    story = await explainer.async_tell(kind, request.path["subject_id"])
    return ApiAnswer(asdict(story))
