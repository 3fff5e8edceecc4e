"""Run real entries, which own the shard in turn, against the world of a walk."""

from __future__ import annotations

import asyncio
import contextvars
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any, TypeVar

import anyio
import msgspec

from mustardward.components.configuration.services import Configuration
from mustardward.components.forwarding.models import PeerReply, PeerRequest
from mustardward.components.ledger.const import TOPIC
from mustardward.components.ledger.follower import TopicFollower
from mustardward.components.ledger.ledger import Ledger
from mustardward.components.ledger.store_latency import StoreLatency
from mustardward.components.ownership.models import OwnerDependencies
from mustardward.components.ownership.services import Ownership
from mustardward.helpers.http_connection import HttpResponse
from mustardward.platform import names
from mustardward.platform.bodies import (
    ClockBody,
    HoldBody,
    ListedBody,
    MaintainBody,
    MoveBody,
    PaceBody,
    RefusedBody,
    StartBody,
    StopBody,
)
from mustardward.platform.boot import BootBounds, BootFleet
from mustardward.platform.exceptions import CallRefusedError, CallUnknownError
from mustardward.platform.fleet import FleetClient
from mustardward.platform.store import (
    TOPIC_OPERATOR,
    NewestPage,
    Page,
    Producer,
)

from .twice_process import PROCESS, Process, ProcessTimers
from .twice_world import FLEET, PLATFORM, World

T = TypeVar("T")

FLEET_ADDRESS = "10.9.9.9:80"
LIST_PAGE_ROWS = 3
READ_SLACK_SECONDS = 0.7
LATE_APPEND = "late"


class EntryStore:
    """Call the store for one process, with the faults of its calls."""

    def __init__(self, world: World, process: Process) -> None:
        self._world = world
        self._process = process
        self.latency = StoreLatency()

    async def async_append(
        self,
        topic: str,
        records: list[tuple[str, bytes]],
        producer: Producer | None = None,
        timeout_seconds: float = 1.0,
    ) -> int:
        store = self._world.store
        copied = list(records)

        async def async_execute() -> int:
            await self._world.async_execute_append()
            return await store.async_append(topic, copied, producer)

        sent_at = self._world.now
        end = await self._async_call(async_execute, timeout_seconds)
        self.latency.record_append(sent_at, self._world.now)
        return end

    async def async_read(
        self, topic: str, from_offset: int, wait_ms: int, kilobytes: int = 1024
    ) -> Page:
        async def async_execute() -> Page:
            until = self._world.now + wait_ms / 1000
            while True:
                page = await self._world.store.async_read(topic, from_offset, 0)
                if page.records or self._world.now >= until:
                    return page
                await anyio.sleep(0.02)

        wait_seconds = wait_ms / 1000
        sent_at = self._world.now
        page = await self._async_call(async_execute, wait_seconds + READ_SLACK_SECONDS)
        self.latency.record_read(
            sent_at, self._world.now, wait_seconds, bool(page.records)
        )
        return page

    async def async_read_newest(self, topic: str, after: str = "") -> NewestPage:
        store = self._world.store
        return await self._async_call(
            lambda: store.async_read_newest(topic, after), READ_SLACK_SECONDS
        )

    async def _async_call(
        self, execute: Callable[[], Awaitable[T]], timeout_seconds: float
    ) -> T:
        world = self._world
        outcomes = world.store_outcomes.get(self._process.name, ("ok",))
        outcome = world.rng.choice(outcomes)

        async def async_execute() -> T:
            result = await execute()
            await anyio.sleep(world.response_seconds)
            return result

        return await world.async_exchange(
            self._process, PLATFORM, outcome, async_execute, timeout_seconds
        )


class EntryPeers:
    """Send the queries of one process to the other entries."""

    def __init__(self, world: World, process: Process) -> None:
        self._world = world
        self._process = process

    def ranked_peers(self) -> list[tuple[str, str]]:
        return [(name, "") for name in self._world.entries]

    async def async_send_to_node(
        self, name: str, request: PeerRequest
    ) -> PeerReply | None:
        world = self._world
        outcome = world.rng.choice(world.query_outcomes)
        answer = world.entries[name].async_answer
        try:
            return await world.async_exchange(
                self._process,
                name,
                outcome,
                lambda: answer(request),
                request.timeout_seconds,
            )
        except (CallRefusedError, CallUnknownError):
            return None


class EntryHttp:
    """Make the calls of one process to workers and to the fleet service."""

    def __init__(self, world: World, process: Process) -> None:
        self._world = world
        self._process = process

    async def async_call(
        self,
        method: str,
        url: str,
        *,
        timeout_seconds: float,
        body: bytes | None = None,
        params: dict[str, str] | None = None,
        headers: dict[str, str] | None = None,
        read_timeout_seconds: float | None = None,
    ) -> HttpResponse:
        address, _, path = url.removeprefix("http://").partition("/")
        world = self._world
        headers = headers or {}
        if address == FLEET_ADDRESS:
            outcome = world.rng.choice(world.cloud_outcomes)
            if outcome == "late" and not world.faults.late_fleet_orders:
                outcome = "lost"
            execute = partial(self._async_fleet, f"/{path}", body, params, headers)
            return await world.async_exchange(
                self._process, FLEET, outcome, execute, timeout_seconds
            )
        machine = next(m for m in world.machines.values() if m.address == address)
        outcome = world.order_outcome(machine)
        if outcome != "ok":
            world.note(f"call {path} to {machine.name}: {outcome}")
            world.count(outcome)
        execute = partial(
            self._async_worker, machine.name, f"/{path}", body or b"", headers
        )
        return await world.async_exchange(
            self._process, machine.name, outcome, execute, timeout_seconds
        )

    async def _async_worker(
        self, name: str, path: str, body: bytes, headers: dict[str, str]
    ) -> HttpResponse:
        world = self._world
        machine = world.machines[name]
        worker = machine.worker
        if worker is None:
            raise CallUnknownError("connection closed")
        expected = headers[names.HEADER_EXPECTED]
        if worker.id != expected:
            world.count("421")
            raw = (names.HEADER_EXPECTED.encode(), worker.id.encode())
            return HttpResponse(421, b"", [raw])
        if path == names.RUN_START:
            start = msgspec.json.decode(body, type=StartBody)
            return _clocked(*world.start(machine, start))
        if path == names.RUN_STOP:
            stop = msgspec.json.decode(body, type=StopBody)
            return _clocked(*world.stop(machine, stop))
        if path == names.PACE:
            msgspec.json.decode(body, type=PaceBody)
            return _clocked("", machine.clock_ms(world.now))
        report = await world.async_hold(
            machine, msgspec.json.decode(body, type=HoldBody)
        )
        if report is None:
            return _clocked(names.REASON_FENCE, machine.clock_ms(world.now))
        return HttpResponse(200, msgspec.json.encode(report))

    async def _async_fleet(
        self,
        path: str,
        body: bytes | None,
        params: dict[str, str] | None,
        headers: dict[str, str],
    ) -> HttpResponse:
        world = self._world
        if path == names.MACHINES:
            first = int((params or {}).get(names.PARAM_PAGE, "0"))
            rows = world.list_rows()
            raw = [
                msgspec.Raw(msgspec.json.encode(row))
                for row in rows[first : first + LIST_PAGE_ROWS]
            ]
            after = first + LIST_PAGE_ROWS
            page = ListedBody(raw, str(after) if after < len(rows) else None)
            return HttpResponse(200, msgspec.json.encode(page))
        token = int(headers[names.HEADER_TOKEN])
        if path == names.MACHINE_MOVE:
            move = msgspec.json.decode(body or b"", type=MoveBody)
            reason = world.move(move.machine, move.pool, token)
        else:
            order = msgspec.json.decode(body or b"", type=MaintainBody)
            reason = world.maintain(order.machine, order.wave, token)
        refusal = msgspec.json.encode(RefusedBody(reason))
        return HttpResponse(409 if reason else 200, refusal)


def _clocked(reason: str, clock_ms: float) -> HttpResponse:
    body = msgspec.json.encode(ClockBody(clock_ms, reason))
    return HttpResponse(409 if reason else 200, body)


class Entry:
    """Run one process of an entry: it follows the log and may own the shard."""

    def __init__(self, world: World, node: str, zone: str, jitter: float) -> None:
        self.node = node
        self.zone = zone
        self.process = Process(node)
        self.ledger = Ledger()
        self.configuration = Configuration()
        self._tasks: list[asyncio.Task[Any]] = []
        timers: Any = ProcessTimers(self.process)
        store: Any = EntryStore(world, self.process)
        http: Any = EntryHttp(world, self.process)
        self._follower = TopicFollower(
            store, timers, TOPIC, self.ledger.apply, self.ledger.keys, 0.1
        )
        self._config_follower = TopicFollower(
            store,
            timers,
            TOPIC_OPERATOR,
            self.configuration.apply,
            self.configuration.keys,
            0.2,
        )
        dependencies = OwnerDependencies(
            node,
            store,
            http,
            timers,
            self.ledger,
            self._follower,
            self.configuration,
            BootBounds(),
            fleet=FleetClient(http, FLEET_ADDRESS, node),
            fleet_limits=BootFleet(FLEET_ADDRESS),
            peers=EntryPeers(world, self.process),
            latency=store.latency,
        )
        self.ownership = Ownership(dependencies, jitter)

    @property
    def is_owner(self) -> bool:
        """Return whether it owns the shard, or believes so."""
        return self.ownership.owner is not None and not self.process.killed

    def run(self) -> None:
        """Start the process's tasks."""
        self.spawn(self._async_run())

    def spawn(self, work: Any) -> asyncio.Task[Any]:
        """Run a coroutine as a part of the process."""
        context = contextvars.copy_context()
        context.run(PROCESS.set, self.process)
        task = asyncio.get_running_loop().create_task(work, context=context)
        self._tasks.append(task)
        return task

    async def async_answer(self, request: PeerRequest) -> PeerReply:
        """Answer a query in the process, which may be frozen or killed."""
        reply: PeerReply = await self.spawn(self.ownership.query.async_answer(request))
        return reply

    def failure(self) -> BaseException | None:
        """Return the exception that ended one of the process's tasks."""
        for task in self._tasks:
            if task.done() and not task.cancelled() and task.exception():
                return task.exception()
        return None

    async def async_end(self) -> None:
        """End the process's tasks, also those of a killed process."""
        self.process.end()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _async_run(self) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._config_follower.async_run)
            tasks.start_soon(self._follower.async_run)
            tasks.start_soon(self.ownership.async_run)
