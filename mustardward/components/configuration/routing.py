"""Find the queue of a request; pure."""

from __future__ import annotations

from dataclasses import dataclass, field

from ...platform.models import OperatorConfig, Queue


@dataclass(frozen=True, slots=True)
class RouteTable:
    """Hold the queues of one version, by host, the longest prefix first."""

    by_host: dict[str, tuple[Queue, ...]] = field(default_factory=dict)

    def find(self, host: str, path: str) -> Queue | None:
        """Return the queue whose prefix is the longest that the path begins with."""
        for queue in self.by_host.get(host, ()):
            if path.startswith(queue.path_prefix):
                return queue
        return None


def build_table(config: OperatorConfig) -> RouteTable:
    """Return the table of a version."""
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
    """Return what names a queue over all versions of the configuration."""
    return f"{queue.host.lower()} {queue.path_prefix}"
