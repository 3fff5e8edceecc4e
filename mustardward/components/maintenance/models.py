"""Define the models of maintenance executors."""

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
    """Enumerate the outcomes of a claim."""

    DONE = "done"
    GIVEN_BACK = "given-back"
    FAILED = "failed"


async def async_skip_probe(pool: str) -> None:
    """Do nothing: the applied state is taken as complete."""


@dataclass(frozen=True, slots=True)
class ExecutorDependencies:
    """Hold the dependencies of an executor.

    ``executor`` identifies this process and its incarnation: a process that restarts
    under the same name has to adopt the claims of its predecessor. ``vacate`` moves
    jobs away from an instance and returns whether none is left. ``probe`` reports the
    unresponsive workers of a pool; it precedes each claim and each reboot.
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
        """Return whether operations may start, which requires a recent log tail."""
        log = self.log
        fresh = log.tail_age_seconds() <= MAX_START_TAIL_AGE_SECONDS
        return log.ready and log.may_decide and fresh


def executor_name(member: Member) -> str:
    """Return the identity with which a process holds claims and confirms moves."""
    return f"{member.name}#{member.start}"
