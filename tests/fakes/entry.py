"""Provide fakes of the dependencies of an entry's request path."""

from __future__ import annotations

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import cast

import anyio
import h11
from anyio.abc import SocketAttribute, SocketStream, TaskGroup
from returns.result import Failure, Result, Success

from mustardward.components.entry.application import CallerApplication
from mustardward.components.entry.attribution import BudgetAttributor
from mustardward.components.entry.const import CALLER_KEEPALIVE_SECONDS
from mustardward.components.entry.dependencies import EntryDependencies
from mustardward.components.entry.dispatcher import HttpDispatcher
from mustardward.components.entry.exchange import ApplicationDependencies
from mustardward.components.entry.health import EntryHealth
from mustardward.components.entry.models import (
    Attempt,
    Ran,
    RequestFacts,
    RequestFinished,
    RequestRefusal,
)
from mustardward.components.entry.pause import PauseGuard
from mustardward.components.entry.protocols import (
    Choice,
    FailedAttempt,
    IdempotencyGuard,
    OutgoingRequest,
    Permit,
    RetryDecision,
    StoredResponse,
    WorkerResponse,
)
from mustardward.components.entry.service import EntryService
from mustardward.components.keys import FLEET_LOG
from mustardward.components.membership.models import Member
from mustardward.components.routing.models import RemoteChoice
from mustardward.components.templates.protocols import ResolvedService
from mustardward.core import Core
from mustardward.helpers.listener import HttpListener, ListenerOptions
from mustardward.helpers.timer import DrivenTimerService
from mustardward.settings.models import (
    EntryIdentity,
    Listener,
    PlatformSettings,
    RequestLimits,
    Settings,
)
from mustardward.state.fleet import FleetState
from mustardward.state.models.pools import Instance
from mustardward.state.models.templates import (
    Organisation,
    Overrides,
    Parameters,
    ServiceBinding,
)
from mustardward.state.protocols import FleetLog


def build_settings(limits: RequestLimits | None = None) -> Settings:
    """Return the settings of one entry that listens on loopback."""
    return Settings(
        entry=EntryIdentity(name="entry-1", data_centre="dc-a", leaving_seconds=0.0),
        callers=Listener(port=0),
        platform=PlatformSettings(url="http://127.0.0.1:1"),
        limits=limits or RequestLimits(),
    )


@dataclass(slots=True)
class ReadyLog:
    """Provide a fleet log whose state is loaded."""

    ready: bool = True
    state: FleetState = field(default_factory=FleetState)


@dataclass(slots=True)
class FakeDirectory:
    """Resolve one organisation with the services of its parameters."""

    parameters: Parameters = field(
        default_factory=lambda: Parameters(services=(ServiceBinding("turn", "rack"),))
    )

    def resolve(
        self, organisation: str, service: str
    ) -> Result[ResolvedService, RequestRefusal]:
        if organisation != "hvelv":
            return Failure(
                RequestRefusal("organisation-unknown", 404, Ran.NO, organisation)
            )
        for binding in self.parameters.services:
            if binding.service == service:
                return Success(ResolvedService(self._organisation(), binding))
        return Failure(RequestRefusal("service-unknown", 404, Ran.NO, service))

    def _organisation(self) -> Organisation:
        return Organisation("hvelv", "small", 1, 1, Overrides(), self.parameters)


@dataclass(slots=True)
class FakePermit:
    """Record its release, once."""

    released: list[bool]
    is_released: bool = False

    def release(self, latency_seconds: float, succeeded: bool) -> None:
        if not self.is_released:
            self.released.append(succeeded)
        self.is_released = True


@dataclass(slots=True)
class FakeLimiter:
    """Admit all requests, or refuse all while ``refusal`` is set."""

    refusal: RequestRefusal | None = None
    admitted: int = 0
    released: list[bool] = field(default_factory=list)

    async def async_admit(self, facts: RequestFacts) -> Result[Permit, RequestRefusal]:
        if self.refusal is not None:
            return Failure(self.refusal)
        self.admitted += 1
        return Success(FakePermit(self.released))


@dataclass(slots=True)
class FakeRouter:
    """Choose workers in order, and record the finished attempts."""

    addresses: list[str]
    attempts: list[Attempt] = field(default_factory=list)
    chosen: int = 0
    remote: RemoteChoice | None = None

    def choose(
        self, facts: RequestFacts, exclude: frozenset[str]
    ) -> Result[Choice, RequestRefusal]:
        for address in self.addresses:
            if address not in exclude:
                self.chosen += 1
                instance = Instance(address, "dc-a", "rack-1", address, facts.pool, 7)
                return Success(Choice(instance, f"attempt-{self.chosen}"))
        return Failure(RequestRefusal("no-worker", 503, Ran.NO, "none left", 1.0))

    def choose_remote(
        self, facts: RequestFacts, exclude: frozenset[str] = frozenset()
    ) -> RemoteChoice | None:
        return self.remote

    def slots(self, pool: str) -> int:
        return 8 * len(self.addresses)

    def finish(self, choice: Choice, facts: RequestFacts, attempt: Attempt) -> None:
        self.attempts.append(attempt)

    @property
    def outcomes(self) -> list[str]:
        """Return the outcomes and causes of the attempts in order."""
        return [f"{item.outcome.value}:{item.cause}" for item in self.attempts]


@dataclass(slots=True)
class FakeRetries:
    """Allow safe retries up to a maximum number of attempts."""

    maximum: int = 3
    hedge_seconds: float | None = None
    hedges: int = 0

    def hedge_after(self, facts: RequestFacts) -> float | None:
        return self.hedge_seconds

    def take_hedge(self, facts: RequestFacts, now: float) -> bool:
        self.hedges += 1
        return True

    def decide(
        self, facts: RequestFacts, attempts: tuple[Attempt, ...], now: float
    ) -> RetryDecision:
        safe = facts.idempotent or attempts[-1].outcome.definitely_not_run
        return RetryDecision(safe and len(attempts) < self.maximum)

    def record_first(self, facts: RequestFacts) -> None:
        return None


@dataclass(slots=True)
class FakeIntents:
    """Hold idempotency records in memory."""

    stored: StoredResponse | None = None
    refusal: RequestRefusal | None = None
    opened: list[str] = field(default_factory=list)
    closed: list[tuple[str, StoredResponse | None]] = field(default_factory=list)
    served_without_key: bool = False

    def reportable_ran(self, facts: RequestFacts, ran: Ran) -> Ran:
        return Ran.UNKNOWN if self.served_without_key else ran

    async def async_open(
        self, facts: RequestFacts
    ) -> Result[StoredResponse | None, RequestRefusal]:
        self.opened.append(facts.request_digest)
        if self.refusal is not None:
            return Failure(self.refusal)
        return Success(self.stored)

    async def async_close(
        self, facts: RequestFacts, ran: str, answer: StoredResponse | None
    ) -> None:
        self.closed.append((ran, answer))


@dataclass(slots=True)
class FakePeers:
    """Respond to forwarded requests with the result that a test sets."""

    result: Result[WorkerResponse, FailedAttempt] | None = None
    forwarded: list[str] = field(default_factory=list)

    async def async_forward(
        self, member: Member, facts: RequestFacts, request: OutgoingRequest
    ) -> Result[WorkerResponse, FailedAttempt]:
        self.forwarded.append(member.name)
        assert self.result is not None
        return self.result


@dataclass(slots=True)
class ReceivedRequest:
    """Hold a request as a worker received it."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def attempt_id(self) -> str:
        """Return the attempt id that the response has to repeat."""
        return self.headers["mw-attempt-id"]


Script = Callable[["SocketStream", ReceivedRequest], Awaitable[bool]]
"""Responds to a request on its connection; a false result closes the connection."""


def build_response(
    request: ReceivedRequest, body: bytes = b"done", status: int = 200, extra: str = ""
) -> bytes:
    """Return a complete HTTP response as bytes."""
    return (
        f"HTTP/1.1 {status} X\r\nmw-attempt-id: {request.attempt_id}\r\n{extra}"
        f"content-length: {len(body)}\r\n\r\n"
    ).encode() + body


async def respond_ok(stream: SocketStream, request: ReceivedRequest) -> bool:
    """Respond with status 200 and keep the connection open."""
    await stream.send(build_response(request))
    return True


@dataclass(slots=True)
class RawWorker:
    """Serve requests by a script that controls each byte of the responses."""

    script: Script = respond_ok
    address: str = ""
    requests: list[ReceivedRequest] = field(default_factory=list)
    connections: int = 0

    async def async_serve(self, stream: SocketStream) -> None:
        self.connections += 1
        async with stream:
            try:
                while await self._async_one(stream):
                    pass
            except (anyio.EndOfStream, anyio.BrokenResourceError, OSError):
                return
            except h11.RemoteProtocolError:
                return

    async def _async_one(self, stream: SocketStream) -> bool:
        request = await async_read_request(stream)
        if request is None:
            return False
        self.requests.append(request)
        return await self.script(stream, request)


async def async_read_request(stream: SocketStream) -> ReceivedRequest | None:
    """Return the next request on a connection, or None at its end."""
    connection = h11.Connection(h11.SERVER)
    head: h11.Request | None = None
    body = b""
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            try:
                connection.receive_data(await stream.receive())
            except anyio.EndOfStream:
                connection.receive_data(b"")
        elif isinstance(event, h11.Request):
            head = event
        elif isinstance(event, h11.Data):
            body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            assert head is not None
            headers = {k.decode(): v.decode("latin-1") for k, v in head.headers}
            return ReceivedRequest(
                head.method.decode(), head.target.decode(), headers, body
            )
        else:
            return None


async def async_start_worker(tasks: TaskGroup, script: Script) -> RawWorker:
    """Start a scripted worker on a free port."""
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=0)
    worker = RawWorker(script)
    port = listener.extra(SocketAttribute.local_port)
    worker.address = f"127.0.0.1:{port}"

    async def run() -> None:
        async with listener:
            await listener.serve(worker.async_serve)

    tasks.start_soon(run)
    return worker


@dataclass(slots=True)
class RunningEntry:
    """Hold a listening entry with its fakes."""

    core: Core
    timers: DrivenTimerService
    listener: HttpListener
    health: EntryHealth
    service: EntryService
    limiter: FakeLimiter
    router: FakeRouter
    retries: FakeRetries
    finished: list[RequestFinished]

    @property
    def url(self) -> str:
        """Return the URL for callers."""
        return f"http://127.0.0.1:{self.listener.port}"


@asynccontextmanager
async def running_entry(
    *scripts: Script,
    limits: RequestLimits | None = None,
    intents: IdempotencyGuard | None = None,
    parameters: Parameters | None = None,
    peers: FakePeers | None = None,
    make_guard: Callable[[Core], PauseGuard] | None = None,
) -> AsyncIterator[tuple[RunningEntry, list[RawWorker]]]:
    """Run an entry in front of one scripted worker for each script."""
    async with anyio.create_task_group() as tasks:
        workers = [await async_start_worker(tasks, script) for script in scripts]
        timers = DrivenTimerService()
        core = Core(build_settings(limits), timers, tasks)
        core.put(FLEET_LOG, cast(FleetLog, ReadyLog()))
        finished: list[RequestFinished] = []
        core.events.listen(RequestFinished, finished.append)
        router = FakeRouter([worker.address for worker in workers])
        limiter, retries = FakeLimiter(), FakeRetries()
        dispatcher = HttpDispatcher(timers)
        guard = None if make_guard is None else make_guard(core)
        entry_dependencies = EntryDependencies(
            limiter, router, retries, dispatcher, intents, peers, guard
        )
        service = EntryService(entry_dependencies, timers, tasks)
        directory = FakeDirectory()
        if parameters is not None:
            directory.parameters = parameters
        health = EntryHealth(core, guard)
        application_dependencies = ApplicationDependencies(
            service,
            directory,
            health,
            core.settings.limits,
            timers,
            core.events,
            BudgetAttributor(core),
        )
        listener = HttpListener(
            CallerApplication(application_dependencies),
            core.settings.callers,
            ListenerOptions(
                header_bytes=core.settings.limits.header_bytes,
                keepalive_seconds=CALLER_KEEPALIVE_SECONDS,
            ),
        )
        listener.start(tasks)
        entry = RunningEntry(
            core, timers, listener, health, service, limiter, router, retries, finished
        )
        try:
            yield entry, workers
        finally:
            with anyio.CancelScope(shield=True):
                await listener.async_stop()
                await dispatcher.async_close()
            tasks.cancel_scope.cancel()
