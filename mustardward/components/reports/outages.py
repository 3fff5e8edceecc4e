"""Determine from the log lines of entries when the store was unavailable; pure.

A store connection lost by a single entry is not an outage: its peers serve its callers
after a short delay. Counting it as one would attribute the delay of jobs that waited
for capacity to the store.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from typing import Final

Span = tuple[float, float]

OUTAGE_ENTRY_SHARE: Final = 0.5
"""Minimum share of entries without the store that makes an outage of the system."""


@dataclass(slots=True)
class OutageTracker:
    """Track which entries have lost the store, and the spans of outages.

    An outage lasts while half of the entries, or the entry that owns the shard, have
    lost the store: no start or end of a job can be logged in the meantime.

    :param spans: start and end of past outages, in seconds.
    """

    spans: list[Span] = field(default_factory=list)
    _entries: set[str] = field(default_factory=set)
    _lost: dict[str, set[str]] = field(default_factory=lambda: defaultdict(set))
    _owner: str = ""
    _since: float | None = None

    def record_entry_start(self, node: str, at: float) -> None:
        """Record that an entry started, without lost topics."""
        self._entries.add(node)
        self._lost.pop(node, None)
        self._update(at)

    def record_owner_start(self, node: str, at: float) -> None:
        """Record the new owner of the shard.

        The previous owner stops reading topics that only owners read, and never logs
        that it has regained them.
        """
        if self._owner not in ("", node):
            self._lost.pop(self._owner, None)
        self._owner = node
        self._update(at)

    def record_topic_lost(self, node: str, topic: str, at: float) -> None:
        """Record that an entry can no longer read a topic."""
        self._entries.add(node)
        self._lost[node].add(topic)
        self._update(at)

    def record_topic_regained(self, node: str, topic: str, at: float) -> None:
        """Record that an entry can read a topic again."""
        self._lost[node].discard(topic)
        self._update(at)

    def _update(self, at: float) -> None:
        lost = {node for node, topics in self._lost.items() if topics}
        widespread = len(lost) >= OUTAGE_ENTRY_SHARE * len(self._entries) and bool(lost)
        unavailable = widespread or self._owner in lost
        if unavailable and self._since is None:
            self._since = at
        elif not unavailable and self._since is not None:
            self.spans.append((self._since, at))
            self._since = None
