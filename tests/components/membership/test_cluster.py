"""Check the membership of several entries over a network that can be cut."""

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


async def test_death_is_suspected_here_and_known_elsewhere() -> None:
    cluster = await _async_started({"v-1": 4, "v-2": 2})
    cluster.kill("v-1-2")

    def is_known(centre: str) -> bool:
        nodes = cluster.nodes_in(centre)
        return all(n.status("v-1-2") is MemberStatus.SUSPECT for n in nodes)

    assert await cluster.async_run_until(lambda: is_known("v-1"), 10) <= 5.0
    assert await cluster.async_run_until(lambda: is_known("v-2"), 10) <= 5.0


async def test_leaving_is_known_at_once_and_final() -> None:
    """Never take an entry for live again that said it is leaving.

    Symptom: a leaving entry is handed forwarded requests. Sequence: it announces that
    it leaves; a stale peer goes on telling that it is alive. Cause: the later word
    taken for the truer one.
    """
    cluster = await _async_started({"v-1": 4, "v-2": 2})
    leaver = cluster.nodes["v-1-1"]
    await leaver.membership.async_announce_leaving()
    others = [node for node in cluster.nodes.values() if node is not leaver]
    local = [node for node in others if node in cluster.nodes_in("v-1")]
    assert all(n.status("v-1-1") is MemberStatus.LEAVING for n in local)

    def is_known() -> bool:
        return all(n.status("v-1-1") is MemberStatus.LEAVING for n in others)

    assert await cluster.async_run_until(is_known, 10) <= 3.0
    await cluster.async_run(30.0)
    assert is_known()
    assert not any("v-1-1" in node.live() for node in cluster.nodes.values())
    assert not leaver.membership.owns_duty("anything", holders=9)


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
    """Clear a suspicion by the word of the suspected entry.

    Symptom: a healthy entry stays without forwarded work. Sequence: it does not answer
    for some seconds and is suspected, then answers again. Cause: nothing that clears a
    suspicion but a restart.
    """
    cluster = await _async_started({"v-1": 4})
    before = cluster.nodes["v-1-3"].membership.own.incarnation
    victim = cluster.nodes["v-1-3"].peers.address
    cluster.network.cut_between([victim], cluster.addresses("v-1"))
    await cluster.async_run(6.0)
    assert cluster.nodes["v-1-0"].status("v-1-3") is MemberStatus.SUSPECT
    cluster.network.cut.clear()
    everyone = set(cluster.nodes)

    def is_healed() -> bool:
        return all(node.live() == everyone for node in cluster.nodes.values())

    assert await cluster.async_run_until(is_healed, 30) <= 15.0
    after = cluster.nodes["v-1-3"].membership.own
    assert after.refutations > 0
    assert after.incarnation == before


async def test_cut_between_two_members_suspects_neither() -> None:
    cluster = await _async_started({"v-1": 4})
    a, b = cluster.nodes["v-1-0"], cluster.nodes["v-1-1"]
    cluster.network.cut_between([a.peers.address], [b.peers.address])
    await cluster.async_run(30.0)
    assert all(len(node.live()) == 4 for node in cluster.nodes.values())


async def test_flapping_entry_ends_in_its_true_state() -> None:
    cluster = await _async_started({"v-1": 4})
    victim = cluster.nodes["v-1-2"].peers.address
    for _ in range(6):
        cluster.network.cut_between([victim], cluster.addresses("v-1"))
        await cluster.async_run(4.0)
        cluster.network.cut.clear()
        await cluster.async_run(3.0)
    await cluster.async_run(15.0)
    assert all(len(node.live()) == 4 for node in cluster.nodes.values())


async def test_partition_between_data_centres_and_its_healing() -> None:
    """Suspect no single entry across a cut, but notice the silence.

    Symptom: after a cut has healed, entries stay suspected or duties stay double.
    Sequence: two data centres are cut off from a third for a while. Cause: each side
    judging the members of the other one by one.
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


async def test_cut_between_two_data_centres_is_no_silence() -> None:
    cluster = await _async_started({"v-1": 2, "v-2": 2, "v-3": 2})
    cluster.network.cut_between(cluster.addresses("v-1"), cluster.addresses("v-2"))
    await cluster.async_run(40.0)
    assert not any(node.reachability_changes for node in cluster.nodes.values())


async def test_paused_entry_does_not_declare_its_peers_dead() -> None:
    """Distrust own evidence after a pause.

    Symptom: one entry suspects the whole fleet and takes over every duty. Sequence: its
    process is stopped for a minute and goes on; all its calls seem to have timed out.
    Cause: lost time taken for silence of the others.
    """
    cluster = await _async_started({"v-1": 4, "v-2": 2})
    sleeper = cluster.nodes["v-1-0"]
    cluster.pause("v-1-0")
    await cluster.async_run(60.0)
    assert all(
        node.status("v-1-0") is MemberStatus.SUSPECT
        for node in cluster.nodes_in("v-1")
        if node is not sleeper
    )
    changes = len(sleeper.changes)
    cluster.resume("v-1-0")
    assert not sleeper.membership.owns_duty("anything", holders=9)
    await cluster.async_run(15.0)
    assert [c.member.status for c in sleeper.changes[changes:]] == []
    assert sleeper.reachability_changes == []
    assert sleeper.membership.owns_duty("anything", holders=9)
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


async def test_restart_under_the_same_name_is_taken_up() -> None:
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


async def test_address_of_a_replaced_entry_holds_nobody_up() -> None:
    """Count only members that were met.

    Symptom: a move, or a publication that waits for all, never ends. Sequence: an entry
    starts with settings that still name one that was replaced months ago. Cause: an
    address taken for a member.
    """
    cluster = Cluster()
    seed = PeerAddress(name="old", data_centre="v-1", host="10.9.9.9", port=1)
    cluster.seeds["old"] = seed
    await cluster.async_start_all({"v-1": 3})
    await cluster.async_run(10.0)
    for node in cluster.nodes.values():
        names = {member.name for member in node.membership.members()}
        assert names == set(cluster.nodes) == node.live()


async def test_lost_replies_delay_news_but_lose_none() -> None:
    cluster = await _async_started({"v-1": 4, "v-2": 3})
    cluster.network.lost_share = 0.3
    cluster.nodes["v-1-0"].fleet.next_offset = 77
    cluster.nodes["v-1-0"].load.in_flight = 5
    await cluster.nodes["v-2-2"].membership.async_announce_leaving()
    await cluster.async_run(20.0)
    for node in cluster.nodes.values():
        assert node.status("v-2-2") is MemberStatus.LEAVING
    told = {m.name: m for m in cluster.nodes["v-1-1"].membership.live()}["v-1-0"]
    assert (told.fleet_offset, told.in_flight) == (77, 5)
