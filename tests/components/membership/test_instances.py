"""Check what evidence lets worker instances get work."""

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


def _may(cluster: Cluster, centre: str = "v-1") -> list[bool]:
    return [n.membership.is_instance_eligible(WORKER) for n in cluster.nodes_in(centre)]


def _list(state: ListedState, boot: int = 1) -> tuple[ListedInstance, ...]:
    return (ListedInstance(WORKER, "worker", "v-1", "r-1", "10.1.0.1:1", state, boot),)


def _set_list(cluster: Cluster, listed: tuple[ListedInstance, ...]) -> None:
    for node in cluster.nodes.values():
        node.listing.listed = listed


def _set_power(cluster: Cluster, state: PowerState, boot: int = 1) -> None:
    for node in cluster.nodes.values():
        node.power.states[WORKER] = InstancePower(WORKER, state, boot, 1, 0)


def _everywhere(cluster: Cluster, value: bool) -> Callable[[], bool]:
    return lambda: _may(cluster) == [value] * len(cluster.nodes_in("v-1"))


async def test_leaving_worker_gets_no_work_while_the_list_says_nothing() -> None:
    """Tell all entries of a leaving worker without the list.

    Symptom: a leaving worker is given requests for a minute. Sequence: it drains and
    refuses one entry's request; the list goes on showing it as live. Cause: waiting for
    the platform's list.
    """
    cluster = await _async_started()
    _set_list(cluster, _list(ListedState.LIVE))
    await cluster.async_run(5.0)
    first = cluster.nodes["v-1-2"].membership
    first.report_instance(WORKER, False, "draining")
    assert not first.is_instance_eligible(WORKER)
    passed = await cluster.async_run_until(_everywhere(cluster, False), 10.0)
    assert passed <= 3.0
    await cluster.async_run(60.0)
    assert not any(_may(cluster))
    assert _may(cluster, "v-2") == [True]


async def test_announcement_of_a_leaving_worker_survives_lost_calls() -> None:
    cluster = await _async_started()
    cluster.network.lost_share = 0.4
    reporter = cluster.nodes["v-1-0"].membership
    reporter.report_instance(WORKER, False, "draining")
    assert await cluster.async_run_until(_everywhere(cluster, False), 10.0) <= 3.0


async def test_restarted_entry_learns_what_it_had_reported_itself() -> None:
    """Tell a restarted entry again what its earlier start told.

    Symptom: one entry gives work to a leaving worker. Sequence: it meets the refusal,
    tells all others, and restarts. Cause: each of them leaving out of its digests what
    it learnt from that very entry.
    """
    cluster = await _async_started()
    cluster.nodes["v-1-2"].membership.report_instance(WORKER, False, "draining")
    await cluster.async_run(3.0)
    cluster.kill("v-1-2")
    await cluster.async_start("v-1-2", "v-1")
    assert await cluster.async_run_until(_everywhere(cluster, False), 10.0) <= 3.0


async def test_list_counts_as_one_source() -> None:
    cluster = await _async_started()
    _set_list(cluster, _list(ListedState.LEAVING))
    assert await cluster.async_run_until(_everywhere(cluster, False), 10.0) <= 5.0
    reads = [node.listing.reads for node in cluster.nodes_in("v-1")]
    assert sum(1 for count in reads if count) <= 2


async def test_newer_boot_in_the_list_returns_a_worker() -> None:
    cluster = await _async_started()
    _set_list(cluster, _list(ListedState.LEAVING, boot=1))
    await cluster.async_run(5.0)
    _set_list(cluster, _list(ListedState.LIVE, boot=1))
    await cluster.async_run(10.0)
    assert not any(_may(cluster))
    _set_list(cluster, _list(ListedState.LIVE, boot=2))
    assert await cluster.async_run_until(_everywhere(cluster, True), 20.0) <= 10.0


async def test_power_state_returns_a_worker_whose_drain_was_cancelled() -> None:
    cluster = await _async_started()
    _set_power(cluster, PowerState.DRAINING)
    cluster.nodes["v-1-0"].membership.report_instance(WORKER, False, "draining")
    await cluster.async_run(20.0)
    assert not any(_may(cluster))
    _set_power(cluster, PowerState.SERVING)
    assert await cluster.async_run_until(_everywhere(cluster, True), 20.0) <= 6.0


async def test_power_state_that_lags_is_believed_less_each_time() -> None:
    """Keep out a worker that refuses although its power state says serving.

    Symptom: a draining worker is offered work every few seconds. Sequence: the pool
    service still calls it serving, it is let in, refuses, is let in again. Cause: the
    same kind of evidence taken at its word each time.
    """
    cluster = await _async_started()
    _set_power(cluster, PowerState.SERVING)
    node = cluster.nodes["v-1-0"].membership
    offers = 0
    for _ in range(600):
        if node.is_instance_eligible(WORKER):
            offers += 1
            node.report_instance(WORKER, False, "draining")
        await cluster.async_run(0.1)
    assert 2 <= offers <= 6


async def test_success_of_an_earlier_attempt_does_not_return_a_worker() -> None:
    """Tell the answers that a draining worker still gives from new ones.

    Symptom: a leaving worker gets new work. Sequence: it refuses one request as
    draining, then finishes another that was sent before. Cause: any success taken as a
    sign that the worker stays.
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
    assert await cluster.async_run_until(_everywhere(cluster, True), 20.0) <= 8.0


async def test_list_that_lags_does_not_undo_a_return() -> None:
    cluster = await _async_started()
    _set_list(cluster, _list(ListedState.LEAVING))
    await cluster.async_run(5.0)
    _set_power(cluster, PowerState.SERVING, boot=2)
    await cluster.async_run_until(_everywhere(cluster, True), 20.0)
    await cluster.async_run(60.0)
    assert all(_may(cluster))


def _claim(node: Node) -> None:
    claim = Claim(WORKER, "wave-1", "v-1-0", 3, "claimed", 1)
    node.fleet.state.claims[WORKER] = claim


def _move(node: Node) -> None:
    node.fleet.state.moves[WORKER] = Move("move-1", WORKER, "brass", "resin", 3)


def _absence(node: Node) -> None:
    node.fleet.state.absences[WORKER] = Absence(WORKER, "failed", "v-1", 1)


@pytest.mark.parametrize("take", [_claim, _move, _absence])
async def test_folded_state_keeps_work_away(take: Callable[[Node], None]) -> None:
    cluster = await _async_started()
    node = cluster.nodes["v-1-0"]
    assert node.membership.is_instance_eligible(WORKER)
    take(node)
    assert not node.membership.is_instance_eligible(WORKER)


async def test_quarantined_worker_is_left_to_probation() -> None:
    cluster = await _async_started()
    node = cluster.nodes["v-1-0"]
    absence = Absence(WORKER, "quarantine", "v-1", 1)
    node.fleet.state.absences[WORKER] = absence
    assert node.membership.is_instance_eligible(WORKER)


async def test_failures_hold_a_worker_back_for_a_growing_while() -> None:
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


async def test_leaving_and_return_are_announced_once() -> None:
    cluster = await _async_started()
    seen: list[object] = []
    bus = cluster.nodes["v-1-1"].core.events
    bus.listen(InstanceLeaving, seen.append)
    bus.listen(InstanceReturned, seen.append)
    _set_list(cluster, _list(ListedState.LEAVING, boot=1))
    await cluster.async_run(10.0)
    _set_list(cluster, _list(ListedState.LIVE, boot=2))
    await cluster.async_run(20.0)
    assert [type(event) for event in seen] == [InstanceLeaving, InstanceReturned]


async def test_decisions_are_explained_by_the_entry_that_met_the_evidence() -> None:
    cluster = await _async_started()
    told: list[tuple[str, str, str, int]] = []

    def note(name: str, made: DecisionMade) -> None:
        told.append((name, made.decision, made.cause, made.offset))

    for node in cluster.nodes_in("v-1"):
        node.fleet.next_offset = 8
        node.core.events.listen(DecisionMade, partial(note, node.name))
    for _ in range(2):
        cluster.nodes["v-1-0"].membership.report_instance(WORKER, False, "connect")
    cluster.nodes["v-1-1"].membership.report_instance(WORKER, False, "draining")
    await cluster.async_run(3.0)
    assert told == [
        ("v-1-0", "instance-held-back", "connect", 7),
        ("v-1-1", "instance-leaving", "worker", 7),
    ]


async def test_entry_that_the_list_dropped_counts_as_gone() -> None:
    """Take the list's word for the end of an entry that does not answer.

    Symptom: a move waits for ever for an entry that was taken away. Sequence: the
    entry's instance is deleted without a word. Cause: nothing that ever proves an end.
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
