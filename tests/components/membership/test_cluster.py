"""Test the membership of several entry nodes over a network with partitions."""

from __future__ import annotations

import pytest

from mustardward.components.membership.models import MemberStatus
from mustardward.settings.models import PeerAddress
from tests.fakes.cluster import Cluster

pytestmark = pytest.mark.anyio


async def _async_started(sizes: dict[str, int]) -> Cluster:
    cluster = Cluster()
    await cluster.async_start_all(sizes)
    await cluster.async_run(15.0)
    return cluster


async def test_entries_find_each_other_from_a_few_seeds() -> None:
    cluster = await _async_started({"v-1": 5, "v-2": 2, "v-3": 1})
    everyone = set(cluster.nodes)
    assert all(node.live() == everyone for node in cluster.nodes.values())
    assert cluster.nodes["v-1-0"].live("v-2") == {"v-2-0", "v-2-1"}


async def test_crash_is_suspected_locally_and_propagated() -> None:
    cluster = await _async_started({"v-1": 4, "v-2": 2})
    cluster.kill("v-1-2")

    def is_known(centre: str) -> bool:
        nodes = cluster.nodes_in(centre)
        return all(n.status("v-1-2") is MemberStatus.SUSPECT for n in nodes)

    assert await cluster.async_run_until(lambda: is_known("v-1"), 10) <= 5.0
    assert await cluster.async_run_until(lambda: is_known("v-2"), 10) <= 5.0


async def test_leaving_is_known_at_once_and_final() -> None:
    """Guard against forwarding requests to a leaving entry node.

    It announces that it leaves, and a stale peer still reports it as alive. The later
    report must not override the final status.
    """
    cluster = await _async_started({"v-1": 4, "v-2": 2})
    leaving = cluster.nodes["v-1-1"]
    await leaving.membership.async_announce_leaving()
    others = [node for node in cluster.nodes.values() if node is not leaving]
    local = [node for node in others if node in cluster.nodes_in("v-1")]
    assert all(n.status("v-1-1") is MemberStatus.LEAVING for n in local)

    def is_known() -> bool:
        return all(n.status("v-1-1") is MemberStatus.LEAVING for n in others)

    assert await cluster.async_run_until(is_known, 10) <= 3.0
    await cluster.async_run(30.0)
    assert is_known()
    assert not any("v-1-1" in node.live() for node in cluster.nodes.values())
    assert not leaving.membership.owns_duty("anything", holders=9)


async def test_clean_end_is_known_as_gone() -> None:
    cluster = await _async_started({"v-1": 3})
    node = cluster.nodes["v-1-1"]
    await node.membership.async_announce_leaving()
    await node.unload()
    cluster.kill("v-1-1")
    for other in cluster.nodes.values():
        assert other.status("v-1-1") is None
        assert other.changes[-1].member.status is MemberStatus.GONE


async def test_false_suspicion_is_refuted_within_the_incarnation() -> None:
    """Guard against a healthy entry node that stays without forwarded work.

    It is suspected after it was unresponsive for some seconds, then responds again. Its
    refutation must clear the suspicion without a restart.
    """
    cluster = await _async_started({"v-1": 4})
    before = cluster.nodes["v-1-3"].membership.own.incarnation
    suspect = cluster.nodes["v-1-3"].peers.address
    cluster.network.cut_between([suspect], cluster.addresses("v-1"))
    await cluster.async_run(6.0)
    assert cluster.nodes["v-1-0"].status("v-1-3") is MemberStatus.SUSPECT
    cluster.network.cut.clear()
    everyone = set(cluster.nodes)

    def all_live() -> bool:
        return all(node.live() == everyone for node in cluster.nodes.values())

    assert await cluster.async_run_until(all_live, 30) <= 15.0
    after = cluster.nodes["v-1-3"].membership.own
    assert after.refutations > 0
    assert after.incarnation == before


async def test_partition_of_two_members_suspects_neither() -> None:
    cluster = await _async_started({"v-1": 4})
    a, b = cluster.nodes["v-1-0"], cluster.nodes["v-1-1"]
    cluster.network.cut_between([a.peers.address], [b.peers.address])
    await cluster.async_run(30.0)
    assert all(len(node.live()) == 4 for node in cluster.nodes.values())


async def test_flapping_entry_ends_in_its_true_state() -> None:
    cluster = await _async_started({"v-1": 4})
    suspect = cluster.nodes["v-1-2"].peers.address
    for _ in range(6):
        cluster.network.cut_between([suspect], cluster.addresses("v-1"))
        await cluster.async_run(4.0)
        cluster.network.cut.clear()
        await cluster.async_run(3.0)
    await cluster.async_run(15.0)
    assert all(len(node.live()) == 4 for node in cluster.nodes.values())


async def test_partition_between_data_centres_and_its_end() -> None:
    """Guard against suspicions or doubled duties that outlast a network partition.

    Two data centres are disconnected from a third for a while. Each side must detect
    the other as unreachable instead of suspecting its members one by one.
    """
    cluster = await _async_started({"v-1": 3, "v-2": 3, "v-3": 2})
    inside = cluster.addresses("v-1") + cluster.addresses("v-2")
    cluster.network.cut_between(inside, cluster.addresses("v-3"))
    await cluster.async_run(20.0)
    for node in cluster.nodes_in("v-1") + cluster.nodes_in("v-2"):
        assert node.membership.is_unreachable("v-3")
        assert node.live("v-3") == set()
        assert node.status("v-3-0") is MemberStatus.ALIVE
        assert [event.data_centre for event in node.reachability_changes] == ["v-3"]
    assert cluster.nodes["v-3-0"].live() == {"v-3-0", "v-3-1"}
    cluster.network.cut.clear()
    await cluster.async_run(15.0)
    for node in cluster.nodes.values():
        assert node.live() == set(cluster.nodes)
        assert node.reachability_changes[-1].unreachable is False


async def test_partition_of_two_data_centres_makes_neither_unreachable() -> None:
    cluster = await _async_started({"v-1": 2, "v-2": 2, "v-3": 2})
    cluster.network.cut_between(cluster.addresses("v-1"), cluster.addresses("v-2"))
    await cluster.async_run(40.0)
    assert not any(node.reachability_changes for node in cluster.nodes.values())


async def test_paused_entry_does_not_declare_its_peers_dead() -> None:
    """Guard against a resumed entry node that suspects all peers and takes all duties.

    Its process is paused for a minute, after which all its calls appear to have timed
    out. The pause must not count as time without a response.
    """
    cluster = await _async_started({"v-1": 4, "v-2": 2})
    paused = cluster.nodes["v-1-0"]
    cluster.pause("v-1-0")
    await cluster.async_run(60.0)
    assert all(
        node.status("v-1-0") is MemberStatus.SUSPECT
        for node in cluster.nodes_in("v-1")
        if node is not paused
    )
    changes = len(paused.changes)
    cluster.resume("v-1-0")
    assert not paused.membership.owns_duty("anything", holders=9)
    await cluster.async_run(15.0)
    assert [c.member.status for c in paused.changes[changes:]] == []
    assert paused.reachability_changes == []
    assert paused.membership.owns_duty("anything", holders=9)
    assert all(node.live() == set(cluster.nodes) for node in cluster.nodes.values())


async def test_two_holders_of_a_duty_are_possible_and_one_remains() -> None:
    cluster = await _async_started({"v-1": 4})
    nodes = cluster.nodes_in("v-1")

    def holders() -> list[str]:
        return [n.name for n in nodes if n.membership.owns_duty("sweep")]

    assert len(holders()) == 1
    owner = cluster.nodes[holders()[0]]
    cluster.network.cut_between([owner.peers.address], cluster.addresses("v-1"))
    await cluster.async_run(20.0)
    assert len(holders()) == 2
    cluster.network.cut.clear()
    await cluster.async_run(20.0)
    assert holders() == [owner.name]


async def test_restart_under_the_same_name_is_propagated() -> None:
    cluster = await _async_started({"v-1": 3})
    old = cluster.nodes["v-1-2"].membership.own.incarnation
    cluster.kill("v-1-2")
    await cluster.async_run(1.0)
    new = await cluster.async_start("v-1-2", "v-1")
    await cluster.async_run(15.0)
    assert new.membership.own.incarnation > old
    for node in cluster.nodes.values():
        assert node.live() == set(cluster.nodes)
        found = {m.name: m.incarnation for m in node.membership.members()}
        assert found["v-1-2"] == new.membership.own.incarnation


async def test_address_of_a_replaced_entry_is_no_member() -> None:
    """Guard against moves and publications that wait forever for a replaced entry node.

    An entry node starts with settings that still contain the old address. An address
    must not count as a member before it has responded.
    """
    cluster = Cluster()
    seed = PeerAddress(name="old", data_centre="v-1", host="10.9.9.9", port=1)
    cluster.seeds["old"] = seed
    await cluster.async_start_all({"v-1": 3})
    await cluster.async_run(10.0)
    for node in cluster.nodes.values():
        names = {member.name for member in node.membership.members()}
        assert names == set(cluster.nodes) == node.live()


async def test_lost_replies_delay_changes_but_lose_none() -> None:
    cluster = await _async_started({"v-1": 4, "v-2": 3})
    cluster.network.lost_share = 0.3
    cluster.nodes["v-1-0"].fleet.next_offset = 77
    cluster.nodes["v-1-0"].load.in_flight = 5
    await cluster.nodes["v-2-2"].membership.async_announce_leaving()
    await cluster.async_run(20.0)
    for node in cluster.nodes.values():
        assert node.status("v-2-2") is MemberStatus.LEAVING
    received = {m.name: m for m in cluster.nodes["v-1-1"].membership.live()}["v-1-0"]
    assert (received.fleet_offset, received.in_flight) == (77, 5)
