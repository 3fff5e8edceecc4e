"""Test setup, leaving and unload of membership over real connections."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import AsyncExitStack

import anyio
import pytest

from mustardward.components.keys import MEMBERSHIP, PEERS
from mustardward.components.membership.models import MemberStatus
from mustardward.core import Core, async_setup_components
from mustardward.helpers.timer import LoopTimerService
from mustardward.settings.models import (
    EntryIdentity,
    Listener,
    PeerAddress,
    PlatformSettings,
    Settings,
)

pytestmark = pytest.mark.anyio


def _settings(name: str, seeds: tuple[PeerAddress, ...]) -> Settings:
    return Settings(
        entry=EntryIdentity(name=name, data_centre="tas-1"),
        callers=Listener(port=0),
        peers=seeds,
        platform=PlatformSettings(url="http://127.0.0.1:1"),
    )


def _live(core: Core) -> set[str]:
    return {member.name for member in core.get(MEMBERSHIP).live()}


def _status(core: Core, name: str) -> MemberStatus:
    return {m.name: m.status for m in core.get(MEMBERSHIP).members()}[name]


async def _async_until(condition: Callable[[], bool]) -> None:
    for _ in range(1500):
        if condition():
            return
        await anyio.sleep(0.02)
    raise AssertionError("condition was not met within the time limit")


async def test_two_entries_meet_and_one_leaves_over_loopback() -> None:
    async with AsyncExitStack() as stack:
        group = await stack.enter_async_context(anyio.create_task_group())
        stack.callback(group.cancel_scope.cancel)
        first = Core(_settings("a", ()), LoopTimerService(group), group)
        unload_first = await async_setup_components(first, ("membership",))
        host, _, port = first.get(PEERS).address.rpartition(":")
        seed = PeerAddress(name="a", data_centre="tas-1", host=host, port=int(port))
        second = Core(_settings("b", (seed,)), LoopTimerService(group), group)
        unload_second = await async_setup_components(second, ("membership",))
        await _async_until(lambda: _live(first) == _live(second) == {"a", "b"})
        await second.get(MEMBERSHIP).async_announce_leaving()
        await _async_until(lambda: _status(first, "b") is MemberStatus.LEAVING)
        for unload in unload_second + unload_first:
            await unload()
        assert first.find(MEMBERSHIP) is None and first.find(PEERS) is None
