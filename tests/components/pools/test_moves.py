"""Test moves between pools with paused, unreachable and newly joined entries."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest

from mustardward.components.maintenance.models import executor_name
from mustardward.components.membership.models import Member, MemberStatus
from mustardward.components.pools.acknowledger import Acknowledger
from mustardward.components.pools.move_executor import MoveExecutor
from mustardward.exceptions import PeerError
from mustardward.standin.protocol.models import PowerState
from mustardward.state.fold import RevisionConflictError
from mustardward.state.handlers.pools import MoveInProgressError
from mustardward.state.models.maintenance import TakeClaim
from mustardward.state.models.pools import CancelMove, Pool, RequestMove
from tests.components.maintenance.harness import FIRST, MaintenanceHarness
from tests.fakes.waves import build_member

pytestmark = pytest.mark.anyio


class FakePeers:
    """Call the acknowledgers of other entries, unless they are unreachable."""

    def __init__(self) -> None:
        self.entries: dict[str, Acknowledger] = {}
        self.unreachable: set[str] = set()

    async def async_call(
        self, member: Member, message: Any, timeout_seconds: float = 1.0
    ) -> Any:
        if member.name in self.unreachable:
            raise PeerError("no reply")
        return await self.entries[member.name].async_answer("entry-1", message)

    def handle(self, message_type: type, handler: Any) -> Callable[[], None]:
        raise NotImplementedError

    async def async_forward(self, member: Any, facts: Any, request: Any) -> Any:
        raise NotImplementedError


class MoveHarness:
    """Provide a data centre with three entries and a move executor."""

    def __init__(self) -> None:
        self.maintenance = MaintenanceHarness(size=8)
        self.maintenance.driver.state.pools["casting"] = Pool("casting", 1)
        self.peers = FakePeers()
        self.in_flight: dict[str, int] = {}
        for name in ("entry-2", "entry-3"):
            self.join(name)
        self.executor = self.build_executor()

    def join(self, name: str) -> None:
        """Add an entry to the data centre."""
        self.maintenance.membership.others.append(build_member(name))
        self.peers.entries[name] = self.build_acknowledger(name)

    def build_acknowledger(self, name: str) -> Acknowledger:
        dependencies = self.maintenance.dependencies(name)
        return Acknowledger(dependencies, lambda _: self.in_flight.get(name, 0))

    def build_executor(self) -> MoveExecutor:
        own = executor_name(self.maintenance.membership.own)
        dependencies = replace(self.maintenance.dependencies(), executor=own)
        return MoveExecutor(
            dependencies, self.peers, Acknowledger(dependencies, lambda _: 0)
        )

    def restart(self) -> None:
        """Replace the process that carries out the move by a restarted one."""
        self.maintenance.membership.gone.add(("entry-1", 0))
        self.maintenance.membership.restart()
        self.executor = self.build_executor()

    def request(self, move_id: str = "m1", target: str = "casting") -> Any:
        """Request a move as the API does and return the result."""
        members = self.maintenance.membership.members("dc1")
        expected = tuple(executor_name(member) for member in members)
        generation = self.maintenance.driver.state.instances[FIRST].generation
        body = RequestMove(move_id, FIRST, target, expected)
        return self.maintenance.driver.apply(body, generation).result

    @property
    def pool(self) -> str:
        return self.maintenance.driver.state.instances[FIRST].pool

    async def async_steps(self, count: int = 6) -> None:
        for _ in range(count):
            await self.executor.async_step()


async def test_move_asks_every_entry_and_transfers_once() -> None:
    harness = MoveHarness()
    before = harness.maintenance.driver.state.instances[FIRST].generation
    harness.request().unwrap()
    await harness.async_steps()
    instance = harness.maintenance.driver.state.instances[FIRST]
    assert (instance.pool, instance.generation > before) == ("casting", True)
    assert harness.maintenance.driver.state.moves == {}
    assert harness.maintenance.power.held[FIRST].state is PowerState.SERVING


async def test_paused_entry_blocks_the_move_until_it_resumes() -> None:
    """Guard against a request of one pool that runs on another pool's worker.

    An entry selects the worker and is paused for a minute with the request unsent. If
    its missing reply counts as an acknowledgement, the move completes, and the entry
    sends the request when it resumes.
    """
    harness = MoveHarness()
    harness.request().unwrap()
    harness.in_flight["entry-2"] = 1
    harness.peers.unreachable.add("entry-2")
    for _ in range(60):
        await harness.executor.async_step()
        harness.maintenance.timers.pause(1.0)
    assert harness.pool == "etching"
    harness.peers.unreachable.clear()
    await harness.async_steps()
    assert harness.pool == "etching"
    harness.in_flight.clear()
    await harness.async_steps()
    assert harness.pool == "casting"


async def test_unreachable_entry_blocks_until_it_has_verifiably_ended() -> None:
    harness = MoveHarness()
    harness.request().unwrap()
    harness.peers.unreachable.add("entry-3")
    member = harness.maintenance.membership.others[-1]
    suspect = build_member(member.name, status=MemberStatus.SUSPECT)
    harness.maintenance.membership.others[-1] = suspect
    await harness.async_steps(20)
    assert harness.pool == "etching"
    waiting = [d for d in harness.maintenance.decisions if d.decision == "move-waiting"]
    assert "waiting=entry-3#1" in waiting[-1].inputs
    harness.maintenance.membership.others.pop()
    harness.maintenance.membership.gone.add(("entry-3", 1))
    await harness.async_steps()
    assert harness.pool == "casting"


async def test_entry_that_joined_after_the_request_is_asked_too() -> None:
    """Guard against a new entry that sends a pool's work to a worker moved away.

    After the request an entry starts from a snapshot older than the move. If only the
    entries named in the record are asked, they acknowledge and the transfer is applied
    before the new entry has caught up.
    """
    harness = MoveHarness()
    harness.request().unwrap()
    harness.join("entry-4")
    harness.peers.unreachable.add("entry-4")
    await harness.async_steps(10)
    assert harness.pool == "etching"
    harness.peers.unreachable.clear()
    await harness.async_steps()
    assert harness.pool == "casting"


async def test_running_work_and_leases_delay_the_transfer() -> None:
    harness = MoveHarness()
    harness.request().unwrap()
    harness.maintenance.busy.add(FIRST)
    await harness.async_steps(10)
    assert harness.pool == "etching"
    harness.maintenance.busy.clear()
    harness.maintenance.power.put(FIRST, running=2)
    await harness.async_steps(10)
    assert harness.pool == "etching"
    harness.maintenance.power.put(FIRST, running=0)
    await harness.async_steps()
    assert harness.pool == "casting"


async def test_concurrent_moves_of_one_instance_are_refused() -> None:
    harness = MoveHarness()
    generation = harness.maintenance.driver.state.instances[FIRST].generation
    harness.request("m1").unwrap()
    assert isinstance(harness.request("m2").failure(), MoveInProgressError)
    await harness.async_steps()
    late = RequestMove("m3", FIRST, "etching", ())
    refused = harness.maintenance.driver.apply(late, generation).result.failure()
    assert isinstance(refused, RevisionConflictError)
    assert harness.pool == "casting"


async def test_cancelled_move_leaves_the_instance_in_its_pool() -> None:
    harness = MoveHarness()
    harness.request().unwrap()
    harness.peers.unreachable.add("entry-2")
    await harness.async_steps()
    harness.maintenance.driver.accept(CancelMove("m1"))
    harness.peers.unreachable.clear()
    await harness.async_steps()
    assert harness.pool == "etching"
    harness.maintenance.driver.run_wave()
    harness.maintenance.driver.accept(TakeClaim("w1", FIRST, "entry-1#1", 1))


async def test_new_executor_drains_again_after_its_predecessor_ended() -> None:
    """Guard against a move that never ends.

    The executor drains the worker, returns it to service and ends before the transfer.
    If the operation id names the move alone, the platform takes the next executor's
    drain for a repetition that is already done.
    """
    harness = MoveHarness()
    harness.request().unwrap()
    await harness.async_steps(1)
    harness.maintenance.log.out = True
    await harness.async_steps(3)
    assert harness.maintenance.power.count("return") == 1
    assert harness.pool == "etching"
    harness.maintenance.log.out = False
    harness.restart()
    await harness.async_steps(8)
    assert harness.maintenance.power.count("drain") == 2
    assert harness.pool == "casting"


async def test_no_move_advances_without_a_confirmed_log_tail() -> None:
    harness = MoveHarness()
    harness.request().unwrap()
    harness.maintenance.log.tail_age = 60.0
    await harness.async_steps()
    assert harness.maintenance.power.count("drain") == 0
    assert harness.pool == "etching"
