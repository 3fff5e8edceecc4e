"""Remember the final states of jobs that peers reported to callers of this node."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Final

from ...platform import callers
from ..front.models import Reply, Request
from ..organisations.keys import key_digest

MAX_REPLIES: Final = 4096
"""Most replies remembered; the oldest is dropped first."""

_FINAL_BODIES: Final = frozenset(
    callers.encode_state(state)
    for state in (callers.STATE_DONE, callers.STATE_FAILED, callers.STATE_CANCELLED)
)

_Key = tuple[str, str, bytes]


@dataclass(slots=True, eq=False)
class FinalReplies:
    """Hold replies with a final state by host, path and API key of the request.

    Only a digest of the API key is held, since keys are secrets.
    """

    _replies: dict[_Key, Reply] = field(default_factory=dict, repr=False)

    def record(self, request: Request, reply: Reply) -> None:
        """Remember a peer's reply if it has a job's final state."""
        if request.method != "GET" or reply.status != 200:
            return
        if reply.body not in _FINAL_BODIES:
            return
        if len(self._replies) >= MAX_REPLIES:
            del self._replies[next(iter(self._replies))]
        self._replies[_key(request)] = reply

    def find(self, request: Request) -> Reply | None:
        """Return the remembered reply to a query, if any."""
        if request.method != "GET" or not self._replies:
            return None
        return self._replies.get(_key(request))


def _key(request: Request) -> _Key:
    return request.host, request.path, key_digest(request.key)
