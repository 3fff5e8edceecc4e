"""Define the errors of the routes for templates and organisations."""

from __future__ import annotations

from ...exceptions import MustardwardError
from ..api.problems import problem_status_code


@problem_status_code(404)
class TemplateUnknownError(MustardwardError):
    """Report a template, or a revision of one, that was never accepted."""

    code = "template-unknown"


@problem_status_code(404)
class OrganisationUnknownError(MustardwardError):
    """Report an organisation that does not exist."""

    code = "organisation-unknown"


@problem_status_code(422)
class QueryInvalidError(MustardwardError):
    """Report an invalid query parameter."""

    code = "query-invalid"
