"""Build random jobs of each kind for the liveness walks."""

from __future__ import annotations

import random

from mustardward.components.ledger.ledger import LedgerJob
from mustardward.components.scheduling.models import QueuePolicy
from mustardward.platform.models import Room, SubmittedStep

from .builders import ADVICE, a_job, a_step

POOL_A = "pool-a"
POOL_B = "pool-b"
POLICIES = {
    "plain": QueuePolicy(POOL_A, priority=1, target_seconds=2.0, max_attempts=4),
    "urgent": QueuePolicy(POOL_A, priority=0, target_seconds=1.0, max_attempts=4),
    "other": QueuePolicy(POOL_B, target_seconds=2.0, max_attempts=4),
    "advice": QueuePolicy(POOL_A, target_seconds=4.0, max_attempts=4, advice=ADVICE),
}
QUOTAS = {"small": Room(cpu=4000), "tiny": Room(cpu=500), "large": Room(cpu=16000)}
RACKS = ("r1", "r2")
MAX_ESTIMATE_SECONDS = 1.2

ORDINARY = (
    "plain",
    "plain",
    "chain",
    "wide",
    "crowd",
    "large",
    "label",
    "spread",
    "gang",
    "speculative",
    "near-data",
    "saves",
    "advice",
    "timed",
    "hopeless",
)
LONG_RUNNING = ("lasting", "serving", "fills", "lasting-advice")


def draw_job(rng: random.Random, number: int, now: float, kind: str) -> LedgerJob:
    """Return a random job of a kind."""
    queue = rng.choice(("plain", "urgent", "other"))
    if "advice" in kind:
        queue = "advice"
    changes: dict[str, object] = {
        "queue": queue,
        "service": POLICIES[queue].service,
        "accepted_at": now,
    }
    if kind not in LONG_RUNNING:
        changes["organisation"] = rng.choice(("", "", "", *QUOTAS))
    if kind == "timed":
        changes.update(times=2, start_at_ms=1000 * now + 500, interval_ms=1000)
    steps = _steps(rng, kind)
    return a_job(*steps, job=f"{number:016x}", **changes)


def _steps(rng: random.Random, kind: str) -> list[SubmittedStep]:
    count = rng.randint(1, 4)
    estimate = 1000 * rng.uniform(0.2, MAX_ESTIMATE_SECONDS)
    base: dict[str, object] = {
        "count": count,
        "cpu": rng.choice((500, 1000, 2000)),
        "mem_mb": rng.choice((100, 500, 1000)),
        "estimate_ms": estimate,
    }
    rules: dict[str, dict[str, object]] = {
        "wide": {"count": rng.randint(5, 8)},
        "crowd": {"count": 8, "cpu": 250, "mem_mb": 50},
        "large": {"count": rng.randint(2, 6), "cpu": 3500, "mem_mb": 2000},
        "label": {"required_label": rng.choice(RACKS)},
        "spread": {"max_per_server": rng.randint(1, 2)},
        "gang": {
            "gang": True,
            "cpu": rng.choice((1000, 4000)),
            "count": rng.randint(2, 4),
            "same_rack": rng.random() < 0.5,
            "max_per_server": rng.choice((0, 0, 1)),
        },
        "speculative": {"speculative": True},
        "near-data": {"data_rack": rng.choice(RACKS)},
        "saves": {"saves_progress": True},
        "hopeless": rng.choice(
            ({"cpu": 9000}, {"mem_mb": 9000}, {"required_label": "none"}, {"gpu": 3})
        ),
        "lasting": _long_running(rng),
        "serving": {**_long_running(rng), "target_ms": 50},
        "fills": {**_long_running(rng), "fills": True},
        "lasting-advice": _long_running(rng),
    }
    step = a_step(**{**base, **rules.get(kind, {})})
    if kind == "chain":
        return [
            step,
            a_step(**{**base, "after": [0]}),
            a_step(**{**base, "after": [1]}),
        ]
    return [step]


def _long_running(rng: random.Random) -> dict[str, object]:
    limit = rng.randint(1, 2)
    return {
        "long_running": True,
        "count": rng.randint(1, 3),
        "cpu": 500,
        "mem_mb": 300,
        "max_per_server": limit,
        "may_miss": rng.randint(0, 2),
        "estimate_ms": 1000,
    }


def unplaceable_long_running(rng: random.Random, number: int, now: float) -> LedgerJob:
    """Return a job with more long-running tasks than its limit per worker allows."""
    step = a_step(
        **{**_long_running(rng), "count": rng.randint(5, 7), "max_per_server": 1}
    )
    return a_job(
        step,
        job=f"{number:016x}",
        queue="plain",
        service=POOL_A,
        accepted_at=now,
    )


def full_long_running(rng: random.Random, number: int, now: float) -> LedgerJob:
    """Return a job with as many tasks as its limit allows on two workers."""
    limit = rng.randint(1, 2)
    step = a_step(
        **{
            **_long_running(rng),
            "count": 2 * limit,
            "max_per_server": limit,
            "may_miss": rng.randint(0, 1),
        }
    )
    return a_job(
        step, job=f"{number:016x}", queue="other", service=POOL_B, accepted_at=now
    )


PROBES = ("each", "each", "whole", "quota")
FOLLOWING_PROBES = ("whole", "quota")


def probes(
    kind: str,
    service: str,
    workers: int,
    quotas: dict[str, Room],
    number: int,
    now: float,
) -> list[LedgerJob]:
    """Return jobs that can't start while any room of a pool or any quota is withheld.

    :param kind: ``each`` for a long-running job and a gang that need every worker,
        ``whole`` for a gang that needs most of every worker, and ``quota`` for jobs
        that need the whole quota of their organisation.
    """
    one_per_worker = {"count": workers, "max_per_server": 1, "cpu": 100, "mem_mb": 10}
    steps: list[tuple[str, SubmittedStep]] = []
    if kind == "each":
        steps.append(("", a_step(**one_per_worker, long_running=True)))
        steps.append(("", a_step(**one_per_worker, gang=True)))
    elif kind == "whole":
        steps.append(
            ("", a_step(**{**one_per_worker, "cpu": 6000, "mem_mb": 5000}, gang=True))
        )
    elif service == POOL_A:
        for name, quota in quotas.items():
            cpu = min(4000, quota.cpu)
            gang = {"count": quota.cpu // cpu, "gang": quota.cpu > cpu}
            steps.append((name, a_step(**gang, cpu=cpu, mem_mb=100)))
    queue = "plain" if service == POOL_A else "other"
    return [
        a_job(
            step,
            job=f"{number:014x}{service[-1]}{index}",
            queue=queue,
            service=service,
            accepted_at=now,
            organisation=organisation,
        )
        for index, (organisation, step) in enumerate(steps)
    ]
