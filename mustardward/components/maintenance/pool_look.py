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
    MAX_CONCURRENT_PROBES,
    PEER_PROBE_TIMEOUT_SECONDS,
    PROBE_ATTEMPTS,
    PROBE_TIMEOUT_SECONDS,
    PROBE_TTL_SECONDS,
)
from .messages import PoolProbed, ProbePool
from .models import ExecutorDependencies

_LOGGER = get_logger(__name__)


class PoolProber:
    """Ask a pool's workers for a sign of life, here and in other data centres.

    :param parts: the log, membership and clock of this process.
    :param workers: reaches the workers of this data centre.
    :param find_peers: returns the transport to other entries once it is set up.
    """

    def __init__(
        self,
        dependencies: ExecutorDependencies,
        workers: WorkerService,
        find_peers: Callable[[], Peers | None],
    ) -> None:
        self._dependencies = dependencies
        self._workers = workers
        self._find_peers = find_peers
        self._probed_at: dict[str, float] = {}

    async def async_probe(self, pool: str) -> None:
        """Fold what is down in a pool, here and wherever an entry can be reached.

        A data centre that cannot be reached is left out; once it is silent for long,
        the fold counts all of it as unavailable.
        """
        async with anyio.create_task_group() as group:
            group.start_soon(self.async_probe_local, pool)
            for member in self._remote_entries(pool):
                group.start_soon(self._async_probe_remote, member, pool)

    async def async_probe_local(self, pool: str) -> None:
        """Fold what is down in a pool in this data centre."""
        now = self._dependencies.timers.monotonic()
        if now - self._probed_at.get(pool, float("-inf")) < PROBE_TTL_SECONDS:
            return
        self._probed_at[pool] = now
        unresponsive = await self._async_find_unresponsive(
            self._available_instances(pool)
        )
        if not unresponsive or not self._dependencies.log.may_decide:
            return
        changes = [
            await self._async_build_change(name) for name in sorted(unresponsive)
        ]
        _LOGGER.warning(
            "unresponsive_workers_found",
            pool=pool,
            instances=",".join(sorted(unresponsive)),
        )
        body = ReportAbsences(self._dependencies.data_centre, tuple(changes))
        await self._dependencies.log.async_propose(
            body, actor=self._dependencies.executor, priority=CLAIM_PRIORITY
        )

    async def async_handle(self, caller: str, message: Any) -> PoolProbed:
        """Answer another entry that is about to take an instance of a pool."""
        if isinstance(message, ProbePool):
            await self.async_probe_local(message.pool)
        return PoolProbed(self._dependencies.log.next_offset)

    def _available_instances(self, pool: str) -> list[Instance]:
        state = self._dependencies.log.state
        index = get_budget_index(state)
        return [
            state.instances[name]
            for name in index.instances_of(self._dependencies.data_centre)
            if state.instances[name].pool == pool and index.is_available(name)
        ]

    def _remote_entries(self, pool: str) -> list[Member]:
        """Return one live entry of each other data centre that has part of a pool."""
        state = self._dependencies.log.state
        entries: list[Member] = []
        for data_centre in get_budget_index(state).data_centres(pool):
            if (
                data_centre == self._dependencies.data_centre
                or data_centre in state.silent
            ):
                continue
            live = {
                member.name: member
                for member in self._dependencies.membership.live(data_centre)
            }
            name = rendezvous_owner(f"look:{pool}", live)
            if name is not None:
                entries.append(live[name])
        return entries

    async def _async_probe_remote(self, member: Member, pool: str) -> None:
        peers = self._find_peers()
        if peers is None:
            return
        try:
            await peers.async_call(member, ProbePool(pool), PEER_PROBE_TIMEOUT_SECONDS)
        except (PeerError, PeerOutcomeUnknownError) as error:
            _LOGGER.info("pool_probe_failed", peer=member.name, cause=error.code)

    async def _async_find_unresponsive(self, candidates: list[Instance]) -> set[str]:
        unresponsive: set[str] = set()
        limiter = anyio.CapacityLimiter(MAX_CONCURRENT_PROBES)

        async def probe(instance: Instance) -> None:
            async with limiter:
                if not await self._async_is_responsive(instance):
                    unresponsive.add(instance.instance_id)

        async with anyio.create_task_group() as group:
            for instance in candidates:
                group.start_soon(probe, instance)
        return unresponsive

    async def _async_is_responsive(self, instance: Instance) -> bool:
        for _ in range(PROBE_ATTEMPTS):
            with anyio.move_on_after(PROBE_TIMEOUT_SECONDS):
                try:
                    await self._workers.async_usage(instance.address)
                    return True
                except PlatformError:
                    continue
        return False

    async def _async_build_change(self, instance_id: str) -> AbsenceChange:
        try:
            boot = (await self._dependencies.power.async_get(instance_id)).boot
        except PlatformError:
            boot = 0
        return AbsenceChange(instance_id, False, boot, CAUSE_FAILED)
