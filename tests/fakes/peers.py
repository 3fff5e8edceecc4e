"""Connect entries within one process over a fake network with faults."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any

from returns.result import Failure, Result

from mustardward.components.entry.models import AttemptOutcome, RequestFacts
from mustardward.components.entry.protocols import (
    FailedAttempt,
    OutgoingRequest,
    WorkerResponse,
)
from mustardward.components.membership.models import Member
from mustardward.components.peers.exceptions import (
    PeerRefusedError,
    PeerUnreachableError,
)
from mustardward.components.peers.protocols import PeerHandler, describe_message
from mustardward.exceptions import PeerOutcomeUnknownError
from mustardward.helpers.msgpack_codec import MsgpackCodec


@dataclass(eq=False)
class FakeNetwork:
    """Connect fake peers by address, and inject network faults.

    :param lost_share: probability that the reply of a call is lost.
    :param cut: pairs of addresses that cannot reach each other.
    :param stopped: addresses that accept calls but never respond.
    """

    random: Random = field(default_factory=lambda: Random(1))
    lost_share: float = 0.0
    peers: dict[str, FakePeers] = field(default_factory=dict)
    cut: set[frozenset[str]] = field(default_factory=set)
    stopped: set[str] = field(default_factory=set)
    calls: int = 0

    def cut_between(self, some: list[str], others: list[str]) -> None:
        """Disconnect each of some addresses from each of the others."""
        self.cut |= {frozenset((a, b)) for a in some for b in others if a != b}


class FakePeers:
    """Replace :class:`Peers` at one address of a fake network."""

    def __init__(self, network: FakeNetwork, name: str, address: str) -> None:
        self._network = network
        self._name = name
        self._address = address
        self._handlers: dict[type, PeerHandler] = {}
        self._codec = MsgpackCodec()
        self.bytes_sent = 0
        self.bytes_received = 0
        self.calls_made = 0
        self.calls_answered = 0
        network.peers[address] = self

    @property
    def address(self) -> str:
        """Return the address of this entry."""
        return self._address

    def handle(self, message_type: type, handler: PeerHandler) -> Callable[[], None]:
        """Register the handler of a message type; return a function that removes it."""
        self._handlers[message_type] = handler
        return lambda: self._handlers.pop(message_type, None) and None

    async def async_call(
        self, member: Member, message: Any, timeout_seconds: float = 1.0
    ) -> Any:
        """Call another fake, encoding message and reply with the real codec."""
        network = self._network
        target = network.peers.get(member.address)
        self.calls_made += 1
        network.calls += 1
        if target is None or frozenset((self._address, member.address)) in network.cut:
            raise PeerUnreachableError(member.address)
        if member.address in network.stopped:
            raise PeerOutcomeUnknownError(member.address)
        data = self._codec.encode(message, type(message))
        self._count(target, len(data))
        reply = await target.async_answer(self._name, message, data)
        target._count(self, len(reply))
        if network.random.random() < network.lost_share:
            raise PeerOutcomeUnknownError("reply lost")
        return self._codec.decode(reply, describe_message(message).reply_type)

    async def async_answer(self, sender: str, message: Any, data: bytes) -> bytes:
        """Return the encoded reply to one encoded message."""
        self.calls_answered += 1
        handler = self._handlers.get(type(message))
        if handler is None:
            raise PeerRefusedError("no handler")
        reply = await handler(sender, self._codec.decode(data, type(message)))
        return self._codec.encode(reply, describe_message(message).reply_type)

    async def async_forward(
        self, member: Member, facts: RequestFacts, request: OutgoingRequest
    ) -> Result[WorkerResponse, FailedAttempt]:
        """Fail, since the fake forwards nothing."""
        return Failure(FailedAttempt(AttemptOutcome.NOT_SENT, "fake"))

    def _count(self, target: FakePeers, size: int) -> None:
        self.bytes_sent += size
        target.bytes_received += size
