"""Measure what one call between entries costs on the wire and in processor time."""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Any, Final

from mustardward.components.membership.messages import Exchange, ExchangeReply, Vitals
from mustardward.components.membership.models import Member, MemberStatus
from mustardward.components.peers.grpc_peers import GrpcPeers
from mustardward.components.peers.receiver import ForwardReceiver
from mustardward.helpers.msgpack_codec import MsgpackCodec

_SEGMENT_BYTES: Final = 52
"""Headers of one segment: 20 of IPv4, 20 of TCP, 12 of its time stamps."""

_WARM_CALLS: Final = 50
_CALLS: Final = 400


@dataclass(frozen=True, slots=True)
class CallCost:
    """Hold what one call costs besides its two bodies.

    ``overhead_bytes`` counts both directions: HTTP/2 frames, and the headers of the
    segments and of as many acknowledgements. ``cpu_seconds`` is both sides together.
    """

    overhead_bytes: float
    http2_bytes: float
    cpu_seconds: float


class _CountingRelay:
    """Pass bytes between a caller and a peer and count them."""

    def __init__(self, port: int) -> None:
        self._port = port
        self.bytes = 0
        self.segments = 0
        self._tasks: set[asyncio.Task[None]] = set()

    async def async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Relay one connection."""
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        far_reader, far_writer = await asyncio.open_connection("127.0.0.1", self._port)
        await asyncio.gather(
            self._async_copy(reader, far_writer), self._async_copy(far_reader, writer)
        )

    async def async_finish(self) -> None:
        """Wait until both ends closed their connections."""
        await asyncio.gather(*self._tasks)

    async def _async_copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while data := await reader.read(65536):
            self.bytes += len(data)
            self.segments += 1
            writer.write(data)
        writer.close()


@asynccontextmanager
async def _running(name: str) -> AsyncIterator[GrpcPeers]:
    receiver = ForwardReceiver(
        lambda: None, lambda: None, lambda: False, time.monotonic, 300.0
    )
    peers = GrpcPeers(name, receiver, time.monotonic)
    await peers.async_start("127.0.0.1", 0, None)
    try:
        yield peers
    finally:
        await peers.async_stop()


_VITALS: Final = Vitals(2**50, 100_000, "0123abcd", 17)
_MESSAGE: Final = Exchange(_VITALS, 1000, 1000, 2**31, (), (), 2**31, bytes(14))
_REPLY: Final = ExchangeReply(_VITALS, 1000, 1000, 2**31, (), (), 2**31, bytes(14))


async def _async_reply(sender: str, message: Any) -> ExchangeReply:
    return _REPLY


async def _async_call(caller: GrpcPeers, address: str, calls: int) -> float:
    member = Member("b", "c-1", address, 1, MemberStatus.ALIVE)
    began = time.process_time()
    for _ in range(calls):
        await caller.async_call(member, _MESSAGE)
    return (time.process_time() - began) / calls


async def async_measure_call() -> CallCost:
    """Return the cost of one exchange on a connection that is in use already."""
    async with _running("a") as a, _running("b") as b:
        b.handle(Exchange, _async_reply)
        relay = _CountingRelay(int(b.address.rpartition(":")[2]))
        server = await asyncio.start_server(relay.async_serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        await _async_call(a, f"127.0.0.1:{port}", _WARM_CALLS)
        relay.bytes = relay.segments = 0
        await _async_call(a, f"127.0.0.1:{port}", _CALLS)
        cpu = await _async_call(a, b.address, _CALLS)
        server.close()
    await relay.async_finish()
    codec = MsgpackCodec()
    bodies = len(codec.encode(_MESSAGE, Exchange))
    bodies += len(codec.encode(_REPLY, ExchangeReply))
    http2 = relay.bytes / _CALLS - bodies
    headers = relay.segments / _CALLS * 2 * _SEGMENT_BYTES
    return CallCost(http2 + headers, http2, cpu)
