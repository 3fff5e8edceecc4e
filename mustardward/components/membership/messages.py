"""Define the messages of the membership component.

Every entry node sends them each second, so they are encoded as arrays without field
names. New fields may only be added at the end, with a default.
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
    """Describe one member; ``status`` is an index into ``MemberStatus``."""

    name: _Name
    incarnation: _Number
    status: _Status
    data_centre: _Name
    address: _Address
    refutations: _Number = 0

    def to_member(self) -> Member:
        """Return the described member."""
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
        """Return the description of a member."""
        return cls(
            member.name,
            member.incarnation,
            _CODES.index(member.status),
            member.data_centre,
            member.address,
            member.refutations,
        )


class InstanceNote(msgspec.Struct, frozen=True, array_like=True):
    """Describe whether a worker instance is leaving.

    The note with the higher ``(boot, count)`` wins; of two equal ones, the leaving one.
    """

    instance_id: _Name
    boot: _Number
    count: _Number
    leaving: bool


class Vitals(msgspec.Struct, frozen=True, array_like=True):
    """Describe the state of the sender."""

    incarnation: _Number
    fleet_offset: _Number = 0
    fleet_digest: Annotated[str, msgspec.Meta(max_length=64)] = ""
    in_flight: _Number = 0


class GossipDigest(msgspec.Struct, frozen=True, array_like=True):
    """Carry changes in both directions: an exchange and its reply have the same fields.

    ``version`` is the sender's table version for the peer to acknowledge, and ``seen``
    the last version received from the peer; only changes after the acknowledged version
    are sent. ``view`` is a digest of all members. ``heard`` has a byte for each data
    centre in order of name: quarter seconds since the last contact. It is valid only if
    ``centres``, the digest of the names, is the same at the receiver.
    """

    vitals: Vitals
    version: _Number
    seen: _Number
    view: _Number
    members: tuple[MemberState, ...] = ()
    instances: tuple[InstanceNote, ...] = ()
    centres: _Number = 0
    heard: bytes = b""


class ExchangeReply(GossipDigest, frozen=True, array_like=True):
    """Reply to an exchange with the receiver's changes."""


@peer_message("membership.exchange", ExchangeReply)
class Exchange(GossipDigest, frozen=True, array_like=True):
    """Send changes to a peer and request its own."""


class View(msgspec.Struct, frozen=True, array_like=True):
    """Carry all members of some data centres."""

    members: tuple[MemberState, ...]


@peer_message("membership.view", View)
class ViewRequest(msgspec.Struct, frozen=True, array_like=True):
    """Request the members of data centres whose digest differs from ``known``."""

    known: dict[str, int] = {}


class ProbeReply(msgspec.Struct, frozen=True, array_like=True):
    """Report whether the member responded."""

    reached: bool


@peer_message("membership.probe", ProbeReply)
class ProbeRequest(msgspec.Struct, frozen=True, array_like=True):
    """Request that a peer pings a member."""

    name: _Name


@peer_message("membership.ping", ProbeReply)
class Ping(msgspec.Struct, frozen=True, array_like=True):
    """Check whether the peer responds."""
