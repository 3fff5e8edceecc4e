"""Test what signals do to an entry's process at each stage of its life."""

from __future__ import annotations

import signal
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass
from pathlib import Path
from typing import Final

import anyio
import msgspec
import pytest
from anyio.abc import Process

from mustardward.platform.boot import BootBounds, BootLimits, BootSettings
from mustardward.standin.estate.app import async_run_estate
from mustardward.standin.estate.estate import EstatePlan

from .entry_process import (
    CALLERS_HOST,
    LOG_NAME,
    QUEUE,
    EntryProcess,
    async_spawn_entry,
    build_boot,
)
from .gates import EXITING, IMPORTING, SETTINGS, Gate, gate_imports, is_waiting

pytestmark = [pytest.mark.anyio, pytest.mark.processes]

HUP: Final = signal.SIGHUP
TERM: Final = signal.SIGTERM
LIMITS: Final = BootLimits()
BOUNDS: Final = BootBounds(grace_s=2)
UNUSED_ADDRESS: Final = "127.0.0.1:1"
STOPPED: Final = 0
SETTINGS_UNUSABLE: Final = 2

WAIT_TIMEOUT_SECONDS: Final = 60.0
POLL_SECONDS: Final = 0.01


@dataclass(slots=True, eq=False)
class HeldEntry:
    """An entry's process with a gate at each stage that is over at once otherwise."""

    process: Process
    folder: Path
    importing: Gate
    settings: Gate
    exiting: Gate | None

    def send_together(self, *numbers: signal.Signals) -> None:
        """Send signals that the process finds pending at the same time."""
        for number in (signal.SIGSTOP, *numbers, signal.SIGCONT):
            self._send(number)

    async def async_send(self, *numbers: signal.Signals) -> None:
        """Send signals, each after the one before was taken by the process."""
        for number in numbers:
            self._send(number)
            await self._async_poll(lambda: is_waiting(self.process))

    async def async_reach_settings(self) -> None:
        """Let the process import everything, and wait until it reads its settings."""
        await self.importing.async_wait_reached(self.process)
        self.importing.open()
        await self.settings.async_wait_reached(self.process)

    async def async_reach_exit(self) -> Gate:
        """Wait until the process is held in the interpreter's exit."""
        assert self.exiting is not None
        await self.exiting.async_wait_reached(self.process)
        return self.exiting

    async def async_start(self, boot: BootSettings) -> None:
        """Let the process read its settings, and wait until it serves."""
        self.settings.open(msgspec.json.encode(boot))
        await self.async_wait_logged("node_started")

    async def async_wait_logged(self, event: str, count: int = 1) -> None:
        """Wait until an event has been logged so many times."""
        await self._async_poll(lambda: self.count_logged(event) >= count)

    def count_logged(self, event: str) -> int:
        """Return how many times an event has been logged."""
        log = (self.folder / LOG_NAME).read_text(encoding="utf-8")
        return log.count(f"event={event} ")

    async def async_wait_exit(self) -> int:
        """Return the exit code, negative for a signal that ended the process."""
        with anyio.fail_after(WAIT_TIMEOUT_SECONDS):
            return await self.process.wait()

    async def _async_poll(self, is_done: Callable[[], bool]) -> None:
        with anyio.fail_after(WAIT_TIMEOUT_SECONDS):
            while not is_done():
                if self.process.returncode is not None:
                    return
                await anyio.sleep(POLL_SECONDS)

    def _send(self, number: signal.Signals) -> None:
        # The exit code tells more of a process that has ended too early.
        with suppress(ProcessLookupError):
            self.process.send_signal(number)


@asynccontextmanager
async def async_hold_entry(
    folder: Path, is_exit_gated: bool = False
) -> AsyncIterator[HeldEntry]:
    """Start an entry's process and hold it while it imports."""
    importing = Gate(folder, IMPORTING)
    settings = Gate(folder, SETTINGS)
    exiting = Gate(folder, EXITING) if is_exit_gated else None
    variables = gate_imports(folder)
    async with async_spawn_entry(folder, settings.path, variables) as process:
        entry = HeldEntry(process, folder, importing, settings, exiting)
        await importing.async_wait_reached(process)
        yield entry


Send = Callable[[HeldEntry], Awaitable[None]]


async def async_stop(entry: HeldEntry) -> None:
    await entry.async_send(TERM)


async def async_interrupt(entry: HeldEntry) -> None:
    await entry.async_send(signal.SIGINT)


async def async_reload_and_stop(entry: HeldEntry) -> None:
    await entry.async_send(HUP, HUP, TERM)


async def async_overlap(entry: HeldEntry) -> None:
    entry.send_together(TERM, HUP)


@pytest.mark.parametrize(
    ("stage", "async_send"),
    [
        pytest.param(IMPORTING, async_stop, id="importing-stop"),
        pytest.param(IMPORTING, async_interrupt, id="importing-interrupt"),
        pytest.param(IMPORTING, async_reload_and_stop, id="importing-series"),
        pytest.param(IMPORTING, async_overlap, id="importing-overlapping"),
        pytest.param(SETTINGS, async_reload_and_stop, id="settings-series"),
        pytest.param(SETTINGS, async_overlap, id="settings-overlapping"),
    ],
)
async def test_a_stop_while_starting_ends_an_entry_at_once_with_0(
    tmp_path: Path, stage: str, async_send: Send
) -> None:
    """Guard against signals that end an entry by themselves before it serves."""
    async with async_hold_entry(tmp_path) as entry:
        if stage == SETTINGS:
            await entry.async_reach_settings()
        await async_send(entry)
        assert await entry.async_wait_exit() == STOPPED
        assert entry.count_logged("stopped_while_starting") == 1


@pytest.mark.parametrize(
    "async_send", [async_reload_and_stop, async_overlap], ids=["series", "overlapping"]
)
async def test_signals_do_not_hide_that_settings_are_unusable(
    tmp_path: Path, async_send: Send
) -> None:
    """Guard against another exit code after a reload, or by a signal at the exit."""
    async with async_hold_entry(tmp_path, is_exit_gated=True) as entry:
        await entry.async_send(HUP)
        await entry.async_reach_settings()
        await entry.async_send(HUP)
        entry.settings.open(b"{}")
        exiting = await entry.async_reach_exit()
        await async_send(entry)
        exiting.open()
        assert await entry.async_wait_exit() == SETTINGS_UNUSABLE
        assert entry.count_logged("settings_unusable") == 1


@pytest.mark.parametrize(
    "async_send", [async_reload_and_stop, async_overlap], ids=["series", "overlapping"]
)
async def test_an_entry_without_its_store_drains_with_0(
    tmp_path: Path, async_send: Send
) -> None:
    """Guard against signals that end an entry that waits for its store or drains."""
    async with async_hold_entry(tmp_path) as entry:
        await entry.async_reach_settings()
        await entry.async_start(build_boot(UNUSED_ADDRESS, LIMITS, BOUNDS))
        await async_send(entry)
        await entry.async_wait_logged("node_stopping")
        await async_send(entry)
        assert await entry.async_wait_exit() == STOPPED
        assert entry.count_logged("node_stopping") == 1
        assert entry.count_logged("node_stopped") == 1


async def test_reloads_at_each_stage_leave_an_entry_as_it_is(tmp_path: Path) -> None:
    """Guard against a reload that ends an entry, or is lost, at any stage."""
    async with async_hold_entry(tmp_path, is_exit_gated=True) as entry:
        await entry.async_send(HUP, HUP)
        await entry.async_reach_settings()
        await entry.async_send(HUP)
        async with async_run_estate(EstatePlan(), "127.0.0.1") as estate:
            estate.publish_config({QUEUE: "pool-a"}, CALLERS_HOST)
            boot = build_boot(estate.address, LIMITS, BOUNDS)
            await entry.async_start(boot)
            await entry.async_wait_logged("settings_reloaded", 1)
            await EntryProcess(boot, entry.process, estate).async_wait_ready()
            await entry.async_send(HUP)
            await entry.async_wait_logged("settings_reloaded", 2)
            await async_overlap(entry)
            await entry.async_wait_logged("node_stopping")
            await entry.async_send(HUP, HUP)
            exiting = await entry.async_reach_exit()
        await entry.async_send(HUP, TERM)
        exiting.open()
        assert await entry.async_wait_exit() == STOPPED
        assert entry.count_logged("node_stopped") == 1
