"""Strike processes, the network, the platform and workers with seeded faults."""

from __future__ import annotations

import signal
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from functools import partial
from random import Random
from typing import Any, Final

import anyio

from mustardward.helpers.registry import Registry
from mustardward.standin.worker import StandInWorker, WorkerPower

from .layout import DATA_CENTRES, network_of
from .models import Isolation, PowerChange
from .world import EntryProcess, World

Strike = Callable[[World, Random], Coroutine[Any, Any, None]]
FAULTS: Registry[str, Strike] = Registry("faults")

_GRACE_SECONDS: Final = 12.0
_AWAIT_DRAIN_SECONDS: Final = 5.0
_RESTART_SECONDS: Final = 0.3
_CATCH_UP_SECONDS: Final = 1.0


_WAIT_SECONDS = 0.1
_MOST_WAITS = 300


@dataclass(slots=True, eq=False)
class Faults:
    """Strike one fault after the other, now and then two at once."""

    world: World
    random: Random
    stopping: bool = False
    struck: int = 0
    quiet_seconds: float = 0.0
    names: tuple[str, ...] = field(default_factory=lambda: tuple(sorted(FAULTS)))

    async def async_run(self) -> None:
        """Strike until told to stop; then wait for the faults to end."""
        async with anyio.create_task_group() as group:
            while not self.stopping:
                await anyio.sleep(self.random.uniform(0.3, 1.2))
                name = self.random.choice(self.names)
                self.struck += 1
                group.start_soon(FAULTS[name], self.world, self._draw())
                await anyio.sleep(self.quiet_seconds)

    async def async_wait_struck(self, count: int) -> None:
        """Wait, for at most a while, until so many faults have struck.

        On a busy machine fewer strike within a run's seconds; a test that counts them
        would then say how busy the machine was.
        """
        for _ in range(_MOST_WAITS):
            if self.struck >= count:
                return
            await anyio.sleep(_WAIT_SECONDS)

    def _draw(self) -> Random:
        return Random(self.random.random())


def _choose_entry(world: World, random: Random) -> EntryProcess | None:
    free = [entry for entry in world.entries if not (entry.paused or entry.leaving)]
    # One data centre keeps an entry, or there would be nothing to check.
    return random.choice(free) if len(free) > 1 else None


@FAULTS.register("pause")
async def async_pause(world: World, random: Random) -> None:
    """Stop a process for longer than its leases and timeouts, then let it go on."""
    entry = _choose_entry(world, random)
    if entry is None:
        return
    start = world.now()
    entry.paused = True
    entry.send(signal.SIGSTOP)
    await anyio.sleep(random.uniform(1.5, 4.0))
    entry.send(signal.SIGCONT)
    entry.paused = False
    _isolate(world, entry, start)


@FAULTS.register("kill")
async def async_kill(world: World, random: Random) -> None:
    """Kill a process and start another in its place."""
    entry = _choose_entry(world, random)
    if entry is None:
        return
    entry.leaving = True
    world.note_stop(entry, planned=False)
    entry.end()
    await anyio.sleep(random.uniform(_RESTART_SECONDS, 1.5))
    entry.start()


@FAULTS.register("graceful-restart")
async def async_restart(world: World, random: Random) -> None:
    """Ask a process to leave, wait until it has, and start another."""
    entry = _choose_entry(world, random)
    if entry is None or entry.process is None:
        return
    entry.leaving = True
    world.note_stop(entry, planned=True)
    entry.send(signal.SIGTERM)
    with anyio.move_on_after(_GRACE_SECONDS) as grace:
        await anyio.to_thread.run_sync(entry.process.wait, abandon_on_cancel=True)
    if grace.cancelled_caught:
        world.note_stop(entry, planned=False)
    entry.end()
    entry.start()


@FAULTS.register("log-outage")
async def async_log_outage(world: World, random: Random) -> None:
    """Let the log answer nobody."""
    start = world.now()
    world.platform.log.faults.change(outage=True)
    await anyio.sleep(random.uniform(0.5, 4.0))
    world.platform.log.faults.change(outage=False)
    for entry in world.entries:
        _isolate(world, entry, start)


@FAULTS.register("lost-answers")
async def async_lost_answers(world: World, random: Random) -> None:
    """Let calls to the platform take effect without an answer."""
    count = random.randint(1, 6)
    world.platform.log.faults.change(lose_answers=count)
    world.platform.power.faults.change(lose_answers=random.randint(0, 2))
    await anyio.sleep(1.0)


@FAULTS.register("late-appends")
async def async_late_appends(world: World, random: Random) -> None:
    """Let appends take effect long after their caller gave up."""
    world.platform.log.faults.change(
        late_appends=random.randint(1, 4), late_seconds=random.uniform(0.2, 3.0)
    )
    await anyio.sleep(1.0)


@FAULTS.register("slow-platform")
async def async_slow_platform(world: World, random: Random) -> None:
    """Let the platform answer late."""
    seconds = random.uniform(0.1, 0.6)
    world.platform.log.faults.change(slow_seconds=seconds)
    world.platform.power.faults.change(slow_seconds=seconds)
    await anyio.sleep(random.uniform(0.5, 2.0))
    world.platform.log.faults.change(slow_seconds=0.0)
    world.platform.power.faults.change(slow_seconds=0.0)


@FAULTS.register("cut-from-platform")
async def async_cut_from_platform(world: World, random: Random) -> None:
    """Cut a data centre off from the platform but not from its peers."""
    await _async_cut(world, random, platform=True, peers=False)


@FAULTS.register("partition")
async def async_partition(world: World, random: Random) -> None:
    """Cut the data centres off from each other."""
    await _async_cut(world, random, platform=False, peers=True)


@FAULTS.register("region-apart")
async def async_region_apart(world: World, random: Random) -> None:
    """Cut a data centre off from everything outside it."""
    await _async_cut(world, random, platform=True, peers=True)


async def _async_cut(world: World, random: Random, platform: bool, peers: bool) -> None:
    data_centre = random.choice(DATA_CENTRES)
    inside = [item for item in world.entries if item.place.data_centre == data_centre]
    start = world.now()
    services = (world.platform.log, world.platform.listing, world.platform.power)
    if platform:
        for service in services:
            service.faults.change(cut_off=(data_centre,))
    if peers:
        _cut_peers(world, True)
    await anyio.sleep(random.uniform(1.0, 6.0))
    if platform:
        for service in services:
            service.faults.change(cut_off=())
    if peers:
        _cut_peers(world, False)
    # A cut that overlaps another one may leave a data centre with neither platform
    # nor peers, so each counts as isolation of the entries it touches.
    for entry in inside:
        _isolate(world, entry, start)


def _cut_peers(world: World, cut: bool) -> None:
    for entry in world.entries:
        others = [
            network_of(name)
            for name in DATA_CENTRES
            if cut and name != entry.place.data_centre
        ]
        entry.cut(others)


@FAULTS.register("worker-down")
async def async_worker_down(world: World, random: Random) -> None:
    """Let a worker's connections break and its address answer nothing."""
    await _async_down([random.choice(list(world.workers.values()))], world, random)


@FAULTS.register("rack-down")
async def async_rack_down(world: World, random: Random) -> None:
    """Take a whole rack away at once."""
    chosen = random.choice(list(world.workers.values())).options
    rack = [
        worker
        for worker in world.workers.values()
        if (worker.options.data_centre, worker.options.rack)
        == (chosen.data_centre, chosen.rack)
    ]
    await _async_down(rack, world, random)


async def _async_down(
    workers: list[StandInWorker],
    world: World,
    random: Random,
    shortest: float = 1.0,
    longest: float = 5.0,
) -> None:
    struck = [worker for worker in workers if not worker.faults.active.down]
    for worker in struck:
        world.note_power(worker.options.instance_id, PowerChange.FAILED)
        worker.faults.change(down=True)
        worker.connections.abort_all()
    await anyio.sleep(random.uniform(shortest, longest))
    for worker in struck:
        worker.faults.change(down=False)
        world.note_power(worker.options.instance_id, PowerChange.RECOVERED)


@FAULTS.register("racks-beside-a-drain-down")
async def async_racks_beside_a_drain_down(world: World, random: Random) -> None:
    """Take two racks away while an instance beside them drains for maintenance."""
    drained = await _async_await_drain(world)
    if drained is None:
        return
    beside = [
        worker
        for worker in world.workers.values()
        if worker.options.data_centre == drained.options.data_centre
        and worker.options.rack != drained.options.rack
    ]
    racks = random.sample(sorted({worker.options.rack for worker in beside}), 2)
    struck = [worker for worker in beside if worker.options.rack in racks]
    await _async_down(struck, world, random, shortest=9.0, longest=12.0)


async def _async_await_drain(world: World) -> StandInWorker | None:
    with anyio.move_on_after(_AWAIT_DRAIN_SECONDS):
        while True:
            for worker in world.workers.values():
                if (
                    worker.power is WorkerPower.DRAINING
                    and not worker.faults.active.down
                ):
                    return worker
            await anyio.sleep(0.1)
    return None


async def _async_misbehave(name: str, world: World, random: Random) -> None:
    worker = random.choice(list(world.workers.values()))
    worker.faults.change(**{name: True})
    await anyio.sleep(random.uniform(0.5, 4.0))
    worker.faults.change(**{name: False})


_MISBEHAVIOURS: Final = (
    "busy",
    "close_without_answer",
    "fail_all",
    "freeze",
    "ignore_drain",
    "stray_bytes",
    "truncate",
)
for _name in _MISBEHAVIOURS:
    FAULTS.register(f"worker-{_name}")(partial(_async_misbehave, _name))


@FAULTS.register("list-lags")
async def async_list_lags(world: World, random: Random) -> None:
    """Let the platform's list fall far behind."""
    world.platform.listing.faults.change(lag_seconds=20.0)
    await anyio.sleep(random.uniform(2.0, 5.0))
    world.platform.listing.faults.change(lag_seconds=None)


def _isolate(world: World, entry: EntryProcess, start: float) -> None:
    # An entry needs a moment to hear again after its isolation ends.
    end = world.now() + _CATCH_UP_SECONDS
    world.history.isolations.append(Isolation(entry.place.name, start, end))
