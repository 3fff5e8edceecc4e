"""Send requests to peers over gRPC, and serve theirs."""

from __future__ import annotations

import math
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

import anyio
import msgspec
from grpclib.client import UnaryUnaryMethod
from grpclib.const import Cardinality, Handler
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError
from grpclib.server import Server

from ...helpers.logging import get_logger
from ...helpers.msgpack_codec import MsgpackCodec
from ...helpers.peer_cancellation import uncancel_on_error
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
from .peer_selector import PeerSelector

_LOGGER = get_logger(__name__)

_FAILURES = (
    PeerUnreachableError,
    msgspec.MsgspecError,
    GRPCError,
    ProtocolError,
    StreamTerminatedError,
    TimeoutError,
    OSError,
)

PeerRequestHandler = Callable[[PeerRequest], Awaitable[PeerReply]]


@dataclass(frozen=True, slots=True)
class PeerOutcome:
    """Result of sending a request to peers.

    :param reply: answer of a peer that can reach the log, or None.
    :param may_have_effect: whether a peer got the request and its answer is unknown.
    """

    reply: PeerReply | None
    may_have_effect: bool


@dataclass(slots=True, eq=False)
class Forwarder:
    """Try one peer after the other until one answers from the log.

    :param book: selects the peers to try.
    :param check_seconds: timeout of a connection and of a reachability check.
    :param most_asked: maximum number of peers tried for one request.
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
        """Create the connection pool.

        Its connect timeout is short because a partitioned peer does not answer a
        connection attempt at all: with the usual one, two such peers delayed a call to
        the store by 1.7 s.
        """
        self.pool = ChannelPool(self.timers.monotonic, None, self.check_seconds)

    async def async_forward(
        self,
        request: PeerRequest,
        answer_timeout_seconds: float = PEER_TIMEOUT_SECONDS,
    ) -> PeerOutcome:
        """Return the answer of the first peer that can reach the log.

        :param answer_timeout_seconds: timeout of one peer's answer.
        """
        may_have_effect = False
        deadline = self.timers.monotonic() + request.timeout_seconds
        for name, address in self.ranked_peers()[: self.most_asked]:
            remaining_seconds = deadline - self.timers.monotonic()
            if remaining_seconds <= 0:
                break
            # Without the log, it would call the store in vain, and the outcome of its
            # append would be unknown rather than refused.
            if not await self._async_is_usable(name, address):
                continue
            try:
                reply = await self._async_call(
                    address, request, min(remaining_seconds, answer_timeout_seconds)
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
            self._back_off(name, "log unreachable")
        return PeerOutcome(None, may_have_effect)

    async def async_send_watched(self, name: str, request: PeerRequest) -> PeerOutcome:
        """Send a request to one entry node that collects requests for a slow store.

        Its answer may take seconds. Meanwhile it is checked that the node can still be
        reached and can reach the log; otherwise the request is given up.
        """
        node = self.ledger.nodes.get(name)
        if node is None:
            return PeerOutcome(None, may_have_effect=False)

        async def async_is_collecting() -> bool:
            # One that declines answers at once, so that asking it again costs little.
            return await self._async_is_usable(
                name, node.address, collected=request.collected, backs_off=False
            )

        if not await async_is_collecting():
            return PeerOutcome(None, may_have_effect=False)
        replies: list[PeerReply] = []
        async with anyio.create_task_group() as tasks:

            async def async_call() -> None:
                try:
                    replies.append(
                        await self._async_call(
                            node.address, request, request.timeout_seconds
                        )
                    )
                except _FAILURES as error:
                    self._back_off(name, type(error).__name__)
                tasks.cancel_scope.cancel()

            async def async_watch() -> None:
                while await async_is_collecting():
                    await self.timers.async_sleep(CHECK_VALID_SECONDS)
                tasks.cancel_scope.cancel()

            tasks.start_soon(async_call)
            tasks.start_soon(async_watch)
        if not replies:
            return PeerOutcome(None, may_have_effect=True)
        self._answered_at[name] = self.timers.monotonic()
        reply = replies[0]
        if reply.status == 503 and reply.retry_after is None:
            # It is draining, or can't append for another reason.
            return PeerOutcome(None, may_have_effect=False)
        return PeerOutcome(reply, reply.status == OUTCOME_UNKNOWN_STATUS)

    def is_backed_off(self, name: str) -> bool:
        """Return whether an entry node recently failed to answer."""
        return self.book.is_backed_off(name, self.timers.monotonic())

    async def _async_is_usable(
        self,
        name: str,
        address: str,
        collected: bool = False,
        backs_off: bool = True,
    ) -> bool:
        """Return whether a peer can be reached and can reach the log.

        :param collected: whether it is to collect requests for a slow store.
        :param backs_off: whether to leave it out for a while if it can't reach the log.
        """
        try:
            usable = await self._async_check(name, address, collected)
        except _FAILURES as error:
            self._back_off(name, type(error).__name__)
            return False
        if not usable and backs_off:
            self._back_off(name, "log unreachable")
        return usable

    def ranked_peers(self) -> list[tuple[str, str]]:
        """Return names and addresses of the peers to try, best first."""
        nodes = {
            name: (node.address, node.zone) for name, node in self.ledger.nodes.items()
        }
        return self.book.ranked_peers(nodes, self.timers.monotonic())

    async def async_send_to_node(
        self, name: str, request: PeerRequest
    ) -> PeerReply | None:
        """Send an idempotent query to one entry node; return its answer or None."""
        node = self.ledger.nodes.get(name)
        if node is None:
            return None
        try:
            return await self._async_call(
                node.address, request, request.timeout_seconds
            )
        except _FAILURES as error:
            _LOGGER.info("peer_query_failed", peer=name, detail=type(error).__name__)
            return None

    async def _async_check(
        self, name: str, address: str, collected: bool = False
    ) -> bool:
        """Return whether a peer can reach the log; skip the call after a recent answer.

        A lost answer to a real request leaves its outcome unknown; a lost answer to a
        check has no consequence.

        :param collected: whether it is to collect requests for a slow store.
        """
        now = self.timers.monotonic()
        if now - self._answered_at.get(name, -math.inf) < CHECK_VALID_SECONDS:
            return True
        check = PeerRequest(
            CHECK_METHOD, "", "", b"", self.check_seconds, collected=collected
        )
        reply = await self._async_call(address, check, self.check_seconds)
        if reply.status != 200:
            return False
        self._answered_at[name] = self.timers.monotonic()
        return True

    async def _async_call(
        self, address: str, request: PeerRequest, timeout_seconds: float
    ) -> PeerReply:
        lease = await self.pool.async_acquire(address, Purpose.CONTROL)
        method = UnaryUnaryMethod(lease.channel, PEER_RPC_PATH, PeerRequest, PeerReply)
        try:
            with uncancel_on_error():
                reply: PeerReply = await method(request, timeout=timeout_seconds)
        except _FAILURES:
            lease.retire()
            raise
        finally:
            lease.release()
        return reply

    def _back_off(self, name: str, detail: str) -> None:
        self.book.back_off(name, self.timers.monotonic())
        _LOGGER.info("peer_backed_off", peer=name, detail=detail)


class _EntryService:
    """Service that maps the peer call to its handler, as grpclib requires."""

    def __init__(self, handler: PeerRequestHandler) -> None:
        self._handler = handler

    def __mapping__(self) -> dict[str, Handler]:
        return {
            PEER_RPC_PATH: Handler(
                self._async_handle, Cardinality.UNARY_UNARY, PeerRequest, PeerReply
            )
        }

    async def _async_handle(self, stream: Any) -> None:
        request: PeerRequest = await stream.recv_message()
        with anyio.move_on_after(max(0.0, request.timeout_seconds)):
            await stream.send_message(await self._handler(request))


async def async_serve_peers(
    address: str, handler: PeerRequestHandler, timers: TimerService
) -> None:
    """Serve peers until cancelled."""
    host, _, port = address.rpartition(":")
    while True:
        server = Server([_EntryService(handler)], codec=MsgpackCodec())
        try:
            await server.start(host, int(port))
            await server.wait_closed()
        except OSError as error:
            _LOGGER.error("peer_listener_failed", address=address, detail=str(error))
        finally:
            server.close()
        await timers.async_sleep(LISTEN_RETRY_DELAY_SECONDS)
