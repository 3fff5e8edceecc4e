"""Notice entries that folded the same entries to another state."""

from __future__ import annotations

from collections.abc import Iterable

from ...helpers.logging import get_logger
from ...state.protocols import FleetLog
from ..membership.models import Member

_LOGGER = get_logger(__name__)


class DivergenceWatch:
    """Compare the digest that each peer tells of itself with one's own.

    Two builds that fold a record differently differ for good from its offset on, and
    nothing else would show it while both read the log.

    :param log: this entry's folded log.
    """

    def __init__(self, log: FleetLog) -> None:
        self._log = log
        self._reported: set[tuple[str, int]] = set()

    def check(self, members: Iterable[Member]) -> list[Member]:
        """Return the members that newly differ at this entry's own offset."""
        found = [member for member in members if self._differs(member)]
        for member in found:
            self._reported.add((member.name, member.incarnation))
            _LOGGER.error(
                "peer_diverged",
                stream="fleet",
                entry=member.name,
                data_centre=member.data_centre,
                offset=member.fleet_offset,
            )
        return found

    def _differs(self, member: Member) -> bool:
        if (member.name, member.incarnation) in self._reported:
            return False
        if not member.fleet_digest or member.fleet_offset != self._log.next_offset:
            return False
        return not self._log.digest.startswith(member.fleet_digest)
