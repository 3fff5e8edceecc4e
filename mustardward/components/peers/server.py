"""Answer the calls of other entries over grpclib."""

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
    MAXIMUM_CALLS,
    METADATA_MESSAGE,
    METADATA_SENDER,
)
from .exceptions import PeerMessageError, PeerRefusedError
from .framing import async_receive_bytes
from .protocols import PEER_MESSAGES, PeerHandler, PeerMessage

_LOGGER = get_logger(__name__)

_REFUSALS: Final = (PeerMessageError, PeerRefusedError)
StreamHandler = Callable[[Any], Awaitable[None]]


class _ClosingServer(Server):
    """Close accepted connections too when it closes.

    grpclib only stops listening; a connection that a peer had opened would go on being
    answered by a component that was unloaded.
    """

    def __init__(self, service: Any, codec: MsgpackCodec) -> None:
        super().__init__([service], codec=codec)
        self._protocols: WeakSet[Any] = WeakSet()

    def _protocol_factory(self) -> Any:
        protocol = super()._protocol_factory()
        self._protocols.add(protocol)
        return protocol

    def close(self) -> None:
        """Stop listening, cancel what runs, and close all connections."""
        super().close()
        for protocol in list(self._protocols):
            processor = getattr(protocol, "processor", None)
            if processor is not None:
                processor.close()


class PeerServer:
    """Listen for other entries and hand their messages to the filed handlers.

    :param handlers: the handler of each message type; read at each call.
    :param forward: what answers the stream of a forwarded request.
    """

    def __init__(
        self, handlers: dict[type, PeerHandler], forward: StreamHandler
    ) -> None:
        self._handlers = handlers
        self._forward = forward
        self._codec = MsgpackCodec()
        self._running = 0
        self._server: Any = None
        self._port = 0

    @property
    def port(self) -> int:
        """Return the port that is listened on."""
        return self._port

    async def async_start(
        self, host: str, port: int, context: ssl.SSLContext | None
    ) -> None:
        """Begin to listen."""
        self._server = _ClosingServer(self, self._codec)
        listener = _listen(host, port)
        self._port = listener.getsockname()[1]
        await self._server.start(sock=listener, ssl=context)

    async def async_stop(self) -> None:
        """Stop listening and end what runs."""
        self._server.close()
        await self._server.wait_closed()

    def __mapping__(self) -> dict[str, Handler]:
        """Return the methods for grpclib."""
        return {
            CALL_PATH: Handler(
                self._async_bounded(self._async_answer_call),
                Cardinality.UNARY_UNARY,
                msgspec.Raw,
                msgspec.Raw,
            ),
            FORWARD_PATH: Handler(
                self._async_bounded(self._forward),
                Cardinality.STREAM_STREAM,
                msgspec.Raw,
                msgspec.Raw,
            ),
        }

    def _async_bounded(self, handler: StreamHandler) -> StreamHandler:
        async def async_answer(stream: Any) -> None:
            if self._running >= MAXIMUM_CALLS:
                raise GRPCError(Status.RESOURCE_EXHAUSTED, "too-many-calls")
            self._running += 1
            try:
                await handler(stream)
            finally:
                self._running -= 1

        return async_answer

    async def _async_answer_call(self, stream: Any) -> None:
        sender = str(stream.metadata.get(METADATA_SENDER, ""))
        name = str(stream.metadata.get(METADATA_MESSAGE, ""))
        try:
            reply = await self.async_dispatch(
                sender, name, await async_receive_bytes(stream._stream)
            )
        except _REFUSALS as error:
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
        """Return the encoded reply to one encoded message.

        :raises PeerMessageError: if the message is not understood.
        :raises PeerRefusedError: if nobody here answers it.
        :raises MustardwardError: if its handler fails, perhaps after an effect.
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


def _listen(host: str, port: int) -> socket.socket:
    # asyncio and grpclib switch off Nagle's algorithm only where the socket names its
    # protocol, which one of socket.create_server() does not. Every reply would wait
    # some 40 ms for the delayed acknowledgement of its first segment.
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
