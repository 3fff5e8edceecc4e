"""Probe the workers of a pool before a wave claims an instance of it.

Failures are detected by failing requests. In a pool with little traffic, or while a
data centre is disconnected, they can stay undetected, and a claim would be admitted
although its budget counts failed instances as available. Each claim and reboot is
therefore preceded by a probe of the pool, and unresponsive workers are reported to the
log, whose order then decides as for every other failure.
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
    """Probe the workers of a pool in this and in other data centres.

    :param dependencies: the log, membership and clock of this process.
    :param workers: client for the workers of this data centre.
    :param find_peers: returns the transport to other entry nodes once it is set up.
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
        """Report the unresponsive workers of a pool in all reachable data centres.

        Unreachable data centres are skipped. Once one has been reported unreachable,
        all of its instances count as unavailable.
        """
        async with anyio.create_task_group() as group:
            group.start_soon(self.async_probe_local, pool)
            for member in self._remote_entries(pool):
                group.start_soon(self._async_probe_remote, member, pool)

    async def async_probe_local(self, pool: str) -> None:
        """Report the unresponsive workers of a pool in this data centre."""
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
        """Probe the workers of a pool on behalf of another entry node."""
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
        """Return one live entry node of each other data centre that the pool spans."""
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
