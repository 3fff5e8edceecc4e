"""Resolve organisations and services in the replicated state."""

from __future__ import annotations

from typing import Final

from returns.result import Failure, Result, Success

from ...state.protocols import FleetLog
from ..entry.models import Ran, RequestRefusal
from .protocols import ResolvedService

RETRY_AFTER_SECONDS: Final = 1.0


class StateDirectory:
    """Resolve organisations and services from the fleet log's state."""

    def __init__(self, log: FleetLog) -> None:
        self._log = log

    def resolve(
        self, organisation: str, service: str
    ) -> Result[ResolvedService, RequestRefusal]:
        """Return the organisation and the service's binding, or a typed refusal."""
        # An entry without state knows no organisation. The caller would take a "not
        # found" as final and not retry at an entry that could serve the request.
        if not self._log.ready:
            refusal = RequestRefusal(
                "not-ready",
                503,
                Ran.NO,
                "no state folded yet",
                RETRY_AFTER_SECONDS,
            )
            return Failure(refusal)
        found = self._log.state.organisations.get(organisation)
        if found is None:
            return Failure(_build_refusal("organisation-unknown", organisation))
        for binding in found.parameters.services:
            if binding.service == service:
                return Success(ResolvedService(found, binding))
        return Failure(_build_refusal("service-unknown", f"{organisation}/{service}"))


def _build_refusal(code: str, detail: str) -> RequestRefusal:
    return RequestRefusal(code, 404, Ran.NO, detail)
