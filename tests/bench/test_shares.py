"""Test the replay of organisations that compete for a full pool."""

from __future__ import annotations

import math
from dataclasses import replace

from bench.shares import SCENARIOS, draw, evaluate, replay

ONE = SCENARIOS[0]
TAKEOVER = replace(ONE, takeover_at=3.0)


def test_excess_does_not_change_the_jobs_of_others() -> None:
    """Guards against a comparison of two loads that differ in more than the excess."""
    hot = draw(ONE, 1, with_excess=True)
    usual = draw(ONE, 1, with_excess=False)
    kept = [(job.record, job.seconds) for job in hot.jobs if not job.is_excess]
    assert kept == [(job.record, job.seconds) for job in usual.jobs]
    assert len(hot.jobs) > len(usual.jobs)
    assert {job.organisation for job in hot.jobs if job.is_excess} == set(hot.hot)


def test_excess_costs_others_little_and_leaves_the_organisation_its_weight() -> None:
    """Guards against late jobs of all organisations when one exceeds its share."""
    pairs = [
        (evaluate(replay(ONE, seed)), evaluate(replay(ONE, seed, with_excess=False)))
        for seed in range(3)
    ]
    lost = sum(usual.others - hot.others for hot, usual in pairs) / len(pairs)
    assert lost <= 0.02
    assert sum(hot.worst / hot.mean for hot, _ in pairs) / len(pairs) >= 0.9
    assert all(hot.hot_rate >= 1.0 for hot, _ in pairs)


def test_every_job_is_done_also_after_a_takeover() -> None:
    replayed = replay(TAKEOVER, seed=1)
    assert all(job.done_at < math.inf for job in replayed.load.jobs)


def test_a_replay_is_reproducible() -> None:
    first, second = (replay(ONE, seed=2) for _ in range(2))
    assert [job.done_at for job in first.load.jobs] == [
        job.done_at for job in second.load.jobs
    ]
    figures = evaluate(first)
    assert 0.0 < figures.worst <= figures.mean <= 1.0
