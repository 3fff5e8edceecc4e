"""Hold the messages between entries."""

from __future__ import annotations

import msgspec


class AskedRequest(msgspec.Struct, frozen=True):
    """Hold a caller's request; ``patience`` is what is left to answer, in seconds."""

    method: str
    host: str
    path: str
    body: bytes
    patience: float


class AskedReply(msgspec.Struct, frozen=True):
    """Hold a peer's answer to a caller's request.

    :param confirmed: whether the peer could read and write the log itself.
    :param version: the configuration that the peer went by.
    """

    status: int
    body: bytes
    retry_after: int | None = None
    confirmed: bool = True
    version: int = 0
