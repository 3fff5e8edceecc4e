"""Run the stand-ins in this process and the entries as processes of their own."""

from __future__ import annotations

import signal
import subprocess
import sys
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path

from mustardward.helpers.timer import LoopTimerService
from mustardward.standin.platform import (
    PlatformOptions,
    StandInPlatform,
    async_run_platform,
)
from mustardward.standin.worker import StandInWorker, WorkerOptions
from mustardward.standin.worker_app import async_run_worker

from .layout import (
    EntryPlace,
    describe_fleet,
    entry_places,
    first_records,
    worker_places,
    write_settings,
)
from .models import History, PowerChange, PowerEvent, Stop
from .watch import LogWatcher

_CHANGES = {
    "drain": PowerChange.DRAINING,
    "reboot": PowerChange.REBOOTING,
    "return": PowerChange.RETURNED,
    "up": PowerChange.UP,
}


@dataclass(slots=True, eq=False)
class EntryProcess:
    """Hold one entry and the process that runs it now, if any."""

    place: EntryPlace
    settings: Path
    cut_file: Path
    log_file: Path
    patches: tuple[str, ...] = ()
    process: subprocess.Popen[bytes] | None = None
    incarnation: int = 0
    paused: bool = False
    leaving: bool = False

    @property
    def label(self) -> str:
        """Name the process, other than the one that ran here before."""
        return f"{self.place.name}#{self.incarnation}"

    def start(self) -> None:
        """Start a new process."""
        self.incarnation += 1
        self.paused = self.leaving = False
        command = [sys.executable, "-m", "bench.history.launch"]
        command += ["--cut-file", str(self.cut_file)]
        command += self.patches
        with self.log_file.open("ab") as output:
            self.process = subprocess.Popen(
                [*command, "serve", str(self.settings)],
                stdout=output,
                stderr=output,
                cwd=Path(__file__).parents[2],
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it still runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def cut(self, prefixes: list[str]) -> None:
        """Cut the process off from some addresses."""
        self.cut_file.write_text("\n".join(prefixes), encoding="ascii")

    def end(self) -> None:
        """Kill the process, whatever its state."""
        if self.process is not None:
            self.send(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


@dataclass(slots=True, eq=False)
class World:
    """Hold everything of one run."""

    timers: LoopTimerService
    history: History
    platform: StandInPlatform
    watcher: LogWatcher
    workers: dict[str, StandInWorker]
    entries: list[EntryProcess] = field(default_factory=list)

    def now(self) -> float:
        """Return monotonic seconds, the same clock as everyone's on this machine."""
        return self.timers.monotonic()

    def note_power(self, instance: str, change: PowerChange) -> None:
        """Record a change of a worker instance."""
        self.history.power.append(PowerEvent(self.now(), instance, change))

    def note_stop(self, entry: EntryProcess, planned: bool) -> None:
        """Record that a process is told to end."""
        self.history.stops.append(Stop(entry.label, self.now(), planned))


@asynccontextmanager
async def async_run_world(
    timers: LoopTimerService, folder: Path, patches: tuple[str, ...] = ()
) -> AsyncIterator[World]:
    """Run platform, workers and entries inside the block."""
    history = History()
    describe_fleet(history)
    options = PlatformOptions(listing_lag_seconds=1.0, reboot_seconds=1.0)
    async with AsyncExitStack() as stack:
        running = await stack.enter_async_context(async_run_platform(timers, options))
        watcher = LogWatcher(running.platform.log, history, timers.monotonic)
        world = World(timers, history, running.platform, watcher, {})
        addresses = await _async_start_workers(world, stack, running.url)
        for number, body in enumerate(first_records(addresses)):
            watcher.propose(body, f"set-up-{number}", 0)
        world.entries = [
            EntryProcess(
                place,
                write_settings(folder, place, running.url),
                folder / f"{place.name}.cut",
                folder / f"{place.name}.log",
                patches,
            )
            for place in entry_places()
        ]
        try:
            for entry in world.entries:
                entry.start()
            yield world
        finally:
            for entry in world.entries:
                entry.end()


async def _async_start_workers(
    world: World, stack: AsyncExitStack, platform_url: str
) -> dict[str, str]:
    addresses: dict[str, str] = {}
    for place in worker_places():
        options = WorkerOptions(place.name, place.data_centre, place.rack)
        running = await stack.enter_async_context(
            async_run_worker(world.timers, options, platform_url)
        )
        addresses[place.name] = running.address
        world.workers[place.name] = running.worker
        _record_power(world, running.worker)
    return addresses


def _record_power(world: World, worker: StandInWorker) -> None:
    original = worker.change_power

    def change_power(action: str, boot: int) -> None:
        if action in _CHANGES:
            world.note_power(worker.options.instance_id, _CHANGES[action])
        original(action, boot)

    setattr(worker, "change_power", change_power)  # noqa: B010
