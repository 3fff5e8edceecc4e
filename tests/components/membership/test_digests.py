"""Check how many bytes digests take, and that bounded ones lose nothing."""

from __future__ import annotations

import msgspec

from mustardward.components.membership.const import DIGEST_MEMBERS, DIGEST_NOTES
from mustardward.components.membership.counter import ChangeCounter
from mustardward.components.membership.digests import Digests
from mustardward.components.membership.instances import InstanceTable
from mustardward.components.membership.messages import Exchange, News
from mustardward.components.membership.models import Member, MemberStatus
from mustardward.components.membership.silence import SilenceDetector
from mustardward.components.membership.table import MemberTable
from mustardward.helpers.msgpack_codec import MsgpackCodec


class _Side:
    """Hold the tables of one entry."""

    def __init__(self, name: str) -> None:
        counter = ChangeCounter()
        own = _member(name)
        self.name = name
        self.members = MemberTable(own, counter, 0.0)
        self.instances = InstanceTable(counter)
        self.digests = Digests(
            counter, self.members, self.instances, SilenceDetector("v-1")
        )

    def tell(self, other: _Side) -> News:
        news = self.digests.build(Exchange, other.name, 0.0)
        other.digests.take(self.name, news, 0.0)
        return news


def _member(name: str, data_centre: str = "v-1") -> Member:
    return Member(name, data_centre, "10.0.0.1:1", 5, MemberStatus.ALIVE)


def _pair() -> tuple[_Side, _Side]:
    a, b = _Side("a"), _Side("b")
    for _ in range(3):
        a.tell(b)
        b.tell(a)
    return a, b


def test_quiet_digest_is_small() -> None:
    a, b = _pair()
    news = a.tell(b)
    assert news.members == () and news.instances == ()
    assert len(MsgpackCodec().encode(news, Exchange)) <= 64


def test_news_travels_once_and_not_back() -> None:
    a, b = _pair()
    a.members.apply([_member("c", "v-2")], 0.0)
    assert [state.name for state in a.tell(b).members] == ["c"]
    assert b.tell(a).members == ()
    assert a.tell(b).members == ()


def test_lost_digest_is_made_good_by_the_next() -> None:
    a, b = _pair()
    a.members.apply([_member("c", "v-2")], 0.0)
    a.digests.build(Exchange, "b", 0.0)
    a.tell(b)
    assert b.members.get("c") is not None


def test_notes_beyond_one_digest_follow_in_the_next() -> None:
    """Lose no leaving instance when more leave than a digest holds.

    Symptom: some workers of a wave get work while they drain. Sequence: more notes are
    due than fit; the receiver takes the sender's newest number for what it has. Cause:
    a bound without a word on where the digest stopped.
    """
    a, b = _pair()
    total = 2 * DIGEST_NOTES + 5
    for number in range(total):
        a.instances.note_leaving(f"worker-{number}", "list", 0.0, 1)
    sizes = []
    for _ in range(4):
        sizes.append(len(a.tell(b).instances))
        b.tell(a)
    assert sizes == [DIGEST_NOTES, DIGEST_NOTES, 5, 0]
    assert len(b.instances.leaving()) == total


def test_members_beyond_one_digest_make_the_view_wanted() -> None:
    a, b = _pair()
    told = [_member(f"c-{n}", "v-2") for n in range(DIGEST_MEMBERS + 4)]
    a.members.apply(told, 0.0)
    assert len(a.tell(b).members) == DIGEST_MEMBERS
    for _ in range(2):
        b.tell(a)
        a.tell(b)
    assert b.digests.wants_view("a")
    b.digests.take_view("a", a.members.all_met(["v-2"]), 0.0)
    b.tell(a)
    a.tell(b)
    assert a.members.view() == b.members.view()
    assert not b.digests.wants_view("a")


def test_digest_of_a_newer_build_is_understood() -> None:
    """Ignore what a newer build adds at the end of a digest.

    Symptom: during a release the old and the new entries suspect each other. Sequence:
    a field is added; the older build refuses the longer message. Cause: arrays without
    field names that have to match in length.
    """
    a, b = _pair()
    news = a.tell(b)
    fields = msgspec.msgpack.decode(MsgpackCodec().encode(news, Exchange))
    longer = msgspec.msgpack.encode([*fields, "something new"])
    assert MsgpackCodec().decode(longer, Exchange) == news
    shorter = msgspec.msgpack.encode(fields[:4])
    assert MsgpackCodec().decode(shorter, Exchange).version == news.version
