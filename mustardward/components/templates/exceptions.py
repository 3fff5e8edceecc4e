"""Define the refusals of the operators' calls on templates and organisations."""

from __future__ import annotations

from ...exceptions import MustardwardError
from ..api.problems import answered_with


@answered_with(404)
class TemplateUnknownError(MustardwardError):
    """Report a template, or a revision of one, that was never accepted."""

    code = "template-unknown"


@answered_with(404)
class OrganisationUnknownError(MustardwardError):
    """Report an organisation that does not exist."""

    code = "organisation-unknown"


@answered_with(422)
class QueryInvalidError(MustardwardError):
    """Report a query parameter that can't be read."""

    code = "query-invalid"
