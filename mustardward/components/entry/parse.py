"""Parse and validate a caller's request line and headers."""

from __future__ import annotations

import re
import secrets
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any, Final
from urllib.parse import unquote_to_bytes

from returns.result import Failure, Result, Success

from ...const import (
    HEADER_CLASS,
    HEADER_DEADLINE,
    HEADER_IDEMPOTENCY_KEY,
    HEADER_REQUEST_ID,
)
from ...settings.models import RequestLimits
from ...state.models.templates import Parameters, Urgency
from ..templates.protocols import ResolvedService
from .const import IDEMPOTENT_METHODS
from .headers import has_injection, header_bytes
from .models import Ran, RequestFacts, RequestRefusal

_REQUEST_ID: Final = re.compile(r"[A-Za-z0-9._-]{1,64}")
_IDEMPOTENCY_KEY: Final = re.compile(r"[\x21-\x7e]{1,255}")
_NAME: Final = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
_MAX_LENGTH_DIGITS: Final = 18
_CONTROL_HEADER_NAMES: Final = (
    HEADER_CLASS,
    HEADER_DEADLINE,
    HEADER_IDEMPOTENCY_KEY,
    HEADER_REQUEST_ID,
    "mw-idempotent",
    "content-length",
)
_CONTROL_HEADERS: Final = {name.encode(): name for name in _CONTROL_HEADER_NAMES}
_CLASSES: Final = frozenset(item.value for item in Urgency)
_IDEMPOTENT_VALUES: Final = {"yes": True, "no": False}


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A parsed request, before its names are resolved.

    ``target`` is the path and query that are sent to the worker.
    """

    request_id: str
    method: str
    organisation: str
    service: str
    target: str
    control_headers: dict[str, str]

    @property
    def idempotency_key(self) -> str:
        """Return the caller's idempotency key; empty if there is none."""
        return self.control_headers.get(HEADER_IDEMPOTENCY_KEY, "")

    @property
    def content_length(self) -> int | None:
        """Return the declared body length, if any."""
        value = self.control_headers.get("content-length")
        return None if value is None else int(value)


def read_request_id(headers: Iterable[tuple[bytes, bytes]]) -> str:
    """Return the caller's request id if it is well formed, else a new one."""
    for name, value in headers:
        if name == b"mw-request-id":
            text = value.decode("latin-1")
            if _REQUEST_ID.fullmatch(text):
                return text
    return secrets.token_hex(8)


def parse_request(
    scope: dict[str, Any], request_id: str, limits: RequestLimits
) -> Result[CallerRequest, RequestRefusal]:
    """Return the request of an ASGI scope, or the refusal of an invalid one."""
    headers: list[tuple[bytes, bytes]] = scope["headers"]
    if header_bytes(headers) + len(scope["raw_path"]) > limits.header_bytes:
        return _refuse("headers-too-large", 431, f"limit={limits.header_bytes}")
    if has_injection(headers):
        return _refuse("header-invalid", 400, "a header holds a line break")
    matched = [item for item in headers if item[0] in _CONTROL_HEADERS]
    control_headers = {
        _CONTROL_HEADERS[name]: value.decode("latin-1") for name, value in matched
    }
    if len(control_headers) != len(matched):
        return _refuse("header-repeated", 400, "a header that decides came twice")
    refusal = _validate_control_headers(control_headers, limits)
    if refusal is not None:
        return Failure(refusal)
    target = _parse_target(scope["raw_path"], scope["query_string"])
    if isinstance(target, Failure):
        return Failure(target.failure())
    organisation, service, path = target.unwrap()
    return Success(
        CallerRequest(
            request_id, scope["method"], organisation, service, path, control_headers
        )
    )


def build_facts(
    request: CallerRequest,
    resolved: ResolvedService,
    limits: RequestLimits,
    arrived: float,
) -> RequestFacts:
    """Return the facts of a request whose organisation was resolved.

    The digest of a keyed request is set after its body is read.
    """
    parameters = resolved.organisation.parameters
    return RequestFacts(
        request_id=request.request_id,
        organisation=request.organisation,
        service=request.service,
        pool=resolved.binding.pool,
        parameters=parameters,
        urgency=_urgency(request, resolved, parameters),
        idempotent=_idempotent(request),
        arrived=arrived,
        deadline=arrived + _deadline_seconds(request, parameters, limits),
        idempotency_key=request.idempotency_key,
    )


def _urgency(
    request: CallerRequest, resolved: ResolvedService, parameters: Parameters
) -> Urgency:
    text = request.control_headers.get(HEADER_CLASS)
    if text is not None:
        return Urgency(text)
    if resolved.binding.urgency is not Urgency.NORMAL:
        return resolved.binding.urgency
    return parameters.urgency


def _idempotent(request: CallerRequest) -> bool:
    text = request.control_headers.get("mw-idempotent")
    if text is not None:
        return _IDEMPOTENT_VALUES[text]
    return request.method in IDEMPOTENT_METHODS


def _deadline_seconds(
    request: CallerRequest, parameters: Parameters, limits: RequestLimits
) -> float:
    text = request.control_headers.get(HEADER_DEADLINE)
    seconds = float(text) if text is not None else parameters.deadline_seconds
    return min(seconds, limits.maximum_deadline_seconds)


def _validate_control_headers(
    control_headers: dict[str, str], limits: RequestLimits
) -> RequestRefusal | None:
    text = control_headers.get(HEADER_CLASS)
    if text is not None and text not in _CLASSES:
        return _refusal("class-invalid", 400, "mw-class: urgent, normal or long")
    text = control_headers.get("mw-idempotent")
    if text is not None and text not in _IDEMPOTENT_VALUES:
        return _refusal("idempotent-invalid", 400, "mw-idempotent: yes or no")
    text = control_headers.get(HEADER_DEADLINE)
    if text is not None and not _is_positive_number(text):
        return _refusal("deadline-invalid", 400, "seconds above 0 are expected")
    text = control_headers.get(HEADER_IDEMPOTENCY_KEY)
    if text is not None and not _IDEMPOTENCY_KEY.fullmatch(text):
        return _refusal("key-invalid", 400, "1 to 255 visible characters")
    return _validate_content_length(control_headers.get("content-length"), limits)


def _validate_content_length(
    text: str | None, limits: RequestLimits
) -> RequestRefusal | None:
    if text is None:
        return None
    if not (text.isascii() and text.isdigit()):
        return _refusal("length-invalid", 400, "content-length is no number")
    # Longer than any valid length; Python refuses to convert thousands of digits.
    if len(text) > _MAX_LENGTH_DIGITS or int(text) > limits.body_bytes:
        return _refusal("body-too-large", 413, f"limit={limits.body_bytes}")
    return None


def _is_positive_number(text: str) -> bool:
    try:
        value = float(text)
    except ValueError:
        return False
    return 0.0 < value < float("inf")


def _parse_target(
    raw_path: bytes, query: bytes
) -> Result[tuple[str, str, str], RequestRefusal]:
    segments = raw_path.decode("latin-1").split("/", 3)
    if len(segments) < 3 or segments[0] or not _NAME.fullmatch(segments[1]):
        return _refuse("path-invalid", 404, "/{organisation}/{service}/… is expected")
    if not _NAME.fullmatch(segments[2]):
        return _refuse("path-invalid", 404, "/{organisation}/{service}/… is expected")
    rest = segments[3] if len(segments) == 4 else ""
    if _has_dot_segments(rest):
        return _refuse("path-invalid", 400, "dot segments are not allowed")
    target = f"/serve/{segments[2]}/{rest}"
    if query:
        target += "?" + query.decode("latin-1")
    return Success((segments[1], segments[2], target))


def _has_dot_segments(rest: str) -> bool:
    # A worker has other routes beside /serve/. A path with dot segments, plain or
    # encoded, could be normalised into one of them on the way.
    if "." not in rest and "%" not in rest:
        return False
    decoded = unquote_to_bytes(rest).replace(b"\\", b"/")
    return any(part in (b".", b"..") for part in decoded.split(b"/"))


def _refusal(code: str, status: int, detail: str) -> RequestRefusal:
    return RequestRefusal(code, status, Ran.NO, detail)


def _refuse(code: str, status: int, detail: str) -> Failure[RequestRefusal]:
    return Failure(_refusal(code, status, detail))
