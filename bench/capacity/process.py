"""Measure what an entry process costs while nobody calls it."""

from __future__ import annotations

import json
import os
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass
from functools import cache, partial
from pathlib import Path
from typing import Any, Final

import anyio
import psutil

from mustardward.helpers.timer import LoopTimerService
from mustardward.standin.platform import async_run_platform

_ROOT: Final = Path(__file__).parents[2]
_METER: Final = "meter"
_SETTLE_SECONDS: Final = 4.5
_MEASURED_SECONDS: Final = 3.5


@dataclass(frozen=True, slots=True)
class IdleEntry:
    """Hold what an idle entry costs.

    ``percent`` is of a core, ``bytes_a_second`` both ways on all its sockets.
    """

    percent: float
    megabytes: float
    bytes_a_second: float


def idle_percent(entries: int) -> float:
    """Return the share of a core, in percent, that an idle entry uses."""
    return _idle(entries).percent


def idle_megabytes(entries: int) -> float:
    """Return the resident memory of an idle entry without any fleet."""
    return _idle(entries).megabytes


def idle_bytes(entries: int) -> float:
    """Return the bytes a second that an idle entry sends and receives."""
    return _idle(entries).bytes_a_second


@cache
def _idle(entries: int) -> IdleEntry:
    return anyio.run(partial(_async_idle, entries), backend="asyncio")


async def _async_idle(entries: int) -> IdleEntry:
    async with anyio.create_task_group() as tasks:
        timers = LoopTimerService(tasks)
        with tempfile.TemporaryDirectory(prefix="capacity-") as folder:
            async with async_run_platform(timers) as running:
                processes = [
                    _start(Path(folder), number, entries, running.url)
                    for number in range(entries)
                ]
                try:
                    measured = await _async_measure(processes, Path(folder))
                finally:
                    _end(processes)
        tasks.cancel_scope.cancel()
    return measured


async def _async_measure(
    processes: list[subprocess.Popen[bytes]], folder: Path
) -> IdleEntry:
    await anyio.sleep(_SETTLE_SECONDS)
    # The first entry counts bytes, which costs time, so the others tell the time.
    watched = [psutil.Process(process.pid) for process in processes[1:]]
    before = _processor_seconds(watched)
    moved = _metered(folder)
    started = time.monotonic()
    await anyio.sleep(_MEASURED_SECONDS)
    seconds = time.monotonic() - started
    used = _processor_seconds(watched) - before
    return IdleEntry(
        percent=used / len(watched) / seconds * 100.0,
        megabytes=sum(item.memory_info().rss for item in watched) / len(watched) / 1e6,
        bytes_a_second=(_metered(folder) - moved) / seconds,
    )


def _processor_seconds(watched: list[psutil.Process]) -> float:
    return sum(sum(item.cpu_times()[:2]) for item in watched)


def _metered(folder: Path) -> int:
    return int((folder / _METER).read_text(encoding="ascii"))


def _start(
    folder: Path, number: int, entries: int, platform_url: str
) -> subprocess.Popen[bytes]:
    settings = folder / f"{number}.yaml"
    document = _settings(number, entries, platform_url)
    settings.write_text(json.dumps(document), encoding="utf-8")
    program = ["mustardward"]
    if number == 0:
        program = ["bench.capacity.metered", str(folder / _METER)]
    return subprocess.Popen(
        [sys.executable, "-m", *program, "serve", str(settings)],
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
        cwd=_ROOT,
    )


def _settings(number: int, entries: int, platform_url: str) -> dict[str, Any]:
    def host(other: int) -> str:
        return f"127.{20 + os.getpid() % 200}.9.{other + 1}"

    return {
        "entry": {"name": f"entry-{number}", "data_centre": "dc-1"},
        "callers": {"host": host(number), "port": 8080},
        "operators": {"listen": {"host": host(number), "port": 8081}},
        "peer_listen": {"host": host(number), "port": 8082},
        "peers": [
            {
                "name": f"entry-{other}",
                "data_centre": "dc-1",
                "host": host(other),
                "port": 8082,
            }
            for other in range(entries)
            if other != number
        ],
        "platform": {"url": platform_url},
    }


def _end(processes: list[subprocess.Popen[bytes]]) -> None:
    for process in processes:
        process.kill()
    for process in processes:
        process.wait()
