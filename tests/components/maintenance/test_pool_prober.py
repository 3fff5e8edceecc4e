"""Test the probe of a pool that precedes claims and reboots."""

from __future__ import annotations

from dataclasses import replace
from typing import Any, cast

import pytest

from mustardward.components.maintenance.messages import ProbePool
from mustardward.components.maintenance.pool_prober import PoolProber
from mustardward.components.maintenance.wave_executor import WaveExecutor
from mustardward.components.peers.protocols import Peers
from mustardward.exceptions import PeerError, PlatformUnavailableError
from mustardward.standin.protocol.models import WorkerUsage
from mustardward.standin.protocol.protocols import WorkerService
from mustardward.state.models.pools import AddInstance
from tests.components.maintenance.harness import (
    FIRST,
    FixedStrategy,
    MaintenanceHarness,
)
from tests.fakes.waves import build_member

pytestmark = pytest.mark.anyio


class FakeWorkers:
    """Respond for workers that are up and count the probes."""

    def __init__(self) -> None:
        self.down: set[str] = set()
        self.probes = 0

    async def async_usage(self, address: str) -> WorkerUsage:
        self.probes += 1
        if address in self.down:
            raise PlatformUnavailableError(address)
        return WorkerUsage(address, 0, 0, 0.0)


class FakePeers:
    """Record the calls to other entry nodes."""

    def __init__(self) -> None:
        self.calls: list[tuple[str, Any]] = []
        self.disconnected = False

    async def async_call(
        self, member: Any, message: Any, timeout_seconds: float
    ) -> None:
        self.calls.append((member.name, message))
        if self.disconnected:
            raise PeerError(member.name)


class ProberHarness:
    """Build an executor that probes pools before claims and reboots."""

    def __init__(self) -> None:
        self.maintenance = MaintenanceHarness(reserve_largest_rack=False)
        for name, instance in self.maintenance.driver.state.instances.items():
            instance.address = name
        self.workers = FakeWorkers()
        self.peers = FakePeers()
        dependencies = self.maintenance.dependencies()
        self.pool_prober = PoolProber(
            dependencies,
            cast(WorkerService, self.workers),
            lambda: cast(Peers, self.peers),
        )
        probing_dependencies = replace(dependencies, probe=self.pool_prober.async_probe)
        self.executor = WaveExecutor(probing_dependencies, FixedStrategy())

    def fail(self, number: int) -> list[str]:
        """Make the last workers of the data centre unresponsive; return their ids."""
        names = sorted(self.maintenance.driver.state.instances)[-number:]
        self.workers.down = set(names)
        return names


async def test_undetected_failures_block_a_wave() -> None:
    """Guard against a drain that violates a floor of 2 of 4 while two workers are down.

    A rack fails in a pool without traffic, so that no request detects the failures
    before a wave starts.
    """
    prober = ProberHarness()
    down = prober.fail(4)
    prober.maintenance.schedule()
    for _ in range(6):
        await prober.executor.async_step()
    assert set(prober.maintenance.driver.state.absences) == set(down)
    assert prober.maintenance.driver.state.claims == {}
    assert prober.maintenance.power.count("drain") == 0


async def test_probe_before_the_reboot_aborts_the_claim() -> None:
    """Guard against a reboot while other workers of the pool are down.

    Half of the pool fails undetected after the claim and the drain, so that a probe
    before the claim alone does not find the failures.
    """
    prober = ProberHarness()
    prober.maintenance.schedule()
    while prober.maintenance.stage(FIRST) != "drained":
        await prober.executor.async_step()
    prober.maintenance.timers.pause(5.0)
    prober.fail(4)
    await prober.executor.async_step()
    assert prober.maintenance.power.count("reboot") == 0
    assert prober.maintenance.stage(FIRST) == ""


async def test_one_lost_response_is_no_failure() -> None:
    prober = ProberHarness()
    respond, lost = prober.workers.async_usage, iter([True])

    async def lose_first(address: str) -> WorkerUsage:
        if next(lost, False):
            raise PlatformUnavailableError(address)
        return await respond(address)

    prober.workers.async_usage = lose_first  # type: ignore[method-assign]
    await prober.pool_prober.async_probe_local("etching")
    assert prober.maintenance.driver.state.absences == {}


async def test_probe_is_reused_within_its_lifetime() -> None:
    prober = ProberHarness()
    await prober.pool_prober.async_probe_local("etching")
    probes = prober.workers.probes
    await prober.pool_prober.async_probe_local("etching")
    assert prober.workers.probes == probes
    prober.maintenance.timers.pause(2.0)
    await prober.pool_prober.async_probe_local("etching")
    assert prober.workers.probes == 2 * probes


async def test_disconnected_data_centre_does_not_block_the_probe() -> None:
    prober = ProberHarness()
    remote_instance = AddInstance("far-worker", "dc2", "rack", "far-worker", "etching")
    prober.maintenance.driver.accept(remote_instance)
    prober.maintenance.membership.others.append(build_member("far-1", "dc2"))
    prober.peers.disconnected = True
    await prober.pool_prober.async_probe("etching")
    assert prober.peers.calls == [("far-1", ProbePool("etching"))]
    assert prober.maintenance.driver.state.absences == {}
