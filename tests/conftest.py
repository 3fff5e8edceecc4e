"""Provide fixtures for all tests, and mark the known failures as expected."""

from __future__ import annotations

from pathlib import Path

import pytest

KNOWN_RED = Path(__file__).parents[1] / "KNOWN-RED.txt"


@pytest.fixture
def anyio_backend() -> str:
    """Run asynchronous tests on asyncio, which the product uses."""
    return "asyncio"


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Expect the tests that KNOWN-RED.txt names, and no others, to fail."""
    known = read_known_red(KNOWN_RED.read_text(encoding="utf-8"))
    for item in items:
        if item.nodeid in known:
            item.add_marker(pytest.mark.xfail(reason=known[item.nodeid], strict=False))


def read_known_red(text: str) -> dict[str, str]:
    """Return the entries by the test id in their first column."""
    lines = [line for line in text.splitlines() if line.strip()]
    return {line.partition("|")[0].strip(): line for line in lines}
