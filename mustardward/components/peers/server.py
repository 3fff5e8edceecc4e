"""Handle the calls of other entries over grpclib."""

from __future__ import annotations

import socket
import ssl
from collections.abc import Awaitable, Callable
from typing import Any, Final
from weakref import WeakSet

import msgspec
from grpclib.const import Cardinality, Handler, Status
from grpclib.exceptions import GRPCError
from grpclib.server import Server

from ...exceptions import MustardwardError
from ...helpers.logging import get_logger
from ...helpers.msgpack_codec import MsgpackCodec
from .const import (
    CALL_PATH,
    FORWARD_PATH,
    MAX_CONCURRENT_CALLS,
    METADATA_MESSAGE,
    METADATA_SENDER,
)
from .exceptions import PeerMessageError, PeerRefusedError
from .framing import async_receive_bytes
from .protocols import PEER_MESSAGES, PeerHandler, PeerMessage

_LOGGER = get_logger(__name__)

_REFUSAL_ERRORS: Final = (PeerMessageError, PeerRefusedError)
StreamHandler = Callable[[Any], Awaitable[None]]


class _ClosingServer(Server):
    """Close accepted connections on close, too.

    grpclib's server only stops listening; calls on a connection that a peer has open
    would still be handled by the unloaded component.
    """

    def __init__(self, service: Any, codec: MsgpackCodec) -> None:
        super().__init__([service], codec=codec)
        self._protocols: WeakSet[Any] = WeakSet()

    def _protocol_factory(self) -> Any:
        protocol = super()._protocol_factory()
        self._protocols.add(protocol)
        return protocol

    def close(self) -> None:
        """Stop listening, cancel running calls and close all connections."""
        super().close()
        for protocol in list(self._protocols):
            processor = getattr(protocol, "processor", None)
            if processor is not None:
                processor.close()


class PeerServer:
    """Listen for other entries and pass their messages to the registered handlers.

    :param handlers: the handler of each message type; looked up at each call.
    :param forward_handler: handles the stream of a forwarded request.
    """

    def __init__(
        self, handlers: dict[type, PeerHandler], forward_handler: StreamHandler
    ) -> None:
        self._handlers = handlers
        self._forward = forward_handler
        self._codec = MsgpackCodec()
        self._active_calls = 0
        self._server: Any = None
        self._port = 0

    @property
    def port(self) -> int:
        """Return the listening port."""
        return self._port

    async def async_start(
        self, host: str, port: int, context: ssl.SSLContext | None
    ) -> None:
        """Start to listen."""
        self._server = _ClosingServer(self, self._codec)
        listener = _create_listener(host, port)
        self._port = listener.getsockname()[1]
        await self._server.start(sock=listener, ssl=context)

    async def async_stop(self) -> None:
        """Stop listening and cancel running calls."""
        self._server.close()
        await self._server.wait_closed()

    def __mapping__(self) -> dict[str, Handler]:
        """Return the gRPC methods; part of grpclib's service interface."""
        return {
            CALL_PATH: Handler(
                self._with_call_limit(self._async_handle_call),
                Cardinality.UNARY_UNARY,
                msgspec.Raw,
                msgspec.Raw,
            ),
            FORWARD_PATH: Handler(
                self._with_call_limit(self._forward),
                Cardinality.STREAM_STREAM,
                msgspec.Raw,
                msgspec.Raw,
            ),
        }

    def _with_call_limit(self, handler: StreamHandler) -> StreamHandler:
        async def async_handle(stream: Any) -> None:
            if self._active_calls >= MAX_CONCURRENT_CALLS:
                raise GRPCError(Status.RESOURCE_EXHAUSTED, "too-many-calls")
            self._active_calls += 1
            try:
                await handler(stream)
            finally:
                self._active_calls -= 1

        return async_handle

    async def _async_handle_call(self, stream: Any) -> None:
        sender = str(stream.metadata.get(METADATA_SENDER, ""))
        name = str(stream.metadata.get(METADATA_MESSAGE, ""))
        try:
            reply = await self.async_dispatch(
                sender, name, await async_receive_bytes(stream._stream)
            )
        except _REFUSAL_ERRORS as error:
            _LOGGER.warning(
                "peer_call_refused", peer=sender, message=name, code=error.code
            )
            raise GRPCError(Status.FAILED_PRECONDITION, error.code) from error
        except MustardwardError as error:
            _LOGGER.warning(
                "peer_call_failed",
                peer=sender,
                message=name,
                code=error.code,
                detail=error.detail,
            )
            raise GRPCError(Status.ABORTED, error.code) from error
        await stream.send_message(msgspec.Raw(reply))

    async def async_dispatch(self, sender: str, name: str, data: bytes | None) -> bytes:
        """Handle one encoded message and return the encoded reply.

        :raises PeerMessageError: if the message is invalid.
        :raises PeerRefusedError: if the message is unknown or has no handler.
        :raises MustardwardError: if its handler fails, possibly after an effect.
        """
        description = PEER_MESSAGES.get(name)
        if description is None:
            raise PeerRefusedError(f"message={name[:64]} is unknown")
        handler = self._handlers.get(description.message_type)
        if handler is None:
            raise PeerRefusedError(f"message={name} has no handler")
        message = _decode(self._codec, description, data)
        return self._codec.encode(
            await handler(sender, message), description.reply_type
        )


def _create_listener(host: str, port: int) -> socket.socket:
    # asyncio and grpclib disable Nagle's algorithm only on sockets with an explicit
    # protocol, which socket.create_server() does not set. Every reply would wait about
    # 40 ms for the delayed acknowledgement of its first segment.
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, port))
    except OSError:
        listener.close()
        raise
    return listener


def _decode(codec: MsgpackCodec, description: PeerMessage, data: bytes | None) -> Any:
    try:
        return codec.decode(data or b"", description.message_type)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise PeerMessageError(f"message={description.name} {error}") from error
