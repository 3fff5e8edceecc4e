"""Encode a job's progress within the size of a record that the store accepts; pure.

The store refuses a larger record for good, and with it all records of the same append,
so that repeating it stops the work of all jobs. What is left out of a record matters
only if the job gets another owner.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

import msgspec

from .ledger import encode
from .models import Progress, TaskProgress

TASK_MARGIN_BYTES: Final = 5
"""Bytes of a list's header, whatever its length."""


@dataclass(frozen=True, slots=True)
class EncodedProgress:
    """Hold a progress record that fits, or an empty one if none does.

    :param dropped_checkpoints: number of tasks whose checkpoint is left out.
    :param dropped_failures: number of tasks whose failed runs and crashes are left out.
    """

    value: bytes
    dropped_checkpoints: int = 0
    dropped_failures: int = 0

    @property
    def is_complete(self) -> bool:
        """Return whether nothing is left out."""
        return bool(self.value) and not (
            self.dropped_checkpoints or self.dropped_failures
        )


def encode_within(progress: Progress, max_bytes: int) -> EncodedProgress:
    """Encode progress, leaving out what does not fit.

    Checkpoints go first, since a task without one only repeats work. Failed runs limit
    the attempts of a task; those of the tasks with the most of them are kept.
    """
    value = encode(progress)
    if len(value) <= max_bytes:
        return EncodedProgress(value)
    base = len(encode(msgspec.structs.replace(progress, tasks=[]))) + TASK_MARGIN_BYTES
    if base > max_bytes:
        return EncodedProgress(b"")
    failed = [task for task in progress.tasks if _failures(task)]
    failed.sort(key=_failures, reverse=True)
    bare = [msgspec.structs.replace(task, checkpoint="") for task in failed]
    kept = _take_fitting(bare, max_bytes - base)
    room = max_bytes - base - sum(_size(task) for task in kept)
    kept_names = {_name(task) for task in kept}
    tasks = {_name(task): task for task in kept}
    checkpoints = 0
    for task in progress.tasks:
        if not task.checkpoint or (_failures(task) and _name(task) not in kept_names):
            continue
        room -= _size(task) - (_size(tasks[_name(task)]) if _name(task) in tasks else 0)
        if room < 0:
            break
        tasks[_name(task)] = task
        checkpoints += 1
    total = sum(bool(task.checkpoint) for task in progress.tasks)
    fitting = msgspec.structs.replace(progress, tasks=list(tasks.values()))
    return EncodedProgress(
        encode(fitting), total - checkpoints, len(failed) - len(kept)
    )


def _take_fitting(tasks: Iterable[TaskProgress], room: int) -> list[TaskProgress]:
    """Return the first tasks that fit into a number of bytes."""
    kept = []
    for task in tasks:
        room -= _size(task)
        if room < 0:
            break
        kept.append(task)
    return kept


def _size(task: TaskProgress) -> int:
    return len(msgspec.msgpack.encode(task))


def _failures(task: TaskProgress) -> int:
    return len(task.failed_runs) + len(task.crashes)


def _name(task: TaskProgress) -> tuple[int, int, int]:
    return task.occurrence, task.step, task.index
