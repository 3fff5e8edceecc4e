"""Model what worker choice says to others."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from ...state.models.templates import Urgency
from ..membership.models import Member

FORWARDABLE_REFUSAL_CODES: Final = frozenset(
    {"no-worker", "no-capacity", "overloaded", "deadline-unreachable"}
)
"""Codes of refusals after which another data centre may still serve a request.

A refusal for an organisation's own quota is not among them: its quota elsewhere would
then be spent on what it sends here.
"""


@dataclass(frozen=True, slots=True)
class RemoteChoice:
    """Hold the entry of another data centre chosen to serve a request."""

    member: Member
    attempt_id: str


@dataclass(frozen=True, slots=True)
class InstanceQuarantined:
    """Announce that a worker gets no more work, judged against its peers.

    ``failure_share`` is over distinct requests; ``peers_share`` is its peers' mean.
    """

    instance_id: str
    pool: str
    failure_share: float
    peers_share: float
    seconds: float


@dataclass(frozen=True, slots=True)
class InstanceReleased:
    """Announce that a quarantined worker proved itself and gets work again."""

    instance_id: str
    pool: str


@dataclass(frozen=True, slots=True)
class WorkerBusy:
    """Announce that a worker refused an attempt since its slots were taken.

    Not a failure: other entries share the worker unseen, and it alone knows.
    """

    instance_id: str
    pool: str
    request_id: str = ""
    urgency: Urgency = Urgency.NORMAL
