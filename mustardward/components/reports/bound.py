"""Compare a day's instances and jobs in time with other planners and a bound; pure.

The bound knows all arrivals and run times beforehand: every task begins as its turn
comes, and an instance stands only while it is needed, or while to send it off and fetch
it again would cost more. No planner that has to wait for arrivals gets there.
"""

from __future__ import annotations

import heapq
import math
from collections import defaultdict, deque
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from statistics import median
from typing import Final, TypeVar

from .day import Amount, Day, JobStory

GRID_SECONDS: Final = 0.1
BRIDGE_SECONDS: Final = 2.3
"""Gap in which an instance is kept rather than sent off: a way off and on again costs
about as much."""

COMING_SECONDS: Final = 1.9
"""From an order until an instance takes its first task."""

THRESHOLD: Final = 0.85
IDLE_SECONDS: Final = 2.5

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


@dataclass(slots=True)
class Planned:
    """Hold what a planner came to: instances on the grid, by pool.

    :param in_time: jobs done within their objective.
    """

    name: str
    jobs: int = 0
    in_time: int = 0
    moves: int = 0
    instances: dict[str, list[int]] = field(default_factory=dict)

    @property
    def instance_seconds(self) -> float:
        """Return the sum over the pools."""
        return GRID_SECONDS * sum(sum(counts) for counts in self.instances.values())

    @property
    def share_in_time(self) -> float:
        """Return the share of jobs done within their objective."""
        return self.in_time / self.jobs if self.jobs else 0.0


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
        return _cell(last) + 1


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


def compare(day: Day) -> list[Planned]:
    """Return what the entries, the bound and two simple planners come to."""
    account = account_of(day)
    planners = (actual, bound, by_threshold, all_on)
    return [planner(account) for planner in planners]


def actual(account: Account) -> Planned:
    """Return what the entries came to, by their own lines."""
    planned = Planned("as it was", len(account.works), account.actually_in_time)
    planned.moves = account.moves
    for service, looks in account.sizes.items():
        counts = _sample(looks, account.cells, 0)
        planned.instances[service] = [int(count) for count in counts]
    return planned


def bound(account: Account) -> Planned:
    """Return what a planner that knows all beforehand needs for all jobs in time."""
    count = len(account.works)
    planned = Planned("known beforehand", count, count)
    demand = {
        service: _sample(looks, account.cells, Amount())
        for service, looks in account.lasting.items()
    }
    for work in account.works:
        taken = demand.get(work.service, [])
        for begin, end, room in _spans(work):
            over = max(_cell(begin) + 1, _cell(end))
            for cell in range(_cell(begin), min(len(taken), over)):
                taken[cell] += room
    for service, taken in demand.items():
        size = account.room[service]
        least = _sample(account.spread[service], account.cells, 0)
        needs = [
            max(math.ceil(amount.share_of(size)), int(spread))
            for amount, spread in zip(taken, least, strict=True)
        ]
        planned.instances[service], moves = keep_over_gaps(needs)
        planned.moves += moves
    return planned


def _spans(work: Work) -> Iterable[tuple[float, float, Amount]]:
    """Yield begin, end and room of each task that begins as its turn comes."""
    ends: list[float] = []
    for piece in work.pieces:
        begin = max((ends[n] for n in piece.after if n < len(ends)), default=0.0)
        begin = max(begin, work.submitted_at)
        for seconds in piece.seconds:
            yield begin, begin + seconds, piece.room
        ends.append(begin + max(piece.seconds, default=0.0))


def keep_over_gaps(needs: Sequence[int]) -> tuple[list[int], int]:
    """Return needs with short gaps filled, and the moves that are left.

    Each instance is looked at by itself: the k-th one is needed while k or more are.
    """
    gap = round(BRIDGE_SECONDS / GRID_SECONDS)
    kept = [0] * len(needs)
    moves = 0
    for level in range(1, max(needs, default=0) + 1):
        last: int | None = None
        for cell, need in enumerate(needs):
            if need < level:
                continue
            if last is None or cell - last > gap:
                moves += 2
                kept[cell] += 1
            else:
                for between in range(last + 1, cell + 1):
                    kept[between] += 1
            last = cell
    return kept, moves


def all_on(account: Account) -> Planned:
    """Return what keeping the most that a pool ever had on all day comes to."""
    most = {name: max(n for _, n in looks) for name, looks in account.sizes.items()}
    return _simulate("all kept on", account, most, adapts=False)


def by_threshold(account: Account) -> Planned:
    """Return what adding at a threshold and sending off when idle comes to."""
    first = dict.fromkeys(account.sizes, 2)
    return _simulate("by threshold", account, first, adapts=True)


def _simulate(
    name: str, account: Account, sizes: Mapping[str, int], adapts: bool
) -> Planned:
    planned = Planned(name, len(account.works))
    for service, size in sizes.items():
        own = [work for work in account.works if work.service == service]
        lasting = _sample(account.lasting[service], account.cells, Amount())
        pool = _Pool(own, account.room[service], size, adapts)
        planned.instances[service] = [
            pool.step(cell * GRID_SECONDS, lasting[cell])
            for cell in range(account.cells)
        ]
        planned.in_time += pool.in_time
        planned.moves += pool.moves
    return planned


@dataclass(slots=True)
class _Begun:
    """Hold how far a job is: the tasks left of each step, and which steps are open."""

    left: list[int]
    open: set[int] = field(default_factory=set)

    def opens(self, pieces: Sequence[Piece]) -> list[int]:
        """Return the steps whose turn has just come, and note them as open."""
        ready = [
            number
            for number, piece in enumerate(pieces)
            if number not in self.open and not any(self.left[n] for n in piece.after)
        ]
        self.open.update(ready)
        return ready


@dataclass(frozen=True, slots=True, order=True)
class _Task:
    """Hold one task that waits or runs."""

    job: int
    number: int
    seconds: float
    room: Amount = field(compare=False)


@dataclass(slots=True)
class _Pool:
    """Play one pool that gives room in the order of arrival.

    :param size: the room of one instance.
    """

    works: Sequence[Work]
    size: Amount
    on: int
    adapts: bool
    in_time: int = 0
    moves: int = 0
    _next: int = 0
    _used: Amount = field(default_factory=Amount)
    _waiting: deque[_Task] = field(default_factory=deque)
    _running: list[tuple[float, _Task]] = field(default_factory=list)
    _begun: dict[int, _Begun] = field(default_factory=dict)
    _coming: deque[float] = field(default_factory=deque)
    _idle_since: float | None = None

    def step(self, now: float, lasting: Amount) -> int:
        """Let time pass until now, and return how many instances stand."""
        while self._coming and self._coming[0] <= now:
            self._coming.popleft()
            self.on += 1
        while self._running and self._running[0][0] <= now:
            end, task = heapq.heappop(self._running)
            self._used -= task.room
            self._ended(task, end)
        while self._next < len(self.works):
            work = self.works[self._next]
            if work.submitted_at > now:
                break
            self._begun[self._next] = _Begun([len(p.seconds) for p in work.pieces])
            self._open(self._next)
            self._next += 1
        room = self.size * self.on - lasting
        while self._waiting and (self._used + self._waiting[0].room).fits(room):
            task = self._waiting.popleft()
            self._used += task.room
            heapq.heappush(self._running, (now + task.seconds, task))
        if self.adapts:
            self._adapt(now, lasting)
        return self.on

    def _open(self, job: int) -> None:
        pieces = self.works[job].pieces
        for number in self._begun[job].opens(pieces):
            piece = pieces[number]
            for seconds in piece.seconds:
                self._waiting.append(_Task(job, number, seconds, piece.room))

    def _ended(self, task: _Task, end: float) -> None:
        work = self.works[task.job]
        begun = self._begun[task.job]
        begun.left[task.number] -= 1
        if not begun.left[task.number]:
            self._open(task.job)
        if not any(begun.left):
            self.in_time += end - work.submitted_at <= work.objective

    def _adapt(self, now: float, lasting: Amount) -> None:
        waiting = sum((task.room for task in self._waiting), Amount())
        asked = (lasting + self._used + waiting).share_of(self.size)
        wanted = math.ceil(asked / THRESHOLD)
        missing = wanted - self.on - len(self._coming)
        for _ in range(missing):
            self._coming.append(now + COMING_SECONDS)
            self.moves += 1
        if asked > (self.on - 1) * THRESHOLD or self.on <= 1:
            self._idle_since = None
        elif self._idle_since is None:
            self._idle_since = now
        elif now - self._idle_since >= IDLE_SECONDS:
            self.on -= 1
            self.moves += 1


def _cell(at: float) -> int:
    return max(0, int(at / GRID_SECONDS))


def _sample(looks: Sequence[tuple[float, V]], cells: int, first: V) -> list[V]:
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
