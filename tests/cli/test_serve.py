"""Stop real entry processes while callers use them."""

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
STREAM_PIECES = 40
PIECE_SECONDS = 0.06


@dataclass(slots=True)
class Entry:
    """Hold a running entry process."""

    process: Process
    port: int
    operators_port: int
    ready: bool = True

    @property
    def url(self) -> str:
        """Return where its callers reach it."""
        return f"http://127.0.0.1:{self.port}"

    @property
    def operators_url(self) -> str:
        """Return where its operators reach it."""
        return f"http://127.0.0.1:{self.operators_port}"


@dataclass(slots=True)
class History:
    """Hold what callers saw."""

    answered: list[str] = field(default_factory=list)
    cut: list[str] = field(default_factory=list)
    refused: list[str] = field(default_factory=list)
    waiting: dict[int, anyio.Event] = field(default_factory=dict)

    def answer(self, name: str) -> None:
        """Take an answer in."""
        self.answered.append(name)
        if (event := self.waiting.get(len(self.answered))) is not None:
            event.set()

    async def async_more(self, count: int) -> None:
        """Wait for as many more answers."""
        event = self.waiting[len(self.answered) + count] = anyio.Event()
        await event.wait()


async def echo(stream: SocketStream, seen: ReceivedRequest) -> bool:
    if seen.target.endswith("/slow"):
        return await stream_slowly(stream, seen)
    await stream.send(build_response(seen, seen.body))
    return True


async def stream_slowly(stream: SocketStream, seen: ReceivedRequest) -> bool:
    head = f"HTTP/1.1 200 X\r\nmw-attempt-id: {seen.attempt_id}\r\n"
    await stream.send(head.encode() + b"transfer-encoding: chunked\r\n\r\n")
    for _ in range(STREAM_PIECES):
        await anyio.sleep(PIECE_SECONDS)
        await stream.send(b"4\r\nturn\r\n")
    await stream.send(b"0\r\n\r\n")
    return True


@asynccontextmanager
async def running_entries(
    count: int, folder: Path
) -> AsyncIterator[tuple[list[Entry], RawWorker]]:
    """Run a stand-in platform and entries as an operator would, and one worker."""
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
            await async_enlist(int(platform[1]), worker.address)
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
    wanted: re.Pattern[bytes],
) -> re.Match[bytes]:
    """Start a command, and return what it says once it listens."""
    process = await anyio.open_process(
        [sys.executable, "-m", "mustardward", *command],
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
    )
    processes.append(process)
    assert process.stdout is not None
    seen = b""
    while (found := wanted.search(seen)) is None:
        seen += await process.stdout.receive()
    tasks.start_soon(async_drop_log, process)
    return found


async def async_enlist(platform_port: int, worker: str) -> None:
    """Let the platform know the worker's instance.

    An instance that is in no list of the platform is looked up after some seconds, and
    reported as failed for good, since it will not come back by itself. On a busy
    machine the stop came only after that, and no order was answered any more.
    """
    instance = {"instance_id": "worker-1", "data_centre": "dc-a", "address": worker}
    url = f"http://127.0.0.1:{platform_port}/admin/instances"
    async with httpx.AsyncClient(timeout=10.0) as client:
        answer = await client.post(url, json=instance)
    assert answer.status_code < 300, answer.text


async def async_publish(entries: list[Entry], worker: str) -> None:
    """Bring a pool with one worker, a template and an organisation into force."""
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
            await async_until_good(client, f"{entry.url}/-/ready")
        operators = entries[0].operators_url
        calls = [
            ("PUT", "/pools/racks", {}),
            ("POST", "/instances", {"instances": [instance]}),
            ("POST", "/templates/small", {"parameters": template, "base_revision": 0}),
            ("PUT", "/organisations/hvelv", {"template": "small", "base_revision": 0}),
        ]
        for method, path, body in calls:
            answer = await client.request(method, operators + path, json=body)
            assert answer.status_code < 300, answer.text
        for entry in entries:
            await async_until_good(client, f"{entry.url}/hvelv/turn/")


async def async_until_good(client: httpx.AsyncClient, url: str) -> None:
    while True:
        if (await client.get(url)).status_code == 200:
            return
        await anyio.sleep(0.02)


async def async_drop_log(process: Process) -> None:
    # A full pipe would stop the process at its next log line.
    assert process.stdout is not None
    with suppress(anyio.ClosedResourceError):
        async for _ in process.stdout:
            pass


async def async_probe(entries: list[Entry], done: anyio.Event) -> None:
    """Look at the entries' readiness as a balancer does."""
    async with httpx.AsyncClient() as client:
        while not done.is_set():
            for entry in entries:
                try:
                    answer = await client.get(f"{entry.url}/-/ready")
                    entry.ready = answer.status_code == 200
                except httpx.TransportError:
                    entry.ready = False
            await anyio.sleep(0.05)


async def async_call_in_turn(
    entries: list[Entry], caller: int, history: History, done: anyio.Event
) -> None:
    """Place orders through the entries in turn, each order once."""
    turn = caller
    limits = httpx.Limits(max_connections=1, max_keepalive_connections=1)
    clients = [httpx.AsyncClient(limits=limits, verify=False) for _ in entries]
    number = 0
    while not done.is_set():
        name = f"order-{caller}-{number}"
        number += 1
        while True:
            turn = (turn + 1) % len(entries)
            if not entries[turn].ready:
                await anyio.sleep(0.001)
                continue
            url = f"{entries[turn].url}/hvelv/turn/orders"
            if await async_order(clients[turn], url, name, history):
                break
    for client in clients:
        await client.aclose()


async def async_order(
    client: httpx.AsyncClient, url: str, name: str, history: History
) -> bool:
    """Place one order; return false if another entry may be tried."""
    try:
        answer = await client.post(url, content=name.encode())
    except httpx.ConnectError:
        return False
    except httpx.TransportError as error:
        history.cut.append(f"{name}:{type(error).__name__}")
        return True
    if answer.status_code == 503 and answer.headers.get("mw-ran") == "no":
        return False
    if answer.content == name.encode():
        history.answer(name)
    else:
        history.refused.append(f"{name}:{answer.text}")
    return True


async def async_read_stream(url: str, pieces: list[bytes]) -> None:
    async with httpx.AsyncClient() as client:
        async with client.stream("GET", f"{url}/hvelv/turn/slow") as answer:
            async for piece in answer.aiter_raw():
                pieces.append(piece)


async def test_a_stop_under_load_cuts_no_request(tmp_path: Path) -> None:
    """Stop one of three entries while orders and a stream go through it.

    Symptom: orders are cut or placed twice at every roll-out. Sequence: SIGTERM comes
    in the middle of requests. Cause: the listener or its connections end before the
    callers have gone elsewhere, or before their answers are whole.
    """
    history, pieces, done = History(), list[bytes](), anyio.Event()
    with anyio.fail_after(60):
        async with running_entries(3, tmp_path) as (entries, worker):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(async_probe, entries, done)
                for caller in range(CALLERS):
                    tasks.start_soon(async_call_in_turn, entries, caller, history, done)
                tasks.start_soon(async_read_stream, entries[0].url, pieces)
                await history.async_more(100)
                entries[0].process.send_signal(signal.SIGTERM)
                code = await entries[0].process.wait()
                await history.async_more(100)
                done.set()
    assert code == 0
    assert (history.cut, history.refused) == ([], [])
    assert b"".join(pieces) == b"turn" * STREAM_PIECES
    runs = Counter(item.body for item in worker.requests if item.body)
    assert set(runs.values()) == {1}
    assert len(runs) == len(history.answered)
    assert len(history.answered) >= 200
