"""Run a seeded history: ``python -m bench.history --seconds N --seed S``."""

from __future__ import annotations

import argparse
import sys
from collections import Counter
from functools import partial
from pathlib import Path

import anyio
from absl import logging as absl_logging

from .models import Outcome
from .mutants import MUTANTS
from .run import RunOptions, RunResult, async_run_history


def main() -> int:
    """Run, print what was found, and tell by the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--mutant", choices=sorted(MUTANTS), default="")
    parser.add_argument(
        "--provoke",
        choices=sorted(MUTANTS),
        default="",
        help="bring about a mutant's situation with its protection in place",
    )
    parser.add_argument(
        "--least-faults",
        type=int,
        default=0,
        help="go on beyond the seconds until so many faults have struck",
    )
    parser.add_argument("--list-mutants", action="store_true")
    parser.add_argument("--keep", type=Path, help="folder for the entries' logs")
    arguments = parser.parse_args()
    if arguments.list_mutants:
        print("\n".join(MUTANTS))
        return 0
    absl_logging.set_verbosity(absl_logging.ERROR)
    options = RunOptions(
        arguments.seconds,
        arguments.seed,
        arguments.mutant,
        arguments.provoke,
        arguments.keep,
        arguments.least_faults,
    )
    result = anyio.run(partial(async_run_history, options), backend="asyncio")
    return report(result)


def report(result: RunResult) -> int:
    """Print violations, then figures by kind, then the totals; return the exit code."""
    for violation in result.violations[:20]:
        print(
            f"violation invariant={violation.invariant} subject={violation.subject} "
            f"at={violation.at:.3f} {violation.detail}"
        )
    history = result.history
    outcomes = Counter(str(item.outcome) for item in history.requests)
    outcomes["refused-ran-no"] = sum(item.ran == "no" for item in history.requests)
    print(" ".join(f"{name}={count}" for name, count in sorted(outcomes.items())))
    causes = Counter(
        f"{item.detail.rsplit('/', 1)[-1]}:{item.ran or item.status}"
        for item in history.requests
        if item.outcome is not Outcome.ANSWERED
    )
    print(" ".join(f"{name}={count}" for name, count in causes.most_common(12)))
    print(
        f"executions={len(history.executions)} published={len(history.published)} "
        f"views={len(history.revisions_seen)} power={len(history.power)} "
        f"transfers={len(history.owned) - len(history.placements)} "
        f"calls={len(history.calls)} tasks={len(history.tasks)} "
        f"stops={len(history.stops)}"
    )
    changes = Counter(str(item.change) for item in history.power)
    print(" ".join(f"{name}={count}" for name, count in sorted(changes.items())))
    statuses = Counter(
        f"{item.operation_id.strip('/').split('-')[0]}-{item.status}"
        for item in history.calls
    )
    outcomes = Counter(f"task-{item.outcome}" for item in history.tasks)
    counted = [*sorted(statuses.items()), *sorted(outcomes.items())]
    print(" ".join(f"{name}={count}" for name, count in counted))
    if not result.started:
        print("no entry became ready")
    print(
        f"operations={history.operations} faults={result.faults} "
        f"unknown={history.unknown} violations={len(result.violations)}"
    )
    return 0 if result.started and not result.violations else 1


if __name__ == "__main__":
    sys.exit(main())
