"""Set up the directory, the operators' routes and the peer handler."""

from __future__ import annotations

from ...core import Core, Unload
from ..keys import DIRECTORY, FLEET_LOG, PEERS
from . import api, fleet_api, organisations_api
from .directory import StateDirectory
from .models import ProgressReply, ProgressRequest
from .progress import read_own_progress

ROUTES = (api, organisations_api, fleet_api)
"""Modules that register the operators' routes on import."""


async def async_setup_templates(core: Core) -> Unload:
    """Register the directory and the peer handler; return the unload callback."""
    log = core.find(FLEET_LOG)
    if log is not None:
        core.put(DIRECTORY, StateDirectory(log))

    async def async_answer(caller: str, message: ProgressRequest) -> ProgressReply:
        return read_own_progress(core, message.template)

    peers = core.find(PEERS)
    unsubscribe = (
        peers.handle(ProgressRequest, async_answer) if peers is not None else None
    )

    async def async_unload() -> None:
        if unsubscribe is not None:
            unsubscribe()
        core.remove(DIRECTORY)

    return async_unload
