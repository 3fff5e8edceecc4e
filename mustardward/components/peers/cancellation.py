"""Keep grpclib's cancellations away from the scopes around a call."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager


@contextmanager
def undoing_cancellations() -> Iterator[None]:
    """Take back what grpclib cancelled of this task when it raises instead.

    Enter it inside the scopes that bound the call.
    """
    # When a connection is lost, grpclib wakes the waiting task with ``Task.cancel()``,
    # turns the cancellation into an error of its own, and leaves the task's count of
    # cancellations raised. Every scope around takes that for somebody's wish to end
    # the task: at the request's deadline the scope lets its own cancellation through,
    # and the caller gets the server's bare 500 in place of a refusal that tells what
    # ran.
    task = asyncio.current_task()
    before = task.cancelling() if task is not None else 0
    try:
        yield
    except Exception:
        while task is not None and task.cancelling() > before:
            task.uncancel()
        raise
