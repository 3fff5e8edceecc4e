"""Hold what callers send and are answered."""

from __future__ import annotations

from dataclasses import dataclass, field

from ...platform import callers
from ...platform.models import Queue
from ..organisations.models import Caller


@dataclass(frozen=True, slots=True)
class Request:
    """Hold what a caller sent; the deadline in steady seconds.

    :param key: the secret by which it shows its organisation; it is never logged.
    """

    method: str
    host: str
    path: str
    body: bytes
    deadline: float
    key: str = field(default="", repr=False)


@dataclass(frozen=True, slots=True)
class Reply:
    """Hold what a caller is answered; ``retry_after`` in seconds, or None."""

    status: int
    body: bytes
    retry_after: int | None = None


@dataclass(frozen=True, slots=True)
class Admitted:
    """Hold the queue that a request is for, and who calls."""

    queue: Queue
    caller: Caller


def error_reply(status: int, code: str, detail: str) -> Reply:
    """Return an answer that says what is wrong with a request."""
    return Reply(status, callers.encode_error(code, detail))
