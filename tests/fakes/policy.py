"""Provide fakes and builders for the tests of limits, routing and retries."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from returns.result import Success

from mustardward.components.entry.models import (
    Attempt,
    AttemptOutcome,
    RequestFacts,
)
from mustardward.components.membership.models import Member, MemberStatus
from mustardward.state.fleet import FleetState
from mustardward.state.fold import Acceptance, RecordOutcome
from mustardward.state.models.pools import Instance
from mustardward.state.models.templates import Parameters, Urgency
from tests.builders import build_record


class FakeFleetLog:
    """Hold a fleet state that tests change directly."""

    def __init__(self, state: FleetState | None = None) -> None:
        self.state = state or FleetState()
        self.sequence = 1
        self._listeners: list[Callable[[RecordOutcome], None]] = []

    def listen(self, listener: Callable[[RecordOutcome], None]) -> Callable[[], None]:
        self._listeners.append(listener)
        return lambda: self._listeners.remove(listener)

    def notify_accepted(self, body: Any) -> None:
        """Notify the listeners of an accepted record."""
        self.sequence += 1
        acceptance = Acceptance((), self.sequence)
        outcome = RecordOutcome(0, build_record(body), body, Success(acceptance))
        for listener in list(self._listeners):
            listener(outcome)


class FakeMembership:
    """Hold members and the instances that must not get work."""

    def __init__(self, members: tuple[Member, ...] = ()) -> None:
        self._members = members or (build_member("entry-1"),)
        self.blocked: set[str] = set()
        self.reports: list[tuple[str, bool, str]] = []

    @property
    def own(self) -> Member:
        return self._members[0]

    def live(self, data_centre: str | None = None) -> tuple[Member, ...]:
        return tuple(
            member
            for member in self._members
            if data_centre is None or member.data_centre == data_centre
        )

    def is_instance_eligible(self, instance_id: str) -> bool:
        return instance_id not in self.blocked

    def report_instance(
        self,
        instance_id: str,
        healthy: bool,
        cause: str,
        sent_at: float | None = None,
    ) -> None:
        self.reports.append((instance_id, healthy, cause))


def build_member(name: str, data_centre: str = "dc-1", in_flight: int = 0) -> Member:
    """Return a live member."""
    return Member(
        name, data_centre, "127.0.0.1:1", 1, MemberStatus.ALIVE, in_flight=in_flight
    )


def build_state(
    workers: int, pool: str = "pool-1", data_centre: str = "dc-1", slots: int = 8
) -> FleetState:
    """Return a fleet state with workers of one pool, four per rack."""
    state = FleetState()
    add_workers(state, workers, pool, data_centre, slots)
    return state


def add_workers(
    state: FleetState, workers: int, pool: str, data_centre: str, slots: int = 8
) -> None:
    """Add workers of one pool in one data centre."""
    for number in range(workers):
        instance_id = f"{data_centre}-{pool}-{number}"
        state.instances[instance_id] = Instance(
            instance_id,
            data_centre,
            f"rack-{number // 4}",
            f"127.0.0.1:{number}",
            pool,
            1,
            slots=slots,
        )


def build_facts(
    request_id: str = "request-1",
    organisation: str = "small",
    *,
    service: str = "quotes",
    pool: str = "pool-1",
    parameters: Parameters | None = None,
    urgency: Urgency = Urgency.NORMAL,
    idempotent: bool = True,
    arrived: float = 1_000_000.0,
    deadline: float = 1_000_030.0,
    hops: int = 0,
) -> RequestFacts:
    """Return the facts of a request."""
    return RequestFacts(
        request_id=request_id,
        organisation=organisation,
        service=service,
        pool=pool,
        parameters=parameters or Parameters(),
        urgency=urgency,
        idempotent=idempotent,
        arrived=arrived,
        deadline=deadline,
        hops=hops,
    )


def build_attempt(
    outcome: AttemptOutcome = AttemptOutcome.ANSWERED,
    status: int = 200,
    instance_id: str = "worker",
    cause: str = "",
) -> Attempt:
    """Return a finished attempt."""
    if outcome is not AttemptOutcome.ANSWERED:
        status = 0
    return Attempt("attempt", instance_id, outcome, 0.05, status, cause)
