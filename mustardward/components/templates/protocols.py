"""Define how a request's organisation and service are resolved."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from returns.result import Result

from ...state.models.templates import Organisation, ServiceBinding
from ..entry.models import RequestRefusal


@dataclass(frozen=True, slots=True)
class Resolved:
    """Hold an organisation with the binding of the wanted service."""

    organisation: Organisation
    binding: ServiceBinding


class Directory(Protocol):
    """Find organisations in the folded state."""

    def resolve(
        self, organisation: str, service: str
    ) -> Result[Resolved, RequestRefusal]:
        """Return the organisation and its service's binding, or a typed refusal."""
        ...
