"""Look at a pool before a wave takes one more of it."""

from __future__ import annotations

from dataclasses import replace
from typing import Any, cast

import pytest

from mustardward.components.maintenance.messages import ProbePool
from mustardward.components.maintenance.pool_look import PoolProber
from mustardward.components.maintenance.services import WaveExecutor
from mustardward.components.peers.protocols import Peers
from mustardward.exceptions import PeerError, PlatformUnavailableError
from mustardward.standin.protocol.models import WorkerUsage
from mustardward.standin.protocol.protocols import WorkerService
from mustardward.state.models.pools import AddInstance
from tests.components.maintenance.site import FIRST, FixedPacing, MaintenanceHarness
from tests.fakes.waves import build_member

pytestmark = pytest.mark.anyio


class Workers:
    """Answer for the workers that are up."""

    def __init__(self) -> None:
        self.down: set[str] = set()
        self.asked = 0

    async def async_usage(self, address: str) -> WorkerUsage:
        self.asked += 1
        if address in self.down:
            raise PlatformUnavailableError(address)
        return WorkerUsage(address, 0, 0, 0.0)


class PeerCalls:
    """Note the calls to other entries."""

    def __init__(self) -> None:
        self.calls: list[tuple[str, Any]] = []
        self.cut = False

    async def async_call(
        self, member: Any, message: Any, timeout_seconds: float
    ) -> None:
        self.calls.append((member.name, message))
        if self.cut:
            raise PeerError(member.name)


class Looking:
    """Hold a site whose executor looks before it takes."""

    def __init__(self) -> None:
        self.site = MaintenanceHarness(reserve_largest_rack=False)
        for name, instance in self.site.driver.state.instances.items():
            instance.address = name
        self.workers = Workers()
        self.peers = PeerCalls()
        dependencies = self.site.dependencies()
        self.probe = PoolProber(
            dependencies,
            cast(WorkerService, self.workers),
            lambda: cast(Peers, self.peers),
        )
        looking = replace(dependencies, probe=self.probe.async_probe)
        self.executor = WaveExecutor(looking, FixedPacing())

    def fail(self, number: int) -> list[str]:
        """Let the last workers of the data centre answer nothing."""
        names = sorted(self.site.driver.state.instances)[-number:]
        self.workers.down = set(names)
        return names


async def test_workers_that_nobody_missed_hold_a_wave_back() -> None:
    """Fold what is down before one more instance goes out.

    Symptom: a floor of 2 of 4 is broken by a drain while two workers have been down
    for seconds. Sequence: a rack fails in a pool without traffic; a wave begins.
    Cause: failures were only noticed by requests that met them.
    """
    looking = Looking()
    down = looking.fail(4)
    looking.site.schedule()
    for _ in range(6):
        await looking.executor.async_step()
    assert set(looking.site.driver.state.absences) == set(down)
    assert looking.site.driver.state.claims == {}
    assert looking.site.power.count("drain") == 0


async def test_the_look_before_the_reboot_sends_a_drained_instance_back() -> None:
    """Look again right before the step that can't be taken back.

    Symptom: a reboot goes on while its neighbours are down. Sequence: claim and drain
    with all well; half the pool fails unnoticed; the reboot begins. Cause: the look
    was taken once, before the claim.
    """
    looking = Looking()
    looking.site.schedule()
    while looking.site.stage(FIRST) != "drained":
        await looking.executor.async_step()
    looking.site.timers.pause(5.0)
    looking.fail(4)
    await looking.executor.async_step()
    assert looking.site.power.count("reboot") == 0
    assert looking.site.stage(FIRST) == ""


async def test_one_lost_answer_is_no_failure() -> None:
    looking = Looking()
    answer, lost = looking.workers.async_usage, iter([True])

    async def lose_first(address: str) -> WorkerUsage:
        if next(lost, False):
            raise PlatformUnavailableError(address)
        return await answer(address)

    looking.workers.async_usage = lose_first  # type: ignore[method-assign]
    await looking.probe.async_probe_local("etching")
    assert looking.site.driver.state.absences == {}


async def test_a_look_serves_several_claims() -> None:
    looking = Looking()
    await looking.probe.async_probe_local("etching")
    asked = looking.workers.asked
    await looking.probe.async_probe_local("etching")
    assert looking.workers.asked == asked
    looking.site.timers.pause(2.0)
    await looking.probe.async_probe_local("etching")
    assert looking.workers.asked == 2 * asked


async def test_another_data_centre_is_asked_and_may_be_cut_off() -> None:
    looking = Looking()
    far = AddInstance("far-worker", "dc2", "rack", "far-worker", "etching")
    looking.site.driver.accept(far)
    looking.site.membership.others.append(build_member("far-1", "dc2"))
    looking.peers.cut = True
    await looking.probe.async_probe("etching")
    assert looking.peers.calls == [("far-1", ProbePool("etching"))]
    assert looking.site.driver.state.absences == {}
