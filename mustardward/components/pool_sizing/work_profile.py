"""Describe when work uses which resources over the next seconds; pure."""

from __future__ import annotations

from dataclasses import dataclass, field
from itertools import accumulate
from typing import Protocol

from ...platform.models import Room
from .const import CELL_SECONDS, CELLS, MAX_AMOUNT


class Resources(Protocol):
    """Amount of each resource."""

    @property
    def cpu(self) -> float:
        """Return the processors, in thousandths of a core."""

    @property
    def mem_mb(self) -> float:
        """Return the memory, in MB."""

    @property
    def gpu(self) -> float:
        """Return the accelerators."""


def _no_changes() -> list[float]:
    return [0.0] * (CELLS + 1)


@dataclass(slots=True)
class WorkProfile:
    """Hold the resources that work uses in each cell, if all of it starts in time.

    Stored as changes from cell to cell, so that adding a task costs the same whatever
    its length.
    """

    _cpu: list[float] = field(default_factory=_no_changes)
    _mem_mb: list[float] = field(default_factory=_no_changes)
    _gpu: list[float] = field(default_factory=_no_changes)

    def add(
        self, room: Resources, seconds: float, count: float = 1.0, start: float = 0.0
    ) -> None:
        """Add tasks that run for a time.

        :param room: resources of one task.
        :param start: seconds from now until they can start.
        """
        first = int(start / CELL_SECONDS)
        if first >= CELLS or count <= 0:
            return
        after = min(CELLS, max(first + 1, round((start + seconds) / CELL_SECONDS)))
        if room.cpu:
            amount = min(room.cpu * count, MAX_AMOUNT)
            self._cpu[first] += amount
            self._cpu[after] -= amount
        if room.mem_mb:
            amount = min(room.mem_mb * count, MAX_AMOUNT)
            self._mem_mb[first] += amount
            self._mem_mb[after] -= amount
        if room.gpu:
            amount = min(room.gpu * count, MAX_AMOUNT)
            self._gpu[first] += amount
            self._gpu[after] -= amount

    def in_instances(self, size: Room) -> list[float]:
        """Return how many instances of a size each cell uses, by scarcest resource."""
        columns = [[value / max(1, size.cpu) for value in accumulate(self._cpu)]]
        columns.append(
            [value / max(1, size.mem_mb) for value in accumulate(self._mem_mb)]
        )
        if size.gpu:
            columns.append([value / size.gpu for value in accumulate(self._gpu)])
        return [max(0.0, *cell) for cell in zip(*columns, strict=True)][:CELLS]
