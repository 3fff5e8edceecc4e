"""Define the errors that reject records of a ``work`` stream."""

from __future__ import annotations

from ..fold import RecordRefusedError


class JobUnknownError(RecordRefusedError):
    """Report a job that was never accepted here or is no longer stored."""

    code = "job-unknown"


class JobIdTakenError(RecordRefusedError):
    """Report that another job was accepted under this id."""

    code = "job-id-taken"


class JobStateError(RecordRefusedError):
    """Report that the job's state does not allow the change."""

    code = "job-state"


class JobFencedError(RecordRefusedError):
    """Report that a newer attempt holds the job's lease."""

    code = "job-fenced"


class IntentMismatchError(RecordRefusedError):
    """Report that the key was used for another request."""

    code = "idempotency-key-mismatch"


class IntentTakenError(RecordRefusedError):
    """Report that an earlier intent under the key is in force."""

    code = "idempotency-key-taken"


class IntentUnknownError(RecordRefusedError):
    """Report that no matching open intent exists."""

    code = "idempotency-intent-unknown"
