"""Define every failure the product can name.

A failure is a type with a stable ``code``; the code is what operators see in logs,
in ``application/problem+json`` answers and in ``explain``. Text only adds detail.
"""

from __future__ import annotations

from typing import ClassVar


class MustardwardError(Exception):
    """Serve as the root of all failures.

    :param detail: what happened, for people; never parsed.
    """

    code: ClassVar[str] = "internal-error"

    def __init__(self, detail: str = "") -> None:
        super().__init__(detail or self.code)
        self._detail = detail

    @property
    def detail(self) -> str:
        """Return the text for people."""
        return self._detail


# Settings -----------------------------------------------------------------


class SettingsError(MustardwardError):
    """Report that a settings file has faults."""

    code = "settings-invalid"


# Platform -----------------------------------------------------------------


class PlatformError(MustardwardError):
    """Serve as the root of failures of the platform's services."""

    code = "platform-error"


class PlatformUnavailableError(PlatformError):
    """Report that a call certainly had no effect, and may be tried again."""

    code = "platform-unavailable"


class PlatformOutcomeUnknownError(PlatformError):
    """Report that a call was sent and its answer was lost: it may have taken effect."""

    code = "platform-outcome-unknown"


class PlatformRefusedError(PlatformError):
    """Report a refusal by the platform that a repetition would meet again."""

    code = "platform-refused"


class StaleGenerationError(PlatformRefusedError):
    """Report that the call carried a generation older than one already seen."""

    code = "stale-generation"


class AppendRateError(PlatformUnavailableError):
    """Report that the log refused an append because its rate limit was reached."""

    code = "append-rate-exceeded"


class OffsetExpiredError(PlatformError):
    """Report that the wanted offset is older than the log's retention.

    :param oldest: the oldest offset that the log still keeps.
    """

    code = "offset-expired"

    def __init__(self, oldest: int) -> None:
        super().__init__(f"oldest={oldest}")
        self._oldest = oldest

    @property
    def oldest(self) -> int:
        """Return the oldest offset still kept."""
        return self._oldest


# State --------------------------------------------------------------------


class StateError(MustardwardError):
    """Serve as the root of failures of the folded state."""

    code = "state-error"


class UnknownRecordError(StateError):
    """Report a record of a kind or version that this build does not know."""

    code = "record-unknown"


class CorruptRecordError(StateError):
    """Report a record or snapshot that does not match its digest or its schema."""

    code = "record-corrupt"


class LogGapError(StateError):
    """Report that the log skipped or repeated an offset."""

    code = "log-gap"


class SnapshotUnusableError(StateError):
    """Report a snapshot that is missing, corrupt, or older than the state held."""

    code = "snapshot-unusable"


class NotReadyError(StateError):
    """Report that there is no state to decide from yet."""

    code = "not-ready"


# Peers --------------------------------------------------------------------


class PeerError(MustardwardError):
    """Report that a peer could not be reached or answered wrongly."""

    code = "peer-error"


class PeerOutcomeUnknownError(PeerError):
    """Report that a call to a peer was sent and its answer was lost."""

    code = "peer-outcome-unknown"


# Charts -------------------------------------------------------------------


class ChartError(MustardwardError):
    """Report a state chart file with faults."""

    code = "chart-invalid"


class TransitionError(MustardwardError):
    """Report an event that the present state of a chart does not accept."""

    code = "transition-refused"


# Entry --------------------------------------------------------------------


class EntryError(MustardwardError):
    """Serve as the root of failures on a caller's request path."""

    code = "entry-error"


class TruncatedAnswerError(EntryError):
    """Report that a worker ended its answer before it was whole."""

    code = "answer-truncated"


class BodyTooLargeError(EntryError):
    """Report that a caller sent more of a body than the limit allows."""

    code = "body-too-large"


class CallerGoneError(EntryError):
    """Report that the caller went away before its request was whole."""

    code = "caller-gone"
