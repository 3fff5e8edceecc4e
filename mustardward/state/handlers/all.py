"""Import every handler module, so that the registries are full.

A process that folds has to import this module first: a kind without its handler would
be refused here and accepted elsewhere.
"""

from __future__ import annotations

from . import intents, jobs, maintenance, pools, templates  # noqa: F401
from .fleet_registry import FLEET_HANDLERS
from .work_registry import WORK_HANDLERS

__all__ = ["FLEET_HANDLERS", "WORK_HANDLERS"]
