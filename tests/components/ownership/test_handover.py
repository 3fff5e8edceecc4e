"""Test that an entry that gives up the shard does not claim it over itself."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import Any

import anyio
import pytest

from mustardward.components.dispatch.const import TOKENS_PER_EPOCH
from mustardward.components.forwarding.models import PeerReply, PeerRequest
from mustardward.components.ledger.models import NodeRecord, OwnerRecord
from mustardward.components.ownership.const import (
    CLAIM_JITTER_SECONDS,
    HANDOVER_DELAY_SECONDS,
    OWNER_TIMEOUT_SECONDS,
    RELEASE_TIMEOUT_SECONDS,
)
from mustardward.components.ownership.election import Election
from mustardward.components.ownership.services import Ownership
from mustardward.helpers.timer import DrivenTimerService
from mustardward.platform.exceptions import CallUnknownError
from mustardward.standin.estate.store import MemoryStore

from .builders import build_dependencies
from .twice_process import ProcessLoop
from .twice_walk import TwiceWalk

pytestmark = pytest.mark.anyio


@pytest.mark.parametrize("node", ["me", ""])
def test_entry_waits_for_others_after_its_own_ownership(node: str) -> None:
    """Guard against a slow entry that claims what it has just handed over."""
    election = Election("me", 0.0, ended_claim="c")
    election.observe(OwnerRecord(7, "c", node, 3), 100.0)
    assert not election.should_claim(100.0 + OWNER_TIMEOUT_SECONDS - 0.1)
    assert not election.should_query(100.0 + OWNER_TIMEOUT_SECONDS)
    assert election.should_claim(100.0 + OWNER_TIMEOUT_SECONDS + CLAIM_JITTER_SECONDS)


async def async_lose_append(
    topic: str, records: object, producer: object, timeout_seconds: float = 1.0
) -> int:
    """Lose a call to the store."""
    await anyio.sleep(timeout_seconds)
    raise CallUnknownError("no answer")


async def async_release_in_vain() -> tuple[str, set[int]]:
    """Return which entry owns the shard after a release that is lost."""
    walk = TwiceWalk(0)
    walk.world.heal()
    walk._configure()
    for number in range(2):
        walk._start_entry(number)
    await anyio.sleep(3.0)
    owner = next(entry for entry in walk._entries.values() if entry.is_owner)
    store: Any = owner.ownership._dependencies.store
    store.async_append = async_lose_append
    owner.spawn(owner.ownership.owner.async_release())  # type: ignore[union-attr]
    await walk._async_advance(RELEASE_TIMEOUT_SECONDS)
    del store.async_append
    await walk._async_advance(6.0)
    owners = [entry for entry in walk._entries.values() if entry.is_owner]
    assert len(owners) == 1
    for entry in walk._entries.values():
        await entry.async_end()
    return ("same" if owners == [owner] else "other"), walk.epochs


def test_release_without_an_answer_is_no_reason_to_claim() -> None:
    """Guard against an owner of one epoch that wins the next one over itself.

    Its release is lost, so that the log still names it.
    """
    with asyncio.Runner(loop_factory=ProcessLoop) as runner:
        owner, epochs = runner.run(async_release_in_vain())
    assert owner == "other"
    assert max(epochs) == 1 + TOKENS_PER_EPOCH


class FasterPeers:
    """Simulate faster entries, which answer once they are connected."""

    connected = False

    def ranked_peers(self) -> list[tuple[str, str]]:
        return []

    async def async_send_to_node(
        self, name: str, request: PeerRequest
    ) -> PeerReply | None:
        return PeerReply(200, b"") if self.connected else None


async def test_shard_is_handed_over_only_to_an_entry_that_answers() -> None:
    """Guard against a shard that a slow entry releases while all fast ones are cut off.

    Nobody would own it until the slow entry claims it again.
    """
    timers = DrivenTimerService()
    peers = FasterPeers()
    dependencies = build_dependencies(
        "me", MemoryStore(), timers, peers=peers, speed=0.4
    )
    dependencies.ledger.nodes["fast"] = NodeRecord("", "z1", 2.0)
    ownership = Ownership(dependencies, 0.0)
    released: list[float] = []

    async def async_release() -> None:
        released.append(timers.monotonic())

    owner: Any = SimpleNamespace(epoch=1, async_release=async_release)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(ownership._async_hand_over, owner)
        for _ in range(5):
            await anyio.wait_all_tasks_blocked()
            await timers.async_advance(HANDOVER_DELAY_SECONDS)
        assert not released
        peers.connected = True
        await anyio.wait_all_tasks_blocked()
        await timers.async_advance(HANDOVER_DELAY_SECONDS)
        await anyio.wait_all_tasks_blocked()
        assert len(released) == 1
