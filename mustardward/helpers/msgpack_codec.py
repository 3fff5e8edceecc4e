"""Encode peer messages of grpclib as MessagePack."""

from __future__ import annotations

from typing import Any

import msgspec
from grpclib.encoding.base import CodecBase


class MsgpackCodec(CodecBase):
    """Codec that encodes data classes as MessagePack, without generated code.

    A new field with a default is ignored by older builds, and takes its default in
    messages from them, so builds can be mixed during a rollout.
    """

    __content_subtype__ = "msgpack"

    def __init__(self) -> None:
        self._encoder = msgspec.msgpack.Encoder()

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Return the encoded message.

        :raises TypeError: if the message is not of the expected type.
        """
        if not isinstance(message, message_type):
            raise TypeError(f"expected={message_type} got={type(message)}")
        return self._encoder.encode(message)

    def decode(self, data: bytes, message_type: Any) -> Any:
        """Return the decoded message.

        :raises msgspec.MsgspecError: if it does not match the type.
        """
        return msgspec.msgpack.decode(data, type=message_type)
