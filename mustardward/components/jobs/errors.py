"""Define the failures that the border gives to those who submit long work."""

from __future__ import annotations

from ...exceptions import MustardwardError


class JobError(MustardwardError):
    """Serve as the root of the border's refusals."""

    code = "job-error"


class JobUnplaceableError(JobError):
    """Report that no worker of the pool is large enough, now or later."""

    code = "job-unplaceable"


class JobQuotaError(JobError):
    """Report that the organisation has as many unfinished jobs as it may."""

    code = "job-quota"


class JobTooLargeError(JobError):
    """Report a payload too large for the log."""

    code = "job-too-large"


class JobBindingError(JobError):
    """Report an organisation or service that does not exist."""

    code = "job-binding-unknown"


class JobPayloadError(JobError):
    """Report a payload that is not base64 although it says so."""

    code = "job-payload-invalid"


class JobStoreFullError(JobError):
    """Report that the data centre holds as much unfinished work as it may."""

    code = "job-store-full"
