"""Run real entries on the simulated platform in virtual time, without sockets."""

from __future__ import annotations

import asyncio
import contextvars
import random
from collections.abc import Awaitable
from dataclasses import dataclass
from typing import Any
from unittest.mock import patch

import anyio

from mustardward.components.forwarding.models import PeerReply, PeerRequest
from mustardward.components.forwarding.services import Forwarder, PeerRequestHandler
from mustardward.components.front.models import Reply, Request
from mustardward.components.front.server import FrontServer
from mustardward.helpers.http_connection import HttpResponse
from mustardward.helpers.peer_channels import PeerUnreachableError
from mustardward.helpers.timer import LoopTimerService, TimerService
from mustardward.node import app as node_app
from mustardward.node.app import Node
from mustardward.platform import names
from mustardward.platform.boot import BootFleet, BootListen, BootSettings, BootStore
from mustardward.platform.exceptions import CallRefusedError, CallUnknownError
from mustardward.standin.estate.app import EstateApp
from mustardward.standin.estate.estate import Estate, EstatePlan
from mustardward.standin.estate.store import StoreMode
from mustardward.standin.estate.worker import MemoryWorker

from ..components.ownership.twice_process import PROCESS, Process

POOL = "pool-a"
PREFIX = f"/{POOL}/"
HOST = "calls.example"
PLAN = EstatePlan(pools=(POOL,), instances=5, standby=1)
PLATFORM_ADDRESS = "10.9.9.9:80"
ENTRIES = (("entry-1", "z1"), ("entry-2", "z2"), ("entry-3", "z1"))
TICK_SECONDS = 0.02
CONNECT_TIMEOUT_SECONDS = 0.6
ANSWER_TIMEOUT_SECONDS = 3.2
_STORE_PATHS = (names.LOG_APPEND, names.LOG_READ, names.LOG_NEWEST)


@dataclass(frozen=True)
class PlatformRequest:
    """Request to the platform, with what the simulated platform reads of one."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes

    async def read(self) -> bytes:
        """Return the body."""
        return self.body


class World:
    """Hold the platform and the entries, and judge each start of a task.

    :param told_done: jobs that a caller was told to be done.
    :param unreached_by: entries that can't reach the store.
    """

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        hosts = [f"10.0.0.{number + 1}" for number in range(PLAN.machines)]
        self.estate = Estate(PLAN, PLATFORM_ADDRESS, hosts)
        self.app = EstateApp(self.estate, lambda: self.now)
        self.entries = {
            name: Entry(self, number) for number, (name, _) in enumerate(ENTRIES)
        }
        self.unreached_by: set[str] = set()
        self.told_done: dict[str, str] = {}
        self.violations: list[str] = []
        self.trace: list[tuple[float, str]] = []
        self._context = contextvars.copy_context()
        self._calls: set[asyncio.Task[None]] = set()

    @property
    def now(self) -> float:
        """Return the virtual time."""
        return asyncio.get_running_loop().time()

    def note(self, text: str) -> None:
        """Add a line to the trace."""
        self.trace.append((self.now, text))

    def report(self, text: str) -> None:
        """Record a violation."""
        self.note(f"VIOLATION {text}")
        self.violations.append(f"{self.now:.3f} {text}")

    async def async_tick(self) -> None:
        """Advance the platform for ever."""
        while True:
            self.estate.advance(self.now)
            for entry in self.entries.values():
                if not self._is_readable_by(entry):
                    entry.unread_at = self.now
            await anyio.sleep(TICK_SECONDS)

    async def async_exchange(
        self,
        process: Process,
        address: str,
        request: PlatformRequest,
        timeout_seconds: float,
    ) -> HttpResponse:
        """Send a call of an entry; the platform handles it whatever becomes of both."""
        is_store = request.path in _STORE_PATHS
        if (is_store and process.name in self.unreached_by) or (
            address != PLATFORM_ADDRESS and not self._has_worker(address)
        ):
            await anyio.sleep(min(CONNECT_TIMEOUT_SECONDS, timeout_seconds))
            raise CallRefusedError("no connection")
        loop = asyncio.get_running_loop()
        answer: asyncio.Future[HttpResponse] = loop.create_future()
        call = loop.create_task(
            self._async_handle(request, answer), context=self._context.copy()
        )
        self._calls.add(call)
        call.add_done_callback(self._calls.discard)
        try:
            with anyio.fail_after(timeout_seconds):
                return await answer
        except TimeoutError as late:
            raise CallUnknownError("no answer") from late

    async def async_end(self) -> None:
        """End the entries and the calls in flight."""
        for entry in self.entries.values():
            entry.end()
        tasks = [task for entry in self.entries.values() for task in entry.tasks]
        for task in (*tasks, *self._calls):
            task.cancel()
        await asyncio.gather(*tasks, *self._calls, return_exceptions=True)

    def _is_readable_by(self, entry: Entry) -> bool:
        store = self.estate.store
        serves = store.mode is StoreMode.SERVING and not store.topic_modes
        return serves and entry.powered and entry.name not in self.unreached_by

    def _has_worker(self, address: str) -> bool:
        workers = self.estate.workers
        return any(self.estate.address_of(name) == address for name in workers)

    async def _async_handle(
        self, request: PlatformRequest, answer: asyncio.Future[HttpResponse]
    ) -> None:
        await anyio.sleep(self.rng.uniform(0.001, 0.004))
        worker = self.estate.workers.get(request.headers.get(names.HEADER_EXPECTED, ""))
        started = len(worker.starts) if worker is not None else 0
        call: Any = request
        response: Any = await self.app.async_handle(call)
        if worker is not None and request.path == names.RUN_START:
            for task, run in worker.starts[started:]:
                self._judge_start(worker, task, run)
        await anyio.sleep(0.002)
        if not answer.done():
            answer.set_result(HttpResponse(response.status, response.body or b""))

    def _judge_start(self, worker: MemoryWorker, task: str, run: int) -> None:
        name = f"{task} run={run >> 20}:{run & 0xFFFFF} on {worker.id}"
        self.note(f"start {name}")
        told = self.told_done.get(task.partition(".")[0])
        if told is not None:
            self.report(f"{name} starts after {told}")
        for other in self.estate.workers.values():
            if other is not worker and task in other.runs:
                self.report(f"{name} starts while it runs on {other.id}")


class Entry:
    """Run one entry, which can lose power and start again.

    ``tasks`` are those of all its processes. ``unread_at`` is when it last could not
    read the store, or had no power.
    """

    def __init__(self, world: World, number: int) -> None:
        self.name, zone = ENTRIES[number]
        self.process = Process(self.name)
        self.process.kill()
        self.unread_at = 0.0
        self.handler: PeerRequestHandler | None = None
        self._world = world
        self._front: FrontServer | None = None
        self._past: list[Process] = []
        self.tasks: list[asyncio.Task[Any]] = []
        port = 7001 + number
        self.boot = BootSettings(
            node=self.name,
            ip="10.1.1.1",
            zone=zone,
            listen=BootListen(),
            platform=BootStore(PLATFORM_ADDRESS),
            cloud=BootFleet(PLATFORM_ADDRESS),
            port_range=(port, port),
        )

    @property
    def powered(self) -> bool:
        """Return whether the entry has power."""
        return not self.process.killed

    def power_off(self) -> None:
        """Lose power: nothing of the process runs again."""
        self.process.kill()
        self.handler = None
        self._front = None

    def power_on(self) -> None:
        """Start a process that knows nothing of the previous one."""
        self._past.append(self.process)
        self.process = Process(self.name)
        self.spawn(self._async_run())

    async def async_answer(self, method: str, path: str, body: bytes) -> Reply | None:
        """Return the answer to a caller, or None if there is none in time."""
        if self._front is None:
            return None
        deadline = self._world.now + ANSWER_TIMEOUT_SECONDS
        request = Request(method, HOST, path, body, deadline)
        return await self._async_wait_for(
            self._front.failover.async_answer(request), ANSWER_TIMEOUT_SECONDS
        )

    async def async_answer_peer(self, request: PeerRequest) -> PeerReply | None:
        """Return the answer to another entry, or None if there is none in time."""
        if self.handler is None:
            return None
        return await self._async_wait_for(
            self.handler(request), request.timeout_seconds
        )

    def spawn(self, work: Any) -> asyncio.Task[Any]:
        """Run a coroutine as a part of the process."""
        context = contextvars.copy_context()
        context.run(PROCESS.set, self.process)
        task = asyncio.get_running_loop().create_task(work, context=context)
        self.tasks.append(task)
        return task

    def failure(self) -> BaseException | None:
        """Return the exception that ended one of the entry's tasks."""
        running = []
        for task in self.tasks:
            if not task.done():
                running.append(task)
            elif not task.cancelled() and task.exception():
                return task.exception()
        self.tasks = running
        return None

    def end(self) -> None:
        """Let the processes continue that lost power, so that their tasks can end."""
        for process in (*self._past, self.process):
            process.end()

    async def _async_wait_for(self, work: Awaitable[Any], seconds: float) -> Any:
        task = self.spawn(work)
        with anyio.move_on_after(seconds):
            return await asyncio.shield(task)
        return None

    async def _async_run(self) -> None:
        process = self.process
        async with anyio.create_task_group() as tasks:
            with (
                patch.object(
                    node_app, "HttpCaller", lambda: _EntryHttp(self._world, process)
                ),
                patch.object(node_app, "LoopTimerService", _VirtualTimers),
                patch.object(node_app, "Forwarder", self._build_forwarder),
                patch.object(node_app, "FrontServer", self._build_front),
            ):
                node = Node(self.boot, tasks)
            await node.async_start()
            await anyio.sleep_forever()

    def _build_front(self, *arguments: Any) -> FrontServer:
        self._front = _EntryFront(*arguments)
        return self._front

    def _build_forwarder(self, *arguments: Any) -> Forwarder:
        forwarder = _EntryForwarder(*arguments)
        forwarder.world = self._world
        return forwarder


class _VirtualTimers(LoopTimerService):
    """Provide the loop's time as all clocks."""

    def start(self) -> None:
        """Detect no pauses."""

    def monotonic(self) -> float:
        return asyncio.get_running_loop().time()

    boottime = monotonic
    wall = monotonic


class _EntryHttp:
    """Make the calls of one process to the platform."""

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
        request = PlatformRequest(
            method, f"/{path}", params or {}, headers or {}, body or b""
        )
        silence_seconds = read_timeout_seconds or timeout_seconds
        return await self._world.async_exchange(
            self._process, address, request, min(timeout_seconds, silence_seconds)
        )

    async def async_close(self) -> None:
        """Close nothing."""


class _EntryForwarder(Forwarder):
    """Send the requests of one entry to the others."""

    world: World

    async def _async_call(
        self, address: str, request: PeerRequest, timeout_seconds: float
    ) -> PeerReply:
        for entry in self.world.entries.values():
            if address == f"{entry.boot.ip}:{entry.boot.port_range[0]}":
                with anyio.fail_after(timeout_seconds):
                    await anyio.sleep(0.002)
                    reply = await entry.async_answer_peer(request)
                if reply is not None:
                    return reply
        raise PeerUnreachableError(address)


class _EntryFront(FrontServer):
    """Listen for nobody; callers' requests are passed on directly."""

    async def async_listen(self, front: str, ready: str) -> None:
        pass

    async def async_close(self, max_wait_seconds: float) -> None:
        pass


def serve_peers_of(world: World) -> Any:
    """Return what entries serve their peers by."""

    async def async_serve(
        address: str, handler: PeerRequestHandler, timers: TimerService
    ) -> None:
        process = PROCESS.get()
        for entry in world.entries.values():
            if entry.process is process:
                entry.handler = handler
        await anyio.sleep_forever()

    return async_serve


async def async_serve_no_metrics(host: str, port: int, connections: object) -> None:
    """Serve nothing."""
