"""Define the failures of calls between entries."""

from __future__ import annotations

from ...exceptions import PeerError, TruncatedAnswerError


class PeerUnreachableError(PeerError):
    """Report that no connection to a peer could be made; nothing was sent."""

    code = "peer-unreachable"


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
