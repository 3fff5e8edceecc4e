"""Define the failures of calls between entries."""

from __future__ import annotations

from ...exceptions import PeerError, TruncatedAnswerError
from ...helpers.peer_channels import PeerUnreachableError

__all__ = [
    "PeerAnswerTruncatedError",
    "PeerBodyTruncatedError",
    "PeerMessageError",
    "PeerRefusedError",
    "PeerUnreachableError",
]


class PeerRefusedError(PeerError):
    """Report that a peer refused a call, which then had no effect.

    A handler raises it only if that is so.
    """

    code = "peer-refused"


class PeerMessageError(PeerError):
    """Report a message that does not match its type or its bounds."""

    code = "peer-message-invalid"


class PeerAnswerTruncatedError(PeerError, TruncatedAnswerError):
    """Report that a forwarded request's answer ended before it was whole."""

    code = "peer-answer-truncated"


class PeerBodyTruncatedError(PeerError):
    """Report that a forwarded request's body ended before it was whole."""

    code = "peer-body-truncated"
