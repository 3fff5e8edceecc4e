"""Publish the directory, the operators' routes and the answer to peers."""

from __future__ import annotations

from ...core import Core, Unload
from ..keys import DIRECTORY, FLEET_LOG, PEERS
from . import api, fleet_api, organisations_api
from .directory import FoldedDirectory
from .models import AskFolded, FoldedReply
from .progress import folded

ROUTES = (api, organisations_api, fleet_api)
"""Modules whose import files the operators' routes."""


async def async_start_directory(core: Core) -> Unload:
    """Publish the directory and return what withdraws it."""
    log = core.find(FLEET_LOG)
    if log is not None:
        core.put(DIRECTORY, FoldedDirectory(log))

    async def async_answer(caller: str, message: AskFolded) -> FoldedReply:
        return folded(core, message.template)

    peers = core.find(PEERS)
    unsubscribe = peers.handle(AskFolded, async_answer) if peers is not None else None

    async def async_unload() -> None:
        if unsubscribe is not None:
            unsubscribe()
        core.remove(DIRECTORY)

    return async_unload
