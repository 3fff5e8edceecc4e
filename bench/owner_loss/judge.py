"""Judge the rule TWICE by what the workers saw."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from typing import Any

from rig import Minion, Record, Run


@dataclass(eq=False)
class End:
    """One run that ended ``done``."""

    worker: str
    lapsed: bool = False
    noted: bool = False


@dataclass(eq=False)
class Judge:
    """Collect starts and ends; tell which starts broke the rule.

    :param minions: the workers that are up, by id.
    """

    record: Record
    minions: dict[str, Minion]
    starts: dict[str, list[str]] = field(default_factory=lambda: defaultdict(list))
    broken: int = 0
    _ends: dict[tuple[str, int, int], End] = field(default_factory=dict)
    _done: dict[str, list[End]] = field(default_factory=lambda: defaultdict(list))
    _repeats: list[tuple[End, dict[str, Any]]] = field(default_factory=list)

    def add_start(self, minion: Minion, run: Run, **sender: Any) -> None:
        """Add a start that a worker is about to carry out."""
        start = {"task": run.task, "run": run.number, "id": minion.id} | sender
        for other in self.minions.values():
            if run.task in other.runs:
                self.broken += 1
                self.record.write("TWICE", how="at-once", other=other.id, **start)
        for end in self._done[run.task]:
            self._repeats.append((end, start))
            self.record.write("start-after-done", **start, **vars(end))
        self.starts[run.task].append(minion.zone)

    def add_end(self, minion: Minion, row: list[Any]) -> None:
        """Add the end of a run."""
        if row[3] == "done":
            end = self._ends[minion.id, minion.born, row[0]] = End(minion.id)
            self._done[row[1]].append(end)

    def add_note(self, minion: Minion, row: list[Any]) -> None:
        """Add that an end was acknowledged."""
        if row[3] == "done":
            self._ends[minion.id, minion.born, row[0]].noted = True

    def mark_lapsed(self, minion: Minion) -> None:
        """Mark the ends that are not acknowledged if a worker's lease has lapsed."""
        if minion.clock_ms <= minion.lease_ms:
            return
        for row in minion.ended:
            end = self._ends.get((minion.id, minion.born, row[0]))
            if end is not None and not end.lapsed:
                end.lapsed = True
                self.record.write("lapsed", id=minion.id, task=row[1], run=row[2])

    def finish(self) -> dict[str, int]:
        """Judge starts after an end; return how many there were of each kind."""
        counts = {"at_once": self.broken, "after_done": 0, "after_void": 0}
        for end, start in self._repeats:
            counts["after_done" if end.noted and not end.lapsed else "after_void"] += 1
            if end.noted and not end.lapsed:
                self.record.write("TWICE", how="after-done", other=end.worker, **start)
        self.broken += counts["after_done"]
        return counts
