"""Hold a day's jobs and pools as planners are compared on them; pure."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass, field
from statistics import median
from typing import Final, TypeVar

from .stories import Amount, Day, JobStory

GRID_SECONDS: Final = 0.1

Shape = tuple["StepShape", ...]
Looks = list[tuple[float, int]]
V = TypeVar("V")


@dataclass(frozen=True, slots=True)
class StepShape:
    """Hold what a job's step was submitted with; the room of one task."""

    count: int
    room: Amount
    after: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class Piece:
    """Hold one step of a job as planners see it; times in seconds.

    :param seconds: run times of its tasks on a sound worker.
    """

    room: Amount
    seconds: tuple[float, ...]
    after: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class Work:
    """Hold one job."""

    service: str
    submitted_at: float
    objective: float
    pieces: tuple[Piece, ...]


def parse_shape(text: str) -> Shape:
    """Return the steps of a ``job_submitted`` line, as ``8x9x512;8x2.5x64<0``."""
    steps = []
    for part in filter(None, text.split(";")):
        head, _, after = part.partition("<")
        count, cores, memory = head.split("x")
        earlier = tuple(int(number) for number in after.split(",") if number)
        room = Amount(float(cores), float(memory))
        steps.append(StepShape(int(count), room, earlier))
    return tuple(steps)


@dataclass(slots=True)
class Account:
    """Hold what planners are compared on; times in seconds from the first look.

    :param sizes: instances of each pool, look by look.
    :param lasting: room that lasting tasks took there, look by look.
    :param spread: workers that a step needed there by its limit of tasks for each.
    :param room: of one instance of each pool.
    """

    works: list[Work] = field(default_factory=list)
    sizes: dict[str, Looks] = field(default_factory=dict)
    lasting: dict[str, list[tuple[float, Amount]]] = field(default_factory=dict)
    spread: dict[str, Looks] = field(default_factory=dict)
    room: dict[str, Amount] = field(default_factory=dict)
    moves: int = 0
    actually_in_time: int = 0

    @property
    def cells(self) -> int:
        """Return how many cells the grid has."""
        last = max((looks[-1][0] for looks in self.sizes.values()), default=0.0)
        return cell_of(last) + 1


def account_of(day: Day) -> Account:
    """Return a day's jobs that ended done, and its pools."""
    first = min((looks[0].at for looks in day.pools.values()), default=0.0)
    account = Account(moves=day.moves)
    for service, looks in day.pools.items():
        account.sizes[service] = [(look.at - first, look.workers) for look in looks]
        account.lasting[service] = [(look.at - first, look.lasting) for look in looks]
        account.spread[service] = [(look.at - first, look.spread) for look in looks]
        sizes = [look.capacity * (1 / look.workers) for look in looks if look.workers]
        account.room[service] = sizes[-1] if sizes else Amount(1.0)
    for story in day.jobs.values():
        if story.state != "done" or story.submitted_at is None or not story.shape:
            continue
        at = story.submitted_at - first
        work = Work(story.service, at, story.objective, _pieces(story))
        account.works.append(work)
        account.actually_in_time += not story.late
    account.works.sort(key=lambda work: work.submitted_at)
    return account


def _pieces(story: JobStory) -> tuple[Piece, ...]:
    """Return a job's steps; a run on a slow worker counts like its step's others."""
    done: dict[int, list[float]] = defaultdict(list)
    for run in story.runs.values():
        if run.how == "done":
            done[run.place[1]].append(run.seconds)
    pieces = []
    for number, step in enumerate(parse_shape(story.shape)):
        usual = median(done[number]) if done[number] else 0.0
        seconds = [min(length, usual) for length in done[number]]
        seconds += [usual] * (step.count - len(seconds))
        pieces.append(Piece(step.room, tuple(seconds), step.after))
    return tuple(pieces)


def cell_of(at: float) -> int:
    """Return the cell of the grid that a time lies in."""
    return max(0, int(at / GRID_SECONDS))


def sample(looks: Sequence[tuple[float, V]], cells: int, first: V) -> list[V]:
    """Return the newest look before each cell of the grid."""
    sampled: list[V] = []
    index = 0
    value = first
    for cell in range(cells):
        while index < len(looks) and looks[index][0] <= cell * GRID_SECONDS:
            value = looks[index][1]
            index += 1
        sampled.append(value)
    return sampled
