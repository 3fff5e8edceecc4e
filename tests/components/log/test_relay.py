"""Test the relay between entries and the setup of the logs."""

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
from mustardward.components.log.divergence import DivergenceDetector
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


def _build_member(name: str, offset: int = 0, data_centre: str = "bergen") -> Member:
    return Member(name, data_centre, name, 1, MemberStatus.ALIVE, fleet_offset=offset)


def _build_core(bench: LogBench, name: str, peers: FakePeers) -> Core:
    settings = Settings(
        entry=EntryIdentity(name=name, data_centre="bergen"),
        callers=Listener(port=0),
        platform=PlatformSettings(url="http://127.0.0.1:1"),
    )
    core = Core(settings, bench.timers, bench.group)
    core.put(PEERS, peers)
    return core


class RelayHarness:
    """Provide an entry that serves an up-to-date log and a relay that requests it."""

    def __init__(self, bench: LogBench) -> None:
        self.bench = bench
        self.network = FakeNetwork()
        self.log = bench.start()
        self.requester = FakePeers(self.network, "asking", "asking")
        self.leader = FakePeers(self.network, "leading", "leading")
        self.core = _build_core(bench, "asking", self.requester)
        self.relay = PeerRelay(self.core, Random(1))
        RelayServer([self.log]).subscribe(self.leader)

    def set_members(self, *members: Member) -> None:
        """Set the members that the requesting entry knows."""
        membership = FakeMembership(_build_member("asking"), *members)
        self.core.put(MEMBERSHIP, cast(Any, membership))

    async def async_image(self, stream: str = "fleet") -> Any:
        """Request an image of the whole state."""
        request = RelayRequest(stream, 0, "", RelayRequestKind.IMAGE)
        return await self.relay.async_image(request)


@asynccontextmanager
async def running_harness() -> AsyncIterator[RelayHarness]:
    async with running_bench() as bench:
        harness = RelayHarness(bench)
        await bench.async_settle()
        await bench.async_fill(harness.log, 3)
        yield harness


async def test_entries_are_requested_from_a_member_that_is_ahead() -> None:
    async with running_harness() as harness:
        harness.set_members(_build_member("behind", 0), _build_member("leading", 3))
        for _ in range(10):
            response = await harness.relay.async_entries(RelayRequest("fleet", 0, ""))
            assert response.status is RelayStatus.ENTRIES
            assert len(response.entries) == 3


async def test_work_is_requested_in_the_own_data_centre_only() -> None:
    async with running_harness() as harness:
        log = harness.bench.start_work("bergen")
        await harness.bench.async_settle()
        harness.log.stop()
        server = FakePeers(harness.network, "near", "near")
        RelayServer([log]).subscribe(server)
        harness.set_members(_build_member("near"), _build_member("far", 99, "flam"))
        request = RelayRequest("work.bergen", 0, "")
        for _ in range(5):
            response = await harness.relay.async_entries(request)
            assert response.status is RelayStatus.ENTRIES


async def test_image_is_fetched_from_the_most_advanced_peer() -> None:
    """Guard against a new entry that serves an outdated configuration.

    While the log is unavailable, a new entry fetches its state from peers, and the
    first one to respond may be stale.
    """
    async with running_harness() as harness:
        client = LogClient(harness.bench.service)
        stale = harness.bench.start(client)
        await harness.bench.async_settle()
        client.cut_off = True
        await harness.bench.async_fill(harness.log, 2)
        peers = FakePeers(harness.network, "stale", "stale")
        RelayServer([stale]).subscribe(peers)
        harness.set_members(
            _build_member("stale", 9), _build_member("leading"), _build_member("dead")
        )
        response = await harness.async_image()
        assert response.next_offset == 5
        assert response.image.header.fold_digest == harness.log.digest


async def test_no_reachable_peer_is_an_unavailable_response() -> None:
    async with running_harness() as harness:
        assert (await harness.async_image()).status is RelayStatus.UNAVAILABLE
        harness.set_members(_build_member("dead"))
        assert (await harness.async_image()).status is RelayStatus.UNAVAILABLE
        entries = await harness.relay.async_entries(RelayRequest("fleet", 0, ""))
        assert entries.status is RelayStatus.UNAVAILABLE
        harness.set_members(_build_member("leading"))
        other = await harness.async_image("work.bergen")
        assert other.status is RelayStatus.UNAVAILABLE


async def test_large_image_is_transferred_in_parts(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(relay, "MAX_PART_BYTES", 60)
    async with running_harness() as harness:
        harness.set_members(_build_member("leading"))
        response = await harness.async_image()
        assert harness.network.calls > 3
        fold = FLEET_SPEC.new_fold()
        restore_image(FLEET_SPEC, fold, response.image)
        assert fold.digest == harness.log.digest


async def test_diverged_peer_is_reported_once() -> None:
    async with running_harness() as harness:
        detector = DivergenceDetector(harness.log)
        same = replace(_build_member("same", 3), fleet_digest=harness.log.digest[:8])
        behind = replace(_build_member("behind", 2), fleet_digest="00000000")
        no_digest = _build_member("silent", 3)
        wrong = replace(_build_member("wrong", 3), fleet_digest="00000000")
        assert detector.check([same, behind, no_digest, wrong]) == [wrong]
        assert detector.check([same, behind, no_digest, wrong]) == []


async def test_entry_sets_up_and_unloads_its_logs() -> None:
    async with running_bench() as bench:
        peers = FakePeers(FakeNetwork(), "only", "only")
        core = _build_core(bench, "only", peers)
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
