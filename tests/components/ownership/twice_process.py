"""Run entry processes that can be frozen, suspended or killed, in virtual time."""

from __future__ import annotations

import asyncio
import contextvars
from collections.abc import Callable
from contextvars import Context, ContextVar
from typing import Any

import anyio

from ..scheduling.liveness_virtual_time import LoopTimers, VirtualTimeLoop

PROCESS: ContextVar[Process | None] = ContextVar("process", default=None)
"""The process that the running code belongs to; None for the simulated platform."""


class Process:
    """Hold back everything that one process would run while it is frozen.

    :param suspended_seconds: how long its machine was suspended. The steady clock does
        not count that time, unlike the clock that continues while suspended.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.frozen = False
        self.killed = False
        self.ended = False
        self.suspended_seconds = 0.0
        self.freeze_at_send: tuple[float, bool] | None = None
        self._parked: list[tuple[asyncio.Handle, _Gate, tuple[Any, ...]]] = []
        self._context = contextvars.copy_context()

    def park(self, handle: asyncio.Handle, gate: _Gate, args: tuple[Any, ...]) -> None:
        """Keep a callback until the process continues."""
        self._parked.append((handle, gate, args))

    def freeze(self, seconds: float, suspended: bool = False) -> None:
        """Freeze the process, or suspend its machine, for some seconds."""
        if self.frozen or self.ended:
            return
        self.frozen = True
        loop = asyncio.get_running_loop()
        lost_seconds = seconds if suspended else 0.0
        loop.call_later(seconds, self._thaw, lost_seconds, context=self._context)

    def kill(self) -> None:
        """Kill the process: it never runs again."""
        self.frozen = self.killed = True

    def end(self) -> None:
        """Continue the process for the last time, so that its tasks can end."""
        self.ended = True
        self.unfreeze()

    def unfreeze(self) -> None:
        """Continue the process; every held callback runs."""
        self.frozen = False
        parked, self._parked = self._parked, []
        loop = asyncio.get_running_loop()
        for handle, gate, args in parked:
            if not handle.cancelled():
                loop.call_soon(gate.callback, *args, context=gate.context)

    def _thaw(self, lost_seconds: float) -> None:
        if not self.killed:
            self.suspended_seconds += lost_seconds
            self.unfreeze()

    async def async_pass_send(self) -> None:
        """Freeze here if that was chosen: between a check and the call."""
        if self.freeze_at_send is not None and not self.frozen:
            seconds, suspended = self.freeze_at_send
            self.freeze_at_send = None
            self.freeze(seconds, suspended)
        await asyncio.sleep(0)


class _Gate:
    """Run a callback unless its process is frozen."""

    def __init__(
        self, process: Process, callback: Callable[..., Any], context: Context
    ) -> None:
        self.process = process
        self.callback = callback
        self.context = context
        self.handle: asyncio.Handle | None = None

    def __call__(self, *args: Any) -> None:
        if self.process.frozen and self.handle is not None:
            self.process.park(self.handle, self, args)
        else:
            self.callback(*args)


class ProcessLoop(VirtualTimeLoop):
    """Hold back the callbacks of frozen processes."""

    def call_soon(
        self, callback: Any, *args: Any, context: Context | None = None
    ) -> asyncio.Handle:
        context = contextvars.copy_context() if context is None else context
        process = context.get(PROCESS)
        if process is None:
            return super().call_soon(callback, *args, context=context)
        gate = _Gate(process, callback, context)
        gate.handle = super().call_soon(gate, *args, context=context)
        return gate.handle

    def call_at(
        self, when: float, callback: Any, *args: Any, context: Context | None = None
    ) -> asyncio.TimerHandle:
        context = contextvars.copy_context() if context is None else context
        process = context.get(PROCESS)
        if process is None:
            return super().call_at(when, callback, *args, context=context)
        gate = _Gate(process, callback, context)
        handle = super().call_at(when, gate, *args, context=context)
        gate.handle = handle
        return handle


class ProcessTimers(LoopTimers):
    """Provide the steady clock of one process, which stops while it is suspended."""

    def __init__(self, process: Process) -> None:
        self._process = process

    def monotonic(self) -> float:
        return super().monotonic() - self._process.suspended_seconds

    def boottime(self) -> float:
        return asyncio.get_running_loop().time()

    def wall(self) -> float:
        return asyncio.get_running_loop().time()

    async def async_sleep(self, seconds: float) -> None:
        await anyio.sleep(seconds)
