"""Requests and replies of callers."""

from __future__ import annotations

from dataclasses import dataclass, field

from ...platform import callers
from ...platform.models import Queue
from ..organisations.models import Caller


@dataclass(frozen=True, slots=True)
class Request:
    """Request of a caller.

    :param deadline: steady clock, in seconds.
    :param key: API key that identifies the caller's organisation; never logged.
    """

    method: str
    host: str
    path: str
    body: bytes
    deadline: float
    key: str = field(default="", repr=False)


@dataclass(frozen=True, slots=True)
class Reply:
    """Reply to a caller.

    :param retry_after: seconds after which the caller should retry, or None.
    :param version: newest configuration version known to allow this reply; 0 if it
        depends on none.
    """

    status: int
    body: bytes
    retry_after: int | None = None
    version: int = 0


@dataclass(frozen=True, slots=True)
class AdmittedRequest:
    """Queue and caller of an admitted request.

    :param version: configuration version that admitted it.
    """

    queue: Queue
    caller: Caller
    version: int


def error_reply(status: int, code: str, detail: str) -> Reply:
    """Return a reply with an error code and its detail."""
    return Reply(status, callers.encode_error(code, detail))
