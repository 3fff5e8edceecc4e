"""Type what a call to the platform says about its effect."""

from __future__ import annotations

from typing import Final

import msgspec

from ..exceptions import MustardwardError


class CallRefusedError(MustardwardError):
    """Report that a call certainly had no effect."""

    code = "call-refused"


class CallUnknownError(MustardwardError):
    """Report that a call may have had its effect, or may have it later."""

    code = "call-unknown"


class FencedError(MustardwardError):
    """Report that a newer owner's fencing token was seen by the other side."""

    code = "fenced"


class SequenceError(MustardwardError):
    """Report that an append did not follow the producer's last one.

    :param expected: the sequence number that the log waits for.
    """

    code = "sequence"

    def __init__(self, expected: int) -> None:
        super().__init__(f"expected={expected}")
        self.expected = expected


class OffsetGoneError(MustardwardError):
    """Report that the records asked for were deleted.

    :param first: the oldest offset that is kept.
    """

    code = "offset-gone"

    def __init__(self, first: int) -> None:
        super().__init__(f"first={first}")
        self.first = first


class UnreadableRecordError(MustardwardError):
    """Report a record that can't be used, whoever wrote it."""

    code = "unreadable-record"


class WrongIncarnationError(MustardwardError):
    """Report that another incarnation answers at a worker's address."""

    code = "wrong-incarnation"


class BootSettingsError(MustardwardError):
    """Report a settings file that names no usable process."""

    code = "boot-settings"


class MalformedJobError(MustardwardError):
    """Report a submitted body that is not a job."""

    code = "malformed-job"


RECORD_ERRORS: Final = (
    msgspec.MsgspecError,
    UnicodeDecodeError,
    RecursionError,
    MalformedJobError,
    UnreadableRecordError,
)
"""All that decoding and checking a record of any writer may raise."""
