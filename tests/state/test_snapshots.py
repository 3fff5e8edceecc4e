"""Test starting and recovering from snapshots, and refusing unusable ones."""

from __future__ import annotations

from dataclasses import replace

import msgspec
import pytest
from returns.result import Success

from mustardward.exceptions import SnapshotUnusableError
from mustardward.state.images import make_image, restore_image
from mustardward.state.models.maintenance import ScheduleWave
from mustardward.state.models.pools import PutPool
from mustardward.state.models.templates import (
    Overrides,
    PublishTemplate,
    PutOrganisation,
)
from mustardward.state.options import LogOptions
from mustardward.state.snapshot_writer import (
    SnapshotConditions,
    SnapshotWriter,
    snapshot_due_cause,
)
from mustardward.state.streams import FLEET_SPEC
from tests.builders import build_fleet_fold, build_instance, build_parameters
from tests.fakes.log import LogClient
from tests.fakes.log_bench import running_bench

pytestmark = pytest.mark.anyio

MANIFESTS = "fleet.snapshots"
CHUNKS = "fleet.snapshots.chunks"


def test_restored_fold_continues_like_the_original() -> None:
    original = build_fleet_fold("cellar", "brine")
    original.accept(PublishTemplate("dairy", build_parameters("cellar")), 0)
    original.accept(PutOrganisation("undredal", "dairy"), 0)
    original.accept(PutOrganisation("aurland", "dairy", Overrides(headroom=0.5)), 0)
    for number in range(50):
        original.accept(build_instance(f"instance-{number}", "cellar"))
    restored = build_fleet_fold()
    image = make_image(FLEET_SPEC, original.fold)
    restore_image(FLEET_SPEC, restored.fold, image)
    body = PublishTemplate("dairy", build_parameters("brine"))
    for builder in (original, restored):
        builder._count = 1000
        builder.apply(body, builder.fold.state.templates["dairy"][-1].revision)
    assert restored.fold.digest == original.fold.digest
    assert msgspec.msgpack.encode(restored.fold.state) == msgspec.msgpack.encode(
        original.fold.state
    )
    assert restored.fold.get_verdict("built-3") == original.fold.get_verdict("built-3")
    organisations = restored.fold.state.organisations
    template = restored.fold.state.templates["dairy"][-1].parameters
    assert organisations["undredal"].parameters is template


@pytest.mark.parametrize(
    "change",
    [
        {"schema": 99},
        {"kinds": {"pool.put": 2}},
        {"kinds": {"pool.split": 1}},
        {"stream": "work.bergen"},
        {"body_digest": "00"},
    ],
)
def test_image_that_may_be_misread_is_refused(
    change: dict[str, object],
) -> None:
    image = make_image(FLEET_SPEC, build_fleet_fold("cellar").fold)
    header = replace(image.header, **change)  # type: ignore[arg-type]
    target = build_fleet_fold()
    with pytest.raises(SnapshotUnusableError):
        restore_image(FLEET_SPEC, target.fold, replace(image, header=header))
    assert target.fold.next_offset == 0


def test_restored_state_shares_equal_names() -> None:
    original = build_fleet_fold("cellar")
    for number in range(4):
        original.accept(build_instance(f"instance-{number}", "cellar"))
    original.accept(ScheduleWave("wave-1", ("cellar",)))
    restored = build_fleet_fold()
    restore_image(FLEET_SPEC, restored.fold, make_image(FLEET_SPEC, original.fold))
    state = restored.fold.state
    shared_names = {id(name) for name in state.instances}
    assert {id(name) for name in state.waves["wave-1"].pending} == shared_names
    assert len({id(item.rack) for item in state.instances.values()}) == 1


def test_an_older_image_is_refused() -> None:
    """Guard against reverting an accepted configuration to an older snapshot.

    A node at offset 5 is offered a valid snapshot of offset 1.
    """
    image = make_image(FLEET_SPEC, build_fleet_fold("cellar").fold)
    ahead = build_fleet_fold("a", "b", "c", "d", "e")
    with pytest.raises(SnapshotUnusableError):
        restore_image(FLEET_SPEC, ahead.fold, image)
    assert set(ahead.fold.state.pools) == {"a", "b", "c", "d", "e"}


async def test_new_node_starts_from_a_snapshot_when_entries_expired() -> None:
    async with running_bench() as bench:
        log = bench.start()
        await bench.async_settle()
        await bench.async_fill(log, 5)
        await bench.async_snapshot(log)
        await bench.async_fill(log, 2)
        bench.service.expire("fleet", 5)
        new_node = bench.start()
        await bench.async_settle(1.0)
        assert new_node.may_decide
        assert new_node.digest == log.digest


async def test_node_without_a_snapshot_does_not_start_at_a_later_offset() -> None:
    """Guard against serving an incomplete configuration.

    The log has expired its first entries and there is no snapshot, so a new node must
    not start from the oldest retained entry.
    """
    async with running_bench() as bench:
        log = bench.start()
        await bench.async_settle()
        await bench.async_fill(log, 5)
        bench.service.expire("fleet", 3)
        new_node = bench.start()
        await bench.async_settle(10.0)
        assert not new_node.ready and not new_node.may_decide
        assert new_node.next_offset == 0
        await bench.async_snapshot(log)
        await bench.async_settle(5.0)
        assert new_node.ready and new_node.digest == log.digest


async def test_a_node_whose_offset_expired_recovers_from_a_snapshot() -> None:
    async with running_bench() as bench:
        client = LogClient(bench.service)
        log, disconnected = bench.start(), bench.start(client)
        await bench.async_settle()
        await bench.async_fill(log, 2)
        client.cut_off = True
        await bench.async_fill(log, 4)
        await bench.async_snapshot(log)
        bench.service.expire("fleet", 5)
        client.cut_off = False
        restored: list[int] = []
        disconnected.listen_restored(lambda: restored.append(disconnected.next_offset))
        await bench.async_settle(5.0)
        assert disconnected.may_decide
        assert disconnected.digest == log.digest
        assert restored == [6]


async def test_append_whose_entry_expired_is_resolved_from_the_window() -> None:
    """Guard against reporting an accepted change as unknown, or making it again.

    The append takes effect, its response is lost, the node is disconnected, the entry
    expires, and the node recovers from a snapshot. Only the dedupe window has the
    outcome.
    """
    async with running_bench() as bench:
        client = LogClient(bench.service)
        log, disconnected = bench.start(), bench.start(client)
        await bench.async_settle()
        await bench.async_fill(log, 1)
        results: list[object] = []

        async def propose() -> None:
            results.append(
                await disconnected.async_propose(
                    PutPool("late"), actor="operator", timeout_seconds=120.0
                )
            )

        bench.service.delay_appends = 1
        bench.group.start_soon(propose)
        await bench.async_until(lambda: bool(bench.service.delayed), 1.0)
        client.cut_off = True
        bench.service.deliver_delayed()
        await bench.async_settle()
        await bench.async_fill(log, 3)
        await bench.async_snapshot(log)
        bench.service.expire("fleet", 4)
        client.cut_off = False
        await bench.async_until(lambda: bool(results), 20.0)
        assert isinstance(results[0], Success)
        assert results[0].unwrap().revision == 2
        await bench.async_settle(3.0)
        assert disconnected.digest == log.digest and disconnected.sequence == 5


async def test_gap_in_the_log_is_not_skipped() -> None:
    """Guard against a node that misses one change permanently.

    The log loses an entry in the middle and returns the following one, so offsets have
    to be compared.
    """
    async with running_bench() as bench:
        log = bench.start()
        await bench.async_settle()
        await bench.async_fill(log, 4)
        bench.service.lose("fleet", 2)
        new_node = bench.start()
        await bench.async_settle(3.0)
        assert new_node.next_offset == 2
        assert not new_node.ready and not new_node.may_decide
        await bench.async_snapshot(log)
        await bench.async_settle(5.0)
        assert new_node.digest == log.digest and new_node.may_decide


@pytest.mark.parametrize("stream", [MANIFESTS, CHUNKS])
async def test_previous_snapshot_replaces_a_corrupt_one(stream: str) -> None:
    async with running_bench() as bench:
        log = bench.start()
        await bench.async_settle()
        await bench.async_fill(log, 3)
        await bench.async_snapshot(log)
        await bench.async_fill(log, 3)
        await bench.async_snapshot(log)
        bench.service.corrupt(stream, bench.service.tail(stream) - 1)
        bench.service.expire("fleet", 3)
        image = await log.store.async_load(0)
        assert image.header.next_offset == 3
        new_node = bench.start()
        await bench.async_settle(1.0)
        assert new_node.digest == log.digest


async def test_partial_snapshot_is_not_loaded() -> None:
    async with running_bench() as bench:
        log = bench.start()
        await bench.async_settle()
        await bench.async_fill(log, 3)
        bench.service.put(CHUNKS, log.image().body)
        with pytest.raises(SnapshotUnusableError):
            await log.store.async_load(0)


async def test_newest_state_of_concurrent_writers_is_loaded() -> None:
    """Guard against starting from an older state than the newest snapshot.

    The manifest of a slow writer comes after that of a fast writer with a newer state,
    so snapshots are ordered by state and not by manifest.
    """
    async with running_bench() as bench:
        log = bench.start()
        await bench.async_settle()
        await bench.async_fill(log, 2)
        older_image = log.image()
        await bench.async_fill(log, 3)
        await bench.async_snapshot(log)

        async def write() -> None:
            await log.store.async_write(older_image)

        bench.group.start_soon(write)
        await bench.async_until(lambda: bench.service.tail(MANIFESTS) == 2, 5.0)
        image = await log.store.async_load(0)
        assert image.header.next_offset == 5


async def test_snapshot_is_written_despite_refusals_and_lost_responses() -> None:
    async with running_bench() as bench:
        log = bench.start()
        await bench.async_settle()
        await bench.async_fill(log, 2)
        bench.service.refuse_appends = 2
        bench.service.lose_answers = 2
        await bench.async_snapshot(log)
        image = await log.store.async_load(0)
        assert image.header.fold_digest == log.digest


@pytest.mark.parametrize(
    ("conditions", "cause"),
    [
        (SnapshotConditions(0, 0, 0.0), ""),
        (SnapshotConditions(5, 0, 0.0), "missing"),
        (SnapshotConditions(30_000, 0, 0.0, 20_000, 0.0), "entries"),
        (SnapshotConditions(1_000, 900, 0.0, 940, 0.0), "retention"),
        (SnapshotConditions(1_000, 900, 0.0, 960, 0.0), ""),
        (SnapshotConditions(1_000, 900, 1e6, 1_000, 0.0), "age"),
    ],
)
def test_a_snapshot_is_due_well_before_retention(
    conditions: SnapshotConditions, cause: str
) -> None:
    assert snapshot_due_cause(conditions, LogOptions()) == cause


async def test_snapshot_is_written_only_by_the_responsible_node_when_due() -> None:
    async with running_bench() as bench:
        log = bench.start()
        await bench.async_settle()
        await bench.async_fill(log, 3)
        idle = SnapshotWriter(log, bench.timers, lambda: False)
        idle.subscribe(bench.group)
        await bench.async_settle(65.0, 1.0)
        assert bench.service.tail(MANIFESTS) == 0
        writer = SnapshotWriter(log, bench.timers, lambda: True)
        await bench.async_run(writer.async_check)
        await bench.async_run(writer.async_check)
        assert bench.service.tail(MANIFESTS) == 1


async def test_failing_snapshot_does_not_end_the_process(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with running_bench() as bench:
        log = bench.start()
        await bench.async_settle()
        await bench.async_fill(log, 1)

        def fail() -> None:
            raise ValueError("cannot be encoded")

        writer = SnapshotWriter(log, bench.timers, lambda: True)
        monkeypatch.setattr(log, "image", fail)
        await bench.async_run(writer.async_check)
        assert bench.service.tail(MANIFESTS) == 0
        monkeypatch.undo()
        await bench.async_run(writer.async_check)
        assert bench.service.tail(MANIFESTS) == 1
