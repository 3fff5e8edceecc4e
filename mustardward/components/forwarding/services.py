"""Ask peers over grpclib, and answer them."""

from __future__ import annotations

import math
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

import anyio
from grpclib.client import UnaryUnaryMethod
from grpclib.const import Cardinality, Handler
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError
from grpclib.server import Server

from ...helpers.logging import get_logger
from ...helpers.msgpack_codec import MsgpackCodec
from ...helpers.peer_channels import ChannelPool, PeerUnreachableError, Purpose
from ...helpers.timer import TimerService
from ..ledger.ledger import Ledger
from .const import (
    CHECK_METHOD,
    CHECK_TIMEOUT_SECONDS,
    CHECK_VALID_SECONDS,
    LISTEN_RETRY_DELAY_SECONDS,
    MAX_PEERS_ASKED,
    OUTCOME_UNKNOWN_STATUS,
    PEER_RPC_PATH,
    PEER_TIMEOUT_SECONDS,
)
from .models import PeerReply, PeerRequest
from .peers import PeerSelector

_LOGGER = get_logger(__name__)

_FAILURES = (
    PeerUnreachableError,
    GRPCError,
    ProtocolError,
    StreamTerminatedError,
    TimeoutError,
    OSError,
)

PeerRequestHandler = Callable[[PeerRequest], Awaitable[PeerReply]]


@dataclass(frozen=True, slots=True)
class PeerOutcome:
    """Hold what asking came to.

    :param reply: the answer of a peer that has the log, or None.
    :param may_have_effect: whether a peer was asked and its answer is not known.
    """

    reply: PeerReply | None
    may_have_effect: bool


@dataclass(slots=True, eq=False)
class Forwarder:
    """Ask one peer after the other until one answers from the log.

    :param check_seconds: longest wait for a peer's first sign.
    :param most_asked: peers asked for one request, one after the other.
    """

    ledger: Ledger
    timers: TimerService
    book: PeerSelector
    check_seconds: float = CHECK_TIMEOUT_SECONDS
    most_asked: int = MAX_PEERS_ASKED
    pool: ChannelPool = field(init=False)
    last_answer_at: float = -1.0
    _answered_at: dict[str, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Make the pool of connections.

        A peer behind a cut answers no opening packet: waited for as long as elsewhere,
        two of them kept a call to the store for 1.7 s.
        """
        self.pool = ChannelPool(self.timers.monotonic, None, self.check_seconds)

    async def async_forward(
        self, request: PeerRequest, longest_seconds: float = PEER_TIMEOUT_SECONDS
    ) -> PeerOutcome:
        """Return the answer of the first peer that has the log.

        :param longest_seconds: longest wait for one peer's answer.
        """
        may_have_effect = False
        deadline = self.timers.monotonic() + request.timeout_seconds
        for name, address in self.ranked_peers()[: self.most_asked]:
            left = deadline - self.timers.monotonic()
            if left <= 0:
                break
            try:
                has_log = await self._async_check(name, address)
            except _FAILURES as error:
                self._back_off(name, type(error).__name__)
                continue
            if not has_log:
                # Asked all the same, it would call the store in vain, and what it may
                # have appended could not be told as refused any more.
                self._back_off(name, "cut off too")
                continue
            try:
                reply = await self._async_call(
                    address, request, min(left, longest_seconds)
                )
            except _FAILURES as error:
                may_have_effect = True
                self._back_off(name, type(error).__name__)
                continue
            if reply.confirmed:
                self.last_answer_at = self.timers.monotonic()
                self._answered_at[name] = self.last_answer_at
                return PeerOutcome(reply, may_have_effect)
            may_have_effect = may_have_effect or reply.status == OUTCOME_UNKNOWN_STATUS
            self._back_off(name, "cut off too")
        return PeerOutcome(None, may_have_effect)

    def ranked_peers(self) -> list[tuple[str, str]]:
        """Return names and addresses of the entries to ask, the best first."""
        nodes = {
            name: (node.address, node.zone) for name, node in self.ledger.nodes.items()
        }
        return self.book.ranked_peers(nodes, self.timers.monotonic())

    async def async_send_to_node(
        self, name: str, request: PeerRequest
    ) -> PeerReply | None:
        """Return one entry's answer to a question without effect, or None."""
        node = self.ledger.nodes.get(name)
        if node is None:
            return None
        try:
            return await self._async_call(
                node.address, request, request.timeout_seconds
            )
        except _FAILURES as error:
            _LOGGER.info("node_not_asked", peer=name, detail=type(error).__name__)
            return None

    async def _async_check(self, name: str, address: str) -> bool:
        """Return whether a peer has the log; it is asked unless it answered just now.

        A call that is cut off on its way may have had its effect, and its caller can
        then be told nothing sure; a check that is cut off costs nothing.
        """
        now = self.timers.monotonic()
        if now - self._answered_at.get(name, -math.inf) < CHECK_VALID_SECONDS:
            return True
        check = PeerRequest(CHECK_METHOD, "", "", b"", self.check_seconds)
        reply = await self._async_call(address, check, self.check_seconds)
        if reply.status != 200:
            return False
        self._answered_at[name] = self.timers.monotonic()
        return True

    async def _async_call(
        self, address: str, request: PeerRequest, left: float
    ) -> PeerReply:
        lease = await self.pool.async_take(address, Purpose.CONTROL)
        method = UnaryUnaryMethod(lease.channel, PEER_RPC_PATH, PeerRequest, PeerReply)
        try:
            reply: PeerReply = await method(request, timeout=left)
        except _FAILURES:
            lease.retire()
            raise
        finally:
            lease.release()
        return reply

    def _back_off(self, name: str, detail: str) -> None:
        self.book.back_off(name, self.timers.monotonic())
        _LOGGER.info("peer_shunned", peer=name, detail=detail)


class _EntryService:
    """Map the call that peers make; grpclib asks for this shape."""

    def __init__(self, answer: PeerRequestHandler) -> None:
        self._answer = answer

    def __mapping__(self) -> dict[str, Handler]:
        return {
            PEER_RPC_PATH: Handler(
                self._async_handle, Cardinality.UNARY_UNARY, PeerRequest, PeerReply
            )
        }

    async def _async_handle(self, stream: Any) -> None:
        request: PeerRequest = await stream.recv_message()
        with anyio.move_on_after(max(0.0, request.timeout_seconds)):
            await stream.send_message(await self._answer(request))


async def async_serve_peers(
    address: str, answer: PeerRequestHandler, timers: TimerService
) -> None:
    """Answer peers until cancelled."""
    host, _, port = address.rpartition(":")
    while True:
        server = Server([_EntryService(answer)], codec=MsgpackCodec())
        try:
            await server.start(host, int(port))
            await server.wait_closed()
        except OSError as error:
            _LOGGER.error("peers_not_served", address=address, detail=str(error))
        finally:
            server.close()
        await timers.async_sleep(LISTEN_RETRY_DELAY_SECONDS)
