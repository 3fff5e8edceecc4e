"""Model callers, workers and faults in driven time around the real policy code.

Entries, their router, limits and retry policy are the product's own; only the network,
the workers and the clock are modelled, at the interface of the dispatcher.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from random import Random
from typing import Any, Protocol

from returns.result import Success

from mustardward.components.entry.models import Attempt, AttemptOutcome
from mustardward.components.membership.models import Member, MemberStatus
from mustardward.state.fleet import FleetState
from mustardward.state.fold import Acceptance, RecordOutcome
from mustardward.state.models.pools import Instance
from mustardward.state.models.templates import (
    Organisation,
    Overrides,
    Parameters,
    Quota,
    ServiceBinding,
    Urgency,
)
from mustardward.state.records import make_record

NETWORK_SECONDS = 0.0005
POOL = "pool-1"
DATA_CENTRE = "dc-1"


class Clock:
    """Run events in the order of their times; serve as the timer service."""

    def __init__(self) -> None:
        self.now = 0.0
        self._heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._count = 0

    def monotonic(self) -> float:
        """Return the modelled time."""
        return self.now

    def after(self, seconds: float, call: Callable[..., None], *arguments: Any) -> None:
        """Call something later."""
        self._count += 1
        item = (self.now + seconds, self._count, call, arguments)
        heapq.heappush(self._heap, item)

    def every(self, seconds: float, call: Callable[[], None]) -> None:
        """Call something again and again."""

        def repeat() -> None:
            call()
            self.after(seconds, repeat)

        self.after(seconds, repeat)

    def run(self, until: float) -> None:
        """Run all events up to a time."""
        while self._heap and self._heap[0][0] <= until:
            self.now, _, call, arguments = heapq.heappop(self._heap)
            call(*arguments)
        self.now = until


@dataclass(slots=True, eq=False)
class Request:
    """Hold one request, what was said to its caller, and what really happened."""

    request_id: str
    organisation: str
    urgency: Urgency
    idempotent: bool
    arrived: float
    deadline: float
    service_seconds: float
    parameters: Parameters
    attempts: tuple[Attempt, ...] = ()
    tries: int = 0
    first_start: float | None = None
    executions: int = 0
    answers: int = 0
    answered_at: float = 0.0
    status: int = 0
    claimed_ran: str = ""
    code: str = ""
    retry_after: float | None = None
    repeats: int = 0
    on_answer: Callable[[Request], None] | None = None

    @property
    def good(self) -> bool:
        """Tell whether the caller got a whole answer before the deadline."""
        return self.status == 200 and self.answered_at <= self.deadline

    @property
    def latency(self) -> float:
        """Return the seconds from arrival to answer."""
        return self.answered_at - self.arrived


@dataclass(slots=True)
class Faults:
    """Hold how a worker misbehaves; shares are probabilities for each attempt."""

    down: bool = False
    slowness: float = 1.0
    fails_fast: float = 0.0
    lost_before: float = 0.0
    lost_after: float = 0.0
    answer_lost: float = 0.0
    stalls: float = 0.0


OnOutcome = Callable[[AttemptOutcome, int, str], None]


@dataclass(slots=True, eq=False)
class Worker:
    """Hold one worker: it runs what finds a slot and refuses the rest."""

    instance: Instance
    clock: Clock
    random: Random
    faults: Faults = field(default_factory=Faults)
    busy: int = 0
    long_tasks: int = 0
    busy_seconds: float = 0.0

    @property
    def free(self) -> int:
        """Return the free slots."""
        return self.instance.slots - self.busy - self.long_tasks

    def send(self, request: Request, on_outcome: OnOutcome) -> None:
        """Carry one attempt to the worker."""
        request.tries += 1
        self.clock.after(NETWORK_SECONDS, self._arrive, request, on_outcome)

    def _arrive(self, request: Request, on_outcome: OnOutcome) -> None:
        faults = self.faults
        if faults.down or self.random.random() < faults.lost_before:
            self._reply(on_outcome, AttemptOutcome.NOT_SENT, 0, "connect")
            return
        if self.free <= 0:
            self._reply(on_outcome, AttemptOutcome.REFUSED, 0, "busy")
            return
        if self.random.random() < faults.lost_after:
            self._reply(on_outcome, AttemptOutcome.UNKNOWN, 0, "connection-lost")
            if self.random.random() < 0.5:
                return
            on_outcome = _nobody
        self._execute(request, on_outcome)

    def _execute(self, request: Request, on_outcome: OnOutcome) -> None:
        request.executions += 1
        if request.first_start is None:
            request.first_start = self.clock.now
        if self.random.random() < self.faults.fails_fast:
            self._reply(on_outcome, AttemptOutcome.ANSWERED, 500, "")
            return
        seconds = request.service_seconds * self.faults.slowness
        if self.random.random() < self.faults.stalls:
            seconds = 60.0
        self.busy += 1
        self.clock.after(seconds, self._finish, seconds, on_outcome)

    def _finish(self, seconds: float, on_outcome: OnOutcome) -> None:
        self.busy -= 1
        self.busy_seconds += seconds
        if self.random.random() < self.faults.answer_lost:
            self._reply(on_outcome, AttemptOutcome.UNKNOWN, 0, "truncated")
            return
        self._reply(on_outcome, AttemptOutcome.ANSWERED, 200, "")

    def _reply(
        self, on_outcome: OnOutcome, outcome: AttemptOutcome, status: int, cause: str
    ) -> None:
        self.clock.after(NETWORK_SECONDS, on_outcome, outcome, status, cause)


def _nobody(outcome: AttemptOutcome, status: int, cause: str) -> None:
    return None


class ModelLog:
    """Hold the folded state that all entries share."""

    def __init__(self, state: FleetState) -> None:
        self.state = state
        self.sequence = 1
        self._listeners: list[Callable[[RecordOutcome], None]] = []

    def listen(self, listener: Callable[[RecordOutcome], None]) -> Callable[[], None]:
        """Call a listener for each record."""
        self._listeners.append(listener)
        return lambda: self._listeners.remove(listener)

    def folded(self, body: Any) -> None:
        """Tell the listeners that a record was folded."""
        self.sequence += 1
        envelope = make_record(body, record_id="r", actor="model", stamp=0.0)
        acceptance = Acceptance((), self.sequence)
        outcome = RecordOutcome(0, envelope, body, Success(acceptance))
        for listener in list(self._listeners):
            listener(outcome)


class ModelMembership:
    """Hold the entries, all alive, as one of them sees them."""

    def __init__(self, name: str, names: list[str]) -> None:
        self._members = tuple(
            Member(name, DATA_CENTRE, "127.0.0.1:1", 1, MemberStatus.ALIVE)
            for name in names
        )
        self.own = self._members[names.index(name)]

    def live(self, data_centre: str | None = None) -> tuple[Member, ...]:
        """Return the live members."""
        return self._members if data_centre in (None, DATA_CENTRE) else ()

    def is_instance_eligible(self, instance_id: str) -> bool:
        """Leave all judgement to the router."""
        return True

    def report_instance(
        self,
        instance_id: str,
        healthy: bool,
        cause: str,
        sent_at: float | None = None,
    ) -> None:
        """Take no evidence."""


class Entry(Protocol):
    """Take requests, as the product or as a baseline does."""

    def arrive(self, request: Request) -> None:
        """Take one request."""
        ...


def build_fleet(workers: int, slots: int) -> FleetState:
    """Return a state with workers in racks of four."""
    state = FleetState()
    for number in range(workers):
        instance_id = f"worker-{number}"
        state.instances[instance_id] = Instance(
            instance_id,
            DATA_CENTRE,
            f"rack-{number // 4}",
            f"127.0.0.1:{number}",
            POOL,
            1,
            slots=slots,
        )
    return state


def build_parameters(reserve: float = 0.1) -> Parameters:
    """Return parameters with a wide quota and the pool of the model."""
    return Parameters(
        services=(ServiceBinding("service", POOL),),
        urgent_reserve=reserve,
        quota=Quota(concurrency=64, queue=512),
    )


class Fleet:
    """Hold the workers and the clock of one run."""

    def __init__(self, seed: int, workers: int = 8, slots: int = 8) -> None:
        self.seed = seed
        self.clock = Clock()
        self.random = Random(seed)
        self.log = ModelLog(build_fleet(workers, slots))
        self.workers = {
            name: Worker(instance, self.clock, Random(f"{seed}/{name}"))
            for name, instance in self.log.state.instances.items()
        }

    @property
    def slots(self) -> int:
        """Return the slots of all workers."""
        return sum(worker.instance.slots for worker in self.workers.values())


@dataclass(frozen=True, slots=True)
class Traffic:
    """Describe what one organisation sends: ``rate`` requests a second, at random.

    A caller sends again up to ``retries`` times what was not answered well: when the
    refusal asks for it if ``obedient``, else at once.
    """

    organisation: str
    rate: float
    service_seconds: float = 0.1
    deadline_seconds: float = 2.0
    urgency: Urgency = Urgency.NORMAL
    idempotent_share: float = 1.0
    parameters: Parameters = field(default_factory=lambda: build_parameters())
    start: float = 0.0
    end: float = float("inf")
    retries: int = 0
    obedient: bool = True


class Callers:
    """Send traffic to entries picked at random, as the platform's balancer does."""

    def __init__(self, fleet: Fleet, entries: list[Entry]) -> None:
        self._fleet = fleet
        self._entries = entries
        self.requests: list[Request] = []
        self._stopped = False

    def stop(self) -> None:
        """Send no more."""
        self._stopped = True

    def start(self, traffic: Traffic) -> None:
        """Begin to send, as an organisation of the folded state."""
        organisation = Organisation(
            traffic.organisation, "template", 1, 1, Overrides(), traffic.parameters
        )
        self._fleet.log.state.organisations[traffic.organisation] = organisation
        self._fleet.log.sequence += 1
        random = Random(f"{self._fleet.seed}/{traffic.organisation}")
        self._fleet.clock.after(
            traffic.start + random.expovariate(traffic.rate),
            self._send,
            traffic,
            random,
        )

    def _send(self, traffic: Traffic, random: Random) -> None:
        clock = self._fleet.clock
        if self._stopped or clock.now >= traffic.end:
            return
        self._make(traffic, random, traffic.retries)
        clock.after(random.expovariate(traffic.rate), self._send, traffic, random)

    def _make(self, traffic: Traffic, random: Random, retries: int) -> None:
        now = self._fleet.clock.now
        length = random.lognormvariate(-0.125, 0.5)
        request = Request(
            request_id=f"{traffic.organisation}-{len(self.requests)}",
            organisation=traffic.organisation,
            urgency=traffic.urgency,
            idempotent=random.random() < traffic.idempotent_share,
            arrived=now,
            deadline=now + traffic.deadline_seconds,
            service_seconds=traffic.service_seconds * length,
            parameters=traffic.parameters,
            repeats=traffic.retries - retries,
        )
        if retries:
            request.on_answer = partial(self._answered, traffic, random, retries)
        self.requests.append(request)
        random.choice(self._entries).arrive(request)

    def _answered(
        self, traffic: Traffic, random: Random, retries: int, request: Request
    ) -> None:
        if request.good or self._stopped:
            return
        wait = request.retry_after if traffic.obedient else None
        self._fleet.clock.after(wait or 0.01, self._make, traffic, random, retries - 1)


def quantile(values: list[float], share: float) -> float:
    """Return the value below which a share of all values lies."""
    if not values:
        return float("nan")
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
