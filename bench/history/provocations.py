"""Bring about the situations that protections are for; harmless by themselves."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any, Final

import anyio

from mustardward.exceptions import SnapshotUnusableError

if TYPE_CHECKING:
    from .world import World

_DRAIN_SECONDS: Final = 5.0
_SLOW_SECONDS: Final = 1.5
_IMAGE_SECONDS: Final = 2.5
_STALE_SECONDS: Final = 0.8
_MIXED_SHARE: Final = 10
"""One answer of so many is mixed up with an earlier one."""


def let_all_hold_duties() -> None:
    """Let every entry believe that it holds every duty."""
    from mustardward.components.membership.services import MembershipService

    def owns_duty(self: Any, duty: str, holders: int = 1) -> bool:
        return True

    setattr(MembershipService, "owns_duty", owns_duty)  # noqa: B010


def offer_stale_images() -> None:
    """Offer the replica an image of its own past, as a stale peer would.

    What comes next from the log is late, so that a state put back would be seen.
    """
    from mustardward.state.replica import Replica

    original = Replica.async_apply_page
    past: dict[int, tuple[float, Any]] = {}

    async def async_apply_page(self: Any, ticket: Any, page: Any) -> None:
        await original(self, ticket, page)
        now = time.monotonic()
        taken, image = past.setdefault(id(self), (now, self.image()))
        if now - taken < _IMAGE_SECONDS:
            return
        past[id(self)] = (now, self.image())
        try:
            self.adopt(image)
        except SnapshotUnusableError:
            return
        await anyio.sleep(_STALE_SECONDS)

    setattr(Replica, "async_apply_page", async_apply_page)  # noqa: B010


def slow_drains(world: World) -> None:
    """Let the platform say for some seconds that a drained instance still drains."""
    power: Any = world.platform.power
    original = power._async_refresh
    began: dict[str, float] = {}

    async def async_refresh(held: Any) -> None:
        name = held.power.instance_id
        if held.power.state != "draining":
            began.pop(name, None)
            return
        if world.now() - began.setdefault(name, world.now()) < _DRAIN_SECONDS:
            return
        await original(held)

    power._async_refresh = async_refresh


def slow_drains_taken_no_notice_of(world: World) -> None:
    """Let drains take long, and workers run what they are sent meanwhile."""
    slow_drains(world)
    for worker in world.workers.values():
        worker.faults.change(ignore_drain=True)


def slow_answers(world: World) -> None:
    """Let every request take a while longer on its worker."""
    for worker in world.workers.values():
        worker.faults.change(slow_seconds=_SLOW_SECONDS)


def mix_answers_up(world: World) -> None:
    """Let workers answer now and then what they were asked before."""
    from mustardward.standin.worker_serve import ServeApp

    original = ServeApp._async_respond
    last: dict[int, Any] = {}
    count = 0

    async def async_answer(
        self: Any,
        scope: Any,
        headers: Any,
        body: Any,
        execution: Any,
        send: Any,
        struck: bool,
    ) -> int:
        nonlocal count
        count += 1
        before = last.get(id(self))
        last[id(self)] = (scope, headers, body, execution)
        if before is not None and count % _MIXED_SHARE == 0:
            scope, headers, body, execution = before
        return await original(self, scope, headers, body, execution, send, struck)

    setattr(ServeApp, "_async_respond", async_answer)  # noqa: B010
