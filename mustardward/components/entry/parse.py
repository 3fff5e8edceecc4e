"""Read a caller's request line and headers into the facts that decide about it."""

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
_KEY: Final = re.compile(r"[\x21-\x7e]{1,255}")
_NAME: Final = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
_LENGTH_DIGITS: Final = 18
_OWN_NAMES: Final = (
    HEADER_CLASS,
    HEADER_DEADLINE,
    HEADER_IDEMPOTENCY_KEY,
    HEADER_REQUEST_ID,
    "mw-idempotent",
    "content-length",
)
_WANTED: Final = {name.encode(): name for name in _OWN_NAMES}
_CLASSES: Final = frozenset(item.value for item in Urgency)
_IDEMPOTENT_WORDS: Final = {"yes": True, "no": False}


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """Hold what a caller asked for, before anything was looked up.

    ``target`` is the path and query as the worker gets them.
    """

    request_id: str
    method: str
    organisation: str
    service: str
    target: str
    wanted: dict[str, str]

    @property
    def idempotency_key(self) -> str:
        """Return the caller's key, or nothing."""
        return self.wanted.get(HEADER_IDEMPOTENCY_KEY, "")

    @property
    def content_length(self) -> int | None:
        """Return the declared length of the body, if one was declared."""
        value = self.wanted.get("content-length")
        return None if value is None else int(value)


def read_request_id(headers: Iterable[tuple[bytes, bytes]]) -> str:
    """Return the caller's request id if it is well formed, or a new one."""
    for name, value in headers:
        if name == b"mw-request-id":
            text = value.decode("latin-1")
            if _REQUEST_ID.fullmatch(text):
                return text
    return secrets.token_hex(8)


def parse_request(
    scope: dict[str, Any], request_id: str, limits: RequestLimits
) -> Result[CallerRequest, RequestRefusal]:
    """Return the request that an ASGI scope describes, or why it is refused."""
    headers: list[tuple[bytes, bytes]] = scope["headers"]
    if header_bytes(headers) + len(scope["raw_path"]) > limits.header_bytes:
        return _refuse("headers-too-large", 431, f"limit={limits.header_bytes}")
    if has_injection(headers):
        return _refuse("header-invalid", 400, "a header holds a line break")
    known = [item for item in headers if item[0] in _WANTED]
    wanted = {_WANTED[name]: value.decode("latin-1") for name, value in known}
    if len(wanted) != len(known):
        return _refuse("header-repeated", 400, "a header that decides came twice")
    fault = _fault_in(wanted, limits)
    if fault is not None:
        return Failure(fault)
    target = _parse_target(scope["raw_path"], scope["query_string"])
    if isinstance(target, Failure):
        return Failure(target.failure())
    organisation, service, path = target.unwrap()
    return Success(
        CallerRequest(request_id, scope["method"], organisation, service, path, wanted)
    )


def build_facts(
    request: CallerRequest,
    resolved: ResolvedService,
    limits: RequestLimits,
    arrived: float,
) -> RequestFacts:
    """Return the facts of a request whose organisation was found.

    The digest of a keyed request is filled in once its body was read.
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
    word = request.wanted.get(HEADER_CLASS)
    if word is not None:
        return Urgency(word)
    if resolved.binding.urgency is not Urgency.NORMAL:
        return resolved.binding.urgency
    return parameters.urgency


def _idempotent(request: CallerRequest) -> bool:
    word = request.wanted.get("mw-idempotent")
    if word is not None:
        return _IDEMPOTENT_WORDS[word]
    return request.method in IDEMPOTENT_METHODS


def _deadline_seconds(
    request: CallerRequest, parameters: Parameters, limits: RequestLimits
) -> float:
    word = request.wanted.get(HEADER_DEADLINE)
    seconds = float(word) if word is not None else parameters.deadline_seconds
    return min(seconds, limits.maximum_deadline_seconds)


def _fault_in(wanted: dict[str, str], limits: RequestLimits) -> RequestRefusal | None:
    word = wanted.get(HEADER_CLASS)
    if word is not None and word not in _CLASSES:
        return _refusal("class-invalid", 400, "mw-class: urgent, normal or long")
    word = wanted.get("mw-idempotent")
    if word is not None and word not in _IDEMPOTENT_WORDS:
        return _refusal("idempotent-invalid", 400, "mw-idempotent: yes or no")
    word = wanted.get(HEADER_DEADLINE)
    if word is not None and not _is_positive_number(word):
        return _refusal("deadline-invalid", 400, "seconds above 0 are expected")
    word = wanted.get(HEADER_IDEMPOTENCY_KEY)
    if word is not None and not _KEY.fullmatch(word):
        return _refusal("key-invalid", 400, "1 to 255 visible characters")
    return _fault_in_length(wanted.get("content-length"), limits)


def _fault_in_length(word: str | None, limits: RequestLimits) -> RequestRefusal | None:
    if word is None:
        return None
    if not (word.isascii() and word.isdigit()):
        return _refusal("length-invalid", 400, "content-length is no number")
    # More digits than any length has; Python itself refuses to convert thousands.
    if len(word) > _LENGTH_DIGITS or int(word) > limits.body_bytes:
        return _refusal("body-too-large", 413, f"limit={limits.body_bytes}")
    return None


def _is_positive_number(word: str) -> bool:
    try:
        value = float(word)
    except ValueError:
        return False
    return 0.0 < value < float("inf")


def _parse_target(
    raw_path: bytes, query: bytes
) -> Result[tuple[str, str, str], RequestRefusal]:
    parts = raw_path.decode("latin-1").split("/", 3)
    if len(parts) < 3 or parts[0] or not _NAME.fullmatch(parts[1]):
        return _refuse("path-invalid", 404, "/{organisation}/{service}/… is expected")
    if not _NAME.fullmatch(parts[2]):
        return _refuse("path-invalid", 404, "/{organisation}/{service}/… is expected")
    rest = parts[3] if len(parts) == 4 else ""
    if _leaves_its_folder(rest):
        return _refuse("path-invalid", 400, "dot segments are not allowed")
    target = f"/serve/{parts[2]}/{rest}"
    if query:
        target += "?" + query.decode("latin-1")
    return Success((parts[1], parts[2], target))


def _leaves_its_folder(rest: str) -> bool:
    # A worker's own routes stand beside /serve/. A path with dot segments, plain or
    # encoded, could be normalised on the way into one of them.
    if "." not in rest and "%" not in rest:
        return False
    decoded = unquote_to_bytes(rest).replace(b"\\", b"/")
    return any(part in (b".", b"..") for part in decoded.split(b"/"))


def _refusal(code: str, status: int, detail: str) -> RequestRefusal:
    return RequestRefusal(code, status, Ran.NO, detail)


def _refuse(code: str, status: int, detail: str) -> Failure[RequestRefusal]:
    return Failure(_refusal(code, status, detail))
