"""Define the refusals of the operators' calls on templates and organisations."""

from __future__ import annotations

from ...exceptions import MustardwardError


class TemplateUnknownError(MustardwardError):
    """Report a template, or a revision of one, that was never accepted."""

    code = "template-unknown"


class OrganisationUnknownError(MustardwardError):
    """Report an organisation that does not exist."""

    code = "organisation-unknown"


class QueryInvalidError(MustardwardError):
    """Report a query parameter that can't be read."""

    code = "query-invalid"
