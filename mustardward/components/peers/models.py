"""Model what entries send each other when one forwards a caller's request."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ForwardHead:
    """Begin a forwarded request.

    The receiver derives the facts anew from organisation and service. Time goes as
    ``remaining_seconds``, since the sender's clock means nothing to the receiver.
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
    """Carry one piece of a forwarded request; only the first has a head."""

    head: ForwardHead | None = None
    chunk: bytes = b""
    last: bool = False


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """Begin the answer to a forwarded request."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]


@dataclass(frozen=True, slots=True)
class ForwardRefusal:
    """Say that the receiver answers with a refusal of its own; ``ran`` is its claim."""

    code: str
    ran: str
    detail: str = ""


@dataclass(frozen=True, slots=True)
class AnswerFrame:
    """Carry one piece of an answer; without a ``last`` one it was cut off.

    ``cut`` says so at once, where the peer noticed it itself.
    """

    head: AnswerHead | None = None
    refusal: ForwardRefusal | None = None
    chunk: bytes = b""
    last: bool = False
    cut: bool = False
