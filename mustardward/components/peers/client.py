"""Make unary calls to other entries over grpclib."""

from __future__ import annotations

from typing import Any, Final

import anyio
import msgspec
from grpclib.const import Cardinality, Status
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError

from ...exceptions import PeerOutcomeUnknownError
from ...helpers.msgpack_codec import MsgpackCodec
from ...helpers.peer_cancellation import uncancel_on_error
from ...helpers.peer_channels import ChannelPool, Purpose
from ..membership.models import Member
from .const import CALL_PATH, METADATA_MESSAGE, METADATA_SENDER
from .exceptions import PeerMessageError, PeerRefusedError
from .framing import async_receive_bytes
from .protocols import describe_message

NO_EFFECT_STATUSES: Final = frozenset(
    {
        Status.FAILED_PRECONDITION,
        Status.RESOURCE_EXHAUSTED,
        Status.UNIMPLEMENTED,
    }
)
"""Statuses that the server returns only if the call had no effect."""

TRANSPORT_ERRORS: Final = (
    OSError,
    TimeoutError,
    ProtocolError,
    StreamTerminatedError,
    PeerMessageError,
)


class PeerClient:
    """Make unary calls to other entries.

    :param sender: the name of this entry.
    """

    def __init__(self, sender: str, channels: ChannelPool) -> None:
        self._sender = sender
        self._channels = channels
        self._codec = MsgpackCodec()

    async def async_call(
        self, member: Member, message: Any, timeout_seconds: float
    ) -> Any:
        """Call a peer and return its reply.

        :raises PeerError: if the call certainly had no effect.
        :raises PeerOutcomeUnknownError: if it may have had one.
        """
        description = describe_message(message)
        lease = await self._channels.async_acquire(member.address, Purpose.CONTROL)
        try:
            with uncancel_on_error(), anyio.fail_after(timeout_seconds):
                data = await self._async_exchange(
                    lease.channel, description.name, message
                )
            return self._codec.decode(data, description.reply_type)
        except GRPCError as error:
            raise convert_grpc_error(error, member) from error
        except (*TRANSPORT_ERRORS, msgspec.MsgspecError) as error:
            lease.retire()
            detail = f"peer={member.name} {type(error).__name__}"
            raise PeerOutcomeUnknownError(detail) from error
        finally:
            lease.release()

    async def _async_exchange(self, channel: Any, name: str, message: Any) -> bytes:
        metadata = {METADATA_MESSAGE: name, METADATA_SENDER: self._sender}
        request = channel.request(
            CALL_PATH,
            Cardinality.UNARY_UNARY,
            type(message),
            msgspec.Raw,
            metadata=metadata,
        )
        async with request as stream:
            await stream.send_message(message, end=True)
            await stream.recv_initial_metadata()
            with stream._wrapper:
                data = await async_receive_bytes(stream._stream)
        if data is None:
            raise PeerMessageError("no reply")
        return data


def convert_grpc_error(
    error: GRPCError, member: Member
) -> PeerRefusedError | PeerOutcomeUnknownError:
    """Return the error that corresponds to a peer's gRPC status."""
    detail = f"peer={member.name} status={error.status.name} code={error.message}"
    if error.status in NO_EFFECT_STATUSES:
        return PeerRefusedError(detail)
    return PeerOutcomeUnknownError(detail)
