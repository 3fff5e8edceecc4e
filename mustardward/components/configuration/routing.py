"""Route requests to queues; pure."""

from __future__ import annotations

from dataclasses import dataclass, field

from ...platform.models import OperatorConfig, Queue


@dataclass(frozen=True, slots=True)
class RouteTable:
    """Map each host to its queues, ordered from the longest path prefix."""

    by_host: dict[str, tuple[Queue, ...]] = field(default_factory=dict)

    def find(self, host: str, path: str) -> Queue | None:
        """Return the queue with the longest prefix that matches the path."""
        for queue in self.by_host.get(host, ()):
            if path.startswith(queue.path_prefix):
                return queue
        return None


def build_route_table(config: OperatorConfig) -> RouteTable:
    """Return the route table of a configuration version."""
    by_host: dict[str, list[Queue]] = {}
    for queue in config.routes:
        by_host.setdefault(queue.host.lower(), []).append(queue)
    return RouteTable(
        {
            host: tuple(sorted(queues, key=lambda queue: -len(queue.path_prefix)))
            for host, queues in by_host.items()
        }
    )


def queue_key(queue: Queue) -> str:
    """Return the key of a queue, which is the same in all configuration versions."""
    return f"{queue.host.lower()} {queue.path_prefix}"
