"""Select the peers to ask; pure."""

from __future__ import annotations

from dataclasses import dataclass, field

from .const import PEER_BACKOFF_SECONDS


@dataclass(slots=True, eq=False)
class PeerSelector:
    """Rank the other entry nodes, leaving out those that recently failed.

    :param node: name of this entry node.
    :param zone: data centre of this entry node.
    :param backoff_seconds: time for which a peer that did not answer, or that could not
        reach the log, is left out.
    """

    node: str
    zone: str
    backoff_seconds: float = PEER_BACKOFF_SECONDS
    _backoff_until: dict[str, float] = field(default_factory=dict)
    _rotation: int = 0

    def ranked_peers(
        self, nodes: dict[str, tuple[str, str]], now: float
    ) -> list[tuple[str, str]]:
        """Return names and addresses of peers, best first.

        Peers of other data centres come first: a partition that affects this node
        usually affects its neighbours too.

        :param nodes: address and data centre of each entry node.
        """
        self._rotation += 1
        names = sorted(name for name in nodes if name != self.node)
        if not names:
            return []
        start = self._rotation % len(names)
        names = names[start:] + names[:start]
        names = [name for name in names if not self.is_backed_off(name, now)]
        names.sort(key=lambda name: nodes[name][1] == self.zone)
        return [(name, nodes[name][0]) for name in names]

    def is_backed_off(self, name: str, now: float) -> bool:
        """Return whether a peer is left out."""
        return self._backoff_until.get(name, 0.0) > now

    def back_off(self, name: str, now: float) -> None:
        """Leave a peer out for the backoff time."""
        self._backoff_until[name] = now + self.backoff_seconds
