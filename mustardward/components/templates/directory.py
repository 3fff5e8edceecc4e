"""Resolve organisations and services in the folded state."""

from __future__ import annotations

from typing import Final

from returns.result import Failure, Result, Success

from ...state.protocols import FleetLog
from ..entry.models import Ran, RequestRefusal
from .protocols import Resolved

RETRY_SECONDS: Final = 1.0


class FoldedDirectory:
    """Find organisations by what the fold accepted."""

    def __init__(self, log: FleetLog) -> None:
        self._log = log

    def resolve(
        self, organisation: str, service: str
    ) -> Result[Resolved, RequestRefusal]:
        """Return the organisation and its service's binding, or a typed refusal."""
        # An entry without state knows no organisation at all. A "not found" would be
        # believed and not tried again, although the next entry could have served it.
        if not self._log.ready:
            refusal = RequestRefusal(
                "not-ready", 503, Ran.NO, "no state folded yet", RETRY_SECONDS
            )
            return Failure(refusal)
        found = self._log.state.organisations.get(organisation)
        if found is None:
            return Failure(_not_found("organisation-unknown", organisation))
        for binding in found.parameters.services:
            if binding.service == service:
                return Success(Resolved(found, binding))
        return Failure(_not_found("service-unknown", f"{organisation}/{service}"))


def _not_found(code: str, what: str) -> RequestRefusal:
    return RequestRefusal(code, 404, Ran.NO, what)
