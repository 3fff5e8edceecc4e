"""Map errors to HTTP statuses and ``application/problem+json`` responses."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any, Final, TypeVar

from starlette.responses import JSONResponse

from ...const import HEADER_RAN
from ...exceptions import (
    MustardwardError,
    NotReadyError,
    OffsetExpiredError,
    PeerError,
    PeerOutcomeUnknownError,
    PlatformError,
    PlatformOutcomeUnknownError,
    PlatformRefusedError,
    PlatformUnavailableError,
    SettingsError,
    StateError,
    TransitionError,
    UnknownRecordError,
)
from ...helpers.registry import Registry
from ...state.fold import RecordRefusedError, RevisionConflictError
from ..entry.const import PROBLEM_TYPE_PREFIX

PROBLEM_STATUSES: Registry[type[MustardwardError], int] = Registry("problem statuses")
"""HTTP status by error type; a type without one has that of its nearest base."""

_NO_EFFECT_ERRORS: Final = (PlatformUnavailableError, NotReadyError, PeerError)
_UNKNOWN_EFFECT_ERRORS: Final = (PlatformOutcomeUnknownError, PeerOutcomeUnknownError)


ErrorT = TypeVar("ErrorT", bound=type[MustardwardError])


def problem_status_code(status: int) -> Callable[[ErrorT], ErrorT]:
    """Return a decorator that registers the HTTP status of an error type."""

    def decorate(error_type: ErrorT) -> ErrorT:
        PROBLEM_STATUSES.register(error_type)(status)
        return error_type

    return decorate


@problem_status_code(422)
class BodyInvalidError(MustardwardError):
    """Report a request body that does not match the route's model."""

    code = "body-invalid"


@problem_status_code(401)
class TokenInvalidError(MustardwardError):
    """Report a request without a valid operator token."""

    code = "token-invalid"


@problem_status_code(404)
class RouteUnknownError(MustardwardError):
    """Report a path or method without a route."""

    code = "route-unknown"


@problem_status_code(404)
class NotFoundError(MustardwardError):
    """Report a name that does not exist; raised by route handlers."""

    code = "not-found"


for _type, _status in (
    (MustardwardError, 500),
    (SettingsError, 400),
    (PlatformError, 502),
    (PlatformUnavailableError, 503),
    (PlatformOutcomeUnknownError, 504),
    (PlatformRefusedError, 409),
    (OffsetExpiredError, 410),
    (StateError, 500),
    (NotReadyError, 503),
    (UnknownRecordError, 400),
    (RecordRefusedError, 422),
    (RevisionConflictError, 409),
    (PeerError, 502),
    (PeerOutcomeUnknownError, 504),
    (TransitionError, 409),
):
    problem_status_code(_status)(_type)


def problem_status(error: MustardwardError) -> int:
    """Return the HTTP status of an error's type or its nearest base."""
    for base in type(error).__mro__:
        if base in PROBLEM_STATUSES:
            return PROBLEM_STATUSES[base]
    return 500


def problem_response(
    error: MustardwardError,
    status: int | None = None,
    extra_fields: Mapping[str, Any] | None = None,
) -> JSONResponse:
    """Return the response to a failed request.

    ``ran`` states whether the request may have taken effect despite the error.
    """
    status = problem_status(error) if status is None else status
    ran = "no" if _has_no_effect(error, status) else "unknown"
    document = {
        "type": PROBLEM_TYPE_PREFIX + error.code,
        "title": error.code.replace("-", " "),
        "status": status,
        "detail": error.detail,
        "ran": ran,
        **(extra_fields or {}),
    }
    headers = {HEADER_RAN: ran}
    if status == 401:
        headers["www-authenticate"] = "Bearer"
    return JSONResponse(
        document, status, headers, media_type="application/problem+json"
    )


def _has_no_effect(error: MustardwardError, status: int) -> bool:
    if isinstance(error, _UNKNOWN_EFFECT_ERRORS):
        return False
    return status < 500 or isinstance(error, _NO_EFFECT_ERRORS)
