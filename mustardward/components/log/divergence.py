"""Detect entries whose state differs after the same log records."""

from __future__ import annotations

from collections.abc import Iterable

from ...helpers.logging import get_logger
from ...state.protocols import FleetLog
from ..membership.models import Member

_LOGGER = get_logger(__name__)


class DivergenceDetector:
    """Compare the state digests that peers report with that of this entry.

    If two builds apply a record differently, their states differ permanently from its
    offset on, and nothing else reveals that while both follow the log.

    :param log: this entry's fleet log.
    """

    def __init__(self, log: FleetLog) -> None:
        self._log = log
        self._reported: set[tuple[str, int]] = set()

    def check(self, members: Iterable[Member]) -> list[Member]:
        """Return members newly found to differ at the same offset as this entry."""
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
