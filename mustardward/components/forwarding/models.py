"""Hold the messages between entries."""

from __future__ import annotations

import msgspec


class PeerRequest(msgspec.Struct, frozen=True):
    """Hold a caller's request.

    :param timeout_seconds: what is left to answer, in seconds.
    :param version: the newest configuration that the asker knows of; one that is behind
        it must not answer.
    :param key: the secret that the caller shows; it is never logged.
    """

    method: str
    host: str
    path: str
    body: bytes
    timeout_seconds: float = msgspec.field(name="patience")
    version: int = 0
    key: str = ""

    def __repr__(self) -> str:
        """Return a text without the key: it may end up in a log line."""
        return f"AskedRequest(method={self.method!r}, path={self.path!r})"


class RelayedCall(msgspec.Struct, frozen=True, array_like=True):
    """Hold a call to the store that a peer is asked to make.

    :param body: what is appended; None for a read.
    :param silence_seconds: longest time in which no byte of the answer comes.
    """

    method: str
    path: str
    params: dict[str, str]
    body: bytes | None
    timeout_seconds: float
    silence_seconds: float | None = None

    @property
    def is_read(self) -> bool:
        """Return whether the call has no effect."""
        return self.body is None


class PeerReply(msgspec.Struct, frozen=True):
    """Hold a peer's answer to a caller's request.

    :param confirmed: whether the peer could read and write the log itself.
    :param version: the configuration that the peer went by.
    """

    status: int
    body: bytes
    retry_after: int | None = None
    confirmed: bool = True
    version: int = 0
