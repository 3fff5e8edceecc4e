"""Define the interface of membership for other components."""

from __future__ import annotations

from typing import Protocol

from .models import Member


class Membership(Protocol):
    """Track live entry nodes and the availability of worker instances."""

    @property
    def own(self) -> Member:
        """Return this process as a member."""
        ...

    def members(self, data_centre: str | None = None) -> tuple[Member, ...]:
        """Return all known members that are not gone, this process included."""
        ...

    def live(self, data_centre: str | None = None) -> tuple[Member, ...]:
        """Return the live members of reachable data centres, this process included."""
        ...

    def owns_duty(self, duty: str, holders: int = 1) -> bool:
        """Return whether a duty is assigned to this process.

        The assignment only divides work and is no lock: it must do no harm if more
        processes than ``holders`` hold the duty at once.
        """
        ...

    def is_instance_eligible(self, instance_id: str) -> bool:
        """Return whether a worker may get work.

        Excludes instances that are leaving, in backoff, claimed, moving or absent.
        """
        ...

    def suspended_instances(self) -> frozenset[str]:
        """Return the instances that are leaving or in backoff.

        They are few at any time, so that the cost doesn't grow with the fleet.
        """
        ...

    def report_instance(
        self,
        instance_id: str,
        healthy: bool,
        cause: str,
        sent_at: float | None = None,
    ) -> None:
        """Record the outcome of an attempt or a probe.

        :param cause: the worker's refusal or the failure; ``draining`` means leaving.
        :param sent_at: when the attempt was sent, in monotonic seconds. A success marks
            a leaving instance as returned only if it was sent after the last evidence
            of its leaving.
        """
        ...

    def is_unreachable(self, data_centre: str) -> bool:
        """Return whether no member of a data centre has been reachable for a while."""
        ...

    def is_gone(self, name: str, start: int) -> bool:
        """Return whether an incarnation of an entry node is known to have ended.

        An unresponsive entry node is not gone: it may be paused and still hold work.

        :param start: the incarnation.
        """
        ...

    async def async_announce_leaving(self) -> None:
        """Announce to all peers without delay that this process is leaving."""
        ...
