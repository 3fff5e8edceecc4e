"""Describe the inputs of the decision that a step waits, as log fields."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from typing import Final

from ...helpers.logging import LogValue
from ...helpers.registry import Registry
from .crashes import isolation_workers, needs_isolation
from .models import Phase, StepRun
from .wait_context import WaitContext
from .wait_tracker import Reason
from .worker_state import WorkerState

MAX_NAMES: Final = 8
"""Most workers, jobs or data centres that one field names."""

Inputs = dict[str, LogValue]


_UNUSABLE_CONDITIONS: Final[dict[str, Callable[[WorkerState, float], bool]]] = {
    "absent": lambda worker, now: worker.absent,
    "draining": lambda worker, now: worker.draining,
    "leaving": lambda worker, now: worker.cordoned,
    "quarantined": lambda worker, now: worker.quarantined_until > now,
    "refusing": lambda worker, now: worker.refusing_until > now,
    "stale": lambda worker, now: worker.stale,
    "unconfirmed": lambda worker, now: not worker.confirmed,
    "unknown-runs": lambda worker, now: worker.unknown_runs,
}
"""Conditions that make a worker unusable, in the terms of ``placement.is_usable``."""

INPUTS: Final[Registry[Reason, Callable[[WaitContext], Inputs]]] = Registry(
    "wait inputs"
)


def inputs_of(wait: WaitContext, reason: Reason) -> Inputs:
    """Return the log fields of a reason's inputs."""
    describe = INPUTS.get(reason)
    return describe(wait) if describe is not None else {}


@INPUTS.register(Reason.NOT_CONFIGURED)
def _configuration(wait: WaitContext) -> Inputs:
    return {"taken_over_seconds": wait.now - wait.state.taken_over_at}


@INPUTS.register(Reason.NOT_STORED)
def _storage_state(wait: WaitContext) -> Inputs:
    job = wait.step.job
    return {
        "dirty": job.record.id in wait.state.dirty,
        "sent_seconds": _seconds_since(wait.sent_at, wait.now),
        "suspicion": job.suspicion,
    }


@INPUTS.register(Reason.NO_USABLE_WORKER)
def _unusable(wait: WaitContext) -> Inputs:
    """Count the workers with room by unusable condition; several may apply to one."""
    counts = {
        name: sum(condition(worker, wait.now) for worker in wait.with_room)
        for name, condition in _UNUSABLE_CONDITIONS.items()
    }
    named = ",".join(f"{name}:{count}" for name, count in counts.items() if count)
    reported = [w.reported_at for w in wait.with_room if w.reported_at]
    return {
        "unusable": named or None,
        "heard_seconds": _seconds_since(min(reported, default=None), wait.now),
    }


@INPUTS.register(Reason.STARTS_USED_UP)
def _start_limit(wait: WaitContext) -> Inputs:
    return {"most_starts": wait.wait_tracker.max_starts}


@INPUTS.register(Reason.HELD_AFTER_TAKEOVER)
def _takeover_hold(wait: WaitContext) -> Inputs:
    state = wait.state
    where = wait.step.job.stored_zones
    zones = where if where is not None else {w.zone for w in state.workers.values()}
    return {
        "held_seconds_left": state.takeover_hold_until - wait.now,
        "taken_over_seconds": wait.now - state.taken_over_at,
        "listing_workers": len(state.listing_workers),
        "open_zones": _join_names(where),
        "unaccounted": _join_names(zones - state.reconciled_zones),
    }


@INPUTS.register(Reason.START_UNANSWERED)
def _unanswered_starts(wait: WaitContext) -> Inputs:
    held = [
        start
        for name, start in wait.state.held_starts.items()
        if name.job == wait.step.job.record.id
    ]
    return {
        "held_starts": len(held),
        "held_workers": _join_names({start.worker for start in held}),
        "held_seconds_left": max(
            (min(s.until, s.elsewhere_at) - wait.now for s in held), default=0.0
        ),
    }


@INPUTS.register(Reason.AWAITS_EVALUATION)
def _evaluation(wait: WaitContext) -> Inputs:
    job = wait.step.job
    due_times = [
        t.evaluation_due_at
        for s in job.steps.values()
        for t in s.tasks.known()
        if t.evaluation_due_at
    ]
    return {
        "suspicion": job.suspicion,
        "unjudged": len(due_times),
        "overdue_seconds": _seconds_since(min(due_times, default=None), wait.now),
    }


@INPUTS.register(Reason.SUSPECTS_WAIT)
def _suspects(wait: WaitContext) -> Inputs:
    step = wait.step
    free = [
        worker.id
        for worker in wait.able
        if all(task.step.job is step.job for task in worker.tasks.values())
    ]
    return {
        "suspects": sum(map(needs_isolation, step.waiting.known())),
        "suspicion": step.job.suspicion,
        "trial_workers": _join_names(isolation_workers(step.job)),
        "empty_workers": _join_names(free),
    }


@INPUTS.register(Reason.RESERVED_FOR_OTHERS)
def _reserved(wait: WaitContext) -> Inputs:
    reserved = wait.reserved
    for_suspects = [
        step
        for step in reserved.values()
        if any(map(needs_isolation, step.tasks.known()))
    ]
    return {
        "kept": len(reserved),
        "kept_for_suspects": len(for_suspects),
        "kept_for_lasting": len(reserved) - len(for_suspects),
        "kept_for": _join_names(f"{w}:{s.job.record.id}" for w, s in reserved.items()),
    }


@INPUTS.register(Reason.FITS_NOWHERE)
def _oversized(wait: WaitContext) -> Inputs:
    candidates = wait.decision.candidates if wait.decision is not None else None
    other = (
        candidates.find_oversized_step(wait.step) if candidates is not None else None
    )
    if other is None:
        return _reserved(wait)
    room = other.room
    decision = wait.wait_tracker.get(other)
    return {
        "found_by": other.job.record.id,
        "found_reason": decision.reason.value if decision is not None else None,
        "found_zones": _join_names(other.job.stored_zones),
        "found_cpu": room.cpu,
        "found_mb": room.mem_mb,
        "found_gpu": room.gpu,
        **_reserved(wait),
    }


@INPUTS.register(Reason.ADVICE_UNANSWERED)
def _advice(wait: WaitContext) -> Inputs:
    step = wait.step
    return {
        "asked_seconds": _seconds_since(step.advice_requested_at, wait.now),
        "tickets": len(step.tickets),
        "denied": len(step.denied_at),
        "failures": step.advice_failures,
        "retry_seconds": max(0.0, step.advice_retry_at - wait.now),
    }


@INPUTS.register(Reason.QUOTA)
def _quota(wait: WaitContext) -> Inputs:
    organisation = wait.step.job.organisation
    quotas = wait.state.quotas
    quota = quotas.quota_of(organisation)
    used = quotas.used(organisation)
    unconfirmed = quotas.unconfirmed(organisation)
    return {
        "organisation": organisation,
        "used_cpu": used.cpu,
        "unseen_cpu": unconfirmed.cpu,
        "quota_cpu": quota.cpu,
        "used_mb": used.mem_mb,
        "unseen_mb": unconfirmed.mem_mb,
        "quota_mb": quota.mem_mb,
        "used_gpu": used.gpu,
        "unseen_gpu": unconfirmed.gpu,
        "quota_gpu": quota.gpu,
    }


@INPUTS.register(Reason.GANG_INCOMPLETE)
def _gang_members(wait: WaitContext) -> Inputs:
    phases = {phase.value: n for phase, n in wait.step.count_phases().items()}
    return {
        "members": ",".join(f"{phase}:{n}" for phase, n in sorted(phases.items())),
    }


@INPUTS.register(Reason.GANG_HAS_NO_ROOM)
def _gang(wait: WaitContext) -> Inputs:
    spec = wait.step.spec
    return {
        "members": len(wait.step.tasks),
        "same_rack": spec.same_rack,
        **_rules(wait),
        **_zone_inputs(wait),
    }


@INPUTS.register(Reason.NO_ROOM)
def _room(wait: WaitContext) -> Inputs:
    return {**_zone_inputs(wait), **_reserved(wait)}


@INPUTS.register(Reason.ZONE_BEING_STORED)
def _next_zone(wait: WaitContext) -> Inputs:
    job = wait.step.job
    return {
        **_zone_inputs(wait),
        "sent_zones": _join_names(job.pending_zones),
        "dirty": job.record.id in wait.state.dirty,
        "sent_seconds": _seconds_since(wait.sent_at, wait.now),
    }


@INPUTS.register(Reason.ROOM_PROMISED)
def _promised(wait: WaitContext) -> Inputs:
    free: Counter[str] = Counter()
    for worker in wait.allowed:
        free[worker.zone] += worker.free_cpu
    promised = wait.decision.promised if wait.decision is not None else None
    return {
        **_zone_inputs(wait),
        "free": _join_names(f"{zone}:{cpu}" for zone, cpu in free.items()),
        "promised": _join_names(
            f"{zone}:{cpu}" for zone, cpu in (promised or {}).items()
        ),
    }


@INPUTS.register(Reason.RULES)
def _rules(wait: WaitContext) -> Inputs:
    step = wait.step
    label = step.spec.required_label
    limit = step.spec.max_per_server
    able = wait.able
    return {
        "required_label": label or None,
        "without_label": sum(label not in w.labels for w in able) if label else 0,
        "max_per_server": limit,
        "at_most": sum(step.on_worker[w.id] >= limit for w in able) if limit else 0,
        "advice": step.job.policy.advice is not None,
        "tickets": len(step.tickets),
        "tickets_seconds_left": max(
            (ticket.valid_until - wait.now for ticket in step.tickets.values()),
            default=None,
        ),
    }


def _zone_inputs(wait: WaitContext) -> Inputs:
    job = wait.step.job
    return {
        "zones": _join_names(job.zones),
        "open_zones": _join_names(job.stored_zones),
    }


def _join_names(names: Iterable[str] | None) -> str | None:
    """Return sorted names, and how many were left out; None for no names."""
    names = sorted(names or ())
    if not names:
        return None
    more = [f"+{len(names) - MAX_NAMES}"] if len(names) > MAX_NAMES else []
    return ",".join([*names[:MAX_NAMES], *more])


def _seconds_since(at: float | None, now: float) -> float | None:
    return now - at if at is not None else None


def phases_of(step: StepRun) -> Inputs:
    """Return how many tasks are queued, waiting but not queued, and in each phase."""
    phases = step.count_phases()
    others = [phase for phase in Phase if phase is not Phase.WAITING]
    return {
        "ready": len(step.waiting),
        "off_queue": phases[Phase.WAITING] - len(step.waiting),
        **{phase.value: phases[phase] for phase in others},
    }
