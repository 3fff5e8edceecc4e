"""Revert the cancellations that grpclib leaves pending on a task.

When a connection is lost, grpclib cancels the task that waits on a stream and replaces
the cancellation by an error of its own, but the task's cancellation count stays raised.
An anyio scope that reaches its deadline later in the same task then takes its own
cancellation for an external one and propagates it: the request ends without a response,
as an empty 500 that is not logged.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager


@contextmanager
def uncancel_on_error() -> Iterator[None]:
    """Restore the task's cancellation count if an error is raised.

    A raised ``CancelledError`` comes from outside and stays in effect.
    """
    task = asyncio.current_task()
    before = task.cancelling() if task is not None else 0
    try:
        yield
    except Exception:
        while task is not None and task.cancelling() > before:
            task.uncancel()
        raise
