"""Measure a whole entry process that holds a fleet: memory, start, processor share."""

from __future__ import annotations

import subprocess
import sys
import tempfile
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from itertools import chain, pairwise
from pathlib import Path

import anyio
import anyio.abc
import psutil
import xxhash
import yaml

from mustardward.const import SNAPSHOT_STREAM_SUFFIX
from mustardward.helpers.timer import LoopTimerService
from mustardward.standin.log import LogOptions
from mustardward.standin.platform import (
    PlatformOptions,
    RunningPlatform,
    async_run_platform,
)
from mustardward.standin.protocol.models import ListedInstance, ListedState
from mustardward.standin.store import Retention
from mustardward.state.fleet import FleetState
from mustardward.state.images import Image, make_image
from mustardward.state.snapshots import (
    CHUNK_BYTES,
    CHUNK_STREAM_SUFFIX,
    Chunk,
    Manifest,
    encode_manifest,
)
from mustardward.state.streams import FLEET_SPEC, work_spec

from .control_fleet import DATA_CENTRES, FleetBuilder, FleetShape, Proposed
from .control_wire import CountedWay, async_counted_way
from .control_work import WorkBuilder

DAY_SECONDS = 86_400.0
EVENTS_A_DAY = {
    "configuration": 6_400.0,
    "instance": 1_470.0,
    "maintenance": 12_000 / 21.0,
}
"""Changes, failures with returns, and instances maintained, at the two-year size."""
RECORDS_OF = {"configuration": 1, "instance": 2, "maintenance": 5}
SPEED_UP = 40.0
"""How much faster than at the two-year rate events come while the share is taken."""
_START_SECONDS = 20.0
_STREAMS = 2
_MEMORY_SECONDS = 1.0
_SETTLE_SECONDS = 5.0
"""Time for what an entry works out once after its start."""


@dataclass(frozen=True, slots=True)
class EntryFigures:
    """Hold what was measured of one process.

    Shares are of one core; ``idle`` is without any record, ``busy`` with records at
    ``SPEED_UP`` times the rate of events. Bytes are those to and from the log.
    """

    start_seconds: float
    resident_megabytes: float
    idle_share: float
    busy_share: float
    records: int
    idle_bytes_a_second: float = 0.0
    busy_bytes_a_second: float = 0.0


def records_a_second() -> float:
    """Return the records of the fleet's stream at the two-year rate of events."""
    daily = sum(EVENTS_A_DAY[kind] * RECORDS_OF[kind] for kind in EVENTS_A_DAY)
    return daily / DAY_SECONDS


async def async_measure_entry(
    shape: FleetShape, seed: int, seconds: float, with_work: bool
) -> EntryFigures:
    """Run one entry on a stand-in platform that holds snapshots.

    :param seconds: length of each share; 0 takes none.
    :param with_work: fill the data centre's stream of work up to its bounds, too.
    """
    builder = FleetBuilder(shape, seed)
    builder.build()
    builder.keep_ended_waves()
    builder.start_wave("wave")
    images = [make_image(FLEET_SPEC, builder.fold)]
    if with_work:
        images.append(_work_image(shape))
    async with anyio.create_task_group() as group:
        timers = LoopTimerService(group)
        options = PlatformOptions(
            log=LogOptions(retention=Retention(1_000_000, 1e6)),
            listing_lag_seconds=0.0,
        )
        async with (
            async_run_platform(timers, options) as platform,
            async_counted_way(platform.url) as way,
            _async_run_entry(platform, way.url, builder.fold.state, images) as (
                process,
                start_seconds,
            ),
        ):
            figures = await _async_watch(
                platform, way, builder, process, start_seconds, seconds
            )
        group.cancel_scope.cancel()
    return figures


async def _async_watch(
    platform: RunningPlatform,
    way: CountedWay,
    builder: FleetBuilder,
    process: psutil.Process,
    start_seconds: float,
    seconds: float,
) -> EntryFigures:
    if seconds == 0:
        await anyio.sleep(_MEMORY_SECONDS)
        resident = process.memory_info().rss / 1e6
        return EntryFigures(start_seconds, resident, 0.0, 0.0, 0)
    await anyio.sleep(_SETTLE_SECONDS)
    counts = [way.counts["log"]]
    idle = await _async_share(process, seconds)
    counts.append(way.counts["log"])
    payloads = _payloads(builder, int(records_a_second() * SPEED_UP * seconds) + 1)
    async with anyio.create_task_group() as group:
        group.start_soon(_async_append, platform, payloads, seconds)
        busy = await _async_share(process, seconds)
    counts.append(way.counts["log"])
    resident = process.memory_info().rss / 1e6
    rates = [(after - before) / seconds for before, after in pairwise(counts)]
    return EntryFigures(
        start_seconds, resident, idle, busy, len(payloads), rates[0], rates[1]
    )


async def _async_share(process: psutil.Process, seconds: float) -> float:
    before = process.cpu_times()
    began = anyio.current_time()
    await anyio.sleep(seconds)
    after = process.cpu_times()
    used = after.user + after.system - before.user - before.system
    return used / (anyio.current_time() - began)


async def _async_append(
    platform: RunningPlatform, payloads: list[bytes], seconds: float
) -> None:
    for payload in payloads:
        platform.platform.log.append(FLEET_SPEC.name, payload)
        await anyio.sleep(seconds / len(payloads) * 0.95)


def _payloads(builder: FleetBuilder, count: int) -> list[bytes]:
    """Return entries of the two-year mix, folded here as they are made."""
    total = sum(EVENTS_A_DAY.values())
    mixed: list[bytes] = []
    done = 0
    share = {kind: 0.0 for kind in EVENTS_A_DAY}
    while len(mixed) < count:
        for kind, daily in EVENTS_A_DAY.items():
            share[kind] += daily / total
            if share[kind] < 1.0:
                continue
            share[kind] -= 1.0
            for proposed in _event(builder, kind, done):
                payload = builder.encode(proposed)
                builder.fold.apply(builder.fold.next_offset, payload)
                mixed.append(payload)
            done += kind == "maintenance"
    return mixed


def _event(builder: FleetBuilder, kind: str, done: int) -> chain[Proposed]:
    if kind == "configuration":
        return chain([builder.change_configuration()])
    if kind == "instance":
        return chain(builder.fail_and_return())
    return chain(builder.maintain("wave", done))


@asynccontextmanager
async def _async_run_entry(
    platform: RunningPlatform, url: str, fleet: FleetState, images: list[Image]
) -> AsyncIterator[tuple[psutil.Process, float]]:
    for image in images:
        _put_snapshot(platform, image)
    _list_instances(platform, fleet)
    with tempfile.TemporaryDirectory() as folder:
        settings = Path(folder) / "entry.yaml"
        settings.write_text(yaml.safe_dump(_settings(url)))
        command = [sys.executable, "-m", "mustardward", "serve", str(settings)]
        began = anyio.current_time()
        async with await anyio.open_process(
            command, stdout=subprocess.DEVNULL, stderr=subprocess.PIPE
        ) as process:
            try:
                await _async_wait_ready(process)
                ready = anyio.current_time() - began
                async with anyio.create_task_group() as group:
                    group.start_soon(_async_drain, process)
                    yield psutil.Process(process.pid), ready
                    group.cancel_scope.cancel()
            finally:
                process.kill()


async def _async_wait_ready(process: anyio.abc.Process) -> None:
    assert process.stderr is not None
    seen = b""
    with anyio.fail_after(_START_SECONDS):
        async for chunk in process.stderr:
            seen += chunk
            if seen.count(b"event=state_ready part=state.follower") == _STREAMS:
                return
    raise RuntimeError(seen.decode(errors="replace"))


async def _async_drain(process: anyio.abc.Process) -> None:
    assert process.stderr is not None
    async for _ in process.stderr:
        pass


def _list_instances(platform: RunningPlatform, fleet: FleetState) -> None:
    for instance in fleet.instances.values():
        platform.platform.listing.put(
            ListedInstance(
                instance.instance_id,
                "worker",
                instance.data_centre,
                instance.rack,
                instance.address,
                ListedState.LIVE,
                1,
            )
        )


def _work_image(shape: FleetShape) -> Image:
    spec = work_spec(DATA_CENTRES[0])
    return make_image(spec, WorkBuilder(spec, shape).build())


def _put_snapshot(platform: RunningPlatform, image: Image) -> None:
    """Let the log hold a snapshot, and the offsets before it without their entries."""
    log = platform.platform.log
    stream = image.header.stream
    for _ in range(image.header.next_offset):
        log.store.append(stream, b"")
    manifests = stream + SNAPSHOT_STREAM_SUFFIX
    chunks = []
    for start in range(0, len(image.body), CHUNK_BYTES):
        part = image.body[start : start + CHUNK_BYTES]
        offset = log.append(manifests + CHUNK_STREAM_SUFFIX, part)
        chunks.append(Chunk(offset, xxhash.xxh3_128_hexdigest(part)))
    log.append(manifests, encode_manifest(Manifest(image.header, tuple(chunks), 0.0)))


def _settings(url: str) -> dict[str, object]:
    listen = {"host": "127.0.0.1", "port": 0}
    return {
        "entry": {"name": "bench-1", "data_centre": DATA_CENTRES[0]},
        "callers": listen,
        "operators": {"listen": listen},
        "peer_listen": listen,
        "platform": {"url": url},
    }
