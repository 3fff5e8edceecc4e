"""Relay over the peers' messages, and set the logs up in one process."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace
from random import Random
from typing import Any, cast

import pytest

from mustardward.components.keys import (
    FLEET_LOG,
    LOG_SERVICE,
    MEMBERSHIP,
    PEERS,
    WORK_LOG,
)
from mustardward.components.log import async_setup, relay
from mustardward.components.log.divergence import DivergenceWatch
from mustardward.components.log.relay import PeerRelay, RelayServer
from mustardward.components.membership.models import Member, MemberStatus
from mustardward.core import Core
from mustardward.settings.models import (
    EntryIdentity,
    Listener,
    PlatformSettings,
    Settings,
)
from mustardward.state.images import restore_image
from mustardward.state.models.pools import PutPool
from mustardward.state.relay import RelayRequest, RelayRequestKind, RelayStatus
from mustardward.state.streams import FLEET_SPEC
from tests.fakes.explanations import FakeMembership
from tests.fakes.log import LogClient
from tests.fakes.log_bench import LogBench, running_bench
from tests.fakes.peers import FakeNetwork, FakePeers

pytestmark = pytest.mark.anyio


def _member(name: str, offset: int = 0, data_centre: str = "bergen") -> Member:
    return Member(name, data_centre, name, 1, MemberStatus.ALIVE, fleet_offset=offset)


def _core(bench: LogBench, name: str, peers: FakePeers) -> Core:
    settings = Settings(
        entry=EntryIdentity(name=name, data_centre="bergen"),
        callers=Listener(port=0),
        platform=PlatformSettings(url="http://127.0.0.1:1"),
    )
    core = Core(settings, bench.timers, bench.group)
    core.put(PEERS, peers)
    return core


class Pair:
    """Hold a leading log with its server, and a relay that asks it."""

    def __init__(self, bench: LogBench) -> None:
        self.bench = bench
        self.network = FakeNetwork()
        self.log = bench.start()
        self.asking = FakePeers(self.network, "asking", "asking")
        self.leading = FakePeers(self.network, "leading", "leading")
        self.core = _core(bench, "asking", self.asking)
        self.relay = PeerRelay(self.core, Random(1))
        RelayServer([self.log]).subscribe(self.leading)

    def know(self, *members: Member) -> None:
        """Let membership know these beside the asking entry."""
        membership = FakeMembership(_member("asking"), *members)
        self.core.put(MEMBERSHIP, cast(Any, membership))

    async def async_image(self, stream: str = "fleet") -> Any:
        """Ask for a whole state."""
        question = RelayRequest(stream, 0, "", RelayRequestKind.IMAGE)
        return await self.relay.async_image(question)


@asynccontextmanager
async def running_pair() -> AsyncIterator[Pair]:
    async with running_bench() as bench:
        pair = Pair(bench)
        await bench.async_settle()
        await bench.async_fill(pair.log, 3)
        yield pair


async def test_entries_are_asked_of_a_member_that_is_ahead() -> None:
    async with running_pair() as pair:
        pair.know(_member("behind", 0), _member("leading", 3))
        for _ in range(10):
            answer = await pair.relay.async_entries(RelayRequest("fleet", 0, ""))
            assert answer.status is RelayStatus.ENTRIES
            assert len(answer.entries) == 3


async def test_work_is_asked_of_the_own_data_centre_alone() -> None:
    async with running_pair() as pair:
        log = pair.bench.start_work("bergen")
        await pair.bench.async_settle()
        pair.log.stop()
        server = FakePeers(pair.network, "near", "near")
        RelayServer([log]).subscribe(server)
        pair.know(_member("near"), _member("far", 99, "flam"))
        question = RelayRequest("work.bergen", 0, "")
        for _ in range(5):
            answer = await pair.relay.async_entries(question)
            assert answer.status is RelayStatus.ENTRIES


async def test_the_state_is_taken_from_the_furthest_of_several_peers() -> None:
    """Probe before taking a state.

    Symptom: a fresh entry serves a configuration that others have left behind.
    Sequence: the log is out, its first peer is stale. Cause: the first answer is
    taken.
    """
    async with running_pair() as pair:
        client = LogClient(pair.bench.service)
        stale = pair.bench.start(client)
        await pair.bench.async_settle()
        client.cut_off = True
        await pair.bench.async_fill(pair.log, 2)
        peers = FakePeers(pair.network, "stale", "stale")
        RelayServer([stale]).subscribe(peers)
        pair.know(_member("stale", 9), _member("leading"), _member("dead"))
        answer = await pair.async_image()
        assert answer.next_offset == 5
        assert answer.image.header.fold_digest == pair.log.digest


async def test_nobody_reachable_is_an_unavailable_answer() -> None:
    async with running_pair() as pair:
        assert (await pair.async_image()).status is RelayStatus.UNAVAILABLE
        pair.know(_member("dead"))
        assert (await pair.async_image()).status is RelayStatus.UNAVAILABLE
        entries = await pair.relay.async_entries(RelayRequest("fleet", 0, ""))
        assert entries.status is RelayStatus.UNAVAILABLE
        pair.know(_member("leading"))
        other = await pair.async_image("work.bergen")
        assert other.status is RelayStatus.UNAVAILABLE


async def test_a_large_state_goes_in_parts_of_one_image(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(relay, "PART_BYTES", 60)
    async with running_pair() as pair:
        pair.know(_member("leading"))
        answer = await pair.async_image()
        assert pair.network.calls > 3
        fold = FLEET_SPEC.new_fold()
        restore_image(FLEET_SPEC, fold, answer.image)
        assert fold.digest == pair.log.digest


async def test_a_peer_that_folds_to_another_state_is_reported_once() -> None:
    async with running_pair() as pair:
        watch = DivergenceWatch(pair.log)
        same = replace(_member("same", 3), fleet_digest=pair.log.digest[:8])
        behind = replace(_member("behind", 2), fleet_digest="00000000")
        silent = _member("silent", 3)
        wrong = replace(_member("wrong", 3), fleet_digest="00000000")
        assert watch.check([same, behind, silent, wrong]) == [wrong]
        assert watch.check([same, behind, silent, wrong]) == []


async def test_an_entry_sets_its_logs_up_and_takes_them_down() -> None:
    async with running_bench() as bench:
        peers = FakePeers(FakeNetwork(), "only", "only")
        core = _core(bench, "only", peers)
        core.put(LOG_SERVICE, cast(Any, bench.service))
        unload = await async_setup(core)
        fleet, work = core.get(FLEET_LOG), core.get(WORK_LOG)
        await bench.async_settle(1.0)
        assert fleet.ready and work.ready
        result = await bench.async_propose(cast(Any, fleet), PutPool("cellar"))
        assert result.unwrap().revision == 1
        await bench.async_settle(40.0, 1.0)
        assert bench.service.tail("fleet.snapshots") == 1
        await unload()
        await bench.async_settle()
        assert core.find(FLEET_LOG) is None and core.find(WORK_LOG) is None
        assert peers._handlers == {}
