"""Test the size of digests, and that limited ones lose no changes."""

from __future__ import annotations

import msgspec

from mustardward.components.membership.const import MAX_DIGEST_MEMBERS, MAX_DIGEST_NOTES
from mustardward.components.membership.counter import ChangeCounter
from mustardward.components.membership.digests import Digests
from mustardward.components.membership.failure_detector import DataCentreFailureDetector
from mustardward.components.membership.instances import InstanceTable
from mustardward.components.membership.messages import Exchange, GossipDigest
from mustardward.components.membership.models import Member, MemberStatus
from mustardward.components.membership.table import MemberTable
from mustardward.helpers.msgpack_codec import MsgpackCodec


class _Endpoint:
    """Hold the tables of one entry node."""

    def __init__(self, name: str) -> None:
        counter = ChangeCounter()
        own = _member(name)
        self.name = name
        self.members = MemberTable(own, counter, 0.0)
        self.instances = InstanceTable(counter)
        self.digests = Digests(
            counter, self.members, self.instances, DataCentreFailureDetector("v-1")
        )

    def send(self, other: _Endpoint) -> GossipDigest:
        digest = self.digests.build(Exchange, other.name, 0.0)
        other.digests.apply(self.name, digest, 0.0)
        return digest


def _member(name: str, data_centre: str = "v-1") -> Member:
    return Member(name, data_centre, "10.0.0.1:1", 5, MemberStatus.ALIVE)


def _build_pair() -> tuple[_Endpoint, _Endpoint]:
    a, b = _Endpoint("a"), _Endpoint("b")
    for _ in range(3):
        a.send(b)
        b.send(a)
    return a, b


def test_quiet_digest_is_small() -> None:
    a, b = _build_pair()
    digest = a.send(b)
    assert digest.members == () and digest.instances == ()
    assert len(MsgpackCodec().encode(digest, Exchange)) <= 64


def test_changes_are_sent_once_and_not_back() -> None:
    a, b = _build_pair()
    a.members.apply([_member("c", "v-2")], 0.0)
    assert [state.name for state in a.send(b).members] == ["c"]
    assert b.send(a).members == ()
    assert a.send(b).members == ()


def test_next_digest_repeats_a_lost_one() -> None:
    a, b = _build_pair()
    a.members.apply([_member("c", "v-2")], 0.0)
    a.digests.build(Exchange, "b", 0.0)
    a.send(b)
    assert b.members.get("c") is not None


def test_notes_beyond_one_digest_are_sent_in_the_next() -> None:
    """Guard against workers that get work while they drain.

    More notes are due than fit into a digest. The digest must carry the version up to
    which it is complete, since the receiver would otherwise acknowledge the newest one.
    """
    a, b = _build_pair()
    total = 2 * MAX_DIGEST_NOTES + 5
    for number in range(total):
        a.instances.record_leaving(f"worker-{number}", "list", 0.0, 1)
    sizes = []
    for _ in range(4):
        sizes.append(len(a.send(b).instances))
        b.send(a)
    assert sizes == [MAX_DIGEST_NOTES, MAX_DIGEST_NOTES, 5, 0]
    assert len(b.instances.leaving()) == total


def test_members_beyond_one_digest_require_a_view() -> None:
    a, b = _build_pair()
    sent_members = [_member(f"c-{n}", "v-2") for n in range(MAX_DIGEST_MEMBERS + 4)]
    a.members.apply(sent_members, 0.0)
    assert len(a.send(b).members) == MAX_DIGEST_MEMBERS
    for _ in range(2):
        b.send(a)
        a.send(b)
    assert b.digests.needs_view("a")
    b.digests.apply_view("a", a.members.confirmed_members(["v-2"]), 0.0)
    b.send(a)
    a.send(b)
    assert a.members.view() == b.members.view()
    assert not b.digests.needs_view("a")


def test_digest_of_a_newer_build_is_decoded() -> None:
    """Guard against old and new entry nodes suspecting each other during a release.

    A newer build adds a field at the end of the array, and an older build must ignore
    it instead of rejecting the message for its length.
    """
    a, b = _build_pair()
    digest = a.send(b)
    fields = msgspec.msgpack.decode(MsgpackCodec().encode(digest, Exchange))
    longer = msgspec.msgpack.encode([*fields, "something new"])
    assert MsgpackCodec().decode(longer, Exchange) == digest
    shorter = msgspec.msgpack.encode(fields[:4])
    assert MsgpackCodec().decode(shorter, Exchange).version == digest.version
