"""Measure the time from publishing a revision to its force on seven entries."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from random import Random

import anyio
from anyio.abc import TaskGroup

from mustardward.helpers.timer import LoopTimerService
from mustardward.state.fleet import FleetState
from mustardward.state.images import Image
from mustardward.state.log import FoldedLog
from mustardward.state.options import LogOptions
from mustardward.state.snapshots import SnapshotStore
from mustardward.state.streams import FLEET_SPEC
from tests.fakes.log import FakeLog, LogClient
from tests.fakes.relay import DirectRelay

from .control_fleet import FleetBuilder, Proposed

ENTRIES = 7
CUT_OFF = 2
"""Entries of the data centre that is cut off from the platform."""
SLOW_SECONDS = 0.4
"""Added to every call to a slow log."""
_PATIENCE_SECONDS = 20.0


@dataclass(slots=True, eq=False)
class Entry:
    """Hold one entry's log and its way to the platform."""

    log: FoldedLog[FleetState]
    client: LogClient


async def async_measure_publish(
    builder: FleetBuilder, image: Image, situation: str, rounds: int, seed: int
) -> list[float]:
    """Return the seconds from each publication to its force on the last entry."""
    seconds = []
    async with _async_entries(image, seed) as entries:
        await _async_apply(entries, situation)
        for _ in range(rounds):
            proposed = builder.change_configuration()
            seconds.append(await _async_publish(builder, entries, proposed))
    return seconds


async def _async_publish(
    builder: FleetBuilder, entries: list[Entry], proposed: Proposed
) -> float:
    began = anyio.current_time()
    revision = builder.fold.sequence + 1
    in_force = anyio.Event()

    def check(_: object = None) -> None:
        if all(entry.log.sequence >= revision for entry in entries):
            in_force.set()

    undo = [entry.log.listen(check) for entry in entries]
    undo += [entry.log.listen_restored(check) for entry in entries]
    result = await entries[0].log.async_propose(
        proposed.body, actor="operator", base_revision=proposed.base_revision
    )
    if result.unwrap().revision != builder.apply(proposed):
        raise AssertionError("entries and reference differ")
    with anyio.fail_after(_PATIENCE_SECONDS):
        await in_force.wait()
    for unsubscribe in undo:
        unsubscribe()
    return anyio.current_time() - began


async def _async_apply(entries: list[Entry], situation: str) -> None:
    for number, entry in enumerate(entries):
        if situation == "slow":
            entry.client.delay_seconds = SLOW_SECONDS
        if situation == "cut_off" and number >= ENTRIES - CUT_OFF:
            entry.client.cut_off = True
    await anyio.sleep(0.5)


@asynccontextmanager
async def _async_entries(image: Image, seed: int) -> AsyncIterator[list[Entry]]:
    async with anyio.create_task_group() as group:
        service = FakeLog(real_waits=True)
        for _ in range(image.header.next_offset):
            service.put(FLEET_SPEC.name, b"")
        timers = LoopTimerService(group)
        store = SnapshotStore(service, FLEET_SPEC, timers, Random(seed))
        await store.async_write(image)
        entries = [_start(group, service, seed + n) for n in range(ENTRIES)]
        for entry in entries:
            others = [item.log for item in entries if item is not entry]
            entry.log.set_relay(DirectRelay(others))
        for entry in entries:
            if not await entry.log.async_confirm_tail(_PATIENCE_SECONDS):
                raise AssertionError("an entry did not start")
        yield entries
        group.cancel_scope.cancel()


def _start(group: TaskGroup, service: FakeLog, seed: int) -> Entry:
    client = LogClient(service)
    log = FoldedLog(
        FLEET_SPEC, client, LoopTimerService(group), LogOptions(), Random(seed)
    )
    group.start_soon(log.async_run)
    return Entry(log, client)
