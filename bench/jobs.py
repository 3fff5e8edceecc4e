"""Measure long work and idempotency keys under faults: ``python -m bench.jobs``.

Driven time and seeded faults, so that each run gives the same counts. Exits non-zero if
a job was lost, a job that may not run twice was doubled, or a task was started for an
attempt that the log had ended.
"""

from __future__ import annotations

import logging
import sys
import time

import anyio
import click
from absl import logging as absl_logging

from .jobs_cost import (
    async_tick_microseconds,
    bytes_each,
    done_job,
    intent,
    placement_microseconds,
    waiting_job,
)
from .jobs_intents import async_measure_window, measure_fold
from .jobs_mutants import MUTANTS
from .jobs_world import FaultyRun, RunFigures

RUNS = 100
FULL_RUNS = 1000
WINDOWS = (0.02, 0.1, 0.5)
HOMES = 4
RATE = 100
SECONDS = 4
FOLDED = 20_000
HELD_TASKS = 576
POOLS = (48, 857, 12_000)


async def async_runs(runs: int, first: int, faults_on: bool) -> RunFigures:
    """Return the sum of the figures of some seeds."""
    total = RunFigures()
    for seed in range(first, first + runs):
        figures = await FaultyRun(seed, faults_on).async_run()
        if figures.lost or figures.doubled or figures.stray:
            print(f"seed={seed} {_pairs(figures)}")
        total.add(figures)
    return total


def _pairs(figures: RunFigures) -> str:
    names = figures.__slots__
    return " ".join(f"{name}={getattr(figures, name)}" for name in names)


async def async_windows() -> None:
    """Print what each commit window costs and how long it makes a request wait."""
    for window in WINDOWS:
        found = await async_measure_window(window, HOMES, RATE, SECONDS)
        print(
            f"window_seconds={window} homes={HOMES} intents_per_second={RATE}"
            f" opened={found.opened} appends_per_second={found.appends / SECONDS:.1f}"
            f" records_per_append={2 * found.opened / found.appends:.1f}"
            f" open_p50_seconds={found.open_p50:.3f}"
            f" open_p99_seconds={found.open_p99:.3f}"
        )


def print_costs() -> None:
    """Print processor time and memory of the parts that grow with the fleet."""
    for workers in POOLS:
        cost = placement_microseconds(workers)
        print(f"workers={workers} placement_microseconds={cost:.1f}")
    tick = anyio.run(async_tick_microseconds, HELD_TASKS)
    print(f"held_tasks={HELD_TASKS} tick_microseconds={tick:.0f}")
    print(
        f"bytes_per_key={bytes_each(intent):.0f}"
        f" bytes_per_waiting_job={bytes_each(waiting_job):.0f}"
        f" bytes_per_done_job={bytes_each(done_job):.0f}"
    )


@click.command()
@click.option("--full", is_flag=True, help="Run ten times as many seeds.")
@click.option("--seed", default=0, help="First seed.")
@click.option("--runs", default=0, help="Number of seeds.")
@click.option("--mutant", type=click.Choice(sorted(MUTANTS)), help="Break a rule.")
def main(full: bool, seed: int, runs: int, mutant: str | None) -> None:
    """Run the measurement."""
    absl_logging.set_verbosity(absl_logging.ERROR)
    logging.disable(logging.INFO)
    runs = runs or (FULL_RUNS if full else RUNS)
    if mutant:
        MUTANTS[mutant]()
    began = time.monotonic()
    clean = anyio.run(async_runs, 3, seed, False)
    faulty = anyio.run(async_runs, runs, seed, True)
    if not mutant:
        anyio.run(async_windows)
        print_costs()
    fold_microseconds = measure_fold(FOLDED) * 1e6
    print(
        f"{_pairs(faulty)} runs={runs}"
        f" clean_jobs={clean.jobs} clean_done={clean.done}"
        f" records_per_job={clean.appends / clean.jobs:.2f}"
        f" fold_microseconds_per_key={fold_microseconds:.1f}"
        f" wall_seconds={time.monotonic() - began:.1f}"
    )
    sys.exit(1 if faulty.lost or faulty.doubled or faulty.stray else 0)


if __name__ == "__main__":
    main()
