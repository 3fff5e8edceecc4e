"""Define the registry of handlers for records of a ``work`` stream."""

from __future__ import annotations

from typing import Final

from ...helpers.registry import Registry
from ..fold import Handler
from ..work import WorkState

WORK_HANDLERS: Final[Registry[str, Handler[WorkState]]] = Registry("work handlers")
