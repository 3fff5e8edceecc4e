"""Check unary calls between entries over real loopback connections."""

from __future__ import annotations

import socket
from typing import Any

import anyio
import pytest

from mustardward.components.membership.models import Member
from mustardward.components.peers.const import MAXIMUM_MESSAGE_BYTES
from mustardward.components.peers.exceptions import (
    PeerRefusedError,
    PeerUnreachableError,
)
from mustardward.components.peers.services import GrpcPeers
from mustardward.exceptions import NotReadyError, PeerOutcomeUnknownError
from mustardward.helpers.peer_channels import Purpose
from mustardward.helpers.registry import RegistryError

from .builders import PATIENT, Echo, EchoReply, build_member, running_peers

pytestmark = pytest.mark.anyio


async def _async_echo(sender: str, message: Any) -> EchoReply:
    return EchoReply(sender, message.text)


async def test_call_answers_with_the_senders_name() -> None:
    async with running_peers("a") as a, running_peers("b") as b:
        b.handle(Echo, _async_echo)
        reply = await a.async_call(build_member("b", b.address), Echo("hello"), PATIENT)
        assert reply == EchoReply("a", "hello")


async def test_each_caller_gets_its_own_reply() -> None:
    async def async_slow(sender: str, message: Any) -> EchoReply:
        await anyio.sleep(0.002 * (7 - int(message.text)))
        return EchoReply(sender, message.text)

    async with running_peers("a") as a, running_peers("b") as b:
        b.handle(Echo, async_slow)
        replies: dict[str, str] = {}

        async def async_one(text: str) -> None:
            reply = await a.async_call(
                build_member("b", b.address), Echo(text), PATIENT
            )
            replies[text] = reply.text

        async with anyio.create_task_group() as group:
            for number in range(8):
                group.start_soon(async_one, str(number))
        assert replies == {str(n): str(n) for n in range(8)}


async def test_nobody_listens_means_not_sent() -> None:
    async with running_peers("a") as a:
        with pytest.raises(PeerUnreachableError):
            await a.async_call(build_member("b", "127.0.0.1:1"), Echo("hello"), PATIENT)
        with pytest.raises(PeerUnreachableError):
            await a.async_call(build_member("b", "nonsense"), Echo("hello"), PATIENT)


async def test_call_without_handler_had_no_effect() -> None:
    async with running_peers("a") as a, running_peers("b") as b:
        with pytest.raises(PeerRefusedError):
            await a.async_call(build_member("b", b.address), Echo("hello"), PATIENT)


async def test_handler_is_withdrawn_and_never_taken_over() -> None:
    async with running_peers("b") as b:
        withdraw = b.handle(Echo, _async_echo)
        with pytest.raises(RegistryError):
            b.handle(Echo, _async_echo)
        withdraw()
        b.handle(Echo, _async_echo)


@pytest.mark.parametrize("error", [NotReadyError(), ValueError("bug")])
async def test_failing_handler_leaves_the_outcome_unknown(error: Exception) -> None:
    async def async_fail(sender: str, message: Any) -> EchoReply:
        raise error

    async with running_peers("a") as a, running_peers("b") as b:
        b.handle(Echo, async_fail)
        with pytest.raises(PeerOutcomeUnknownError):
            await a.async_call(build_member("b", b.address), Echo("hello"), PATIENT)


async def test_refusing_handler_had_no_effect() -> None:
    async def async_refuse(sender: str, message: Any) -> EchoReply:
        raise PeerRefusedError("busy")

    async with running_peers("a") as a, running_peers("b") as b:
        b.handle(Echo, async_refuse)
        with pytest.raises(PeerRefusedError):
            await a.async_call(build_member("b", b.address), Echo("hello"), PATIENT)


async def test_timeout_after_sending_leaves_the_outcome_unknown() -> None:
    """Tell a call that timed out from one that was never sent.

    Symptom: an effect happens twice. Sequence: the peer takes the message and is slow;
    the caller's timeout ends first and it tries elsewhere. Cause: a timeout taken for
    proof that nothing was done.
    """
    started = anyio.Event()

    async def async_hang(sender: str, message: Any) -> EchoReply:
        started.set()
        await anyio.sleep(30)
        return EchoReply(sender, message.text)

    async with running_peers("a") as a, running_peers("b") as b:
        b.handle(Echo, async_hang)
        with pytest.raises(PeerOutcomeUnknownError):
            await a.async_call(build_member("b", b.address), Echo("hello"), 0.5)
        assert started.is_set()


async def test_too_large_message_is_refused_before_it_is_read() -> None:
    async with running_peers("a") as a, running_peers("b") as b:
        b.handle(Echo, _async_echo)
        member = build_member("b", b.address)
        with pytest.raises(PeerRefusedError):
            await a.async_call(member, Echo("x" * MAXIMUM_MESSAGE_BYTES), PATIENT)
        assert (await a.async_call(member, Echo("after"), PATIENT)).text == "after"


async def test_peer_that_restarts_is_called_again() -> None:
    async with running_peers("a") as a:
        async with running_peers("b") as b:
            b.handle(Echo, _async_echo)
            address = b.address
            await a.async_call(build_member("b", address), Echo("first"), PATIENT)
        with pytest.raises(PeerUnreachableError):
            await a.async_call(build_member("b", address), Echo("gone"), PATIENT)
        async with running_peers("c") as c:
            c.handle(Echo, _async_echo)
            reply = await a.async_call(
                build_member("c", c.address), Echo("new"), PATIENT
            )
            assert reply.text == "new"


async def test_replies_do_not_wait_for_delayed_acknowledgements() -> None:
    """Keep Nagle's algorithm off on accepted connections.

    Symptom: each call between entries takes 45 ms instead of half a millisecond.
    Sequence: the reply's first segment leaves, the next waits for its acknowledgement,
    which the caller delays. Cause: a listening socket that does not name its protocol,
    so that neither asyncio nor grpclib sets the option.
    """
    async with running_peers("a") as a, running_peers("b") as b:
        b.handle(Echo, _async_echo)
        await a.async_call(build_member("b", b.address), Echo("hello"), PATIENT)
        for protocol in b._server._server._protocols:
            accepted = protocol.connection._transport.get_extra_info("socket")
            assert accepted.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)


async def test_call_that_timed_out_leaves_its_connection() -> None:
    """Call anew on a fresh connection after a timeout.

    Symptom: an entry stays suspected for minutes after a cut has healed. Sequence: the
    packets of its connection are dropped, each call times out, the connection is used
    again. Cause: TCP takes it for open until its retransmissions give up.
    """

    async def async_slow_first(sender: str, message: Any) -> EchoReply:
        if message.text == "slow":
            await anyio.sleep(30)
        return EchoReply(sender, message.text)

    async with running_peers("a") as a, running_peers("b") as b:
        b.handle(Echo, async_slow_first)
        member = build_member("b", b.address)
        first = await a._channels.async_acquire(b.address, Purpose.CONTROL)
        first.release()
        with pytest.raises(PeerOutcomeUnknownError):
            await a.async_call(member, Echo("slow"), 0.1)
        assert len(a._channels) == 0
        assert (await a.async_call(member, Echo("quick"), PATIENT)).text == "quick"
        second = await a._channels.async_acquire(b.address, Purpose.CONTROL)
        second.release()
        assert second.channel is not first.channel
        assert not first.channel._connected


async def test_a_lost_connection_leaves_no_cancellation_behind() -> None:
    """Keep the caller's deadline working after a peer was lost.

    Symptom: at its deadline a request gets a bare 500 without a body. Sequence: a call
    is waiting when its peer is killed; the request goes on and reaches its deadline.
    Cause: the transport cancels the waiting task and never takes that back, so the
    deadline's scope lets its own cancellation through.
    """
    started = anyio.Event()

    async def async_hang(sender: str, message: Any) -> EchoReply:
        started.set()
        await anyio.sleep(30)
        return EchoReply(sender, message.text)

    outcomes: list[str] = []

    async def async_request(a: GrpcPeers, member: Member) -> None:
        with anyio.move_on_after(0.5) as scope:
            try:
                await a.async_call(member, Echo("hello"), 10.0)
            except PeerOutcomeUnknownError:
                outcomes.append("lost")
            await anyio.sleep(30)
        outcomes.append("deadline" if scope.cancelled_caught else "ended")

    async with running_peers("a") as a, running_peers("b") as b:
        b.handle(Echo, async_hang)
        async with anyio.create_task_group() as group:
            group.start_soon(async_request, a, build_member("b", b.address))
            await started.wait()
            await b.async_stop()
    assert outcomes == ["lost", "deadline"]
