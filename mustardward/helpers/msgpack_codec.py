"""Encode peer messages with msgspec's MessagePack, for grpclib."""

from __future__ import annotations

from typing import Any

import msgspec
from grpclib.encoding.base import CodecBase


class MsgpackCodec(CodecBase):
    """Carry data classes as MessagePack; no code has to be generated for it.

    A field that a newer build adds with a default is ignored by an older one, and
    filled in by a newer one that hears an older, so builds mix while a release rolls
    out.
    """

    __content_subtype__ = "msgpack"

    def __init__(self) -> None:
        self._encoder = msgspec.msgpack.Encoder()

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Return the bytes of a message.

        :raises TypeError: if the message is of another type than agreed.
        """
        if not isinstance(message, message_type):
            raise TypeError(f"wanted={message_type} got={type(message)}")
        return self._encoder.encode(message)

    def decode(self, data: bytes, message_type: Any) -> Any:
        """Return the message in ``data``.

        :raises msgspec.MsgspecError: if it does not match the type.
        """
        return msgspec.msgpack.decode(data, type=message_type)
