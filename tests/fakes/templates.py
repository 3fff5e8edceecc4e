"""Provide fakes of the fleet log, membership and peers for the directory's tests."""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any

import anyio
from returns.result import Result, Success

from mustardward.components.keys import FLEET_LOG, MEMBERSHIP, PEERS
from mustardward.components.membership.models import Member, MemberStatus
from mustardward.components.templates.models import ProgressReply
from mustardward.core import Core
from mustardward.exceptions import MustardwardError, PeerError
from mustardward.helpers.timer import DrivenTimerService
from mustardward.settings.models import (
    EntryIdentity,
    Listener,
    PlatformSettings,
    Settings,
)
from mustardward.state.fleet import FleetState
from mustardward.state.fold import Acceptance
from mustardward.state.records import NO_BASE


@dataclass(slots=True)
class Proposal:
    """Hold the arguments of one proposal."""

    body: Any
    actor: str
    base_revision: int
    record_id: str | None


@dataclass(slots=True)
class FakeFleetLog:
    """Hold a state, and respond to proposals with the result that a test sets."""

    state: FleetState = field(default_factory=FleetState)
    next_offset: int = 10
    sequence: int = 5
    digest: str = "digest"
    ready: bool = True
    may_decide: bool = True
    result: Result[Acceptance, MustardwardError] = field(
        default_factory=lambda: Success(Acceptance(("template:cellar",), 6))
    )
    proposals: list[Proposal] = field(default_factory=list)

    def tail_age_seconds(self) -> float:
        return 0.0

    async def async_confirm_tail(self, timeout_seconds: float) -> bool:
        return True

    async def async_propose(
        self,
        body: Any,
        *,
        actor: str,
        base_revision: int = NO_BASE,
        record_id: str | None = None,
        timeout_seconds: float = 5.0,
        priority: int = 1,
    ) -> Result[Acceptance, MustardwardError]:
        self.proposals.append(Proposal(body, actor, base_revision, record_id))
        return self.result

    def listen(self, listener: Callable[[Any], None]) -> Callable[[], None]:
        return lambda: None


@dataclass(slots=True)
class FakeMembership:
    """Hold the members that a test passes."""

    known: list[Member]

    def members(self, data_centre: str | None = None) -> tuple[Member, ...]:
        return tuple(self.known)


@dataclass(slots=True)
class FakePeers:
    """Respond for other entries by name.

    :param offsets: the offset that each entry reports, or -1 if it does not respond.
    """

    offsets: dict[str, int]
    revisions: dict[str, int] = field(default_factory=dict)

    async def async_call(
        self, member: Member, message: Any, timeout_seconds: float = 1.0
    ) -> ProgressReply:
        offset = self.offsets[member.name]
        if offset < 0:
            raise PeerError(member.name)
        return ProgressReply(offset, "", self.revisions.get(member.name, 0))


def build_member(name: str, status: MemberStatus = MemberStatus.ALIVE) -> Member:
    """Return a member of one data centre."""
    return Member(name, "dc-1", "127.0.0.1:1", 1, status)


@asynccontextmanager
async def async_directory_core(
    log: FakeFleetLog, members: list[Member], peers: FakePeers
) -> AsyncIterator[Core]:
    """Yield a core with the fakes and a driven clock."""
    settings = Settings(
        entry=EntryIdentity(name="entry-1", data_centre="dc-1"),
        callers=Listener(port=0),
        platform=PlatformSettings(url="http://127.0.0.1:1"),
    )
    async with anyio.create_task_group() as tasks:
        core = Core(settings, DrivenTimerService(), tasks)
        core.put(FLEET_LOG, log)
        core.put(MEMBERSHIP, FakeMembership(members))  # type: ignore[arg-type]
        core.put(PEERS, peers)  # type: ignore[arg-type]
        yield core
        tasks.cancel_scope.cancel()
