"""Log and publish membership events, and track whether any is urgent for peers."""

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
_DECISION_NAMES: Final = {
    InstanceLeaving: "instance-leaving",
    InstanceReturned: "instance-returned",
    InstanceBackoffStarted: "instance-held-back",
}
_URGENT_STATUSES: Final = (
    MemberStatus.SUSPECT,
    MemberStatus.LEAVING,
    MemberStatus.GONE,
)


class Reporter:
    """Log and publish events; track whether peers need them at once.

    :param offset: returns the last applied offset of the fleet log.
    """

    def __init__(self, bus: EventBus, offset: Callable[[], int]) -> None:
        self._bus = bus
        self._offset = offset
        self._urgent = False

    def consume_urgent(self) -> bool:
        """Return whether an urgent event occurred since the last call."""
        urgent, self._urgent = self._urgent, False
        return urgent

    def report(self, events: Iterable[Event], propagate: bool) -> None:
        """Log and publish events.

        :param propagate: whether local peers may not know the events yet. If every
            receiver propagated them at once, one leaving instance would cost a data
            centre of twelve entry nodes 132 calls.
        """
        for event in events:
            _log(event)
            self._bus.publish(event)
            self._explain(event, propagate)
            if _is_urgent(event, propagate):
                self._urgent = True

    def _explain(self, event: Event, propagate: bool) -> None:
        # Only the entry node with the evidence publishes the explanation.
        inputs: tuple[str, ...] = ()
        if isinstance(event, InstanceBackoffStarted):
            inputs = (f"failures={event.failures}", f"seconds={event.seconds:g}")
        elif not (propagate and isinstance(event, InstanceLeaving | InstanceReturned)):
            return
        self._bus.publish(
            DecisionMade(
                SubjectKind.INSTANCE,
                event.instance_id,
                _DECISION_NAMES[type(event)],
                event.source,
                inputs,
                self._offset(),
            )
        )


def _is_urgent(event: Event, propagate: bool) -> bool:
    # No other process can propagate the reaction to a suspicion of this process.
    if isinstance(event, OwnStatusContested):
        return True
    if isinstance(event, MembershipChanged):
        return propagate and event.member.status in _URGENT_STATUSES
    return propagate and isinstance(event, InstanceLeaving)


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
            "own_status_contested", reason=event.reason, incarnation=event.incarnation
        )
    elif isinstance(event, DataCentreReachabilityChanged):
        _LOGGER.warning(
            "data_centre_silent",
            data_centre=event.data_centre,
            silent=event.unreachable,
        )
    else:
        name = _DECISION_NAMES[type(event)].replace("-", "_")
        _LOGGER.info(name, instance=event.instance_id, source=event.source)
