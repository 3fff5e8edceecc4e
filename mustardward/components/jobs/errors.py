"""Errors that the job API returns to callers."""

from __future__ import annotations

from ...exceptions import MustardwardError


class JobError(MustardwardError):
    """Base class of the job component's errors."""

    code = "job-error"


class JobUnplaceableError(JobError):
    """Report that no worker of the pool is large enough for the job."""

    code = "job-unplaceable"


class JobQuotaError(JobError):
    """Report that the organisation has reached its quota of unfinished jobs."""

    code = "job-quota"


class JobTooLargeError(JobError):
    """Report that a payload exceeds the size limit of the log."""

    code = "job-too-large"


class JobBindingError(JobError):
    """Report an organisation or service that does not exist."""

    code = "job-binding-unknown"


class JobPayloadError(JobError):
    """Report a payload that is declared as base64 but isn't valid base64."""

    code = "job-payload-invalid"


class JobStoreFullError(JobError):
    """Report that the data centre has reached its limit of unfinished jobs."""

    code = "job-store-full"
