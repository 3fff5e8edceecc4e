"""Test that the platform's names stay in their folder."""

from __future__ import annotations

import re
from pathlib import Path

PACKAGE = Path(__file__).parents[2] / "mustardward"
NAMES = re.compile(
    r"Mustardward-[A-Z]|/mustardward/|run-start|run-stop|machine-upkeep|machine-move"
    r"|log-append|log-read|log-newest|seen-upto|last-checkpoint|MUSTARDWARD_BOOT"
    r"|keyed\.(op|servers|status)"
)


def test_nothing_outside_the_folder_knows_the_platforms_names() -> None:
    found = [
        f"{path.relative_to(PACKAGE)}: {line.strip()}"
        for path in sorted(PACKAGE.rglob("*.py"))
        if "platform" != path.parent.name
        for line in path.read_text().splitlines()
        if NAMES.search(line)
    ]
    assert found == []


def test_the_folder_knows_no_component() -> None:
    found = [
        str(path.name)
        for path in sorted((PACKAGE / "platform").glob("*.py"))
        if re.search(r"^(from|import) .*components", path.read_text(), re.MULTILINE)
    ]
    assert found == []
