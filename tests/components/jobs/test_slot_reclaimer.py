"""Test reclaiming slots from the tasks of several entry nodes."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import pytest

from mustardward.components.jobs.slot_cooldown import SlotCooldown
from mustardward.components.jobs.slot_reclaimer import FreeSlotsRequest, SlotReclaimer
from mustardward.components.membership.models import Member, MemberStatus
from mustardward.components.peers.exceptions import PeerUnreachableError
from tests.fakes.jobs_world import JobsWorld

pytestmark = pytest.mark.anyio


class OnePeer:
    """Deliver calls to the one other entry node, or fail as if it were unreachable."""

    def __init__(self, target: SlotReclaimer, reachable: bool) -> None:
        self._target = target
        self._reachable = reachable

    async def async_call(self, member: Member, message: Any, timeout: float) -> Any:
        if not self._reachable:
            raise PeerUnreachableError(member.name)
        return await self._target._async_handle_request("a", message)


@pytest.mark.parametrize(("reachable", "freed"), [(True, 2), (False, 0)])
async def test_slots_are_reclaimed_from_the_entry_that_holds_the_leases(
    reachable: bool, freed: int
) -> None:
    """Guard against urgent work that waits while jobs use every slot.

    The entry node with the urgent callers isn't the one that placed the jobs, so it has
    to reclaim slots from the tasks of other lease holders too.
    """
    world = JobsWorld(workers_count=1, slots=4)
    b = world.add_entry("b")
    for number in range(4):
        await world.async_submit(b, f"plan-{number}")
    await world.async_run(3)
    a = world.add_entry("a")
    member = Member("b", "dc-1", "127.0.0.1:1", 1, MemberStatus.ALIVE)
    membership: Any = SimpleNamespace(live=lambda: (member,))
    peers: Any = OnePeer(SlotReclaimer(b.scheduler, world.timers), reachable)
    reclaimer = SlotReclaimer(a.scheduler, world.timers, membership, peers)
    assert await reclaimer.async_free("casting", 2) == freed
    assert len(b.attempt_manager.attempts) == 4 - freed


async def test_a_peer_request_frees_only_the_slots_of_own_tasks() -> None:
    world = JobsWorld(workers_count=1, slots=4)
    entry = world.add_entry("a")
    reply = await SlotReclaimer(entry.scheduler, world.timers)._async_handle_request(
        "b", FreeSlotsRequest("casting", 3)
    )
    assert reply.slots == 0


def test_freed_slots_are_counted_until_their_cooldown_ends() -> None:
    cooldown = SlotCooldown(10.0)
    cooldown.record_freed("casting", 0.0)
    cooldown.record_freed("casting", 5.0)
    assert [cooldown.count("casting", now) for now in (5.0, 11.0, 15.0)] == [2, 1, 0]
