"""Test how often the owner changes while the store of many entries is slow."""

from __future__ import annotations

import asyncio
from collections import Counter

import anyio
import pytest

from mustardward.components.dispatch.const import TOKENS_PER_EPOCH
from mustardward.components.ledger.const import PREFIX_NODE, TOPIC
from mustardward.components.ledger.ledger import encode
from mustardward.components.ledger.models import NodeRecord, OwnerRecord
from mustardward.components.ownership.services import Ownership

from .twice_entries import Entry
from .twice_process import ProcessLoop
from .twice_world import Faults, World

ENTRY_COUNT = 42
SLOW_SECONDS = 5.4
APPEND_SECONDS = 0.1
RESPONSE_SECONDS = 0.4
LOAD_INTERVAL_SECONDS = 0.08
"""Between two appends of other entries: a quarter more than the partition executes."""

MAX_CLAIMS = 3
KILLED_AFTER_SECONDS = 1.0


async def async_load_partition(world: World) -> None:
    """Append the records of callers, so that others wait in the partition's queue."""
    while True:
        await anyio.sleep(LOAD_INTERVAL_SECONDS)
        if world.append_seconds:
            asyncio.get_running_loop().create_task(world.async_execute_append())


async def async_run_entries(kills: bool) -> set[int]:
    """Return the epochs that were owned while the store was slow and after it."""
    world = World(0, Faults())
    names = [f"e{number:02}" for number in range(ENTRY_COUNT)]
    zones = {name: f"z{number % 3}" for number, name in enumerate(names)}
    entries = [
        Entry(world, name, zones[name], number / ENTRY_COUNT)
        for number, name in enumerate(names)
    ]
    world.entries = {entry.node: entry for entry in entries}
    world.store.append(
        TOPIC,
        [(PREFIX_NODE + name, encode(NodeRecord("", zones[name]))) for name in names],
    )
    for entry in entries:
        entry.run()
    await anyio.sleep(1.0)
    load = asyncio.create_task(async_load_partition(world))
    world.append_seconds = APPEND_SECONDS
    world.response_seconds = RESPONSE_SECONDS
    world.later(SLOW_SECONDS, world.speed_up_store)
    epochs: set[int] = set()
    for tenth in range(round((SLOW_SECONDS + 3.0) * 10)):
        if kills and tenth == round(KILLED_AFTER_SECONDS * 10):
            next(entry for entry in entries if entry.is_owner).process.kill()
        await anyio.sleep(0.1)
        owners = [e.ownership.owner for e in entries if e.is_owner]
        epochs.update(owner.epoch for owner in owners if owner is not None)
    load.cancel()
    for entry in entries:
        await entry.async_end()
    return epochs


@pytest.mark.parametrize("kills", [False, True])
def test_owner_changes_at_most_once_while_the_store_is_slow(
    kills: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guard against a sound owner that is deposed and claims by all entries at once."""
    claims: Counter[int] = Counter()
    append = Ownership._async_append

    async def async_append(own: Ownership, record: OwnerRecord) -> bool:
        claims[record.epoch] += 1
        return await append(own, record)

    monkeypatch.setattr(Ownership, "_async_append", async_append)
    with asyncio.Runner(loop_factory=ProcessLoop) as runner:
        epochs = runner.run(async_run_entries(kills))
    assert epochs == ({1, 1 + TOKENS_PER_EPOCH} if kills else {1})
    assert all(count <= MAX_CLAIMS for epoch, count in claims.items() if epoch > 1)
