"""Test that every connection that a call took is given back, however it ended."""

from __future__ import annotations

import asyncio
import errno
import random

import anyio
import pytest

from mustardward.platform import http as http_module
from mustardward.platform.exceptions import CallRefusedError, CallUnknownError
from mustardward.platform.http import MAX_CONNECTIONS_PER_HOST, HttpCaller, _Host

from .test_http import a_server, an_answer, async_post, async_read_request

pytestmark = pytest.mark.anyio

CALLS = 400


def hosts_of(http: HttpCaller) -> list[_Host]:
    """Return the addresses that were called."""
    return list(http._hosts.values())


async def async_serve_badly(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Answer, answer half, close, or stay silent, in an order that is drawn."""
    draw = random.Random(7)
    while True:
        await async_read_request(reader)
        kind = draw.choice(["well", "well", "well", "half", "close", "silent", "junk"])
        if kind == "silent":
            await asyncio.sleep(0.03)
        elif kind == "close":
            return
        elif kind == "junk":
            writer.write(b"no such thing\r\n\r\n")
        else:
            whole = an_answer(b"0123456789")
            writer.write(whole if kind == "well" else whole[:-4])
        await writer.drain()


async def test_no_end_of_a_call_keeps_its_connection() -> None:
    """Guards against a worker whose calls are all refused for want of a connection."""
    async with a_server(async_serve_badly) as server:
        http = HttpCaller()
        draw = random.Random(3)

        async def async_call(patience: float, timeout: float) -> None:
            with anyio.move_on_after(patience):
                try:
                    await async_post(http, server, timeout)
                except (CallRefusedError, CallUnknownError):
                    pass

        async with anyio.create_task_group() as tasks:
            for _ in range(CALLS):
                patience = draw.choice([0.0, 0.001, 0.005, 0.02, 1.0])
                timeout = draw.choice([0.001, 0.01, 0.05])
                tasks.start_soon(async_call, patience, timeout)
                await anyio.sleep(draw.choice([0.0, 0.0, 0.001]))
        (host,) = hosts_of(http)
        assert host._open == len(host._idle) <= MAX_CONNECTIONS_PER_HOST
        assert not host._waiters
        await http.async_close()
        assert host._open == 0


async def test_a_call_without_a_descriptor_takes_no_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """An entry that is out of descriptors for a moment ends, or calls no more."""

    def fail() -> None:
        raise OSError(errno.EMFILE, "too many open files")

    http = HttpCaller()
    monkeypatch.setattr(http_module, "open_socket", fail)
    with pytest.raises(CallRefusedError):
        await http.async_call("POST", "http://127.0.0.1:9/a", timeout_seconds=0.1)
    (host,) = hosts_of(http)
    assert host._open == 0
