"""Run a short seeded history against real entry processes."""

from __future__ import annotations

import re
import subprocess
import sys
from pathlib import Path

import pytest

pytestmark = pytest.mark.processes

_ROOT = Path(__file__).parents[2]
_TOTALS = re.compile(r"operations=(\d+) faults=(\d+) unknown=\d+ violations=(\d+)")


def run_history(*arguments: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "bench.history", *arguments],
        cwd=_ROOT,
        capture_output=True,
        text=True,
        timeout=90,
    )


def test_a_short_history_has_no_violation() -> None:
    """Keep all eight invariants while processes, network and platform fail.

    Symptom: the run names an invariant and when it broke. Sequence: callers, two
    operators that race, and seeded faults for some seconds. Cause: whichever
    protection the named check is about.
    """
    completed = run_history("--seconds", "4", "--seed", "11", "--least-faults", "4")
    totals = _TOTALS.search(completed.stdout.splitlines()[-1])
    assert totals is not None, completed.stdout + completed.stderr
    assert completed.returncode == 0, completed.stdout
    operations, faults, violations = (int(number) for number in totals.groups())
    assert operations > 100 and faults >= 4 and violations == 0


def test_mutants_are_listed_one_a_line() -> None:
    completed = run_history("--list-mutants")
    assert completed.returncode == 0
    assert all(re.fullmatch(r"[a-z-]+", line) for line in completed.stdout.split())
