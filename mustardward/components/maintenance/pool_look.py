"""Look at the workers beside the one that a wave is about to take.

Failures are noticed by the requests that meet them. In a pool with little traffic, or
while a data centre was cut off, nothing may have met them yet; the fold would then
admit a claim against instances that are long down. So whoever takes an instance first
asks the others for a sign of life, and folds those that give none: the log's order then
decides as it does for every other failure.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import anyio

from ...exceptions import PeerError, PeerOutcomeUnknownError, PlatformError
from ...helpers.logging import get_logger
from ...helpers.rendezvous import rendezvous_owner
from ...standin.protocol.protocols import WorkerService
from ...state.budgets import get_budget_index
from ...state.handlers.absences import CAUSE_FAILED
from ...state.models.maintenance import AbsenceChange, ReportAbsences
from ...state.models.pools import Instance
from ..membership.models import Member
from ..peers.protocols import Peers
from .const import (
    CLAIM_PRIORITY,
    LOOK_FRESH_SECONDS,
    LOOK_PEER_SECONDS,
    LOOK_SECONDS,
    LOOK_TRIES,
    LOOKS_AT_ONCE,
)
from .messages import LookAtPool, PoolLooked
from .models import ExecutorParts

_LOGGER = get_logger(__name__)


class PoolLook:
    """Ask a pool's workers for a sign of life, here and in other data centres.

    :param parts: the log, membership and clock of this process.
    :param workers: reaches the workers of this data centre.
    :param find_peers: returns the transport to other entries once it is set up.
    """

    def __init__(
        self,
        parts: ExecutorParts,
        workers: WorkerService,
        find_peers: Callable[[], Peers | None],
    ) -> None:
        self._parts = parts
        self._workers = workers
        self._find_peers = find_peers
        self._looked: dict[str, float] = {}

    async def async_look(self, pool: str) -> None:
        """Fold what is down in a pool, here and wherever an entry can be reached.

        A data centre that cannot be reached is left out; once it is silent for long,
        the fold counts all of it as unavailable.
        """
        async with anyio.create_task_group() as group:
            group.start_soon(self.async_look_here, pool)
            for member in self._elsewhere(pool):
                group.start_soon(self._async_ask, member, pool)

    async def async_look_here(self, pool: str) -> None:
        """Fold what is down in a pool in this data centre."""
        now = self._parts.timers.monotonic()
        if now - self._looked.get(pool, float("-inf")) < LOOK_FRESH_SECONDS:
            return
        self._looked[pool] = now
        silent = await self._async_silent(self._mates(pool))
        if not silent or not self._parts.log.may_decide:
            return
        changes = [await self._async_change(name) for name in sorted(silent)]
        _LOGGER.warning("pool_looked", pool=pool, silent=",".join(sorted(silent)))
        body = ReportAbsences(self._parts.data_centre, tuple(changes))
        await self._parts.log.async_propose(
            body, actor=self._parts.executor, priority=CLAIM_PRIORITY
        )

    async def async_answer(self, caller: str, message: Any) -> PoolLooked:
        """Answer another entry that is about to take an instance of a pool."""
        if isinstance(message, LookAtPool):
            await self.async_look_here(message.pool)
        return PoolLooked(self._parts.log.next_offset)

    def _mates(self, pool: str) -> list[Instance]:
        state = self._parts.log.state
        index = get_budget_index(state)
        return [
            state.instances[name]
            for name in index.instances_of(self._parts.data_centre)
            if state.instances[name].pool == pool and index.is_available(name)
        ]

    def _elsewhere(self, pool: str) -> list[Member]:
        """Return one live entry of each other data centre that has part of a pool."""
        state = self._parts.log.state
        found: list[Member] = []
        for data_centre in get_budget_index(state).data_centres(pool):
            if data_centre == self._parts.data_centre or data_centre in state.silent:
                continue
            live = {
                member.name: member
                for member in self._parts.membership.live(data_centre)
            }
            name = rendezvous_owner(f"look:{pool}", live)
            if name is not None:
                found.append(live[name])
        return found

    async def _async_ask(self, member: Member, pool: str) -> None:
        peers = self._find_peers()
        if peers is None:
            return
        try:
            await peers.async_call(member, LookAtPool(pool), LOOK_PEER_SECONDS)
        except (PeerError, PeerOutcomeUnknownError) as error:
            _LOGGER.info("look_unanswered", peer=member.name, cause=error.code)

    async def _async_silent(self, mates: list[Instance]) -> set[str]:
        silent: set[str] = set()
        limiter = anyio.CapacityLimiter(LOOKS_AT_ONCE)

        async def look(instance: Instance) -> None:
            async with limiter:
                if not await self._async_answers(instance):
                    silent.add(instance.instance_id)

        async with anyio.create_task_group() as group:
            for instance in mates:
                group.start_soon(look, instance)
        return silent

    async def _async_answers(self, instance: Instance) -> bool:
        for _ in range(LOOK_TRIES):
            with anyio.move_on_after(LOOK_SECONDS):
                try:
                    await self._workers.async_usage(instance.address)
                    return True
                except PlatformError:
                    continue
        return False

    async def _async_change(self, instance_id: str) -> AbsenceChange:
        try:
            boot = (await self._parts.power.async_get(instance_id)).boot
        except PlatformError:
            boot = 0
        return AbsenceChange(instance_id, False, boot, CAUSE_FAILED)
