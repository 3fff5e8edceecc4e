"""Stand in for a directory that is not set up."""

from __future__ import annotations

from returns.result import Failure, Result, Success

from ...core import Core
from ..keys import FLEET_LOG
from ..templates.protocols import Resolved
from .models import Ran, RequestRefusal


class StateDirectory:
    """Find organisations in the folded state."""

    def __init__(self, core: Core) -> None:
        self._core = core

    def resolve(
        self, organisation: str, service: str
    ) -> Result[Resolved, RequestRefusal]:
        """Return the organisation and its service's binding, or a typed refusal."""
        log = self._core.find(FLEET_LOG)
        if log is None or not log.ready:
            return Failure(
                RequestRefusal("not-ready", 503, Ran.NO, "no state to serve from", 1.0)
            )
        found = log.state.organisations.get(organisation)
        if found is None:
            return Failure(
                RequestRefusal("organisation-unknown", 404, Ran.NO, organisation)
            )
        for binding in found.parameters.services:
            if binding.service == service:
                return Success(Resolved(found, binding))
        return Failure(RequestRefusal("service-unknown", 404, Ran.NO, service))
