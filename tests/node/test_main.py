"""Test that a node's exit shows whether it was requested."""

from __future__ import annotations

import os
import signal
from collections.abc import Iterator
from typing import Any

import anyio
import pytest
from anyio.abc import TaskGroup

import mustardward.node.main as program
from mustardward.helpers.bounded_output import BoundedOutput
from mustardward.node.signals import RELOAD_SIGNAL, STOP_SIGNALS, ProcessSignals
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


@pytest.fixture
def signals() -> Iterator[ProcessSignals]:
    """Install the handlers of an entry, and take them back after the test."""
    numbers = (*STOP_SIGNALS, RELOAD_SIGNAL)
    previous = [(number, signal.getsignal(number)) for number in numbers]
    installed = ProcessSignals()
    installed.install()
    yield installed
    for number, handler in previous:
        signal.signal(number, handler)


def patch_node(
    monkeypatch: pytest.MonkeyPatch, number: signal.Signals | None = None
) -> list[str]:
    """Replace Node by a fake that gets a signal or is cancelled; return its calls."""
    calls: list[str] = []

    class _Node:
        def __init__(self, boot: Any, tasks: TaskGroup) -> None:
            self.tasks = tasks

        async def async_start(self) -> None:
            if number is None:
                self.tasks.cancel_scope.cancel()
                await anyio.sleep_forever()
            os.kill(os.getpid(), number)

        async def async_shut_down(self) -> None:
            calls.append("left")

    monkeypatch.setattr(program, "Node", _Node)
    return calls


async def test_unexpected_exit_is_an_error(
    monkeypatch: pytest.MonkeyPatch, signals: ProcessSignals
) -> None:
    """Guard against a node that exits with status 0 and no log line on its own."""
    calls = patch_node(monkeypatch)
    with pytest.raises(program.UnexpectedExitError):
        await program.async_main(BOOT, build_output(), signals)
    assert calls == []


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
async def test_node_shuts_down_on_a_stop_signal(
    monkeypatch: pytest.MonkeyPatch, signals: ProcessSignals, number: signal.Signals
) -> None:
    calls = patch_node(monkeypatch, number)
    await program.async_main(BOOT, build_output(), signals)
    assert calls == ["left"]
