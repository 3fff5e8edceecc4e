"""Model what a maintenance executor works with."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from ...core import EventBus
from ...helpers.timer import TimerService
from ...standin.protocol.protocols import PowerService
from ...state.protocols import FleetLog
from ..membership.models import Member
from ..membership.protocols import Membership
from .const import MAX_START_TAIL_AGE_SECONDS


class Outcome(StrEnum):
    """Say how a claim ends."""

    DONE = "done"
    GIVEN_BACK = "given-back"
    FAILED = "failed"


async def async_skip_probe(pool: str) -> None:
    """Take what is folded for the whole truth."""


@dataclass(frozen=True, slots=True)
class ExecutorDependencies:
    """Hold the parts that an executor calls.

    ``executor`` names this process and its start: a process that was replaced under the
    same name has to adopt the claims of the one before. ``vacate`` moves
    long work away and tells whether none is left. ``look`` folds what is down in a
    pool; it comes before each claim and each reboot.
    """

    executor: str
    data_centre: str
    log: FleetLog
    power: PowerService
    membership: Membership
    timers: TimerService
    events: EventBus
    vacate: Callable[[str], Awaitable[bool]]
    probe: Callable[[str], Coroutine[Any, Any, None]] = async_skip_probe

    def may_start(self) -> bool:
        """Tell whether something new may begin: the tail was confirmed just now."""
        log = self.log
        fresh = log.tail_age_seconds() <= MAX_START_TAIL_AGE_SECONDS
        return log.ready and log.may_decide and fresh


def executor_name(member: Member) -> str:
    """Return the name under which a process holds claims and acknowledges moves."""
    return f"{member.name}#{member.start}"
