"""Define what other components ask of membership."""

from __future__ import annotations

from typing import Protocol

from .models import Member


class Membership(Protocol):
    """Know the live entries and the instances that are leaving."""

    @property
    def own(self) -> Member:
        """Return this process as a member."""
        ...

    def members(self, data_centre: str | None = None) -> tuple[Member, ...]:
        """Return all members known, this process included."""
        ...

    def live(self, data_centre: str | None = None) -> tuple[Member, ...]:
        """Return the members that are alive, this process included."""
        ...

    def owns_duty(self, duty: str, holders: int = 1) -> bool:
        """Tell whether this process is among the holders of a duty now.

        A division of labour only: two holders at once must do no harm.
        """
        ...

    def instance_may_get_work(self, instance_id: str) -> bool:
        """Tell whether a worker is neither leaving, suspect nor known as down."""
        ...

    def instances_held_back(self) -> frozenset[str]:
        """Return the instances that evidence speaks against, folded or not.

        Few at any time, so that looking for them costs nothing as the fleet grows.
        """
        ...

    def report_instance(
        self,
        instance_id: str,
        healthy: bool,
        cause: str,
        began: float | None = None,
    ) -> None:
        """Take the evidence of an attempt or a probe into account.

        :param cause: the worker's refusal or the failure; ``draining`` means leaving.
        :param began: when the attempt was sent, in monotonic seconds. A success clears
            a leaving instance only if it was sent after the last sign of leaving.
        """
        ...

    def is_silent(self, data_centre: str) -> bool:
        """Tell whether a data centre has given no sign for a while."""
        ...

    def is_gone(self, name: str, start: int) -> bool:
        """Tell whether a start of an entry is proven to have ended.

        An entry that is only silent is not gone: it may be paused with work in hand.
        """
        ...

    async def async_announce_leaving(self) -> None:
        """Tell all peers at once that this process is leaving."""
        ...
