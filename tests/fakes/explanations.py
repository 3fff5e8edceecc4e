"""Provide fakes of the log, members and peers from which explanations are merged."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, cast

from anyio.abc import TaskGroup

from mustardward.components.membership.models import Member, MemberStatus
from mustardward.components.peers.protocols import PeerHandler
from mustardward.core import Core
from mustardward.exceptions import PeerError
from mustardward.helpers.timer import DrivenTimerService
from mustardward.settings.models import Settings
from mustardward.state.fleet import FleetState
from mustardward.state.fold import RecordOutcome


def build_entry_settings(name: str, data_centre: str) -> Settings:
    """Return the minimal settings of an entry."""
    return Settings.model_validate(
        {
            "entry": {"name": name, "data_centre": data_centre},
            "callers": {"port": 0},
            "platform": {"url": "http://127.0.0.1:1"},
        }
    )


def build_core(name: str = "entry-1", data_centre: str = "bergen") -> Core:
    """Return a core with a driven clock and no task group."""
    settings = build_entry_settings(name, data_centre)
    return Core(settings, DrivenTimerService(), cast(TaskGroup, None))


def build_member(name: str, data_centre: str = "bergen") -> Member:
    """Return a live member."""
    return Member(name, data_centre, "127.0.0.1:1", 1, MemberStatus.ALIVE)


class FakeFleetLog:
    """Hold a fleet state, and deliver the outcomes that a test passes."""

    def __init__(self, state: FleetState | None = None) -> None:
        self.state = state or FleetState()
        self._listeners: list[Callable[[RecordOutcome], None]] = []

    def listen(self, listener: Callable[[RecordOutcome], None]) -> Callable[[], None]:
        """Subscribe a listener."""
        self._listeners.append(listener)
        return lambda: self._listeners.remove(listener)

    def deliver(self, outcome: RecordOutcome) -> None:
        """Pass an outcome to all listeners."""
        for listener in self._listeners:
            listener(outcome)


class FakeMembership:
    """Hold a fixed set of members."""

    def __init__(self, own: Member, *others: Member) -> None:
        self.own = own
        self._others = others

    def members(self, data_centre: str | None = None) -> tuple[Member, ...]:
        """Return the members of one data centre, or all members."""
        return tuple(
            item
            for item in (self.own, *self._others)
            if data_centre in (None, item.data_centre)
        )

    def live(self, data_centre: str | None = None) -> tuple[Member, ...]:
        """Return the members, all of which are live."""
        return self.members(data_centre)


class FakePeers:
    """Connect the handlers of several entries, some of which are unreachable."""

    def __init__(self, name: str, network: dict[str, FakePeers]) -> None:
        self._name = name
        self._network = network
        self._handlers: dict[type, PeerHandler] = {}
        self.unreachable: set[str] = set()
        network[name] = self

    def handle(self, message_type: type, handler: PeerHandler) -> Callable[[], None]:
        """Register the handler of a message type; return a function that removes it."""
        self._handlers[message_type] = handler
        return lambda: self._handlers.pop(message_type, None) and None

    async def async_call(
        self, member: Member, message: Any, timeout_seconds: float = 1.0
    ) -> Any:
        """Call the other entry's handler, or fail if it is unreachable."""
        if member.name in self.unreachable or member.name not in self._network:
            raise PeerError(member.name)
        handler = self._network[member.name]._handlers[type(message)]
        return await handler(self._name, message)
