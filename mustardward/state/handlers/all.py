"""Import every handler module, so that all handlers are registered.

A process that applies records has to import this module first: it would refuse a kind
without a registered handler while other nodes accept it.
"""

from __future__ import annotations

from . import intents, jobs, maintenance, pools, templates  # noqa: F401
from .fleet_registry import FLEET_HANDLERS
from .work_registry import WORK_HANDLERS

__all__ = ["FLEET_HANDLERS", "WORK_HANDLERS"]
