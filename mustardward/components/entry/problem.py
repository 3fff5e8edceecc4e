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
_SPREAD: Final = 2.0
_FRACTION_STEPS: Final = 1024


def spread_retry_after(seconds: float, request_id: str) -> float:
    """Return a pause between once and three times ``seconds``, fixed by the request.

    Callers that were refused together would otherwise come back together, and be
    refused together again.
    """
    step = xxhash.xxh3_64_intdigest(request_id.encode()) % _FRACTION_STEPS
    return seconds * (1.0 + _SPREAD * step / _FRACTION_STEPS)


def retryable_refusal(code: str, status: int, ran: Ran, detail: str) -> RequestRefusal:
    """Return a refusal that a later try may not meet."""
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
    """Return the headers of a refusal, ``Retry-After`` spread over time."""
    headers = [
        (b"content-type", CONTENT_TYPE),
        (b"content-length", b"%d" % length),
        (b"mw-ran", refusal.ran.value.encode()),
        (b"mw-request-id", request_id.encode()),
    ]
    if refusal.retry_after_seconds is not None:
        pause = spread_retry_after(refusal.retry_after_seconds, request_id)
        headers.append((b"retry-after", b"%d" % math.ceil(pause)))
    return tuple(headers)
