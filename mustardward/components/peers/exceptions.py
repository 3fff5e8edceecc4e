"""Define the errors of calls between entries."""

from __future__ import annotations

from ...exceptions import PeerError, TruncatedAnswerError
from ...helpers.peer_channels import PeerUnreachableError

__all__ = [
    "PeerResponseTruncatedError",
    "PeerBodyTruncatedError",
    "PeerMessageError",
    "PeerRefusedError",
    "PeerUnreachableError",
]


class PeerRefusedError(PeerError):
    """Report that a peer refused a call, which had no effect.

    A handler may raise it only before it has any effect.
    """

    code = "peer-refused"


class PeerMessageError(PeerError):
    """Report a message that does not match its type or exceeds a limit."""

    code = "peer-message-invalid"


class PeerResponseTruncatedError(PeerError, TruncatedAnswerError):
    """Report that the response to a forwarded request is truncated."""

    code = "peer-answer-truncated"


class PeerBodyTruncatedError(PeerError):
    """Report that the body of a forwarded request is truncated."""

    code = "peer-body-truncated"
