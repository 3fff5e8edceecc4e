"""Choose which peer to ask; pure."""

from __future__ import annotations

from dataclasses import dataclass, field

from .const import PEER_BACKOFF_SECONDS


@dataclass(slots=True, eq=False)
class PeerSelector:
    """Know the other entries and which of them did not answer lately.

    :param node: this entry's name.
    :param shun_seconds: time in which a peer that did not answer, or was cut off
        itself, is not asked.
    """

    node: str
    zone: str
    backoff_seconds: float = PEER_BACKOFF_SECONDS
    _backoff_until: dict[str, float] = field(default_factory=dict)
    _turn: int = 0

    def ranked_peers(
        self, nodes: dict[str, tuple[str, str]], now: float
    ) -> list[tuple[str, str]]:
        """Return names and addresses in the order to ask.

        :param nodes: address and data centre of each entry.

        Peers of other data centres come first: what cuts an entry off mostly cuts
        its neighbours off too.
        """
        self._turn += 1
        names = sorted(name for name in nodes if name != self.node)
        if not names:
            return []
        start = self._turn % len(names)
        names = names[start:] + names[:start]
        names = [n for n in names if self._backoff_until.get(n, 0.0) <= now]
        names.sort(key=lambda name: nodes[name][1] == self.zone)
        return [(name, nodes[name][0]) for name in names]

    def back_off(self, name: str, now: float) -> None:
        """Leave a peer out for a while."""
        self._backoff_until[name] = now + self.backoff_seconds
