"""Encode a job's progress within the size of a record that the store accepts; pure.

The store refuses a larger record for good, and with it all records of the same append,
so that repeating it stops the work of all jobs. What is left out of a record matters
only if the job gets another owner.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

import msgspec

from .ledger import encode
from .models import Progress, TaskProgress

_Name = tuple[int, int, int]

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
    room = max_bytes - base
    failed = [task for task in progress.tasks if _failures(task)]
    kept: dict[_Name, TaskProgress] = {}
    for task in sorted(failed, key=_failures, reverse=True):
        bare = msgspec.structs.replace(task, checkpoint="")
        if _size(bare) > room:
            break
        room -= _size(bare)
        kept[_name(task)] = bare
    dropped_failures = len(failed) - len(kept)
    candidates = [
        task
        for task in progress.tasks
        if task.checkpoint and (_name(task) in kept or not _failures(task))
    ]
    stored = 0
    for task in candidates:
        bare_size = _size(kept[_name(task)]) if _name(task) in kept else 0
        room -= _size(task) - bare_size
        if room < 0:
            break
        kept[_name(task)] = task
        stored += 1
    dropped_checkpoints = sum(bool(task.checkpoint) for task in progress.tasks) - stored
    fitting = msgspec.structs.replace(progress, tasks=list(kept.values()))
    return EncodedProgress(encode(fitting), dropped_checkpoints, dropped_failures)


def _size(task: TaskProgress) -> int:
    return len(msgspec.msgpack.encode(task))


def _failures(task: TaskProgress) -> int:
    return len(task.failed_runs) + len(task.crashes)


def _name(task: TaskProgress) -> _Name:
    return task.occurrence, task.step, task.index
