"""Keep grpclib's way of waking tasks away from the scopes around a call."""

from __future__ import annotations

import asyncio
from typing import Any

import anyio
import pytest

from mustardward.components.membership.models import Member
from mustardward.components.peers.cancellation import settled_cancellations
from mustardward.exceptions import PeerOutcomeUnknownError

from .builders import Echo, EchoReply, build_member, running_peers

pytestmark = pytest.mark.anyio


async def test_a_lost_peer_does_not_break_the_deadline_that_follows() -> None:
    """Answer at the deadline although a peer was lost on the way.

    Symptom: a caller gets an empty 500 at its deadline, and the log has no line of its
    request. Sequence: a keyed request asks a peer, which is killed; it asks the next
    one, and the deadline passes. Cause: grpclib wakes a waiting task by cancelling it
    and never takes the cancellation back; the scope of the deadline then held its own
    cancellation for one from outside, and let it go up to the server.
    """
    started = anyio.Event()

    async def async_hang(sender: str, message: Any) -> EchoReply:
        started.set()
        await anyio.sleep(30)
        return EchoReply(sender, message.text)

    async def async_ask(member: Member) -> None:
        with pytest.raises(PeerOutcomeUnknownError):
            await a.async_call(member, Echo("hello"), 20)
        task = asyncio.current_task()
        assert task is not None and task.cancelling() == 0
        with anyio.move_on_after(0) as scope:
            await anyio.sleep(30)
        assert scope.cancelled_caught
        asked.append(member.name)

    asked: list[str] = []
    async with running_peers("a") as a, anyio.create_task_group() as group:
        async with running_peers("b") as b:
            b.handle(Echo, async_hang)
            group.start_soon(async_ask, build_member("b", b.address))
            await started.wait()
    assert asked == ["b"]


async def test_a_cancellation_from_outside_is_kept() -> None:
    entered = anyio.Event()
    seen: list[str] = []

    async def async_wait() -> None:
        try:
            with settled_cancellations():
                entered.set()
                await anyio.sleep(30)
        except asyncio.CancelledError:
            seen.append("cancelled")
            raise

    task = asyncio.create_task(async_wait())
    await entered.wait()
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task
    assert seen == ["cancelled"] and task.cancelled()
