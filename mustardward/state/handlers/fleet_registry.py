"""Define the registry of handlers for records of the ``fleet`` stream."""

from __future__ import annotations

from typing import Final

from ...helpers.registry import Registry
from ..fleet import FleetState
from ..fold import Handler

FLEET_HANDLERS: Final[Registry[str, Handler[FleetState]]] = Registry("fleet handlers")
