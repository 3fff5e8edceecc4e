"""Provide the public interface to peers: server, client and forwarding."""

from __future__ import annotations

import ssl
from collections.abc import Callable
from typing import Any

from returns.result import Result

from ...helpers.peer_channels import ChannelPool
from ...helpers.registry import RegistryError
from ..entry.models import RequestFacts
from ..entry.protocols import FailedAttempt, OutgoingRequest, WorkerResponse
from ..membership.models import Member
from .client import PeerClient
from .forwarder import Forwarder
from .protocols import PeerHandler
from .receiver import ForwardReceiver
from .server import PeerServer


class GrpcPeers:
    """Call other entries and handle their calls over grpclib.

    :param name: the name of this entry.
    :param client_context: TLS context of outgoing connections, ``None`` without TLS.
    """

    def __init__(
        self,
        name: str,
        receiver: ForwardReceiver,
        clock: Callable[[], float],
        client_context: ssl.SSLContext | None = None,
    ) -> None:
        self._handlers: dict[type, PeerHandler] = {}
        self._channels = ChannelPool(clock, client_context)
        self._client = PeerClient(name, self._channels)
        self._forwarder = Forwarder(name, self._channels, clock)
        self._receiver = receiver
        self._server = PeerServer(self._handlers, receiver.async_answer)
        self._host = ""

    @property
    def address(self) -> str:
        """Return this entry's listening address as ``host:port``."""
        host = f"[{self._host}]" if ":" in self._host else self._host
        return f"{host}:{self._server.port}"

    async def async_start(
        self, host: str, port: int, context: ssl.SSLContext | None
    ) -> None:
        """Start to listen for peers."""
        self._host = host
        await self._server.async_start(host, port, context)

    async def async_stop(self) -> None:
        """Wait until forwarded requests are done, then close all connections."""
        await self._receiver.async_wait_idle()
        self._channels.close()
        await self._server.async_stop()

    async def async_close_idle(self) -> None:
        """Close idle connections."""
        self._channels.close_idle()

    async def async_call(
        self, member: Member, message: Any, timeout_seconds: float = 1.0
    ) -> Any:
        """Call a peer and return its reply.

        :raises PeerError: if the call certainly had no effect.
        :raises PeerOutcomeUnknownError: if it may have had one.
        """
        return await self._client.async_call(member, message, timeout_seconds)

    def handle(self, message_type: type, handler: PeerHandler) -> Callable[[], None]:
        """Register the handler of a message type; return what unregisters it.

        :raises RegistryError: if the message type has a handler already.
        """
        if message_type in self._handlers:
            raise RegistryError(f"peer handlers: {message_type.__name__}")
        self._handlers[message_type] = handler

        def unsubscribe() -> None:
            self._handlers.pop(message_type, None)

        return unsubscribe

    async def async_forward(
        self, member: Member, facts: RequestFacts, request: OutgoingRequest
    ) -> Result[WorkerResponse, FailedAttempt]:
        """Forward a caller's request to another entry and return its response."""
        return await self._forwarder.async_forward(member, facts, request)
