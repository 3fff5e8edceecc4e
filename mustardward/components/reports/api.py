"""Serve the service-level burn report."""

from __future__ import annotations

from dataclasses import asdict

from ..api.routes import ApiRequest, ApiResponse, api_route
from ..keys import BURN_REPORTER


@api_route("GET", "/reports/burn", "Report the burn of service levels")
async def async_get_burn(request: ApiRequest) -> ApiResponse:
    """Return the report on all organisations, or on the requested one."""
    reporter = request.core.get(BURN_REPORTER)
    report = await reporter.async_report(request.query.get("organisation", ""))
    return ApiResponse(asdict(report))
