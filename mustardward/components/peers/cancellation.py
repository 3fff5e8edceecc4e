"""Take back the cancellations by which grpclib wakes a task.

grpclib cancels a task that waits on a stream when the connection is lost, and raises
its own error in place of the cancellation; but the task goes on counting it. A scope of
anyio that passes its deadline later in the same task takes its own cancellation for one
from outside and lets it through: a request would end without an answer, and show as an
empty 500 without a line in the log.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager


@contextmanager
def settled_cancellations() -> Iterator[None]:
    """Leave the task's count of cancellations as it was, if an error comes out.

    A cancellation that comes out as such is somebody else's, and stays.
    """
    task = asyncio.current_task()
    before = task.cancelling() if task is not None else 0
    try:
        yield
    except Exception:
        while task is not None and task.cancelling() > before:
            task.uncancel()
        raise
