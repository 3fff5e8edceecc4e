"""Serve the simulated platform over HTTP, for real entries to run against."""

from __future__ import annotations

import base64
import struct
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any, Final, TypeVar

import anyio
import msgspec
from aiohttp import web

from ...platform import names
from ...platform.bodies import (
    AppendedBody,
    AppendRefusedBody,
    ClockBody,
    GoneBody,
    HoldBody,
    ListedBody,
    MaintainBody,
    MoveBody,
    NewestBody,
    NewestItem,
    PaceBody,
    RefusedBody,
    StartBody,
    StopBody,
)
from ...platform.exceptions import (
    CallRefusedError,
    CallUnknownError,
    FencedError,
    OffsetGoneError,
    SequenceError,
)
from ...platform.store import Producer, decode_keyed, encode_keyed
from .estate import Estate, EstatePlan
from .worker import MemoryWorker

T = TypeVar("T")

_HEAD: Final = struct.Struct(">QQ")
TICK_SECONDS: Final = 0.01
UNRESPONSIVE_SECONDS: Final = 30.0
"""Time for which an unresponsive store or worker keeps a call open."""

SHUTDOWN_TIMEOUT_SECONDS: Final = 0.2
"""Time for calls that are open when the platform ends."""

HOSTS_PER_BLOCK: Final = 250
LIST_PAGE_ROWS: Final = 100
"""Rows of the instance list per page."""

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class EstateApp:
    """Handle calls to the platform.

    :param monotonic: returns seconds of a monotonic clock.
    """

    def __init__(
        self, estate: Estate, monotonic: Callable[[], float] = time.monotonic
    ) -> None:
        self._estate = estate
        self._monotonic = monotonic
        self._handlers: dict[tuple[str, str], Handler] = {
            ("POST", names.LOG_APPEND): self._async_append,
            ("GET", names.LOG_READ): self._async_read,
            ("GET", names.LOG_NEWEST): self._async_newest,
            ("POST", names.RUN_START): self._async_start,
            ("POST", names.RUN_STOP): self._async_stop,
            ("POST", names.HOLD): self._async_hold,
            ("POST", names.PACE): self._async_pace,
            ("GET", names.MACHINES): self._async_list,
            ("POST", names.MACHINE_MOVE): self._async_move,
            ("POST", names.MACHINE_UPKEEP): self._async_maintain,
        }

    async def async_handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handle one call."""
        handler = self._handlers.get((request.method, request.path))
        if handler is None:
            return web.Response(status=404)
        self._estate.advance(self._monotonic())
        try:
            return await handler(request)  # type: ignore[arg-type]
        except CallRefusedError:
            return web.Response(status=503)
        except CallUnknownError:
            await anyio.sleep(UNRESPONSIVE_SECONDS)
            return web.Response(status=503)

    async def _async_append(self, request: web.Request) -> web.StreamResponse:
        body = await request.read()
        page = decode_keyed(_HEAD.pack(0, 0) + body, 0)
        records = [(record.key, record.value) for record in page.records]
        topic = request.query[names.PARAM_TOPIC]
        producer = None
        if names.PARAM_PRODUCER in request.query:
            producer = Producer(
                request.query[names.PARAM_PRODUCER],
                int(request.query[names.PARAM_EPOCH]),
                int(request.query[names.PARAM_SEQUENCE]),
            )
        try:
            end = await self._estate.store.async_append(topic, records, producer)
        except FencedError:
            return _json_response(AppendRefusedBody(names.REASON_FENCED), 409)
        except SequenceError as error:
            refusal = AppendRefusedBody(names.REASON_SEQUENCE, error.expected)
            return _json_response(refusal, 409)
        return _json_response(AppendedBody(end - len(records), end))

    async def _async_read(self, request: web.Request) -> web.StreamResponse:
        topic = request.query[names.PARAM_TOPIC]
        start = int(request.query[names.PARAM_FROM])
        wait_ms = int(request.query.get(names.PARAM_WAIT, "0"))
        until = self._monotonic() + wait_ms / 1000
        while True:
            try:
                page = await self._estate.store.async_read(topic, start, 0)
            except OffsetGoneError as error:
                return _json_response(GoneBody(error.first), 410)
            if page.records or self._monotonic() >= until:
                break
            await anyio.sleep(TICK_SECONDS)
        body = encode_keyed((record.key, record.value) for record in page.records)
        return web.Response(body=_HEAD.pack(page.end, start) + body)

    async def _async_newest(self, request: web.Request) -> web.StreamResponse:
        page = await self._estate.store.async_read_newest(
            request.query[names.PARAM_TOPIC], request.query.get(names.PARAM_AFTER, "")
        )
        items = [
            _encode_raw(NewestItem(r.key, r.offset, base64.b64encode(r.value).decode()))
            for r in page.records
        ]
        return _json_response(NewestBody(items, page.end, page.more))

    async def _async_start(self, request: web.Request) -> web.StreamResponse:
        order = msgspec.json.decode(await request.read(), type=StartBody)
        worker = await self._async_worker(request)
        if worker is None:
            return web.Response(status=421)
        reason = self._execute(
            worker, lambda: worker.start(order, self._clock_ms(worker))
        )
        return _clock_response(reason, self._clock_ms(worker))

    async def _async_stop(self, request: web.Request) -> web.StreamResponse:
        order = msgspec.json.decode(await request.read(), type=StopBody)
        worker = await self._async_worker(request)
        if worker is None:
            return web.Response(status=421)
        reason = self._execute(
            worker,
            lambda: worker.stop(
                order.task, order.run, order.fence, self._clock_ms(worker)
            ),
        )
        return _clock_response(reason, self._clock_ms(worker))

    async def _async_pace(self, request: web.Request) -> web.StreamResponse:
        msgspec.json.decode(await request.read(), type=PaceBody)
        worker = await self._async_worker(request)
        if worker is None:
            return web.Response(status=421)
        return _clock_response("", self._clock_ms(worker))

    async def _async_hold(self, request: web.Request) -> web.StreamResponse:
        call = msgspec.json.decode(await request.read(), type=HoldBody)
        worker = await self._async_worker(request)
        if worker is None:
            return web.Response(status=421)
        self._execute(
            worker,
            lambda: worker.poll(
                call.fence, call.seen_upto, call.deadline_ms, self._clock_ms(worker)
            ),
        )
        until = self._monotonic() + call.wait_ms / 1000
        while self._monotonic() < until and not worker.has_unacknowledged_ends(
            call.seen_upto
        ):
            await anyio.sleep(TICK_SECONDS)
            worker.advance(self._clock_ms(worker))
        if self._estate.workers.get(worker.id) is not worker:
            # The process restarted during the poll: the call is kept open
            # like one to an unresponsive worker.
            raise CallUnknownError("restarted")
        report = worker.poll(call.fence, call.seen_upto, None, self._clock_ms(worker))
        if report is None:
            return _clock_response(names.REASON_FENCE, self._clock_ms(worker))
        return _json_response(report)

    async def _async_worker(self, request: web.Request) -> MemoryWorker | None:
        worker_id = request.headers.get(names.HEADER_EXPECTED, "")
        worker = self._estate.workers.get(worker_id)
        if worker is not None and worker.unresponsive:
            await anyio.sleep(UNRESPONSIVE_SECONDS)
        return worker

    def _execute(self, worker: MemoryWorker, call: Callable[[], T]) -> T:
        return self._estate.execute(worker, call, self._monotonic())

    async def _async_list(self, request: web.Request) -> web.StreamResponse:
        first = int(request.query.get(names.PARAM_PAGE, "0"))
        instances = self._estate.list_instances()
        rows = [
            _encode_raw(instance)
            for instance in instances[first : first + LIST_PAGE_ROWS]
        ]
        next_row = first + LIST_PAGE_ROWS
        return _json_response(
            ListedBody(rows, str(next_row) if next_row < len(instances) else None)
        )

    async def _async_move(self, request: web.Request) -> web.StreamResponse:
        order = msgspec.json.decode(await request.read(), type=MoveBody)
        now = self._monotonic()
        token = int(request.headers[names.HEADER_TOKEN])
        return _command_response(
            self._estate.move(order.machine, order.pool, token, now)
        )

    async def _async_maintain(self, request: web.Request) -> web.StreamResponse:
        order = msgspec.json.decode(await request.read(), type=MaintainBody)
        now = self._monotonic()
        token = int(request.headers[names.HEADER_TOKEN])
        return _command_response(
            self._estate.maintain(order.machine, order.wave, token, now)
        )

    def _clock_ms(self, worker: MemoryWorker) -> float:
        """Return the time of a worker's clock, which restarts with its process."""
        return self._monotonic() * 1000 - worker.clock_zero_ms


def _encode_raw(body: msgspec.Struct) -> msgspec.Raw:
    return msgspec.Raw(msgspec.json.encode(body))


def _json_response(body: Any, status: int = 200) -> web.Response:
    return web.Response(
        status=status,
        body=msgspec.json.encode(body),
        content_type="application/json",
    )


def _clock_response(reason: str, clock_ms: float) -> web.Response:
    return _json_response(ClockBody(clock_ms, reason), 409 if reason else 200)


def _command_response(reason: str) -> web.Response:
    return _json_response(RefusedBody(reason), 409 if reason else 200)


def _worker_host(number: int) -> str:
    """Return a loopback address unique to an instance."""
    block, rest = divmod(number, HOSTS_PER_BLOCK)
    return f"127.0.{1 + block}.{1 + rest}"


@asynccontextmanager
async def async_run_estate(plan: EstatePlan, host: str) -> AsyncIterator[Estate]:
    """Serve a platform on a free port until the block ends.

    ``estate.address`` is its address. Each worker has its own loopback address, so
    that calls to one worker do not wait for calls to another.
    """
    app_holder: list[EstateApp] = []

    async def async_handle(request: web.BaseRequest) -> web.StreamResponse:
        return await app_holder[0].async_handle(request)

    runner = web.ServerRunner(
        web.Server(async_handle, access_log=None),
        shutdown_timeout=SHUTDOWN_TIMEOUT_SECONDS,
    )
    await runner.setup()
    site = web.TCPSite(runner, host, 0)
    await site.start()
    port = runner.addresses[0][1]
    worker_hosts = [_worker_host(number) for number in range(plan.machines)]
    for worker_host in worker_hosts:
        await web.TCPSite(runner, worker_host, port).start()
    estate = Estate(plan, f"{host}:{port}", worker_hosts)
    app_holder.append(EstateApp(estate))
    try:
        yield estate
    finally:
        await runner.cleanup()
