"""Test which evidence makes worker instances eligible for work."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

import pytest

from mustardward.components.explain.models import DecisionMade
from mustardward.components.membership.models import InstanceLeaving, InstanceReturned
from mustardward.standin.protocol.models import (
    InstancePower,
    ListedInstance,
    ListedState,
    PowerState,
)
from mustardward.state.models.maintenance import Absence, Claim
from mustardward.state.models.pools import Move
from tests.fakes.cluster import Cluster, Node

pytestmark = pytest.mark.anyio

WORKER = "worker-1"


async def _async_started() -> Cluster:
    cluster = Cluster()
    await cluster.async_start_all({"v-1": 4, "v-2": 1})
    await cluster.async_run(5.0)
    return cluster


def _eligibility(cluster: Cluster, centre: str = "v-1") -> list[bool]:
    return [n.membership.is_instance_eligible(WORKER) for n in cluster.nodes_in(centre)]


def _build_list(state: ListedState, boot: int = 1) -> tuple[ListedInstance, ...]:
    return (ListedInstance(WORKER, "worker", "v-1", "r-1", "10.1.0.1:1", state, boot),)


def _set_list(cluster: Cluster, listed: tuple[ListedInstance, ...]) -> None:
    for node in cluster.nodes.values():
        node.listing.listed = listed


def _set_power(cluster: Cluster, state: PowerState, boot: int = 1) -> None:
    for node in cluster.nodes.values():
        node.power.states[WORKER] = InstancePower(WORKER, state, boot, 1, 0)


def _all_eligible(cluster: Cluster, value: bool) -> Callable[[], bool]:
    return lambda: _eligibility(cluster) == [value] * len(cluster.nodes_in("v-1"))


async def test_leaving_worker_gets_no_work_while_the_list_lags() -> None:
    """Guard against requests to a leaving worker until the platform's list catches up.

    It drains and refuses a request of one entry node while the list still shows it as
    live. All local entry nodes must learn of the refusal by gossip.
    """
    cluster = await _async_started()
    _set_list(cluster, _build_list(ListedState.LIVE))
    await cluster.async_run(5.0)
    first = cluster.nodes["v-1-2"].membership
    first.report_instance(WORKER, False, "draining")
    assert not first.is_instance_eligible(WORKER)
    passed = await cluster.async_run_until(_all_eligible(cluster, False), 10.0)
    assert passed <= 3.0
    await cluster.async_run(60.0)
    assert not any(_eligibility(cluster))
    assert _eligibility(cluster, "v-2") == [True]


async def test_leaving_worker_is_propagated_despite_lost_calls() -> None:
    cluster = await _async_started()
    cluster.network.lost_share = 0.4
    reporter = cluster.nodes["v-1-0"].membership
    reporter.report_instance(WORKER, False, "draining")
    assert await cluster.async_run_until(_all_eligible(cluster, False), 10.0) <= 3.0


async def test_restarted_entry_receives_its_own_earlier_report() -> None:
    """Guard against a restarted entry node that gives work to a leaving worker.

    It reports the worker's refusal to its peers and restarts. The peers must then send
    it the notes of which it is itself the source.
    """
    cluster = await _async_started()
    cluster.nodes["v-1-2"].membership.report_instance(WORKER, False, "draining")
    await cluster.async_run(3.0)
    cluster.kill("v-1-2")
    await cluster.async_start("v-1-2", "v-1")
    assert await cluster.async_run_until(_all_eligible(cluster, False), 10.0) <= 3.0


async def test_leaving_in_the_list_is_read_by_few_entries() -> None:
    cluster = await _async_started()
    _set_list(cluster, _build_list(ListedState.LEAVING))
    assert await cluster.async_run_until(_all_eligible(cluster, False), 10.0) <= 5.0
    reads = [node.listing.reads for node in cluster.nodes_in("v-1")]
    assert sum(1 for count in reads if count) <= 2


async def test_newer_boot_in_the_list_returns_a_worker() -> None:
    cluster = await _async_started()
    _set_list(cluster, _build_list(ListedState.LEAVING, boot=1))
    await cluster.async_run(5.0)
    _set_list(cluster, _build_list(ListedState.LIVE, boot=1))
    await cluster.async_run(10.0)
    assert not any(_eligibility(cluster))
    _set_list(cluster, _build_list(ListedState.LIVE, boot=2))
    assert await cluster.async_run_until(_all_eligible(cluster, True), 20.0) <= 10.0


async def test_power_state_returns_a_worker_whose_drain_was_cancelled() -> None:
    cluster = await _async_started()
    _set_power(cluster, PowerState.DRAINING)
    cluster.nodes["v-1-0"].membership.report_instance(WORKER, False, "draining")
    await cluster.async_run(20.0)
    assert not any(_eligibility(cluster))
    _set_power(cluster, PowerState.SERVING)
    assert await cluster.async_run_until(_all_eligible(cluster, True), 20.0) <= 6.0


async def test_stale_power_state_lengthens_the_quiet_time() -> None:
    """Guard against a draining worker that gets a request every few seconds.

    The stale power state still says serving, so the worker returns, refuses and returns
    again. Each refusal must lengthen the required time without evidence of leaving.
    """
    cluster = await _async_started()
    _set_power(cluster, PowerState.SERVING)
    node = cluster.nodes["v-1-0"].membership
    attempts = 0
    for _ in range(600):
        if node.is_instance_eligible(WORKER):
            attempts += 1
            node.report_instance(WORKER, False, "draining")
        await cluster.async_run(0.1)
    assert 2 <= attempts <= 6


async def test_success_of_an_earlier_attempt_does_not_return_a_worker() -> None:
    """Guard against new work for a leaving worker after an earlier attempt succeeds.

    The worker refuses one request as draining, then finishes another that was sent
    before. Only an attempt sent after the refusal may return the worker.
    """
    cluster = await _async_started()
    node = cluster.nodes["v-1-0"]
    sent = node.timers.monotonic()
    await cluster.async_run(0.5)
    node.membership.report_instance(WORKER, False, "draining")
    node.membership.report_instance(WORKER, True, "answered")
    node.membership.report_instance(WORKER, True, "answered", sent_at=sent)
    assert not node.membership.is_instance_eligible(WORKER)
    await cluster.async_run(0.5)
    now = node.timers.monotonic()
    node.membership.report_instance(WORKER, True, "answered", sent_at=now)
    assert node.membership.is_instance_eligible(WORKER)
    assert await cluster.async_run_until(_all_eligible(cluster, True), 20.0) <= 8.0


async def test_lagging_list_does_not_undo_a_return() -> None:
    cluster = await _async_started()
    _set_list(cluster, _build_list(ListedState.LEAVING))
    await cluster.async_run(5.0)
    _set_power(cluster, PowerState.SERVING, boot=2)
    await cluster.async_run_until(_all_eligible(cluster, True), 20.0)
    await cluster.async_run(60.0)
    assert all(_eligibility(cluster))


def _claim(node: Node) -> None:
    claim = Claim(WORKER, "wave-1", "v-1-0", 3, "claimed", 1)
    node.fleet.state.claims[WORKER] = claim


def _move(node: Node) -> None:
    node.fleet.state.moves[WORKER] = Move("move-1", WORKER, "brass", "resin", 3)


def _absence(node: Node) -> None:
    node.fleet.state.absences[WORKER] = Absence(WORKER, "failed", "v-1", 1)


@pytest.mark.parametrize("exclude", [_claim, _move, _absence])
async def test_fleet_state_excludes_a_worker(exclude: Callable[[Node], None]) -> None:
    cluster = await _async_started()
    node = cluster.nodes["v-1-0"]
    assert node.membership.is_instance_eligible(WORKER)
    exclude(node)
    assert not node.membership.is_instance_eligible(WORKER)


async def test_quarantined_worker_stays_eligible_for_probation() -> None:
    cluster = await _async_started()
    node = cluster.nodes["v-1-0"]
    absence = Absence(WORKER, "quarantine", "v-1", 1)
    node.fleet.state.absences[WORKER] = absence
    assert node.membership.is_instance_eligible(WORKER)


async def test_failures_start_a_growing_backoff() -> None:
    cluster = await _async_started()
    node = cluster.nodes["v-1-0"]
    for cause in ("busy", "stale-generation", "connect", "connect"):
        assert node.membership.is_instance_eligible(WORKER)
        node.membership.report_instance(WORKER, False, cause)
    assert not node.membership.is_instance_eligible(WORKER)
    await cluster.async_run(1.1)
    assert node.membership.is_instance_eligible(WORKER)
    node.membership.report_instance(WORKER, False, "connect")
    await cluster.async_run(1.1)
    assert not node.membership.is_instance_eligible(WORKER)
    node.membership.report_instance(WORKER, True, "answered")
    assert node.membership.is_instance_eligible(WORKER)


async def test_leaving_and_return_are_published_once() -> None:
    cluster = await _async_started()
    seen: list[object] = []
    bus = cluster.nodes["v-1-1"].core.events
    bus.listen(InstanceLeaving, seen.append)
    bus.listen(InstanceReturned, seen.append)
    _set_list(cluster, _build_list(ListedState.LEAVING, boot=1))
    await cluster.async_run(10.0)
    _set_list(cluster, _build_list(ListedState.LIVE, boot=2))
    await cluster.async_run(20.0)
    assert [type(event) for event in seen] == [InstanceLeaving, InstanceReturned]


async def test_decisions_are_explained_by_the_entry_with_the_evidence() -> None:
    cluster = await _async_started()
    decisions: list[tuple[str, str, str, int]] = []

    def record(name: str, made: DecisionMade) -> None:
        decisions.append((name, made.decision, made.cause, made.offset))

    for node in cluster.nodes_in("v-1"):
        node.fleet.next_offset = 8
        node.core.events.listen(DecisionMade, partial(record, node.name))
    for _ in range(2):
        cluster.nodes["v-1-0"].membership.report_instance(WORKER, False, "connect")
    cluster.nodes["v-1-1"].membership.report_instance(WORKER, False, "draining")
    await cluster.async_run(3.0)
    assert decisions == [
        ("v-1-0", "instance-held-back", "connect", 7),
        ("v-1-1", "instance-leaving", "worker", 7),
    ]


async def test_entry_missing_from_the_list_counts_as_gone() -> None:
    """Guard against a move that waits forever for a deleted entry node.

    The instance is deleted without an announcement. Its absence from the platform's
    list must count as evidence that the unresponsive entry node has ended.
    """
    cluster = await _async_started()
    entries = tuple(
        ListedInstance(n.name, "entry", "v-1", "r", "10.9.9.9:1", ListedState.LIVE, 1)
        for n in cluster.nodes_in("v-1")
    )
    _set_list(cluster, entries)
    await cluster.async_run(6.0)
    start = cluster.nodes["v-1-3"].membership.own.start
    cluster.pause("v-1-3")
    await cluster.async_run(30.0)
    assert str(cluster.nodes["v-1-0"].status("v-1-3")) == "suspect"
    _set_list(cluster, entries[:3])
    await cluster.async_run(15.0)
    assert cluster.nodes["v-1-0"].status("v-1-3") is None
    assert cluster.nodes["v-2-0"].status("v-1-3") is None
    cluster.resume("v-1-3")
    await cluster.async_run(20.0)
    assert cluster.nodes["v-1-3"].membership.own.start > start
    assert "v-1-3" in cluster.nodes["v-1-0"].live()
