"""Write refusals as ``application/problem+json`` (RFC 9457)."""

from __future__ import annotations

import json
import math
from typing import Final

import xxhash

from .const import PROBLEM_TYPE_PREFIX, RETRY_AFTER_SECONDS
from .headers import Headers
from .models import Ran, RequestRefusal

CONTENT_TYPE: Final = b"application/problem+json"
_JITTER_FACTOR: Final = 2.0
_JITTER_STEPS: Final = 1024


def jitter_retry_after(seconds: float, request_id: str) -> float:
    """Return a delay of one to three times ``seconds``, derived from the request id.

    Callers that are refused together would otherwise retry together and be refused
    again.
    """
    fraction = xxhash.xxh3_64_intdigest(request_id.encode()) % _JITTER_STEPS
    return seconds * (1.0 + _JITTER_FACTOR * fraction / _JITTER_STEPS)


def retryable_refusal(code: str, status: int, ran: Ran, detail: str) -> RequestRefusal:
    """Return a refusal with a ``Retry-After``, for conditions that may pass."""
    return RequestRefusal(code, status, ran, detail, RETRY_AFTER_SECONDS)


def problem_body(refusal: RequestRefusal, request_id: str) -> bytes:
    """Return the JSON document of a refusal."""
    document: dict[str, str | int] = {
        "type": PROBLEM_TYPE_PREFIX + refusal.code,
        "title": refusal.code.replace("-", " "),
        "status": refusal.status,
        "detail": refusal.detail,
        "ran": refusal.ran.value,
        "request_id": request_id,
    }
    return json.dumps(document, separators=(",", ":")).encode()


def problem_headers(refusal: RequestRefusal, request_id: str, length: int) -> Headers:
    """Return the headers of a refusal, with jitter on ``Retry-After``."""
    headers = [
        (b"content-type", CONTENT_TYPE),
        (b"content-length", b"%d" % length),
        (b"mw-ran", refusal.ran.value.encode()),
        (b"mw-request-id", request_id.encode()),
    ]
    if refusal.retry_after_seconds is not None:
        delay_seconds = jitter_retry_after(refusal.retry_after_seconds, request_id)
        headers.append((b"retry-after", b"%d" % math.ceil(delay_seconds)))
    return tuple(headers)
