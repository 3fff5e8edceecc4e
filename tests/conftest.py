"""Share fixtures among all tests."""

from __future__ import annotations

import pytest


@pytest.fixture
def anyio_backend() -> str:
    """Run asynchronous tests on the backend that the product uses."""
    return "asyncio"
