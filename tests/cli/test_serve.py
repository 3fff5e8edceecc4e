"""Test stopping entry processes under load."""

from __future__ import annotations

import re
import signal
import subprocess
import sys
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field
from pathlib import Path

import anyio
import httpx
import pytest
from anyio.abc import Process, SocketStream, TaskGroup

from tests.fakes.entry import (
    RawWorker,
    ReceivedRequest,
    async_start_worker,
    build_response,
)

pytestmark = [pytest.mark.anyio, pytest.mark.processes]

CALLERS = 8
PLATFORM_PORT = re.compile(rb"http://127\.0\.0\.1:(\d+)")
ENTRY_PORTS = re.compile(
    rb"callers_listening.* port=(\d+)\n(?:.*\n)*.*operators_listening.* port=(\d+)"
)
STREAM_CHUNKS = 40
CHUNK_INTERVAL_SECONDS = 0.06


@dataclass(slots=True)
class Entry:
    """Hold a running entry process."""

    process: Process
    port: int
    operators_port: int
    ready: bool = True

    @property
    def url(self) -> str:
        """Return the URL for callers."""
        return f"http://127.0.0.1:{self.port}"

    @property
    def operators_url(self) -> str:
        """Return the URL for operators."""
        return f"http://127.0.0.1:{self.operators_port}"


@dataclass(slots=True)
class RequestLog:
    """Record the outcomes of callers' requests."""

    answered: list[str] = field(default_factory=list)
    disconnected: list[str] = field(default_factory=list)
    refused: list[str] = field(default_factory=list)
    waiting: dict[int, anyio.Event] = field(default_factory=dict)

    def record_response(self, name: str) -> None:
        """Record a response."""
        self.answered.append(name)
        if (event := self.waiting.get(len(self.answered))) is not None:
            event.set()

    async def async_wait_for_responses(self, count: int) -> None:
        """Wait for a number of further responses."""
        event = self.waiting[len(self.answered) + count] = anyio.Event()
        await event.wait()


async def echo(stream: SocketStream, request: ReceivedRequest) -> bool:
    if request.target.endswith("/slow"):
        return await stream_slowly(stream, request)
    await stream.send(build_response(request, request.body))
    return True


async def stream_slowly(stream: SocketStream, request: ReceivedRequest) -> bool:
    head = f"HTTP/1.1 200 X\r\nmw-attempt-id: {request.attempt_id}\r\n"
    await stream.send(head.encode() + b"transfer-encoding: chunked\r\n\r\n")
    for _ in range(STREAM_CHUNKS):
        await anyio.sleep(CHUNK_INTERVAL_SECONDS)
        await stream.send(b"4\r\nturn\r\n")
    await stream.send(b"0\r\n\r\n")
    return True


@asynccontextmanager
async def running_entries(
    count: int, folder: Path
) -> AsyncIterator[tuple[list[Entry], RawWorker]]:
    """Run processes of a stand-in platform and of entries, and one worker."""
    async with anyio.create_task_group() as tasks:
        worker = await async_start_worker(tasks, echo)
        processes: list[Process] = []
        try:
            platform = await async_start(["platform"], processes, tasks, PLATFORM_PORT)
            files = [
                write_settings(folder, number, int(platform[1]))
                for number in range(count)
            ]
            entries = []
            for file in files:
                command = ["serve", str(file)]
                found = await async_start(command, processes, tasks, ENTRY_PORTS)
                entries.append(Entry(processes[-1], int(found[1]), int(found[2])))
            await async_add_instance(int(platform[1]), worker.address)
            await async_publish(entries, worker.address)
            yield entries, worker
        finally:
            for process in processes:
                if process.returncode is None:
                    process.kill()
                with anyio.CancelScope(shield=True):
                    await process.aclose()
            tasks.cancel_scope.cancel()


def write_settings(folder: Path, number: int, platform_port: int) -> Path:
    file = folder / f"entry-{number}.yaml"
    file.write_text(
        f"entry: {{name: entry-{number}, data_centre: dc-a, leaving_seconds: 1.5}}\n"
        "callers: {port: 0}\n"
        f"platform: {{url: 'http://127.0.0.1:{platform_port}'}}\n"
    )
    return file


async def async_start(
    command: list[str],
    processes: list[Process],
    tasks: TaskGroup,
    pattern: re.Pattern[bytes],
) -> re.Match[bytes]:
    """Start a command, and return the match of its output once it listens."""
    process = await anyio.open_process(
        [sys.executable, "-m", "mustardward", *command],
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
    )
    processes.append(process)
    assert process.stdout is not None
    output = b""
    while (found := pattern.search(output)) is None:
        output += await process.stdout.receive()
    tasks.start_soon(async_drop_log, process)
    return found


async def async_add_instance(platform_port: int, worker: str) -> None:
    """Add the worker's instance to the platform.

    An instance missing from the platform's list is reported as permanently failed after
    some seconds. On a busy machine that happens before the entry is stopped, so that no
    order is served any more.
    """
    instance = {"instance_id": "worker-1", "data_centre": "dc-a", "address": worker}
    url = f"http://127.0.0.1:{platform_port}/admin/instances"
    async with httpx.AsyncClient(timeout=10.0) as client:
        response = await client.post(url, json=instance)
    assert response.status_code < 300, response.text


async def async_publish(entries: list[Entry], worker: str) -> None:
    """Create a pool with one worker, a template and an organisation."""
    instance = {
        "instance_id": "worker-1",
        "data_centre": "dc-a",
        "rack": "rack-1",
        "address": worker,
        "pool": "racks",
    }
    template = {"services": [{"service": "turn", "pool": "racks"}]}
    async with httpx.AsyncClient(timeout=10.0) as client:
        for entry in entries:
            await async_wait_until_ok(client, f"{entry.url}/-/ready")
        operators = entries[0].operators_url
        calls = [
            ("PUT", "/pools/racks", {}),
            ("POST", "/instances", {"instances": [instance]}),
            ("POST", "/templates/small", {"parameters": template, "base_revision": 0}),
            ("PUT", "/organisations/hvelv", {"template": "small", "base_revision": 0}),
        ]
        for method, path, body in calls:
            response = await client.request(method, operators + path, json=body)
            assert response.status_code < 300, response.text
        for entry in entries:
            await async_wait_until_ok(client, f"{entry.url}/hvelv/turn/")


async def async_wait_until_ok(client: httpx.AsyncClient, url: str) -> None:
    while True:
        if (await client.get(url)).status_code == 200:
            return
        await anyio.sleep(0.02)


async def async_drop_log(process: Process) -> None:
    # A full pipe would block the process at its next log line.
    assert process.stdout is not None
    with suppress(anyio.ClosedResourceError):
        async for _ in process.stdout:
            pass


async def async_probe(entries: list[Entry], done: anyio.Event) -> None:
    """Poll the readiness of entries, as a load balancer does."""
    async with httpx.AsyncClient() as client:
        while not done.is_set():
            for entry in entries:
                try:
                    response = await client.get(f"{entry.url}/-/ready")
                    entry.ready = response.status_code == 200
                except httpx.TransportError:
                    entry.ready = False
            await anyio.sleep(0.05)


async def async_send_orders(
    entries: list[Entry], caller: int, request_log: RequestLog, done: anyio.Event
) -> None:
    """Place orders through the entries round-robin, each order once."""
    index = caller
    limits = httpx.Limits(max_connections=1, max_keepalive_connections=1)
    clients = [httpx.AsyncClient(limits=limits, verify=False) for _ in entries]
    number = 0
    while not done.is_set():
        name = f"order-{caller}-{number}"
        number += 1
        while True:
            index = (index + 1) % len(entries)
            if not entries[index].ready:
                await anyio.sleep(0.001)
                continue
            url = f"{entries[index].url}/hvelv/turn/orders"
            if await async_place_order(clients[index], url, name, request_log):
                break
    for client in clients:
        await client.aclose()


async def async_place_order(
    client: httpx.AsyncClient, url: str, name: str, request_log: RequestLog
) -> bool:
    """Place one order; return false if another entry may be tried."""
    try:
        response = await client.post(url, content=name.encode())
    except httpx.ConnectError:
        return False
    except httpx.TransportError as error:
        request_log.disconnected.append(f"{name}:{type(error).__name__}")
        return True
    if response.status_code == 503 and response.headers.get("mw-ran") == "no":
        return False
    if response.content == name.encode():
        request_log.record_response(name)
    else:
        request_log.refused.append(f"{name}:{response.text}")
    return True


async def async_read_stream(url: str, chunks: list[bytes]) -> None:
    async with httpx.AsyncClient() as client:
        async with client.stream("GET", f"{url}/hvelv/turn/slow") as response:
            async for chunk in response.aiter_raw():
                chunks.append(chunk)


async def test_stop_under_load_interrupts_no_request(tmp_path: Path) -> None:
    """Guard against orders that are interrupted or placed twice at a roll-out.

    This happens if, after SIGTERM, the listener or its connections close before callers
    use another entry, or before their responses are complete.
    """
    request_log, chunks, done = RequestLog(), list[bytes](), anyio.Event()
    with anyio.fail_after(60):
        async with running_entries(3, tmp_path) as (entries, worker):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(async_probe, entries, done)
                for caller in range(CALLERS):
                    tasks.start_soon(
                        async_send_orders, entries, caller, request_log, done
                    )
                tasks.start_soon(async_read_stream, entries[0].url, chunks)
                await request_log.async_wait_for_responses(100)
                entries[0].process.send_signal(signal.SIGTERM)
                code = await entries[0].process.wait()
                await request_log.async_wait_for_responses(100)
                done.set()
    assert code == 0
    assert (request_log.disconnected, request_log.refused) == ([], [])
    assert b"".join(chunks) == b"turn" * STREAM_CHUNKS
    runs = Counter(item.body for item in worker.requests if item.body)
    assert set(runs.values()) == {1}
    assert len(runs) == len(request_log.answered)
    assert len(request_log.answered) >= 200
