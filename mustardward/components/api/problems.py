"""Map failures to statuses and write them as ``application/problem+json``."""

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
"""Status by type of failure; a type without one takes that of its nearest base."""

_SURELY_WITHOUT_EFFECT: Final = (PlatformUnavailableError, NotReadyError, PeerError)
_UNKNOWN_EFFECT: Final = (PlatformOutcomeUnknownError, PeerOutcomeUnknownError)


ErrorT = TypeVar("ErrorT", bound=type[MustardwardError])


def problem_status_code(status: int) -> Callable[[ErrorT], ErrorT]:
    """Return a decorator that files the status of a type of failure."""

    def decorate(error_type: ErrorT) -> ErrorT:
        PROBLEM_STATUSES.register(error_type)(status)
        return error_type

    return decorate


@problem_status_code(422)
class BodyInvalidError(MustardwardError):
    """Report a call's body that does not match the route's model."""

    code = "body-invalid"


@problem_status_code(401)
class TokenInvalidError(MustardwardError):
    """Report a call without the operators' token."""

    code = "token-invalid"


@problem_status_code(404)
class RouteUnknownError(MustardwardError):
    """Report a path or method that no route answers."""

    code = "route-unknown"


@problem_status_code(404)
class NotFoundError(MustardwardError):
    """Report a name that nothing has; for the handlers of routes."""

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
    """Return the status of a failure's type or its nearest base."""
    for base in type(error).__mro__:
        if base in PROBLEM_STATUSES:
            return PROBLEM_STATUSES[base]
    return 500


def problem_response(
    error: MustardwardError,
    status: int | None = None,
    more: Mapping[str, Any] | None = None,
) -> JSONResponse:
    """Return the answer to a call that failed.

    ``ran`` says whether the call may have had an effect all the same.
    """
    status = problem_status(error) if status is None else status
    ran = "no" if _had_no_effect(error, status) else "unknown"
    document = {
        "type": PROBLEM_TYPE_PREFIX + error.code,
        "title": error.code.replace("-", " "),
        "status": status,
        "detail": error.detail,
        "ran": ran,
        **(more or {}),
    }
    headers = {HEADER_RAN: ran}
    if status == 401:
        headers["www-authenticate"] = "Bearer"
    return JSONResponse(
        document, status, headers, media_type="application/problem+json"
    )


def _had_no_effect(error: MustardwardError, status: int) -> bool:
    if isinstance(error, _UNKNOWN_EFFECT):
        return False
    return status < 500 or isinstance(error, _SURELY_WITHOUT_EFFECT)
