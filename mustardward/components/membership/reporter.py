"""Publish what changed, and note what is urgent to tell on."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Final

from ...core import EventBus
from ...helpers.logging import get_logger
from ..explain.models import DecisionMade, SubjectKind
from .models import (
    DataCentreReachabilityChanged,
    InstanceBackoffStarted,
    InstanceLeaving,
    InstanceReturned,
    MembershipChanged,
    MemberStatus,
    OwnStatusContested,
)

_LOGGER = get_logger(__name__)

Event = (
    MembershipChanged
    | OwnStatusContested
    | InstanceLeaving
    | InstanceReturned
    | InstanceBackoffStarted
    | DataCentreReachabilityChanged
)
_DECISIONS: Final = {
    InstanceLeaving: "instance-leaving",
    InstanceReturned: "instance-returned",
    InstanceBackoffStarted: "instance-held-back",
}
_URGENT: Final = (MemberStatus.SUSPECT, MemberStatus.LEAVING, MemberStatus.GONE)


class Reporter:
    """Log and publish events; keep whether peers have to be told at once.

    :param offset: returns the offset up to which the fleet's state was folded.
    """

    def __init__(self, bus: EventBus, offset: Callable[[], int]) -> None:
        self._bus = bus
        self._offset = offset
        self._urgent = False

    def take_urgent(self) -> bool:
        """Tell whether something urgent came up since the last call."""
        urgent, self._urgent = self._urgent, False
        return urgent

    def report(self, events: Iterable[Event], pass_on: bool) -> None:
        """Log and publish events.

        :param pass_on: whether the peers of this data centre may not know them yet. If
            every receiver passed news on at once, one leaving instance would cost a
            data centre of twelve entries 132 calls.
        """
        for event in events:
            _log(event)
            self._bus.publish(event)
            self._explain(event, pass_on)
            if _is_urgent(event, pass_on):
                self._urgent = True

    def _explain(self, event: Event, pass_on: bool) -> None:
        # The entry that met the evidence tells of it; those that it told need not.
        inputs: tuple[str, ...] = ()
        if isinstance(event, InstanceBackoffStarted):
            inputs = (f"failures={event.failures}", f"seconds={event.seconds:g}")
        elif not (pass_on and isinstance(event, InstanceLeaving | InstanceReturned)):
            return
        self._bus.publish(
            DecisionMade(
                SubjectKind.INSTANCE,
                event.instance_id,
                _DECISIONS[type(event)],
                event.source,
                inputs,
                self._offset(),
            )
        )


def _is_urgent(event: Event, pass_on: bool) -> bool:
    # What this process answers to a suspicion of itself, nobody else can tell.
    if isinstance(event, OwnStatusContested):
        return True
    if isinstance(event, MembershipChanged):
        return pass_on and event.member.status in _URGENT
    return pass_on and isinstance(event, InstanceLeaving)


def _log(event: Event) -> None:
    if isinstance(event, MembershipChanged):
        _LOGGER.info(
            "member_changed",
            member=event.member.name,
            data_centre=event.member.data_centre,
            incarnation=event.member.incarnation,
            status=event.member.status,
            previous=event.previous,
        )
    elif isinstance(event, OwnStatusContested):
        _LOGGER.warning(
            "member_contested", verdict=event.verdict, incarnation=event.incarnation
        )
    elif isinstance(event, DataCentreReachabilityChanged):
        _LOGGER.warning(
            "data_centre_silent",
            data_centre=event.data_centre,
            silent=event.unreachable,
        )
    else:
        name = _DECISIONS[type(event)].replace("-", "_")
        _LOGGER.info(name, instance=event.instance_id, source=event.source)
