"""Define errors of the platform's calls and formats.

Errors of calls state whether the call may have had an effect.
"""

from __future__ import annotations

from typing import Final

import msgspec

from ..exceptions import MustardwardError


class CallRefusedError(MustardwardError):
    """Raised when a call definitely had no effect."""

    code = "call-refused"


class CallRejectedError(CallRefusedError):
    """Raised when a call had no effect because of what it contains.

    The same call can't have had an effect earlier either, and will never have one.
    """

    code = "call-rejected"


class CallUnknownError(MustardwardError):
    """Raised when a call may have had its effect, or may have it later."""

    code = "call-unknown"


class FencedError(MustardwardError):
    """Raised when the other side has seen a newer owner's fencing token."""

    code = "fenced"


class SequenceError(MustardwardError):
    """Raised when an append's sequence number does not follow the last one.

    :param expected: the sequence number that the log expects next.
    """

    code = "sequence"

    def __init__(self, expected: int) -> None:
        super().__init__(f"expected={expected}")
        self.expected = expected


class OffsetGoneError(MustardwardError):
    """Raised when the requested records were deleted.

    :param first: the oldest retained offset.
    """

    code = "offset-gone"

    def __init__(self, first: int) -> None:
        super().__init__(f"first={first}")
        self.first = first


class UnreadableRecordError(MustardwardError):
    """Raised when a record can't be decoded or is invalid."""

    code = "unreadable-record"


class WrongIncarnationError(MustardwardError):
    """Raised when another incarnation responds at a worker's address."""

    code = "wrong-incarnation"


class BootSettingsError(MustardwardError):
    """Raised when the settings file is missing or invalid."""

    code = "boot-settings"


class MalformedJobError(MustardwardError):
    """Raised when a submitted body is not a valid job."""

    code = "malformed-job"


RECORD_ERRORS: Final = (
    msgspec.MsgspecError,
    UnicodeDecodeError,
    RecursionError,
    MalformedJobError,
    UnreadableRecordError,
)
"""Exceptions that decoding and validating an untrusted record may raise."""
