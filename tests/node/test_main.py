"""Test that a node's exit shows whether it was requested."""

from __future__ import annotations

import os
import signal
from typing import Any

import anyio
import pytest
from anyio.abc import TaskGroup

import mustardward.node.main as program
from mustardward.helpers.bounded_output import BoundedOutput
from mustardward.platform.boot import BootListen, BootSettings, BootStore

pytestmark = pytest.mark.anyio

BOOT = BootSettings(
    node="n",
    ip="127.0.0.1",
    zone="z",
    listen=BootListen(),
    platform=BootStore(address="127.0.0.1:1"),
)


def build_output() -> BoundedOutput:
    return BoundedOutput(len, lambda: 0.0)


def patch_node(monkeypatch: pytest.MonkeyPatch, is_cancelled: bool) -> list[str]:
    """Replace Node by a fake that is cancelled or gets SIGTERM; return its calls."""
    calls: list[str] = []

    class _Node:
        def __init__(self, boot: Any, tasks: TaskGroup) -> None:
            self.tasks = tasks

        async def async_start(self) -> None:
            if is_cancelled:
                self.tasks.cancel_scope.cancel()
                await anyio.sleep_forever()
            os.kill(os.getpid(), signal.SIGTERM)

        async def async_shut_down(self) -> None:
            calls.append("left")

    monkeypatch.setattr(program, "Node", _Node)
    return calls


async def test_unexpected_exit_is_an_error(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guard against a node that exits with status 0 and no log line on its own."""
    calls = patch_node(monkeypatch, is_cancelled=True)
    with pytest.raises(program.UnexpectedExitError):
        await program.async_main(BOOT, build_output())
    assert calls == []


async def test_node_shuts_down_on_sigterm(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    calls = patch_node(monkeypatch, is_cancelled=False)
    await program.async_main(BOOT, build_output())
    assert calls == ["left"]
