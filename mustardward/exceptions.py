"""Define the exceptions of the product.

Each type has a stable ``code``, which appears in logs, in ``application/problem+json``
responses and in ``explain``. The text only adds detail.
"""

from __future__ import annotations

from typing import ClassVar


class MustardwardError(Exception):
    """Base class of all exceptions.

    :param detail: human-readable text, never parsed.
    """

    code: ClassVar[str] = "internal-error"

    def __init__(self, detail: str = "") -> None:
        super().__init__(detail or self.code)
        self._detail = detail

    @property
    def detail(self) -> str:
        """Return the human-readable text."""
        return self._detail


# Settings -----------------------------------------------------------------


class SettingsError(MustardwardError):
    """Raised when a settings file is invalid."""

    code = "settings-invalid"


# Platform -----------------------------------------------------------------


class PlatformError(MustardwardError):
    """Base class of errors of the platform's services."""

    code = "platform-error"


class PlatformUnavailableError(PlatformError):
    """Raised when a call definitely had no effect and may be retried."""

    code = "platform-unavailable"


class PlatformOutcomeUnknownError(PlatformError):
    """Raised when a call was sent but got no response: it may have taken effect."""

    code = "platform-outcome-unknown"


class PlatformRefusedError(PlatformError):
    """Raised when the platform rejects a call permanently: a retry would fail too."""

    code = "platform-refused"


class StaleGenerationError(PlatformRefusedError):
    """Raised when a call has an older generation than one already seen."""

    code = "stale-generation"


class AppendRateError(PlatformUnavailableError):
    """Raised when the log rejects an append at its rate limit."""

    code = "append-rate-exceeded"


class OffsetExpiredError(PlatformError):
    """Raised when the requested offset is older than the log's retention.

    :param oldest: the oldest retained offset.
    """

    code = "offset-expired"

    def __init__(self, oldest: int) -> None:
        super().__init__(f"oldest={oldest}")
        self._oldest = oldest

    @property
    def oldest(self) -> int:
        """Return the oldest retained offset."""
        return self._oldest


# State --------------------------------------------------------------------


class StateError(MustardwardError):
    """Base class of errors of the replicated state."""

    code = "state-error"


class UnknownRecordError(StateError):
    """Raised for a record of an unknown kind or version."""

    code = "record-unknown"


class CorruptRecordError(StateError):
    """Raised for a record or snapshot that does not match its digest or schema."""

    code = "record-corrupt"


class LogGapError(StateError):
    """Raised when the log skips or repeats an offset."""

    code = "log-gap"


class SnapshotUnusableError(StateError):
    """Raised for a snapshot that is missing, corrupt or older than the state."""

    code = "snapshot-unusable"


class NotReadyError(StateError):
    """Raised when the state is not loaded yet."""

    code = "not-ready"


# Peers --------------------------------------------------------------------


class PeerError(MustardwardError):
    """Raised when a peer is unreachable or its response is invalid."""

    code = "peer-error"


class PeerOutcomeUnknownError(PeerError):
    """Raised when a call to a peer was sent but got no response."""

    code = "peer-outcome-unknown"


# Charts -------------------------------------------------------------------


class ChartError(MustardwardError):
    """Raised when a state chart file is invalid."""

    code = "chart-invalid"


class TransitionError(MustardwardError):
    """Raised when the current state of a chart does not accept an event."""

    code = "transition-refused"


# Entry --------------------------------------------------------------------


class EntryError(MustardwardError):
    """Base class of errors in the processing of a caller's request."""

    code = "entry-error"


class TruncatedAnswerError(EntryError):
    """Raised when a worker's response ends before it is complete."""

    code = "answer-truncated"


class BodyTooLargeError(EntryError):
    """Raised when a caller's body exceeds the size limit."""

    code = "body-too-large"


class CallerGoneError(EntryError):
    """Raised when a caller disconnects before its request is complete."""

    code = "caller-gone"
