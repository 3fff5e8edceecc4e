"""Tell from entries' lines when the store was away for the system; pure.

One entry that loses the store alone costs its callers a moment: its peers answer for
it. Taken for an outage, it made the store the cause of jobs that had waited for room.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from typing import Final

Span = tuple[float, float]

MOST_SHARE: Final = 0.5
"""Share of the entries without the store from which on it is away for the system."""


@dataclass(slots=True)
class Outages:
    """Hold who has lost the store, and the spans in which it was away.

    It is away while it is for most entries, or for the one that owns the shard: no job
    starts or ends in the log meanwhile.

    :param spans: in seconds, those that are over.
    """

    spans: list[Span] = field(default_factory=list)
    _entries: set[str] = field(default_factory=set)
    _lost: dict[str, set[str]] = field(default_factory=lambda: defaultdict(set))
    _owner: str = ""
    _since: float | None = None

    def entry_started(self, node: str, at: float) -> None:
        """Take in that an entry's process began; it has lost nothing yet."""
        self._entries.add(node)
        self._lost.pop(node, None)
        self._look(at)

    def owner_started(self, node: str, at: float) -> None:
        """Take in which entry owns the shard from now on.

        The owner before stops reading what only owners read, and never says that it
        has it again.
        """
        if self._owner not in ("", node):
            self._lost.pop(self._owner, None)
        self._owner = node
        self._look(at)

    def lost(self, node: str, topic: str, at: float) -> None:
        """Take in that an entry can't read a topic any more."""
        self._entries.add(node)
        self._lost[node].add(topic)
        self._look(at)

    def regained(self, node: str, topic: str, at: float) -> None:
        """Take in that an entry reads a topic again."""
        self._lost[node].discard(topic)
        self._look(at)

    def _look(self, at: float) -> None:
        without = {node for node, topics in self._lost.items() if topics}
        most = len(without) >= MOST_SHARE * len(self._entries) and bool(without)
        away = most or self._owner in without
        if away and self._since is None:
            self._since = at
        elif not away and self._since is not None:
            self.spans.append((self._since, at))
            self._since = None
