"""Extend the connect timeout, so that tests pass on a busy machine."""

from __future__ import annotations

import pytest

from mustardward.helpers import peer_channels as channels


@pytest.fixture(autouse=True)
def _long_connect_timeout(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(channels, "CONNECT_TIMEOUT_SECONDS", 20.0)
