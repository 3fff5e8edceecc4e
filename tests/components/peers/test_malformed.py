"""Test the handlers of peers with malformed messages."""

from __future__ import annotations

import struct
from io import BytesIO
from typing import Any

import anyio
import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from mustardward.components.membership.messages import (
    Exchange,
    InstanceNote,
    MemberState,
    Vitals,
)
from mustardward.components.peers.exceptions import PeerMessageError, PeerRefusedError
from mustardward.components.peers.framing import async_receive_bytes
from mustardward.components.peers.models import ResponseFrame
from mustardward.components.peers.receiver import ForwardReceiver
from mustardward.components.peers.server import PeerServer
from mustardward.exceptions import MustardwardError
from mustardward.helpers.msgpack_codec import MsgpackCodec
from tests.fakes.cluster import Cluster

from .builders import (
    CALL_TIMEOUT_SECONDS,
    Echo,
    EchoReply,
    FixedDirectory,
    RecordingEntry,
    build_member,
    running_peers,
)

_FUZZ = settings(derandomize=True, max_examples=60, deadline=None, database=None)
_NAMES = ("membership.exchange", "membership.view", "membership.probe", "nonsense", "")


class BytesStream:
    """Fake grpclib's stream with fixed bytes."""

    def __init__(self, data: bytes) -> None:
        self._data = BytesIO(data)
        self._stream = self
        self.sent: list[ResponseFrame] = []

    async def recv_data(self, size: int) -> bytes:
        data = self._data.read(size)
        if data and len(data) < size:
            raise AssertionError("Received less data than expected")
        return data

    async def send_message(self, message: msgspec.Raw) -> None:
        self.sent.append(msgspec.msgpack.decode(message, type=ResponseFrame))


async def _async_nothing(stream: Any) -> None:
    return None


async def _async_dispatch(name: str, data: bytes) -> set[str]:
    cluster = Cluster()
    await cluster.async_start_all({"v-1": 2})
    await cluster.async_run(3.0)
    node = cluster.nodes["v-1-0"]
    server = PeerServer(node.peers._handlers, _async_nothing)
    try:
        await server.async_dispatch("v-1-1", name, data)
    except MustardwardError as error:
        assert isinstance(error, PeerMessageError | PeerRefusedError)
    await cluster.async_run(2.0)
    return node.live()


@_FUZZ
@given(st.sampled_from(_NAMES), st.binary(max_size=64))
def test_random_bytes_raise_typed_errors_and_keep_all_members(
    name: str, data: bytes
) -> None:
    assert {"v-1-0", "v-1-1"} <= anyio.run(_async_dispatch, name, data)


_STATES = st.builds(
    MemberState,
    name=st.sampled_from(("v-1-0", "v-1-1", "x", "")),
    incarnation=st.integers(-1, 2**63 - 1),
    status=st.integers(-1, 5),
    data_centre=st.sampled_from(("v-1", "v-9", "")),
    address=st.text(max_size=10),
)
_EXCHANGES = st.builds(
    Exchange,
    vitals=st.builds(Vitals, incarnation=st.integers(0, 2**62)),
    version=st.integers(0, 2**62),
    seen=st.integers(0, 2**62),
    view=st.integers(0, 2**32),
    members=st.lists(_STATES, max_size=3).map(tuple),
    instances=st.lists(
        st.builds(
            InstanceNote,
            instance_id=st.text(max_size=3),
            boot=st.integers(-1, 3),
            count=st.integers(-1, 3),
            leaving=st.booleans(),
        ),
        max_size=2,
    ).map(tuple),
    centres=st.integers(0, 2**32),
    heard=st.binary(max_size=4),
)


@_FUZZ
@given(_EXCHANGES)
def test_arbitrary_digests_never_remove_the_own_member(
    message: Exchange,
) -> None:
    data = MsgpackCodec().encode(message, Exchange)

    async def async_check() -> None:
        cluster = Cluster()
        node = await cluster.async_start("v-1-0", "v-1")
        server = PeerServer(node.peers._handlers, _async_nothing)
        try:
            await server.async_dispatch("v-1-1", "membership.exchange", data)
        except PeerMessageError:
            pass
        await cluster.async_run(2.0)
        assert node.membership.own.name == "v-1-0"
        assert node.membership.own in node.membership.members()

    anyio.run(async_check)


@_FUZZ
@given(st.binary(max_size=40))
def test_random_frames_are_refused_as_not_run(data: bytes) -> None:
    entry = RecordingEntry()
    receiver = ForwardReceiver(
        lambda: entry, FixedDirectory, lambda: False, lambda: 0.0, 300.0
    )
    stream = BytesStream(struct.pack(">BI", 0, len(data)) + data)
    anyio.run(receiver.async_answer, stream)
    assert entry.served == []
    refusal = stream.sent[0].refusal
    assert refusal is not None and refusal.ran == "no"


@pytest.mark.parametrize(
    "data",
    [
        struct.pack(">BI", 1, 3) + b"abc",
        struct.pack(">BI", 0, 2**32 - 1) + b"abc",
        struct.pack(">BI", 0, 8) + b"abc",
        b"\x00\x00",
    ],
)
def test_invalid_frames_raise_typed_errors(data: bytes) -> None:
    with pytest.raises(PeerMessageError):
        anyio.run(async_receive_bytes, BytesStream(data))


@pytest.mark.anyio
@pytest.mark.parametrize("garbage", [b"GET / HTTP/1.1\r\n\r\n", b"\x00" * 100])
async def test_invalid_connection_does_not_affect_others(garbage: bytes) -> None:
    async def async_echo(sender: str, message: Any) -> EchoReply:
        return EchoReply(sender, message.text)

    async with running_peers("a") as a, running_peers("b") as b:
        b.handle(Echo, async_echo)
        host, _, port = b.address.rpartition(":")
        async with await anyio.connect_tcp(host, int(port)) as client:
            await client.send(garbage)
            reply = await a.async_call(
                build_member("b", b.address), Echo("fine"), CALL_TIMEOUT_SECONDS
            )
    assert reply.text == "fine"
