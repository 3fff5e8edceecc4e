"""Test that callers beyond all limits don't end an entry or shut out ordinary ones."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path
from typing import Final

import anyio
import pytest

from mustardward.platform.boot import BootLimits

from .entry_process import (
    CALLERS_HOST,
    METRICS_ADDRESS,
    QUEUE,
    RESERVED_FDS,
    EntryProcess,
    async_run_entry,
)
from .misbehaving_callers import CHUNK_BYTES, Crowd, async_crowd, endless_peer_message

pytestmark = [pytest.mark.anyio, pytest.mark.processes]

LIMITS: Final = BootLimits(memory_mb=128, max_fds=600)

_HOST: Final = f"Host: {CALLERS_HOST}\r\n".encode()
_TARGET: Final = f"POST {QUEUE}00000000000000ff HTTP/1.1\r\n".encode()
_HEAD: Final = _TARGET + _HOST
_FIELD: Final = b"X-Filler: " + b"a" * 7_800 + b"\r\n"
_CHUNK: Final = b"%x\r\n" % CHUNK_BYTES + b"a" * CHUNK_BYTES + b"\r\n"

UNFINISHED_HEADS: Final = Crowd(150, _HEAD, _FIELD, 120 * len(_FIELD))
ENDLESS_FIELD: Final = Crowd(150, _HEAD + b"X-Filler: ", b"a" * CHUNK_BYTES, 1 << 22)
ENDLESS_TARGET: Final = Crowd(150, b"GET /", b"a" * CHUNK_BYTES, 1 << 22)
EMPTY_LINES: Final = Crowd(100, b"", b"\r\n" * (CHUNK_BYTES // 2), 1 << 22)
ENDLESS_BODY: Final = Crowd(
    20, _HEAD + b"Transfer-Encoding: chunked\r\n\r\n", _CHUNK, 1 << 23
)
UNFINISHED_BODIES: Final = Crowd(
    400, _HEAD + b"Content-Length: 262144\r\n\r\n", b"a" * 10_000, 260_000
)
SILENT: Final = Crowd(700)
UNREAD_ANSWERS: Final = Crowd(
    100, b"", (b"GET /none HTTP/1.1\r\n" + _HOST + _FIELD + b"\r\n") * 8, 1 << 22
)

MANY_UNREAD_ANSWERS: Final = replace(UNREAD_ANSWERS, callers=900, max_bytes=600_000)
ENDLESS_PEER_MESSAGE: Final = endless_peer_message(60, 3_500_000)


async def async_check(entry: EntryProcess, address: str, crowd: Crowd) -> None:
    """Check the entry while and after a crowd calls."""
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(entry.async_watch_memory)
        async with async_crowd(address, crowd):
            sockets = entry.socket_count() if entry.alive else 0
            status = await entry.async_submit_until_answered() if entry.alive else 0
            memory_mb = entry.peak_memory_mb() if entry.alive else 0.0
        tasks.cancel_scope.cancel()
    print(f"memory_mb={memory_mb:.0f} sockets={sockets} status={status}")
    assert entry.alive
    assert memory_mb <= LIMITS.memory_mb
    assert sockets <= LIMITS.max_fds - RESERVED_FDS
    assert status == 200


async def test_unfinished_heads_stay_within_the_memory(tmp_path: Path) -> None:
    """Guard against heads of many fields that are kept without a limit or an end."""
    async with async_run_entry(tmp_path, LIMITS) as entry:
        await async_check(entry, entry.boot.listen.front, UNFINISHED_HEADS)


@pytest.mark.parametrize(
    "crowd", [ENDLESS_FIELD, ENDLESS_TARGET], ids=["field", "line"]
)
async def test_a_head_without_end_is_refused(tmp_path: Path, crowd: Crowd) -> None:
    """Guard against a head that consists of one endless line."""
    async with async_run_entry(tmp_path, LIMITS) as entry:
        await async_check(entry, entry.boot.listen.front, crowd)


@pytest.mark.parametrize("without_extensions", ["", "1"], ids=["compiled", "python"])
async def test_empty_lines_without_end_keep_nobody_waiting(
    tmp_path: Path, without_extensions: str
) -> None:
    """Guard against empty lines before a request that are read for ever."""
    variables = {"AIOHTTP_NO_EXTENSIONS": without_extensions}
    async with async_run_entry(tmp_path, LIMITS, variables) as entry:
        await async_check(entry, entry.boot.listen.front, EMPTY_LINES)


async def test_a_body_without_end_is_refused(tmp_path: Path) -> None:
    """Guard against a chunked body that is read to its end before its size counts."""
    async with async_run_entry(tmp_path, LIMITS) as entry:
        await async_check(entry, entry.boot.listen.front, ENDLESS_BODY)


async def test_a_body_without_end_is_refused_before_the_configuration(
    tmp_path: Path,
) -> None:
    """Guard against bodies without any limit while no configuration is known."""
    async with async_run_entry(tmp_path, LIMITS, is_configured=False) as entry:
        async with async_crowd(entry.boot.listen.front, ENDLESS_BODY):
            memory_mb = entry.peak_memory_mb() if entry.alive else 0.0
        print(f"memory_mb={memory_mb:.0f}")
        assert entry.alive
        assert memory_mb <= LIMITS.memory_mb
        entry.estate.publish_config({QUEUE: "pool-a"}, CALLERS_HOST)
        assert await entry.async_submit_until_answered() == 200


async def test_unfinished_bodies_stay_within_the_memory(tmp_path: Path) -> None:
    """Guard against bodies within the limit that together exceed the memory."""
    async with async_run_entry(tmp_path, LIMITS) as entry:
        await async_check(entry, entry.boot.listen.front, UNFINISHED_BODIES)


async def test_silent_callers_leave_descriptors_to_others(tmp_path: Path) -> None:
    """Guard against callers that connect, send nothing and use up all descriptors."""
    async with async_run_entry(tmp_path, LIMITS) as entry:
        await async_check(entry, entry.boot.listen.front, SILENT)


async def test_requests_whose_answers_are_not_read_stay_within_the_memory(
    tmp_path: Path,
) -> None:
    """Guard against requests in a row that are read while no answer can be sent."""
    async with async_run_entry(tmp_path, LIMITS) as entry:
        await async_check(entry, entry.boot.listen.front, UNREAD_ANSWERS)


async def test_connections_that_were_closed_for_memory_free_it(tmp_path: Path) -> None:
    """Guard against waiting requests that outlive their connection."""
    async with async_run_entry(tmp_path, LIMITS) as entry:
        await async_check(entry, entry.boot.listen.front, MANY_UNREAD_ANSWERS)


@pytest.mark.parametrize("listener", ["ready", "metrics"])
@pytest.mark.parametrize("crowd", [UNFINISHED_HEADS, SILENT], ids=["heads", "silent"])
async def test_the_other_listeners_hold_as_well(
    tmp_path: Path, listener: str, crowd: Crowd
) -> None:
    """Guard against limits that only the listener for callers has."""
    async with async_run_entry(tmp_path, LIMITS) as entry:
        address = METRICS_ADDRESS if listener == "metrics" else entry.boot.listen.ready
        await async_check(entry, address, crowd)


@pytest.mark.parametrize(
    "crowd", [ENDLESS_PEER_MESSAGE, SILENT], ids=["message", "silent"]
)
async def test_the_listener_between_entries_holds_as_well(
    tmp_path: Path, crowd: Crowd
) -> None:
    """Guard against limits that the gRPC listener between entries lacks."""
    async with async_run_entry(tmp_path, LIMITS) as entry:
        address = f"{entry.boot.ip}:{entry.boot.port_range[0]}"
        await async_check(entry, address, crowd)
