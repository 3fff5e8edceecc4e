"""Find out, and wait, until a change is in force at every live entry."""

from __future__ import annotations

from typing import Final

import anyio

from ...core import Core
from ...exceptions import PeerError
from ..keys import FLEET_LOG, MEMBERSHIP, PEERS
from ..membership.models import Member, MemberStatus
from .models import AskFolded, EntryProgress, FoldedReply

ASK_TIMEOUT_SECONDS: Final = 1.0
ASK_INTERVAL_SECONDS: Final = 0.05
MOST_ASKED_AT_ONCE: Final = 32


def folded(core: Core, template: str) -> FoldedReply:
    """Return how far this entry has folded."""
    log = core.get(FLEET_LOG)
    revisions = log.state.templates.get(template)
    revision = revisions[-1].revision if revisions else 0
    return FoldedReply(log.next_offset, log.digest, revision)


async def async_progress(core: Core, template: str) -> list[EntryProgress]:
    """Ask every entry that is not known to be gone how far it has folded."""
    membership = core.find(MEMBERSHIP)
    if membership is None:
        own = folded(core, template)
        name = core.settings.entry
        return [
            EntryProgress(
                name.name,
                name.data_centre,
                MemberStatus.ALIVE,
                own.fleet_offset,
                own.revision,
            )
        ]
    members = [
        member
        for member in membership.members()
        if member.status is not MemberStatus.GONE
    ]
    return await _async_ask_all(core, members, template)


async def async_wait_in_force(
    core: Core, template: str, wanted_offset: int, seconds: float
) -> list[EntryProgress]:
    """Wait up to ``seconds`` for every live entry; return those still behind.

    :param wanted_offset: next offset of an entry that has folded the change.
    """
    deadline = core.timers.monotonic() + seconds
    while True:
        progress = await async_progress(core, template)
        behind = [
            item
            for item in progress
            if item.member == MemberStatus.ALIVE and item.fleet_offset < wanted_offset
        ]
        if not behind or core.timers.monotonic() >= deadline:
            return behind
        await core.timers.async_sleep(ASK_INTERVAL_SECONDS)


async def _async_ask_all(
    core: Core, members: list[Member], template: str
) -> list[EntryProgress]:
    found: list[EntryProgress] = []
    limiter = anyio.CapacityLimiter(MOST_ASKED_AT_ONCE)

    async def ask(member: Member) -> None:
        async with limiter:
            found.append(await _async_ask(core, member, template))

    async with anyio.create_task_group() as tasks:
        for member in members:
            tasks.start_soon(ask, member)
    return sorted(found, key=lambda item: (item.data_centre, item.entry))


async def _async_ask(core: Core, member: Member, template: str) -> EntryProgress:
    reply = FoldedReply(-1, "", -1)
    peers = core.find(PEERS)
    if member.name == core.settings.entry.name:
        reply = folded(core, template)
    elif peers is not None:
        try:
            reply = await peers.async_call(
                member, AskFolded(template), ASK_TIMEOUT_SECONDS
            )
        except PeerError:
            reply = FoldedReply(-1, "", -1)
    return EntryProgress(
        member.name,
        member.data_centre,
        member.status,
        reply.fleet_offset,
        reply.revision,
    )
