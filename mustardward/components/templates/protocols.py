"""Define the interface that resolves a request's organisation and service."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from returns.result import Result

from ...state.models.templates import Organisation, ServiceBinding
from ..entry.models import RequestRefusal


@dataclass(frozen=True, slots=True)
class ResolvedService:
    """Hold an organisation and the binding of the requested service."""

    organisation: Organisation
    binding: ServiceBinding


class Directory(Protocol):
    """Resolve organisations and their services."""

    def resolve(
        self, organisation: str, service: str
    ) -> Result[ResolvedService, RequestRefusal]:
        """Return the organisation and the service's binding, or a typed refusal."""
        ...
