"""Test that each call returns its connection to the pool, whatever its outcome."""

from __future__ import annotations

import asyncio
import errno
import random

import anyio
import pytest

from mustardward.platform import http as http_module
from mustardward.platform.exceptions import CallRefusedError, CallUnknownError
from mustardward.platform.http import MAX_CONNECTIONS_PER_HOST, HttpCaller, _Host

from .test_http import async_post, async_read_request, build_response, run_server

pytestmark = pytest.mark.anyio

CALLS = 400


def get_hosts(http: HttpCaller) -> list[_Host]:
    """Return the connection pools of the called addresses."""
    return list(http._hosts.values())


async def async_serve_with_faults(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Respond, truncate the response, close, stall or send garbage, at random."""
    rng = random.Random(7)
    while True:
        await async_read_request(reader)
        kind = rng.choice(["well", "well", "well", "half", "close", "silent", "junk"])
        if kind == "silent":
            await asyncio.sleep(0.03)
        elif kind == "close":
            return
        elif kind == "junk":
            writer.write(b"no such thing\r\n\r\n")
        else:
            response = build_response(b"0123456789")
            writer.write(response if kind == "well" else response[:-4])
        await writer.drain()


async def test_no_outcome_of_a_call_leaks_its_connection() -> None:
    """Guard against calls to a worker that all fail for lack of a connection."""
    async with run_server(async_serve_with_faults) as server:
        http = HttpCaller()
        rng = random.Random(3)

        async def async_call(cancel_seconds: float, timeout: float) -> None:
            with anyio.move_on_after(cancel_seconds):
                try:
                    await async_post(http, server, timeout)
                except (CallRefusedError, CallUnknownError):
                    pass

        async with anyio.create_task_group() as tasks:
            for _ in range(CALLS):
                cancel_seconds = rng.choice([0.0, 0.001, 0.005, 0.02, 1.0])
                timeout = rng.choice([0.001, 0.01, 0.05])
                tasks.start_soon(async_call, cancel_seconds, timeout)
                await anyio.sleep(rng.choice([0.0, 0.0, 0.001]))
        (host,) = get_hosts(http)
        assert host._connection_count == len(host._idle) <= MAX_CONNECTIONS_PER_HOST
        assert not host._waiters
        await http.async_close()
        assert host._connection_count == 0


async def test_call_without_a_file_descriptor_takes_no_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guard against a node that exits or stops calling after a brief shortage."""

    def fail() -> None:
        raise OSError(errno.EMFILE, "too many open files")

    http = HttpCaller()
    monkeypatch.setattr(http_module, "open_socket", fail)
    with pytest.raises(CallRefusedError):
        await http.async_call("POST", "http://127.0.0.1:9/a", timeout_seconds=0.1)
    (host,) = get_hosts(http)
    assert host._connection_count == 0
