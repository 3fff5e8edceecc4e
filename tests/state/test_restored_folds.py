"""Restore folds from images and compare them with the original as both continue.

A handler that depends on the order of a set, on an object's identity, or on data that
is not part of the image gives different results after a restore.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from mustardward.state.budgets import BudgetIndex, get_budget_index
from mustardward.state.images import make_image, restore_image
from mustardward.state.models.jobs import (
    AcceptJob,
    CancelJobs,
    CloseIntent,
    EndAttempt,
    LeaseJob,
    OpenIntent,
    ProgressJob,
    RetryJob,
)
from mustardward.state.models.maintenance import (
    AbsenceChange,
    AdvanceClaim,
    ReleaseClaim,
    ReportAbsences,
    ReportSilence,
    ScheduleWave,
    SignalWave,
    TakeClaim,
)
from mustardward.state.models.pools import (
    AcknowledgeMove,
    AddInstance,
    CancelMove,
    PutPool,
    RemoveInstance,
    RequestMove,
    TransferInstance,
)
from mustardward.state.models.templates import (
    Overrides,
    PublishTemplate,
    PutOrganisation,
    RemoveOrganisation,
)
from mustardward.state.records import NO_BASE, encode_batch
from mustardward.state.streams import FLEET_SPEC, StreamSpec, work_spec
from mustardward.state.work import intent_name
from tests.builders import build_parameters, build_record

RECORD_COUNT = 150
RESTORE_PROBABILITY = 0.08

Proposal = tuple[Any, int]
Generator = Callable[[Random, Any], Proposal]


def _instance(random: Random) -> str:
    return f"instance-{random.randrange(12)}"


def _pool(random: Random) -> str:
    return f"pool-{random.randrange(3)}"


def _centre(random: Random) -> str:
    return random.choice(("bergen", "flam"))


def _add(random: Random) -> AddInstance:
    rack = f"rack-{random.randrange(4)}"
    return AddInstance(
        _instance(random), _centre(random), rack, "127.0.0.1:1", _pool(random)
    )


def _publish(random: Random, state: Any) -> Proposal:
    name = f"template-{random.randrange(2)}"
    parameters = build_parameters(
        _pool(random), minimum_available=0.2, reserve_largest_rack=False
    )
    revisions = state.templates.get(name)
    return PublishTemplate(name, parameters), revisions[-1].revision if revisions else 0


def _put(random: Random, state: Any) -> Proposal:
    name = f"organisation-{random.randrange(3)}"
    overrides = Overrides(headroom=random.choice((None, 0.1)))
    held = state.organisations.get(name)
    if held is not None and random.random() < 0.2:
        return RemoveOrganisation(name), held.revision
    template = f"template-{random.randrange(2)}"
    return PutOrganisation(name, template, overrides), held.revision if held else 0


def _move(random: Random, state: Any) -> Proposal:
    if state.moves and random.random() < 0.7:
        move = sorted(state.moves.values(), key=lambda item: item.move_id)[0]
        kinds = (
            AcknowledgeMove(move.move_id, ("entry-1",)),
            TransferInstance(move.move_id),
            CancelMove(move.move_id),
        )
        return random.choice(kinds), NO_BASE
    name = _instance(random)
    held = state.instances.get(name)
    body = RequestMove(f"move-{random.random()}", name, _pool(random), ("entry-1",))
    return body, held.generation if held else NO_BASE


def _wave(random: Random, state: Any) -> Proposal:
    if not state.waves or random.random() < 0.1:
        pools = tuple(state.pools)
        return ScheduleWave(f"wave-{random.randrange(9)}", pools), NO_BASE
    wave = random.choice(list(state.waves.values()))
    signals = ("start", "resume", "pause", "cancel", "finish")
    signal = random.choices(signals, (8, 8, 1, 1, 1))[0]
    return SignalWave(wave.wave_id, signal), wave.revision


def _claim(random: Random, state: Any) -> Proposal:
    if state.claims and random.random() < 0.6:
        claim = random.choice(list(state.claims.values()))
        name, generation = claim.instance_id, claim.generation
        stages = ("draining", "drained", "rebooting")
        bodies = [AdvanceClaim(name, generation, stage) for stage in stages]
        bodies += [
            ReleaseClaim(name, generation, outcome, claim.boot + 1)
            for outcome in ("done", "given-back", "failed")
        ]
        return random.choice(bodies), NO_BASE
    waves = [wave for wave in state.waves.values() if wave.status == "running"]
    if not waves:
        return _wave(random, state)
    wave = random.choice(waves)
    name = random.choice(sorted(wave.pending) or ["none"])
    return TakeClaim(wave.wave_id, name, "entry-1", random.randrange(4)), NO_BASE


def _absence(random: Random, state: Any) -> Proposal:
    if random.random() < 0.1:
        return ReportSilence(_centre(random), random.random() < 0.5), NO_BASE
    change = AbsenceChange(
        _instance(random), up=random.random() < 0.8, boot=random.randrange(4)
    )
    return ReportAbsences(_centre(random), (change,)), NO_BASE


def _pools(random: Random, state: Any) -> Proposal:
    bodies = (PutPool(_pool(random)), _add(random), _add(random), _add(random))
    if random.random() < 0.1:
        return RemoveInstance(_instance(random)), NO_BASE
    return random.choice(bodies), NO_BASE


FLEET_GENERATORS: tuple[Generator, ...] = (
    _pools,
    _pools,
    _publish,
    _put,
    _move,
    _wave,
    _claim,
    _claim,
    _claim,
    _absence,
)


def _job(random: Random, state: Any) -> Proposal:
    name = f"job-{random.randrange(20)}"
    organisation = f"organisation-{random.randrange(2)}"
    held = state.jobs.get(name)
    generation = held.generation if held else 0
    outcomes = ("done", "failed", "preempted", "lost", "unknown")
    group = f"group-{len(name)}"
    idempotent = not name.endswith(("1", "3", "5", "7"))
    bodies = (
        AcceptJob(name, organisation, "render", "pool-0", group, idempotent=idempotent),
        LeaseJob(name, generation, "entry-1#1", f"worker-{random.randrange(4)}"),
        ProgressJob(name, generation, "half"),
        EndAttempt(name, generation, random.choice(outcomes)),
        CancelJobs(organisation, job_id=name),
        CancelJobs(organisation, group=group),
        RetryJob(name),
    )
    weights = (8, 8, 2, 6, 1, 1, 2)
    return random.choices(bodies, weights)[0], NO_BASE


def _intent(random: Random, state: Any) -> Proposal:
    key = f"key-{random.randrange(6)}"
    held = state.intents.get(intent_name("dairy", key))
    if held is None or random.random() < 0.5:
        digest = f"digest-{random.randrange(2)}"
        return OpenIntent("dairy", key, digest, "entry-1#1"), NO_BASE
    ran = random.choice(("yes", "no", "no", "unknown"))
    closed = CloseIntent(
        "dairy", key, held.home, ran, 200, "text/plain", b"turned", opened=held.sequence
    )
    return closed, NO_BASE


WORK_GENERATORS: tuple[Generator, ...] = (_job, _job, _intent)


def _canonical(state: Any) -> Any:
    """Return a state as plain data in which the order of sets does not matter."""
    return msgspec.to_builtins(state, order="deterministic")


@pytest.mark.parametrize(
    ("spec", "generators"),
    [(FLEET_SPEC, FLEET_GENERATORS), (work_spec("bergen"), WORK_GENERATORS)],
)
@settings(max_examples=60, deadline=None, derandomize=True)
@given(seed=st.integers(0, 1_000_000))
def test_restored_fold_gives_the_same_outcomes(
    spec: StreamSpec[Any], generators: tuple[Generator, ...], seed: int
) -> None:
    random = Random(seed)
    original, other = spec.new_fold(), spec.new_fold()
    accepted = 0
    for number in range(RECORD_COUNT):
        body, base = random.choice(generators)(random, original.state)
        payload = encode_batch([build_record(body, f"record-{number}", base)])
        offset = original.next_offset
        accepted += original.apply(offset, payload)[0].result.map(bool).value_or(False)
        other.apply(offset, payload)
        assert other.digest == original.digest
        if random.random() < RESTORE_PROBABILITY:
            image = make_image(spec, other)
            other = spec.new_fold()
            restore_image(spec, other, image)
    assert original.blocked is None
    assert accepted > RECORD_COUNT / 20
    assert _canonical(other.state) == _canonical(original.state)
    if spec is FLEET_SPEC:
        counters = BudgetIndex(other.state).snapshot()
        assert get_budget_index(original.state).snapshot() == counters
        assert get_budget_index(other.state).snapshot() == counters
