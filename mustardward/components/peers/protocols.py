"""Define how entries call each other.

A message is a frozen slotted data class registered with :func:`peer_message`; it is
encoded by msgspec and sent over grpclib. The component that owns a message type
registers the handler for it.
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
    """Return a decorator that registers a data class as the message of a call."""

    def decorate(message_type: MessageT) -> MessageT:
        description = PeerMessage(name, message_type, reply_type)
        PEER_MESSAGES.register(name)(description)
        _MESSAGE_BY_TYPE[message_type] = description
        return message_type

    return decorate


def describe_message(message: Any) -> PeerMessage:
    """Return the description registered for a message's type."""
    return _MESSAGE_BY_TYPE[type(message)]


PeerHandler = Callable[[str, Any], Awaitable[Any]]
"""Handler that takes the calling entry's name and the message; returns the reply."""


class Peers(Protocol):
    """Call other entries and handle their calls."""

    @property
    def address(self) -> str:
        """Return this entry's listening address as ``host:port``."""
        ...

    async def async_call(
        self, member: Member, message: Any, timeout_seconds: float = 1.0
    ) -> Any:
        """Call a peer and return its reply.

        :raises PeerError: if the call certainly had no effect.
        :raises PeerOutcomeUnknownError: if it may have had one.
        """
        ...

    def handle(self, message_type: type, handler: PeerHandler) -> Callable[[], None]:
        """Register the handler of a message type; return what unregisters it."""
        ...

    async def async_forward(
        self, member: Member, facts: RequestFacts, request: OutgoingRequest
    ) -> Result[WorkerResponse, FailedAttempt]:
        """Forward a caller's request to another entry and return its response."""
        ...
