"""Run one history and check it."""

from __future__ import annotations

import tempfile
from dataclasses import dataclass
from pathlib import Path
from random import Random
from typing import Final

import anyio

from mustardward.helpers.timer import LoopTimerService

from .callers import Balancer, Callers
from .checks import check_history
from .collect import collect
from .faults import Faults
from .models import History, Violation
from .mutants import MUTANTS, Mutant
from .operators import Operators
from .planners import Planners
from .views import Viewers
from .world import World, async_run_world

CALLERS: Final = 16
_READY_SECONDS: Final = 20.0
_SETTLE_SECONDS: Final = 2.0


@dataclass(frozen=True, slots=True)
class RunOptions:
    """Say how long and from which seed to run, and what to patch."""

    seconds: float
    seed: int
    mutant: str = ""
    provoke: str = ""
    keep: Path | None = None
    least_faults: int = 0

    @property
    def patches(self) -> tuple[str, ...]:
        """Return the arguments for each entry's launcher."""
        if self.mutant:
            return ("--mutant", self.mutant)
        return ("--provoke", self.provoke) if self.provoke else ()

    @property
    def length(self) -> float:
        """Return the seconds to run; a situation may need longer to come up."""
        least = self.situation.least_seconds if self.situation else 0.0
        return max(self.seconds, least)

    @property
    def planners(self) -> int:
        """Return how many submit jobs at once."""
        return self.situation.planners if self.situation else 1

    @property
    def situation(self) -> Mutant | None:
        """Return the mutant whose situation is brought about."""
        return MUTANTS.get(self.mutant or self.provoke)


@dataclass(frozen=True, slots=True)
class RunResult:
    """Hold what a run found; ``started`` is false if no entry ever became ready."""

    history: History
    faults: int
    violations: list[Violation]
    started: bool


async def async_run_history(options: RunOptions) -> RunResult:
    """Run callers, operators and faults side by side, then check the record."""
    with tempfile.TemporaryDirectory(prefix="history-") as temporary:
        folder = options.keep or Path(temporary)
        folder.mkdir(parents=True, exist_ok=True)
        async with anyio.create_task_group() as tasks:
            timers = LoopTimerService(tasks)
            async with async_run_world(timers, folder, options.patches) as world:
                result = await _async_run(world, options)
            tasks.cancel_scope.cancel()
    return result


async def _async_run(world: World, options: RunOptions) -> RunResult:
    random = Random(options.seed)
    balancer = Balancer(world)
    callers = Callers(world, balancer, Random(random.random()))
    operators = Operators(world, balancer, Random(random.random()))
    faults = Faults(world, Random(random.random()))
    if options.situation is not None:
        options.situation.prepare(world)
        if options.mutant:
            # The bench folds the log, too, and has to come to the same answers.
            options.situation.remove()
        faults.names = options.situation.faults or faults.names
        faults.quiet_seconds = options.situation.quiet_seconds
    planners = Planners(world, balancer, Random(random.random()))
    viewers = Viewers(world)
    async with anyio.create_task_group() as background:
        background.start_soon(balancer.async_run)
        started = await _async_wait_ready(world, balancer)
        if started:
            background.start_soon(viewers.async_run)
            async with anyio.create_task_group() as group:
                for number in range(CALLERS):
                    group.start_soon(callers.async_run, number)
                group.start_soon(operators.async_publish)
                group.start_soon(operators.async_publish)
                group.start_soon(operators.async_schedule_waves)
                group.start_soon(operators.async_move_instances)
                for _ in range(options.planners):
                    group.start_soon(planners.async_run)
                group.start_soon(faults.async_run)
                await anyio.sleep(options.length)
                await faults.async_wait_struck(options.least_faults)
                for part in (faults, operators, planners, callers):
                    part.stopping = True
            await anyio.sleep(_SETTLE_SECONDS)
        background.cancel_scope.cancel()
    collect(world)
    violations = check_history(world.history)
    return RunResult(world.history, faults.struck, violations, started)


async def _async_wait_ready(world: World, balancer: Balancer) -> bool:
    with anyio.move_on_after(_READY_SECONDS):
        while len(balancer.ready) < len(world.entries):  # noqa: ASYNC110 - polls
            await anyio.sleep(0.05)
    return bool(balancer.ready)
