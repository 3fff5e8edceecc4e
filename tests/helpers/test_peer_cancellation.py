"""Test that grpclib's cancellations do not affect the scopes around a call."""

from __future__ import annotations

import asyncio
from typing import Any

import anyio
import pytest

from mustardward.components.membership.models import Member
from mustardward.exceptions import PeerOutcomeUnknownError
from mustardward.helpers.peer_cancellation import uncancel_on_error

from ..components.peers.builders import Echo, EchoReply, build_member, running_peers

pytestmark = pytest.mark.anyio


async def test_lost_peer_does_not_break_a_later_deadline() -> None:
    """Guard against a request that ends as an unlogged, empty 500 at its deadline.

    A request with an idempotency key calls a peer that is killed, then the next one,
    and reaches its deadline. grpclib wakes the waiting task by a cancellation that it
    never reverts; the deadline's scope would take its own cancellation for an external
    one and propagate it to the server.
    """
    started = anyio.Event()

    async def async_hang(sender: str, message: Any) -> EchoReply:
        started.set()
        await anyio.sleep(30)
        return EchoReply(sender, message.text)

    async def async_request(member: Member) -> None:
        with pytest.raises(PeerOutcomeUnknownError):
            await a.async_call(member, Echo("hello"), 20)
        task = asyncio.current_task()
        assert task is not None and task.cancelling() == 0
        with anyio.move_on_after(0) as scope:
            await anyio.sleep(30)
        assert scope.cancelled_caught
        finished.append(member.name)

    finished: list[str] = []
    async with running_peers("a") as a, anyio.create_task_group() as group:
        async with running_peers("b") as b:
            b.handle(Echo, async_hang)
            group.start_soon(async_request, build_member("b", b.address))
            await started.wait()
    assert finished == ["b"]


async def test_external_cancellation_is_kept() -> None:
    entered = anyio.Event()
    seen: list[str] = []

    async def async_wait() -> None:
        try:
            with uncancel_on_error():
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
