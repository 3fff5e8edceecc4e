"""Test that an owner relies on no answer of the log that is older than a pause."""

from __future__ import annotations

import anyio
import pytest
from anyio.abc import TaskGroup

from mustardward.components.dispatch.const import AUTHORITY_SECONDS, TOKENS_PER_EPOCH
from mustardward.components.ownership.const import SELF_CHECK_SECONDS
from mustardward.components.ownership.owner_query import PeerQuerier
from mustardward.components.ownership.services import Ownership
from mustardward.helpers.timer import DrivenTimerService
from mustardward.platform.store import Page, Producer
from mustardward.standin.estate.store import MemoryStore

from .builders import build_dependencies

pytestmark = pytest.mark.anyio

STEP_SECONDS = 0.02
PAUSE_SECONDS = 3.0
CHECKED_SWITCHES = 200
"""Task switches in which an entry handles the responses that it was waiting for."""


class HeldStore:
    """Reach a store from one entry, and hold the responses that are on their way."""

    def __init__(self, store: MemoryStore) -> None:
        self._store = store
        self._released = anyio.Event()
        self._released.set()
        self.appends_released = anyio.Event()
        self.appends_released.set()
        self.held = 0

    def hold(self) -> None:
        """Hold the responses of reads with records that are made from now on."""
        self._released = anyio.Event()

    def release(self) -> None:
        """Deliver the held responses."""
        self._released.set()

    async def async_append(
        self,
        topic: str,
        records: list[tuple[str, bytes]],
        producer: Producer | None = None,
        timeout_seconds: float = 1.0,
    ) -> int:
        await self.appends_released.wait()
        return await self._store.async_append(topic, records, producer)

    async def async_read(
        self, topic: str, from_offset: int, wait_ms: int, kilobytes: int = 1024
    ) -> Page:
        page = await self._store.async_read(topic, from_offset, wait_ms)
        if page.records and not self._released.is_set():
            self.held += 1
            await self._released.wait()
        return page

    def __getattr__(self, name: str) -> object:
        return getattr(self._store, name)


class StoppableEntry:
    """Provide an entry with a clock of its own, which can be stopped."""

    def __init__(
        self,
        node: str,
        store: MemoryStore,
        jitter_position: float,
        peers: PeerQuerier | None = None,
    ) -> None:
        self.store = HeldStore(store)
        self.timers = DrivenTimerService()
        dependencies = build_dependencies(node, self.store, self.timers, peers=peers)
        self.follower = dependencies.follower
        self.ownership = Ownership(dependencies, jitter_position)

    @property
    def epoch(self) -> int:
        """Return the epoch under which the entry owns the shard, or 0."""
        owner = self.ownership.owner
        return owner.epoch if owner is not None else 0

    @property
    def may_command(self) -> bool:
        """Return whether the entry may send commands to workers."""
        owner = self.ownership.owner
        if owner is None or owner.dispatcher is None:
            return False
        return owner.dispatcher.authorised()


async def async_advance(seconds: float, *entries: StoppableEntry) -> None:
    """Advance the clocks of the entries that are not stopped."""
    for _ in range(round(seconds / STEP_SECONDS)):
        for entry in entries:
            await anyio.wait_all_tasks_blocked()
            if entry.ownership.owner is not None:
                # The intervals of renewals are not driven by the test's clock.
                entry.ownership.owner.request_work()
            await entry.timers.async_advance(STEP_SECONDS)
    await anyio.wait_all_tasks_blocked()


def start_entries(
    tasks: TaskGroup, store: MemoryStore
) -> tuple[StoppableEntry, StoppableEntry]:
    """Start two entries, of which the first claims before the second."""
    entries = StoppableEntry("node-0", store, 0.0), StoppableEntry("node-1", store, 1.0)
    for entry in entries:
        tasks.start_soon(entry.follower.async_run)
        tasks.start_soon(entry.ownership.async_run)
    return entries


async def async_check_no_commands(entry: StoppableEntry) -> None:
    """Check that the entry may send no command until it has noticed its successor."""
    for _ in range(CHECKED_SWITCHES):
        await anyio.lowlevel.checkpoint()
        assert not entry.may_command
    await async_advance(1.0, entry)
    assert entry.epoch != 1


async def test_claim_confirmed_after_a_pause_gives_no_authority() -> None:
    """Guard against a claimant that was stopped and renews leases beside its successor.

    It was stopped between its claim and the response that names it as the owner.
    """
    store = MemoryStore()
    async with anyio.create_task_group() as tasks:
        stopped, other = start_entries(tasks, store)
        stopped.store.hold()
        await anyio.wait_all_tasks_blocked()
        assert stopped.store.held
        assert not stopped.epoch
        await async_advance(PAUSE_SECONDS, other)
        assert other.epoch == 1 + TOKENS_PER_EPOCH
        stopped.timers.pause(PAUSE_SECONDS)
        stopped.store.release()
        await async_check_no_commands(stopped)
        tasks.cancel_scope.cancel()


async def test_second_pause_during_the_check_after_a_pause_is_noticed() -> None:
    """Guard against an owner that takes the log's answer of before a pause for new."""
    store = MemoryStore()
    async with anyio.create_task_group() as tasks:
        stopped, other = start_entries(tasks, store)
        await async_advance(AUTHORITY_SECONDS, stopped, other)
        assert stopped.epoch == 1
        assert stopped.may_command
        stopped.store.hold()
        stopped.timers.suspend(1.2)
        await async_advance(2 * SELF_CHECK_SECONDS, stopped)
        assert stopped.store.held
        await async_advance(PAUSE_SECONDS, other)
        assert other.epoch == 1 + TOKENS_PER_EPOCH
        stopped.timers.suspend(1.8)
        stopped.store.release()
        await async_check_no_commands(stopped)
        tasks.cancel_scope.cancel()
