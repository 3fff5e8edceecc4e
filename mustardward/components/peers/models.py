"""Define the frames of a request that one entry forwards to another."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ForwardHead:
    """Hold the head of a forwarded request.

    The receiver looks up everything else by organisation and service. The deadline is
    sent as ``remaining_seconds``, since the clocks of two entries are unrelated.
    """

    request_id: str
    organisation: str
    service: str
    method: str
    target: str
    headers: tuple[tuple[bytes, bytes], ...]
    remaining_seconds: float
    hops: int
    idempotent: bool
    idempotency_key: str = ""
    request_digest: str = ""


@dataclass(frozen=True, slots=True)
class RequestFrame:
    """Hold one frame of a forwarded request; only the first one has a head."""

    head: ForwardHead | None = None
    chunk: bytes = b""
    last: bool = False


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Hold the head of the response to a forwarded request."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]


@dataclass(frozen=True, slots=True)
class ForwardRefusal:
    """Hold the receiver's own refusal; ``ran`` is its claim about execution."""

    code: str
    ran: str
    detail: str = ""


@dataclass(frozen=True, slots=True)
class ResponseFrame:
    """Hold one frame of a response.

    A response without a ``last`` frame is truncated. ``cut`` reports that at once, if
    the sender has noticed it.
    """

    head: ResponseHead | None = None
    refusal: ForwardRefusal | None = None
    chunk: bytes = b""
    last: bool = False
    cut: bool = False
