"""Serve the report on service-level burn."""

from __future__ import annotations

from dataclasses import asdict

from ..api.routes import ApiAnswer, ApiRequest, api_route
from ..keys import BURN_REPORTER


@api_route("GET", "/reports/burn", "Report the burn of service levels")
async def async_get_burn(request: ApiRequest) -> ApiAnswer:
    """Return the report on all organisations, or on the one asked for."""
    reporter = request.core.get(BURN_REPORTER)
    report = await reporter.async_report(request.query.get("organisation", ""))
    return ApiAnswer(asdict(report))
