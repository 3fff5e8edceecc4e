"""Move instances between pools against paused, cut-off and new entries."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest

from mustardward.components.maintenance.models import executor_name
from mustardward.components.membership.models import Member, MemberStatus
from mustardward.components.pools.acknowledge import Acknowledger
from mustardward.components.pools.services import MoveExecutor
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
    """Reach the acknowledgers of other entries, unless they are cut off or paused."""

    def __init__(self) -> None:
        self.entries: dict[str, Acknowledger] = {}
        self.unreachable: set[str] = set()

    async def async_call(
        self, member: Member, message: Any, timeout_seconds: float = 1.0
    ) -> Any:
        if member.name in self.unreachable:
            raise PeerError("no answer")
        return await self.entries[member.name].async_answer("entry-1", message)

    def handle(self, message_type: type, handler: Any) -> Callable[[], None]:
        raise NotImplementedError

    async def async_forward(self, member: Any, facts: Any, request: Any) -> Any:
        raise NotImplementedError


class Moves:
    """Hold a data centre of three entries and one fleet."""

    def __init__(self) -> None:
        self.site = MaintenanceHarness(size=8)
        self.site.driver.state.pools["casting"] = Pool("casting", 1)
        self.peers = FakePeers()
        self.in_flight: dict[str, int] = {}
        for name in ("entry-2", "entry-3"):
            self.join(name)
        self.executor = self.make_executor()

    def join(self, name: str) -> None:
        """Let an entry join."""
        self.site.membership.others.append(build_member(name))
        self.peers.entries[name] = self.acknowledger(name)

    def acknowledger(self, name: str) -> Acknowledger:
        parts = self.site.dependencies(name)
        return Acknowledger(parts, lambda _: self.in_flight.get(name, 0))

    def make_executor(self) -> MoveExecutor:
        own = executor_name(self.site.membership.own)
        parts = replace(self.site.dependencies(), executor=own)
        return MoveExecutor(parts, self.peers, Acknowledger(parts, lambda _: 0))

    def restart(self) -> None:
        """Replace the process that carries the move out."""
        self.site.membership.gone.add(("entry-1", 0))
        self.site.membership.restart()
        self.executor = self.make_executor()

    def request(self, move_id: str = "m1", target: str = "casting") -> Any:
        """Request a move as the interface does; return the outcome."""
        members = self.site.membership.members("dc1")
        expected = tuple(executor_name(member) for member in members)
        generation = self.site.driver.state.instances[FIRST].generation
        body = RequestMove(move_id, FIRST, target, expected)
        return self.site.driver.apply(body, generation).result

    @property
    def pool(self) -> str:
        return self.site.driver.state.instances[FIRST].pool

    async def steps(self, number: int = 6) -> None:
        for _ in range(number):
            await self.executor.async_step()


async def test_a_move_asks_every_entry_and_changes_the_owner_once() -> None:
    moves = Moves()
    before = moves.site.driver.state.instances[FIRST].generation
    moves.request().unwrap()
    await moves.steps()
    instance = moves.site.driver.state.instances[FIRST]
    assert (instance.pool, instance.generation > before) == ("casting", True)
    assert moves.site.driver.state.moves == {}
    assert moves.site.power.held[FIRST].state is PowerState.SERVING


async def test_an_entry_paused_in_the_middle_blocks_the_move_until_it_wakes() -> None:
    """Wait for an entry that holds a request in its hands while it is paused.

    Symptom: a request of one pool runs on a worker that another pool owns.
    Sequence: an entry chooses the worker and pauses for a minute; the move goes on
    without it; it wakes and sends. Cause: silence was taken for consent.
    """
    moves = Moves()
    moves.request().unwrap()
    moves.in_flight["entry-2"] = 1
    moves.peers.unreachable.add("entry-2")
    for _ in range(60):
        await moves.executor.async_step()
        moves.site.timers.pause(1.0)
    assert moves.pool == "etching"
    moves.peers.unreachable.clear()
    await moves.steps()
    assert moves.pool == "etching"
    moves.in_flight.clear()
    await moves.steps()
    assert moves.pool == "casting"


async def test_an_entry_cut_off_blocks_until_it_is_proven_gone() -> None:
    moves = Moves()
    moves.request().unwrap()
    moves.peers.unreachable.add("entry-3")
    member = moves.site.membership.others[-1]
    suspect = build_member(member.name, status=MemberStatus.SUSPECT)
    moves.site.membership.others[-1] = suspect
    await moves.steps(20)
    assert moves.pool == "etching"
    waiting = [d for d in moves.site.decisions if d.decision == "move-waiting"]
    assert "waiting=entry-3#1" in waiting[-1].inputs
    moves.site.membership.others.pop()
    moves.site.membership.gone.add(("entry-3", 1))
    await moves.steps()
    assert moves.pool == "casting"


async def test_an_entry_that_joined_after_the_request_is_asked_too() -> None:
    """Ask a newcomer, whose state may be older than the move.

    Symptom: a fresh entry sends a pool's work to a worker that just left it.
    Sequence: the move is requested; an entry starts from an older snapshot; all that
    the record names acknowledge; the transfer is folded before the newcomer is there.
    Cause: only entries named in the record counted.
    """
    moves = Moves()
    moves.request().unwrap()
    moves.join("entry-4")
    moves.peers.unreachable.add("entry-4")
    await moves.steps(10)
    assert moves.pool == "etching"
    moves.peers.unreachable.clear()
    await moves.steps()
    assert moves.pool == "casting"


async def test_running_work_and_leases_hold_the_transfer_up() -> None:
    moves = Moves()
    moves.request().unwrap()
    moves.site.busy.add(FIRST)
    await moves.steps(10)
    assert moves.pool == "etching"
    moves.site.busy.clear()
    moves.site.power.put(FIRST, running=2)
    await moves.steps(10)
    assert moves.pool == "etching"
    moves.site.power.put(FIRST, running=0)
    await moves.steps()
    assert moves.pool == "casting"


async def test_two_operators_move_one_instance_once() -> None:
    moves = Moves()
    generation = moves.site.driver.state.instances[FIRST].generation
    moves.request("m1").unwrap()
    assert isinstance(moves.request("m2").failure(), MoveInProgressError)
    await moves.steps()
    late = RequestMove("m3", FIRST, "etching", ())
    refused = moves.site.driver.apply(late, generation).result.failure()
    assert isinstance(refused, RevisionConflictError)
    assert moves.pool == "casting"


async def test_a_cancelled_move_leaves_the_instance_with_its_pool() -> None:
    moves = Moves()
    moves.request().unwrap()
    moves.peers.unreachable.add("entry-2")
    await moves.steps()
    moves.site.driver.accept(CancelMove("m1"))
    moves.peers.unreachable.clear()
    await moves.steps()
    assert moves.pool == "etching"
    moves.site.driver.run_wave()
    moves.site.driver.accept(TakeClaim("w1", FIRST, "entry-1#1", 1))


async def test_an_executor_that_dies_after_the_return_is_followed_by_another() -> None:
    """Drain anew under another name when the first executor is no more.

    Symptom: a move never ends. Sequence: the executor drains, sees the worker empty,
    returns it and dies before the transfer; its follower drains under the same
    operation id, which the platform takes for done. Cause: the id was the move's alone.
    """
    moves = Moves()
    moves.request().unwrap()
    await moves.steps(1)
    moves.site.log.out = True
    await moves.steps(3)
    assert moves.site.power.count("return") == 1
    assert moves.pool == "etching"
    moves.site.log.out = False
    moves.restart()
    await moves.steps(8)
    assert moves.site.power.count("drain") == 2
    assert moves.pool == "casting"


async def test_without_the_tail_no_move_goes_on() -> None:
    moves = Moves()
    moves.request().unwrap()
    moves.site.log.tail_age = 60.0
    await moves.steps()
    assert moves.site.power.count("drain") == 0
    assert moves.pool == "etching"
