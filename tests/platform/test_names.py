"""Test that only the platform folder contains the platform's names."""

from __future__ import annotations

import re
from pathlib import Path

PACKAGE = Path(__file__).parents[2] / "mustardward"
NAMES = re.compile(
    r"Mustardward-[A-Z]|/mustardward/|run-start|run-stop|machine-upkeep|machine-move"
    r"|log-append|log-read|log-newest|seen-upto|last-checkpoint|MUSTARDWARD_BOOT"
    r"|keyed\.(op|servers|status)"
)


def test_platform_names_occur_only_in_the_platform_folder() -> None:
    found = [
        f"{path.relative_to(PACKAGE)}: {line.strip()}"
        for path in sorted(PACKAGE.rglob("*.py"))
        if "platform" != path.parent.name
        for line in path.read_text().splitlines()
        if NAMES.search(line)
    ]
    assert found == []


def test_platform_folder_imports_no_component() -> None:
    found = [
        str(path.name)
        for path in sorted((PACKAGE / "platform").glob("*.py"))
        if re.search(r"^(from|import) .*components", path.read_text(), re.MULTILINE)
    ]
    assert found == []
