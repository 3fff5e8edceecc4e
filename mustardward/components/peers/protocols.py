"""Define how entries call each other.

A message is a frozen slotted data class filed with :func:`peer_message`; msgspec is the
codec, grpclib the transport. A handler is filed for each message type by the component
that owns it.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, Protocol, TypeVar

from returns.result import Result

from ...helpers.registry import Registry
from ..entry.models import RequestFacts
from ..entry.protocols import FailedAttempt, OutgoingRequest, WorkerResponse
from ..membership.models import Member

MessageT = TypeVar("MessageT", bound=type)


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """Describe one kind of call: its name, its message and its reply."""

    name: str
    message_type: type
    reply_type: type


PEER_MESSAGES: Registry[str, PeerMessage] = Registry("peer messages")
_MESSAGE_BY_TYPE: dict[type, PeerMessage] = {}


def peer_message(name: str, reply_type: type) -> Callable[[MessageT], MessageT]:
    """Return a decorator that files a data class as the message of a call."""

    def decorate(message_type: MessageT) -> MessageT:
        description = PeerMessage(name, message_type, reply_type)
        PEER_MESSAGES.register(name)(description)
        _MESSAGE_BY_TYPE[message_type] = description
        return message_type

    return decorate


def describe_message(message: Any) -> PeerMessage:
    """Return the description filed for a message's type."""
    return _MESSAGE_BY_TYPE[type(message)]


PeerHandler = Callable[[str, Any], Awaitable[Any]]
"""Take the calling entry's name and the message, and return the reply."""


class Peers(Protocol):
    """Call other entries and answer them."""

    @property
    def address(self) -> str:
        """Return where this entry listens, as ``host:port``."""
        ...

    async def async_call(
        self, member: Member, message: Any, timeout_seconds: float = 1.0
    ) -> Any:
        """Return the reply.

        :raises PeerError: if the call certainly had no effect.
        :raises PeerOutcomeUnknownError: if it may have had one.
        """
        ...

    def handle(self, message_type: type, handler: PeerHandler) -> Callable[[], None]:
        """Answer a kind of call until unsubscribed."""
        ...

    async def async_forward(
        self, member: Member, facts: RequestFacts, request: OutgoingRequest
    ) -> Result[WorkerResponse, FailedAttempt]:
        """Let another entry serve a caller's request, and stream its answer back."""
        ...
