"""Model what a maintenance executor works with."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import StrEnum

from ...core import EventBus
from ...helpers.timer import TimerService
from ...platform.protocols import PowerService
from ...state.protocols import FleetLog
from ..membership.models import Member
from ..membership.protocols import Membership
from .const import TAIL_FRESH_SECONDS


class Outcome(StrEnum):
    """Say how a claim ends."""

    DONE = "done"
    GIVEN_BACK = "given-back"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class ExecutorParts:
    """Hold the parts that an executor calls.

    ``executor`` names this process and its start: a process that was replaced under the
    same name has to adopt the claims of the one before. ``vacate`` moves
    long work away and tells whether none is left.
    """

    executor: str
    data_centre: str
    log: FleetLog
    power: PowerService
    membership: Membership
    timers: TimerService
    events: EventBus
    vacate: Callable[[str], Awaitable[bool]]

    def may_begin(self) -> bool:
        """Tell whether something new may begin: the tail was confirmed just now."""
        log = self.log
        fresh = log.tail_age_seconds() <= TAIL_FRESH_SECONDS
        return log.ready and log.may_decide and fresh


def executor_name(member: Member) -> str:
    """Return the name under which a process holds claims and acknowledges moves."""
    return f"{member.name}#{member.start}"
