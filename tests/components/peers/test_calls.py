"""Test unary calls between entries over loopback connections."""

from __future__ import annotations

import socket
from typing import Any

import anyio
import pytest

from mustardward.components.membership.models import Member
from mustardward.components.peers.const import MAX_MESSAGE_BYTES
from mustardward.components.peers.exceptions import (
    PeerRefusedError,
    PeerUnreachableError,
)
from mustardward.components.peers.grpc_peers import GrpcPeers
from mustardward.exceptions import NotReadyError, PeerOutcomeUnknownError
from mustardward.helpers.peer_channels import Purpose
from mustardward.helpers.registry import RegistryError

from .builders import CALL_TIMEOUT_SECONDS, Echo, EchoReply, build_member, running_peers

pytestmark = pytest.mark.anyio


async def _async_echo(sender: str, message: Any) -> EchoReply:
    return EchoReply(sender, message.text)


async def test_handler_receives_the_senders_name() -> None:
    async with running_peers("a") as a, running_peers("b") as b:
        b.handle(Echo, _async_echo)
        reply = await a.async_call(
            build_member("b", b.address), Echo("hello"), CALL_TIMEOUT_SECONDS
        )
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
                build_member("b", b.address), Echo(text), CALL_TIMEOUT_SECONDS
            )
            replies[text] = reply.text

        async with anyio.create_task_group() as group:
            for number in range(8):
                group.start_soon(async_one, str(number))
        assert replies == {str(n): str(n) for n in range(8)}


async def test_unreachable_peer_means_not_sent() -> None:
    async with running_peers("a") as a:
        with pytest.raises(PeerUnreachableError):
            await a.async_call(
                build_member("b", "127.0.0.1:1"), Echo("hello"), CALL_TIMEOUT_SECONDS
            )
        with pytest.raises(PeerUnreachableError):
            await a.async_call(
                build_member("b", "nonsense"), Echo("hello"), CALL_TIMEOUT_SECONDS
            )


async def test_call_without_handler_had_no_effect() -> None:
    async with running_peers("a") as a, running_peers("b") as b:
        with pytest.raises(PeerRefusedError):
            await a.async_call(
                build_member("b", b.address), Echo("hello"), CALL_TIMEOUT_SECONDS
            )


async def test_handler_can_be_unregistered_but_not_replaced() -> None:
    async with running_peers("b") as b:
        unregister = b.handle(Echo, _async_echo)
        with pytest.raises(RegistryError):
            b.handle(Echo, _async_echo)
        unregister()
        b.handle(Echo, _async_echo)


@pytest.mark.parametrize("error", [NotReadyError(), ValueError("bug")])
async def test_failing_handler_leaves_the_outcome_unknown(error: Exception) -> None:
    async def async_fail(sender: str, message: Any) -> EchoReply:
        raise error

    async with running_peers("a") as a, running_peers("b") as b:
        b.handle(Echo, async_fail)
        with pytest.raises(PeerOutcomeUnknownError):
            await a.async_call(
                build_member("b", b.address), Echo("hello"), CALL_TIMEOUT_SECONDS
            )


async def test_refusing_handler_had_no_effect() -> None:
    async def async_refuse(sender: str, message: Any) -> EchoReply:
        raise PeerRefusedError("busy")

    async with running_peers("a") as a, running_peers("b") as b:
        b.handle(Echo, async_refuse)
        with pytest.raises(PeerRefusedError):
            await a.async_call(
                build_member("b", b.address), Echo("hello"), CALL_TIMEOUT_SECONDS
            )


async def test_timeout_after_sending_leaves_the_outcome_unknown() -> None:
    """Guard against an effect that happens twice.

    The peer receives the message and is slow, and the caller times out. If a timeout
    counted as proof that the call had no effect, the caller would retry elsewhere.
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
            await a.async_call(
                member, Echo("x" * MAX_MESSAGE_BYTES), CALL_TIMEOUT_SECONDS
            )
        assert (
            await a.async_call(member, Echo("after"), CALL_TIMEOUT_SECONDS)
        ).text == "after"


async def test_restarted_peer_is_called_again() -> None:
    async with running_peers("a") as a:
        async with running_peers("b") as b:
            b.handle(Echo, _async_echo)
            address = b.address
            await a.async_call(
                build_member("b", address), Echo("first"), CALL_TIMEOUT_SECONDS
            )
        with pytest.raises(PeerUnreachableError):
            await a.async_call(
                build_member("b", address), Echo("gone"), CALL_TIMEOUT_SECONDS
            )
        async with running_peers("c") as c:
            c.handle(Echo, _async_echo)
            reply = await a.async_call(
                build_member("c", c.address), Echo("new"), CALL_TIMEOUT_SECONDS
            )
            assert reply.text == "new"


async def test_replies_do_not_wait_for_delayed_acknowledgements() -> None:
    """Guard against calls that take 45 ms instead of half a millisecond.

    With Nagle's algorithm, a reply's second segment waits for the acknowledgement of
    the first one, which the caller delays. asyncio and grpclib disable it only if the
    listening socket has an explicit protocol.
    """
    async with running_peers("a") as a, running_peers("b") as b:
        b.handle(Echo, _async_echo)
        await a.async_call(
            build_member("b", b.address), Echo("hello"), CALL_TIMEOUT_SECONDS
        )
        for protocol in b._server._server._protocols:
            accepted = protocol.connection._transport.get_extra_info("socket")
            assert accepted.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)


async def test_call_after_a_timeout_uses_a_new_connection() -> None:
    """Guard against an entry suspected for minutes after a network partition ended.

    The packets of its connection are dropped and each call times out. TCP considers
    the connection open until its retransmissions give up, so it must not be reused.
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
        assert (
            await a.async_call(member, Echo("quick"), CALL_TIMEOUT_SECONDS)
        ).text == "quick"
        second = await a._channels.async_acquire(b.address, Purpose.CONTROL)
        second.release()
        assert second.channel is not first.channel
        assert not first.channel._connected


async def test_lost_connection_leaves_no_pending_cancellation() -> None:
    """Guard against a request that gets an empty 500 at its deadline.

    A call is waiting when its peer is killed, and the request later reaches its
    deadline. grpclib cancels the waiting task without reverting the cancellation, so
    the deadline's scope would propagate its own cancellation.
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
