"""Define the data classes and events of routing."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from ...state.models.templates import Urgency
from ..membership.models import Member

FORWARDABLE_REFUSAL_CODES: Final = frozenset(
    {"no-worker", "no-capacity", "overloaded", "deadline-unreachable"}
)
"""Refusal codes after which another data centre may still serve a request.

A refusal for an organisation's quota is not included: the excess would consume the
organisation's quota in the other data centre.
"""


@dataclass(frozen=True, slots=True)
class RemoteChoice:
    """Entry of another data centre chosen to serve a request."""

    member: Member
    attempt_id: str


@dataclass(frozen=True, slots=True)
class InstanceQuarantined:
    """Event: a worker was quarantined because it fails far more than its peers.

    ``failure_share`` covers distinct requests; ``peers_share`` is the mean of its
    peers.
    """

    instance_id: str
    pool: str
    failure_share: float
    peers_share: float
    seconds: float


@dataclass(frozen=True, slots=True)
class InstanceReleased:
    """Event: a quarantined worker passed its probation and gets work again."""

    instance_id: str
    pool: str


@dataclass(frozen=True, slots=True)
class WorkerBusy:
    """Event: a worker refused an attempt because all its slots are in use.

    This is not a failure: other entries use the worker too, and only the worker knows
    its load.
    """

    instance_id: str
    pool: str
    request_id: str = ""
    urgency: Urgency = Urgency.NORMAL
