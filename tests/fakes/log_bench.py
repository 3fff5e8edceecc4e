"""Run nodes with folded logs on a fake log service and a driven clock."""

from __future__ import annotations

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from random import Random
from typing import Any

import anyio
import anyio.lowlevel
from anyio.abc import TaskGroup

from mustardward.helpers.timer import DrivenTimerService
from mustardward.state.fleet import FleetState
from mustardward.state.log import FoldedLog
from mustardward.state.models.pools import PutPool
from mustardward.state.options import LogOptions
from mustardward.state.streams import FLEET_SPEC, work_spec
from mustardward.state.work import WorkState
from tests.fakes.log import FakeLog, LogClient
from tests.fakes.relay import DirectRelay


class LogBench:
    """Run folded logs that share one fake log service and one driven clock."""

    def __init__(self, group: TaskGroup) -> None:
        self.group = group
        self.service = FakeLog()
        self.timers = DrivenTimerService()
        self.logs: list[FoldedLog[FleetState]] = []
        self.relays: dict[FoldedLog[FleetState], DirectRelay] = {}

    def start(
        self,
        client: LogClient | None = None,
        peers: list[FoldedLog[FleetState]] | None = None,
    ) -> FoldedLog[FleetState]:
        """Start a node, which reads from ``peers`` while the log service is down."""
        log = FoldedLog(
            FLEET_SPEC,
            client or self.service,
            self.timers,
            LogOptions(),
            Random(len(self.logs)),
        )
        if peers is not None:
            self.relays[log] = DirectRelay(peers)
            log.set_relay(self.relays[log])
        self.logs.append(log)
        self.group.start_soon(log.async_run)
        return log

    def start_work(self, data_centre: str) -> FoldedLog[WorkState]:
        """Start a node that follows the work stream of a data centre."""
        log = FoldedLog(
            work_spec(data_centre), self.service, self.timers, random=Random(99)
        )
        self.group.start_soon(log.async_run)
        return log

    async def async_settle(self, seconds: float = 0.0, step: float = 0.05) -> None:
        """Run all ready tasks, and advance the clock by some seconds."""
        await _async_run_ready_tasks()
        elapsed = 0.0
        while elapsed < seconds:
            await self.timers.async_advance(step)
            await _async_run_ready_tasks()
            elapsed += step

    async def async_snapshot(self, log: FoldedLog[FleetState]) -> None:
        """Write a snapshot of a node's current state."""

        async def write() -> None:
            await log.store.async_write(log.image())

        await self.async_run(write)

    async def async_run(self, work: Callable[[], Awaitable[Any]]) -> None:
        """Run a function that waits for the driven clock, until it returns."""
        done = anyio.Event()

        async def run() -> None:
            await work()
            done.set()

        self.group.start_soon(run)
        await self.async_until(done.is_set, 60.0)

    async def async_fill(self, log: FoldedLog[FleetState], count: int) -> None:
        """Propose some pools, each in its own log entry."""
        for _ in range(count):
            body = PutPool(f"pool-{log.next_offset}")
            (await self.async_propose(log, body)).unwrap()
        await self.async_settle()

    async def async_propose(
        self, log: FoldedLog[FleetState], body: Any, seconds: float = 10.0, **more: Any
    ) -> Any:
        """Propose a record, and advance the clock until its outcome is known."""
        results: list[Any] = []

        async def propose() -> None:
            results.append(await log.async_propose(body, actor="operator", **more))

        self.group.start_soon(propose)
        await self.async_until(lambda: bool(results), seconds)
        return results[0]

    async def async_until(self, condition: Callable[[], bool], seconds: float) -> None:
        """Advance the clock until a condition holds."""
        for _ in range(int(seconds / 0.05) + 1):
            await _async_run_ready_tasks()
            if condition():
                return
            await self.timers.async_advance(0.05)
        raise AssertionError("condition was never met")


async def _async_run_ready_tasks() -> None:
    for _ in range(20):
        await anyio.lowlevel.checkpoint()


@asynccontextmanager
async def running_bench() -> AsyncIterator[LogBench]:
    """Yield a bench, and stop its nodes afterwards."""
    async with anyio.create_task_group() as group:
        yield LogBench(group)
        group.cancel_scope.cancel()
