"""Define the messages of membership.

They are sent every second by every entry, so they travel as arrays without field
names; a field may only ever be added at the end, with a default.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

from ..peers.protocols import peer_message
from .models import Member, MemberStatus

_CODES = tuple(MemberStatus)
_Name = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
_Address = Annotated[str, msgspec.Meta(max_length=128)]
_Status = Annotated[int, msgspec.Meta(ge=0, lt=len(_CODES))]
_Number = Annotated[int, msgspec.Meta(ge=0, le=2**62)]


class MemberState(msgspec.Struct, frozen=True, array_like=True):
    """Tell of one member; ``status`` is its place in the order of ``MemberStatus``."""

    name: _Name
    incarnation: _Number
    status: _Status
    data_centre: _Name
    address: _Address
    refutations: _Number = 0

    def to_member(self) -> Member:
        """Return the member told of."""
        return Member(
            self.name,
            self.data_centre,
            self.address,
            self.incarnation,
            _CODES[self.status],
            refutations=self.refutations,
        )

    @classmethod
    def of(cls, member: Member) -> MemberState:
        """Return what to tell of a member."""
        return cls(
            member.name,
            member.incarnation,
            _CODES.index(member.status),
            member.data_centre,
            member.address,
            member.refutations,
        )


class InstanceNote(msgspec.Struct, frozen=True, array_like=True):
    """Tell whether a worker instance is leaving.

    The higher ``(boot, count)`` holds; of two equal ones the one that says leaving.
    """

    instance_id: _Name
    boot: _Number
    count: _Number
    leaving: bool


class Vitals(msgspec.Struct, frozen=True, array_like=True):
    """Tell how the sender is."""

    incarnation: _Number
    fleet_offset: _Number = 0
    fleet_digest: Annotated[str, msgspec.Meta(max_length=64)] = ""
    in_flight: _Number = 0


class News(msgspec.Struct, frozen=True, array_like=True):
    """Carry news both ways: an exchange and its reply look the same.

    ``version`` numbers the sender's news, ``seen`` is the receiver's version that the
    sender has; only news after that travels. ``view`` is a digest of all members.
    ``heard`` has a byte for each data centre, by name: quarter seconds since its last
    sign of life, meaningful if ``centres``, the digest of the names, is the same.
    """

    vitals: Vitals
    version: _Number
    seen: _Number
    view: _Number
    members: tuple[MemberState, ...] = ()
    instances: tuple[InstanceNote, ...] = ()
    centres: _Number = 0
    heard: bytes = b""


class ExchangeReply(News, frozen=True, array_like=True):
    """Answer an exchange with the receiver's news."""


@peer_message("membership.exchange", ExchangeReply)
class Exchange(News, frozen=True, array_like=True):
    """Tell a peer the news and ask for its own."""


class View(msgspec.Struct, frozen=True, array_like=True):
    """Tell of all members of some data centres."""

    members: tuple[MemberState, ...]


@peer_message("membership.view", View)
class ViewRequest(msgspec.Struct, frozen=True, array_like=True):
    """Ask for the members of data centres whose digest differs from those known."""

    known: dict[str, int] = {}


class ProbeReply(msgspec.Struct, frozen=True, array_like=True):
    """Tell whether the member answered."""

    reached: bool


@peer_message("membership.probe", ProbeReply)
class ProbeRequest(msgspec.Struct, frozen=True, array_like=True):
    """Ask a peer to try to reach a member."""

    name: _Name


@peer_message("membership.ping", ProbeReply)
class Ping(msgspec.Struct, frozen=True, array_like=True):
    """Ask for any answer."""
