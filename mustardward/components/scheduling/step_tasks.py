"""Hold a step's tasks; those that never started take no memory of their own."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable, Iterator, Sequence
from itertools import chain
from typing import TYPE_CHECKING, overload

if TYPE_CHECKING:
    from .models import StepRun, Task


class StepTasks(Sequence["Task"]):
    """Hold the tasks of a step by index, and create each when it is first needed.

    Tasks that are done are not kept.
    """

    __slots__ = ("_count", "_known", "_step")

    def __init__(self, step: StepRun) -> None:
        self._count = step.spec.count
        self._step = step
        self._known: dict[int, Task] = {}

    def __len__(self) -> int:
        """Return the number of tasks, created or not."""
        return self._count

    @overload
    def __getitem__(self, index: int) -> Task: ...

    @overload
    def __getitem__(self, index: slice) -> list[Task]: ...

    def __getitem__(self, index: int | slice) -> Task | list[Task]:
        """Return the task of an index, or those of a slice."""
        if isinstance(index, slice):
            return [self[number] for number in range(*index.indices(self._count))]
        if not -self._count <= index < self._count:
            raise IndexError(index)
        number = index % self._count
        task = self._known.get(number)
        if task is None:
            task = self._step.make_task(number)
            if not self._step.is_done(number):
                self._known[number] = task
        return task

    def __iter__(self) -> Iterator[Task]:
        """Yield all tasks."""
        return (self[number] for number in range(self._count))

    def known(self) -> list[Task]:
        """Return the tasks that were created and are not done."""
        return list(self._known.values())

    def forget(self, index: int) -> None:
        """Drop a task that is done."""
        self._known.pop(index, None)


class WaitingTasks:
    """Queue the waiting tasks of a step.

    Tasks that were never taken from the queue are held as ranges of indices, behind
    those that were looked at and before those that were returned.
    """

    __slots__ = ("_back", "_front", "_new", "_new_count", "_tasks")

    def __init__(self, tasks: StepTasks) -> None:
        self._tasks = tasks
        # A job may have thousands of steps, and an empty deque takes 0.6 kB.
        self._front: Task | None = None
        self._back: deque[Task] | None = None
        self._new = [range(len(tasks))]
        self._new_count = len(tasks)

    def set_new(self, ranges: Iterable[range]) -> None:
        """Replace all tasks of the queue by those of some ranges of indices."""
        self._front = self._back = None
        self._new = [indices for indices in ranges if indices]
        self._new_count = sum(map(len, self._new))

    def __len__(self) -> int:
        """Return the number of waiting tasks."""
        back = len(self._back) if self._back is not None else 0
        return (self._front is not None) + self._new_count + back

    def __iter__(self) -> Iterator[Task]:
        """Yield all waiting tasks, which creates them."""
        if self._front is not None:
            yield self._front
        for index in chain.from_iterable(self._new):
            yield self._tasks[index]
        yield from self._back or ()

    def __contains__(self, task: Task) -> bool:
        """Return whether a task of the step waits."""
        return (
            self._is_new(task.index)
            or task is self._front
            or (self._back is not None and task in self._back)
        )

    def first(self) -> Task:
        """Return the task that is next, and leave it in the queue."""
        if self._front is None:
            self._front = self._take_first()
        return self._front

    def popleft(self) -> Task:
        """Remove and return the task that is next."""
        task = self.first()
        self._front = None
        return task

    def append(self, task: Task) -> None:
        """Add a task at the end."""
        self.extend((task,))

    def extend(self, tasks: Iterable[Task]) -> None:
        """Add tasks at the end."""
        if self._back is None:
            self._back = deque(tasks)
        else:
            self._back.extend(tasks)

    def remove(self, task: Task) -> None:
        """Remove a task.

        :raises ValueError: if it does not wait.
        """
        if self._is_new(task.index):
            self._remove_new(task.index)
        elif task is self._front:
            self._front = None
        elif self._back is not None:
            self._back.remove(task)
        else:
            raise ValueError(task.index)

    def clear(self) -> None:
        """Remove all tasks."""
        self.set_new([])

    def known(self) -> list[Task]:
        """Return the waiting tasks that were created; only these have any state."""
        front = () if self._front is None else (self._front,)
        new = [task for task in self._tasks.known() if self._is_new(task.index)]
        new.sort(key=lambda task: task.index)
        return [*front, *new, *(self._back or ())]

    def take(self, is_taken: Callable[[Task], bool]) -> list[Task]:
        """Remove and return the tasks with some state."""
        taken = [task for task in self.known() if is_taken(task)]
        if not taken:
            return []
        indices = {task.index for task in taken}
        for index in indices:
            if self._is_new(index):
                self._remove_new(index)
        if self._front is not None and self._front.index in indices:
            self._front = None
        self._back = deque(t for t in self._back or () if t.index not in indices)
        return taken

    def _take_first(self) -> Task:
        if self._new:
            index = self._new[0][0]
            self._remove_new(index)
            return self._tasks[index]
        if self._back:
            return self._back.popleft()
        raise IndexError("no task waits")

    def _is_new(self, index: int) -> bool:
        return any(index in indices for indices in self._new)

    def _remove_new(self, index: int) -> None:
        for number, indices in enumerate(self._new):
            if index in indices:
                parts = (range(indices[0], index), range(index + 1, indices[-1] + 1))
                self._new[number : number + 1] = [part for part in parts if part]
                self._new_count -= 1
                return
