"""Fetch the progress of all entries and wait until a change is in force."""

from __future__ import annotations

from typing import Final

import anyio

from ...core import Core
from ...exceptions import PeerError
from ..keys import FLEET_LOG, MEMBERSHIP, PEERS
from ..membership.models import Member, MemberStatus
from .models import EntryProgress, ProgressReply, ProgressRequest

REQUEST_TIMEOUT_SECONDS: Final = 1.0
POLL_INTERVAL_SECONDS: Final = 0.05
MAX_CONCURRENT_REQUESTS: Final = 32


def read_own_progress(core: Core, template: str) -> ProgressReply:
    """Return how far this entry has applied the log."""
    log = core.get(FLEET_LOG)
    revisions = log.state.templates.get(template)
    revision = revisions[-1].revision if revisions else 0
    return ProgressReply(log.next_offset, log.digest, revision)


async def async_fetch_progress(core: Core, template: str) -> list[EntryProgress]:
    """Return the progress of every entry that is not known to be gone."""
    membership = core.find(MEMBERSHIP)
    if membership is None:
        own = read_own_progress(core, template)
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
    return await _async_request_all(core, members, template)


async def async_wait_until_in_force(
    core: Core, template: str, required_offset: int, timeout_seconds: float
) -> list[EntryProgress]:
    """Wait for every live entry and return the entries that are still behind.

    :param required_offset: next offset of an entry that has applied the change.
    :param timeout_seconds: longest time to wait.
    """
    deadline = core.timers.monotonic() + timeout_seconds
    while True:
        progress = await async_fetch_progress(core, template)
        behind = [
            item
            for item in progress
            if item.member == MemberStatus.ALIVE and item.fleet_offset < required_offset
        ]
        if not behind or core.timers.monotonic() >= deadline:
            return behind
        await core.timers.async_sleep(POLL_INTERVAL_SECONDS)


async def _async_request_all(
    core: Core, members: list[Member], template: str
) -> list[EntryProgress]:
    progress: list[EntryProgress] = []
    limiter = anyio.CapacityLimiter(MAX_CONCURRENT_REQUESTS)

    async def request(member: Member) -> None:
        async with limiter:
            progress.append(await _async_request_progress(core, member, template))

    async with anyio.create_task_group() as tasks:
        for member in members:
            tasks.start_soon(request, member)
    return sorted(progress, key=lambda item: (item.data_centre, item.entry))


async def _async_request_progress(
    core: Core, member: Member, template: str
) -> EntryProgress:
    reply = ProgressReply(-1, "", -1)
    peers = core.find(PEERS)
    if member.name == core.settings.entry.name:
        reply = read_own_progress(core, template)
    elif peers is not None:
        try:
            reply = await peers.async_call(
                member, ProgressRequest(template), REQUEST_TIMEOUT_SECONDS
            )
        except PeerError:
            reply = ProgressReply(-1, "", -1)
    return EntryProgress(
        member.name,
        member.data_centre,
        member.status,
        reply.fleet_offset,
        reply.revision,
    )
