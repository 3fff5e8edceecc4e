"""Test that a deployment installs every library that an entry node imports."""

from __future__ import annotations

import subprocess
import sys
from importlib.metadata import packages_distributions
from pathlib import Path

ROOT = Path(__file__).parents[2]

LIST_MODULES = """
import sys
import mustardward.node.main
print(*{name.partition(".")[0] for name in sys.modules})
"""


def _normalised(name: str) -> str:
    return name.lower().replace("_", "-")


def test_every_imported_library_is_installed_with_an_entry_node() -> None:
    """Guard against entry nodes that exit at their start for want of a library."""
    lines = (ROOT / "deploy" / "requirements.txt").read_text().splitlines()
    installed = {_normalised(line.partition("==")[0]) for line in lines}
    listed = subprocess.run(
        [sys.executable, "-c", LIST_MODULES],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=True,
    )
    by_module = packages_distributions()
    imported = {
        _normalised(distribution)
        for module in listed.stdout.split()
        for distribution in by_module.get(module, [])
        if module != "mustardward"
    }
    assert imported <= installed | {"setuptools", "pip", "mustardward"}
