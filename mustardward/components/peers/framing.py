"""Receive messages of bounded size from a grpclib stream."""

from __future__ import annotations

import struct
from typing import Any, Final

from .const import MAXIMUM_MESSAGE_BYTES
from .exceptions import PeerMessageError

_PREFIX_BYTES: Final = 5


async def async_receive_bytes(stream: Any) -> bytes | None:
    """Return the next message's bytes, or nothing at the end of the stream.

    :param stream: grpclib's protocol stream.
    :raises PeerMessageError: if the message is too large, compressed or cut off.
    """
    # grpclib reads as many bytes as the prefix says, and grants the sender window for
    # them as it goes. One broken peer could make this process hold 4 GB, which shows
    # as its sudden death; so the prefix is checked before the body is read.
    try:
        prefix = await stream.recv_data(_PREFIX_BYTES)
        if not prefix:
            return None
        compressed, size = struct.unpack(">BI", prefix)
        if compressed or size > MAXIMUM_MESSAGE_BYTES:
            raise PeerMessageError(f"compressed={compressed} size={size}")
        data: bytes = await stream.recv_data(size)
    except AssertionError as error:
        raise PeerMessageError("message was cut off") from error
    if len(data) != size:
        raise PeerMessageError("message was cut off")
    return data
