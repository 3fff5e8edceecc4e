"""Messages between entry nodes."""

from __future__ import annotations

import msgspec


class PeerRequest(msgspec.Struct, frozen=True):
    """Request to a peer: a forwarded caller's request, or a query between entry nodes.

    :param method: HTTP method, or one of the query methods in ``const``.
    :param timeout_seconds: time left for the answer.
    :param version: newest configuration version known to the sender; a peer with an
        older one must not answer.
    :param key: API key of the caller; never logged.
    :param collected: whether the peer is to append the request together with others,
        since the store is slow.
    """

    method: str
    host: str
    path: str
    body: bytes
    timeout_seconds: float = msgspec.field(name="patience")
    version: int = 0
    key: str = ""
    collected: bool = False

    def __repr__(self) -> str:
        """Return a representation without the key, since it may be logged."""
        return f"AskedRequest(method={self.method!r}, path={self.path!r})"


class RelayedCall(msgspec.Struct, frozen=True, array_like=True):
    """Call to the store that a peer makes on behalf of this entry node.

    :param body: records to append; None for a read.
    :param silence_seconds: maximum time without receiving a byte of the answer.
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
    """Answer of a peer.

    :param retry_after: seconds after which the caller should retry, or None.
    :param confirmed: whether the peer can read and write the log itself.
    :param version: configuration version that the peer used.
    """

    status: int
    body: bytes
    retry_after: int | None = None
    confirmed: bool = True
    version: int = 0
