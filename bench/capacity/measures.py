"""Measure state, router, planner, snapshots, limits, reports and histories."""

from __future__ import annotations

import json
from collections import Counter
from collections.abc import Iterable
from dataclasses import asdict
from random import Random
from typing import Any, Final, cast

import msgspec

from mustardward.components.entry.models import Ran, RequestFacts, RequestFinished
from mustardward.components.explain.models import DecisionMade
from mustardward.components.explain.store import HistoryStore
from mustardward.components.limits.admission import PoolAdmission
from mustardward.components.limits.latency import LatencyEstimate
from mustardward.components.limits.models import PoolCapacity, Ticket
from mustardward.components.maintenance.selection import SelectionContext, select_claims
from mustardward.components.membership.messages import (
    Exchange,
    InstanceNote,
    MemberState,
    Vitals,
)
from mustardward.components.membership.models import Member, MemberStatus
from mustardward.components.reports.request_counters import RequestCounters
from mustardward.components.routing.index import FleetIndex
from mustardward.components.routing.services import RouterService
from mustardward.helpers.timer import DrivenTimerService
from mustardward.standin.protocol.models import ListedInstance, ListedState
from mustardward.state.budgets import check_one_more_unavailable
from mustardward.state.fold import Fold
from mustardward.state.images import make_image, restore_image
from mustardward.state.models.jobs import AcceptJob, OpenIntent
from mustardward.state.models.maintenance import AbsenceChange, ReportAbsences, Wave
from mustardward.state.models.templates import Parameters, Quota, Urgency
from mustardward.state.records import encode_batch, make_record
from mustardward.state.streams import FLEET_SPEC, work_spec
from mustardward.state.work import WorkState

from .fit import Measure
from .fleets import best_seconds, build_fleet, memory_of
from .process import idle_bytes, idle_megabytes, idle_percent
from .target import (
    DATA_CENTRES,
    ENTRIES_EACH,
    ORGANISATIONS,
    RACK,
    WORKERS,
    WORKERS_EACH,
)

_FLEETS: Final = (1_500, 3_000, 6_000, 12_000)
_SMALL_FLEETS: Final = (750, 1_500, 3_000, 6_000)
_TEAMS: Final = (30, 90, 180, 270)
_WORK: Final = (1_000, 2_000, 4_000, 8_000)
_ENTRIES: Final = (3, 5, 7, 9)
_MICRO: Final = 1e6


def state_megabytes(workers: int) -> float:
    """Return the memory of the folded fleet with its budgets and dedupe window."""
    return memory_of(lambda: build_fleet(workers))


def index_megabytes(workers: int) -> float:
    """Return the memory of the router's index beside the state."""
    state = build_fleet(workers).state
    return memory_of(
        lambda: FleetIndex(state, lambda instance, slots: slots, lambda name: 0)
    )


def image_kilobytes(workers: int) -> float:
    """Return the size of a snapshot."""
    fleet = build_fleet(workers)
    return len(make_image(FLEET_SPEC, fleet.fold).body) / 1e3


def image_milliseconds(workers: int) -> float:
    """Return the time to write a snapshot and to start from it."""
    fleet = build_fleet(workers)

    def work() -> None:
        image = make_image(FLEET_SPEC, fleet.fold)
        restore_image(FLEET_SPEC, FLEET_SPEC.new_fold(), image)

    return best_seconds(work, 3) * 1e3


def fold_microseconds(workers: int) -> float:
    """Return the time to fold one absence report into a fleet of some size."""
    fleet = build_fleet(workers)
    names = sorted(fleet.state.instances)
    random = Random(1)
    count = 500
    payloads = []
    for number in range(count):
        name = random.choice(names)
        change = AbsenceChange(name, bool(number % 2), 2)
        body = ReportAbsences(fleet.state.instances[name].data_centre, (change,))
        payloads.append(fleet.payload(body))

    def work() -> None:
        for payload in payloads:
            fleet.fold.apply(fleet.fold.next_offset, payload)

    return best_seconds(work, 1) / count * _MICRO


def budget_microseconds(organisations: int) -> float:
    """Return the time to check one claim against every organisation's budget."""
    state = build_fleet(WORKERS_EACH, organisations).state
    instances = list(state.instances.values())[:50]

    def work() -> None:
        for instance in instances:
            check_one_more_unavailable(state, instance)

    return best_seconds(work) / len(instances) * _MICRO


def planner_milliseconds(workers: int) -> float:
    """Return the time of one planning round over a wave that covers the fleet."""
    state = build_fleet(workers).state
    wave = Wave("wave", (), "running", 1, set(state.instances))
    facts = SelectionContext(
        data_centre="dc-0",
        wall=0.0,
        unreported=Counter(),
        concurrency=lambda pool: 4,
        drain_cost=lambda instance: 0.0,
        limit=16,
    )
    return best_seconds(lambda: select_claims(state, wave, facts)) * 1e3


class _QuietLog:
    """Hold a folded state for a router."""

    def __init__(self, state: Any) -> None:
        self.state = state


class _TrustingMembership:
    """Know a data centre's entries and no instance that leaves."""

    def live(self, data_centre: str | None = None) -> tuple[Member, ...]:
        """Return as many entries as a data centre will have."""
        return tuple(
            Member(f"entry-{number}", "dc-0", "10.0.0.1:1", 1, MemberStatus.ALIVE)
            for number in range(ENTRIES_EACH)
        )

    @property
    def own(self) -> Member:
        """Return one of them."""
        return self.live()[0]

    def is_instance_eligible(self, instance_id: str) -> bool:
        """Trust every instance."""
        return True


def choose_microseconds(workers: int) -> float:
    """Return the time to choose one worker of a pool in one data centre."""
    fleet = build_fleet(workers, 10)
    router = RouterService(
        log=cast(Any, _QuietLog(fleet.state)),
        membership=cast(Any, _TrustingMembership()),
        timers=DrivenTimerService(),
        data_centre="dc-0",
        publish=lambda event: None,
        random=Random(1),
    )
    facts = _facts("pool-0")
    count = 200

    def work() -> None:
        for _ in range(count):
            choice = router.choose(facts, frozenset()).unwrap()
            load = router.index.load(choice.instance.instance_id)
            if load is not None:
                load.in_flight = 0

    return best_seconds(work) / count * _MICRO


def admit_microseconds(organisations: int) -> float:
    """Return the time to admit and release one request among many organisations."""
    gate = PoolAdmission(PoolCapacity(400, ENTRIES_EACH, 0.1), 512)
    count = 2_000

    def work() -> None:
        for number in range(count):
            ticket = _ticket(f"organisation-{number % organisations}")
            gate.submit(ticket, 1.0)
            gate.release(ticket, 0.01, True, 1.0)

    return best_seconds(work, 3) / count * _MICRO


def request_counter_megabytes(organisations: int) -> float:
    """Return the memory of burn counters after traffic through three days."""

    def build() -> RequestCounters:
        counters = RequestCounters(0.0)
        for number in range(organisations):
            event = _finished(f"organisation-{number}")
            for step in range(288):
                counters.record(event, 0.5, step * 900.0)
            for step in range(120):
                counters.record(event, 0.5, 259_200.0 + step * 30.0)
        return counters

    return memory_of(build)


def history_megabytes(subjects: int) -> float:
    """Return the memory of histories with eight lines each."""

    def build() -> HistoryStore:
        store = HistoryStore("entry-1")
        for number in range(subjects):
            for line in range(8):
                inputs = (f"pool=pool-{number}", f"margin={line}", "executor=entry-1")
                decision = DecisionMade(
                    "instance", f"worker-{number}", "claim", "wave", inputs, line
                )
                store.add_decision(decision, float(line))
        return store

    return memory_of(build)


def digest_bytes(changes: int) -> float:
    """Return the size of one exchange that carries news of some members."""
    members = tuple(
        MemberState(f"dc-1-entry-{number}", 1024 * 7, 0, "dc-1", "10.1.0.1:8082")
        for number in range(changes)
    )
    notes = tuple(
        InstanceNote(f"dc-1-worker-{number}", 3, 1, True) for number in range(changes)
    )
    exchange = Exchange(
        vitals=Vitals(2**40, 10**7, "0123abcd", 40),
        version=10**6,
        seen=10**6,
        view=2**61,
        members=members,
        instances=notes,
        centres=2**61,
        heard=bytes(DATA_CENTRES - 1),
    )
    return float(len(msgspec.msgpack.encode(exchange)))


def list_kilobytes(instances: int) -> float:
    """Return the size of the platform's whole list as the stand-in answers it."""
    listed = [
        ListedInstance(
            instance_id=f"dc-{number % DATA_CENTRES}-worker-{number}",
            kind="worker",
            data_centre=f"dc-{number % DATA_CENTRES}",
            rack=f"rack-{number // RACK}",
            address=f"10.1.{number // 250}.{number % 250}:8000",
            state=ListedState.LIVE,
            boot=3,
        )
        for number in range(instances)
    ]
    return len(json.dumps([asdict(item) for item in listed])) / 1e3


def job_megabytes(jobs: int) -> float:
    """Return the memory of waiting jobs in one data centre's work state."""
    return memory_of(lambda: _fold_work(_jobs(jobs)))


def intent_megabytes(intents: int) -> float:
    """Return the memory of open intents in one data centre's work state."""
    return memory_of(lambda: _fold_work(_intents(intents)))


def _fold_work(bodies: Iterable[Any]) -> Fold[WorkState]:
    fold = work_spec("dc-1").new_fold()
    for number, body in enumerate(bodies):
        record = make_record(
            body, record_id=f"{number:032x}", actor="entry-1", stamp=0.0
        )
        fold.apply(fold.next_offset, encode_batch([record]))
    return fold


def _jobs(count: int) -> Iterable[Any]:
    for number in range(count):
        organisation = f"organisation-{number % ORGANISATIONS}"
        yield AcceptJob(f"job-{number}", organisation, "service-1", "pool-1")


def _intents(count: int) -> Iterable[Any]:
    for number in range(count):
        organisation = f"organisation-{number % ORGANISATIONS}"
        digest = f"{number:032x}"
        yield OpenIntent(organisation, f"key-{number:012}", digest, "dc-1-entry-3#1")


def _facts(pool: str) -> RequestFacts:
    return RequestFacts(
        request_id="r",
        organisation="organisation-0",
        service="service-0",
        pool=pool,
        parameters=Parameters(),
        urgency=Urgency.NORMAL,
        idempotent=True,
        arrived=0.0,
        deadline=float("inf"),
    )


def _ticket(organisation: str) -> Ticket:
    return Ticket(organisation, Urgency.NORMAL, Quota(), 1.0, 31.0, LatencyEstimate())


def _finished(organisation: str) -> RequestFinished:
    return RequestFinished(
        "r", organisation, "service-0", Urgency.NORMAL, 200, Ran.YES, 0.01, 1
    )


MEASURES: Final = (
    Measure("state", "MB", "workers", _FLEETS, WORKERS, state_megabytes),
    Measure("router index", "MB", "workers", _FLEETS, WORKERS, index_megabytes),
    Measure("snapshot size", "kB", "workers", _FLEETS, WORKERS, image_kilobytes),
    Measure("snapshot time", "ms", "workers", _FLEETS, WORKERS, image_milliseconds),
    Measure("fold", "us/record", "workers", _FLEETS, WORKERS, fold_microseconds),
    Measure("planner", "ms/round", "workers", _FLEETS, WORKERS, planner_milliseconds),
    Measure(
        "choice", "us/request", "workers", _SMALL_FLEETS, WORKERS, choose_microseconds
    ),
    Measure(
        "budget check",
        "us/claim",
        "organisations",
        _TEAMS,
        ORGANISATIONS,
        budget_microseconds,
    ),
    Measure(
        "admission",
        "us/request",
        "organisations",
        _TEAMS,
        ORGANISATIONS,
        admit_microseconds,
    ),
    Measure(
        "burn accounts",
        "MB",
        "organisations",
        (2, 4, 8, 16),
        ORGANISATIONS,
        request_counter_megabytes,
    ),
    Measure(
        "stories", "MB", "subjects", (512, 1024, 2048, 4096), 4096, history_megabytes
    ),
    Measure("list", "kB", "instances", _FLEETS, WORKERS, list_kilobytes),
    Measure("jobs", "MB", "waiting jobs", _WORK, 10_000, job_megabytes),
    Measure("intents", "MB", "open intents", _WORK, 10_000, intent_megabytes),
    Measure(
        "idle entry", "% of a core", "entries", _ENTRIES, ENTRIES_EACH, idle_percent
    ),
    Measure("idle memory", "MB", "entries", _ENTRIES, ENTRIES_EACH, idle_megabytes),
    Measure("idle bytes", "bytes/s", "entries", _ENTRIES, ENTRIES_EACH, idle_bytes),
    Measure("digest", "bytes", "changes", (0, 1, 4, 16), 1, digest_bytes),
)
