"""Give loopback connections time on a machine that does much besides."""

from __future__ import annotations

import pytest

from mustardward.helpers import peer_channels as channels


@pytest.fixture(autouse=True)
def _patient_connections(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(channels, "CONNECT_TIMEOUT_SECONDS", 20.0)
