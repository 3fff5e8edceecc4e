"""Test that an entry's end says whether anybody asked for it."""

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


def an_output() -> BoundedOutput:
    return BoundedOutput(len, lambda: 0.0)


def a_node(monkeypatch: pytest.MonkeyPatch, ends_itself: bool) -> list[str]:
    """Let an entry be one whose part is cancelled, or one that is told to stop."""
    told: list[str] = []

    class _Node:
        def __init__(self, boot: Any, tasks: TaskGroup) -> None:
            self.tasks = tasks

        async def async_start(self) -> None:
            if ends_itself:
                self.tasks.cancel_scope.cancel()
                await anyio.sleep_forever()
            os.kill(os.getpid(), signal.SIGTERM)

        async def async_shut_down(self) -> None:
            told.append("left")

    monkeypatch.setattr(program, "Node", _Node)
    return told


async def test_an_entry_that_ends_unasked_says_so(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Symptom: an entry is gone, with code 0 and no line; nobody stopped it."""
    told = a_node(monkeypatch, ends_itself=True)
    with pytest.raises(program.UnexpectedExitError):
        await program.async_main(BOOT, an_output())
    assert told == []


async def test_an_entry_that_is_told_to_stop_leaves(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    told = a_node(monkeypatch, ends_itself=False)
    await program.async_main(BOOT, an_output())
    assert told == ["left"]
